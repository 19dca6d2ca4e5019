"""Tests of the order and the bounds of waiting requests."""

from samphirestack.internal.decisions import queueing
from samphirestack.internal.decisions import waiting_requests
from samphirestack import model

A, B = model.TeamId('a'), model.TeamId('b')
SERVICE = model.ServiceId('s')


def _waiting(
    name: str,
    *,
    urgent: bool = False,
    team: model.TeamId = A,
    at: float = 0.0,
    deadline: float = 100.0,
) -> waiting_requests.WaitingRequest:
    urgency = model.Urgency.URGENT if urgent else model.Urgency.PATIENT
    return waiting_requests.WaitingRequest(
        request_id=model.RequestId(name),
        entry=model.VmId('e'),
        queue=model.QueueId('q'),
        service=SERVICE,
        profile=model.ProfileId(urgency.value),
        team=team,
        urgency=urgency,
        enqueued_at=at,
        deadline=deadline,
        promote_at=at + 50.0,
    )


def _fill(
    queue: queueing.RequestQueue, *items: waiting_requests.WaitingRequest
) -> list[str]:
    shed = [queue.add(item, 1000) for item in items]
    return [item.request_id for item in shed if item is not None]


def _drain(queue: queueing.RequestQueue) -> list[str]:
    """Start all requests in order and return their ids.

    Of several teams in a class, the first one is served first.
    """
    started = []
    while len(queue):
        choice = next(iter(queue.candidates(SERVICE)))
        waiting = queue.first_match(
            SERVICE, choice.urgent, choice.teams[0], lambda _: True
        )
        assert waiting is not None
        queue.start(waiting)
        started.append(str(waiting.request_id))
    return started


class TestOrder:
    """Urgent work goes first without starving patient work."""

    def test_urgent_by_deadline_then_patient_by_age(self) -> None:
        """Fails if classes are mixed or ordered by arrival only."""
        queue = queueing.RequestQueue()
        _fill(
            queue,
            _waiting('p2', at=2.0),
            _waiting('p1', at=1.0),
            _waiting('u2', urgent=True, deadline=20.0),
            _waiting('u1', urgent=True, deadline=10.0),
        )
        assert _drain(queue) == ['u1', 'u2', 'p1', 'p2']

    def test_patient_work_gets_a_tenth_of_starts(self) -> None:
        """Fails if a stream of urgent work starves patient work."""
        queue = queueing.RequestQueue()
        _fill(queue, *(_waiting(f'u{n}', urgent=True) for n in range(40)))
        _fill(queue, *(_waiting(f'p{n}') for n in range(4)))
        order = _drain(queue)
        for begin in range(0, 40, 10):
            tenth = order[begin : begin + 10]
            assert sum(name.startswith('p') for name in tenth) == 1

    def test_long_wait_is_promoted(self) -> None:
        """Fails if ``max_wait_s`` has no effect."""
        queue = queueing.RequestQueue()
        _fill(queue, _waiting('old', at=0.0, deadline=60.0))
        _fill(queue, _waiting('u', urgent=True, at=40.0, deadline=70.0))
        queue.promote(49.9)
        assert next(iter(queue.candidates(SERVICE))).urgent
        queue.promote(50.0)
        assert _drain(queue) == ['old', 'u']

    def test_request_that_avoids_free_upstreams_does_not_block(self) -> None:
        """Fails if the first request of a team holds up the next ones."""
        queue = queueing.RequestQueue()
        _fill(queue, _waiting('blocked', at=0.0), _waiting('next', at=1.0))
        found = queue.first_match(
            SERVICE, False, A, lambda item: item.request_id != 'blocked'
        )
        assert found is not None
        assert found.request_id == 'next'
        assert _drain(queue) == ['blocked', 'next']


class TestBounds:
    """Queues are bounded, and patient work is shed first."""

    def test_bound_per_team_and_profile(self) -> None:
        """Fails if one team can fill the queue of another one."""
        queue = queueing.RequestQueue()
        first, second = _waiting('1'), _waiting('2')
        assert queue.add(first, 1) is None
        assert queue.add(second, 1) is second
        assert queue.add(_waiting('3', team=B), 1) is None

    def test_patient_work_of_the_largest_team_is_shed(self) -> None:
        """Fails if urgent work is refused while patient work waits."""
        queue = queueing.RequestQueue(max_waiting=4)
        _fill(queue, *(_waiting(f'p{n}', at=n) for n in range(3)))
        _fill(queue, _waiting('b', team=B))
        assert _fill(queue, _waiting('u', urgent=True)) == ['p2']
        only_urgent = queueing.RequestQueue(max_waiting=1)
        _fill(only_urgent, _waiting('u1', urgent=True))
        assert _fill(only_urgent, _waiting('u2', urgent=True)) == ['u2']

    def test_removed_requests_leave_nothing_behind(self) -> None:
        """Fails if many cancellations leave heap entries or counts behind."""
        queue = queueing.RequestQueue()
        _fill(queue, *(_waiting(f'{n}', at=n) for n in range(1000)))
        for number in range(999):
            queue.remove(model.RequestId(str(number)))
        assert queue.waiting_by_team() == {A: 1}
        assert len(queue._deadlines._items) < 100
        assert _drain(queue) == ['999']
        assert queue.waiting_by_team() == {}

    def test_expired_requests_are_removed(self) -> None:
        """Fails if a request waits beyond its deadline."""
        queue = queueing.RequestQueue()
        _fill(queue, _waiting('1', deadline=5.0), _waiting('2'))
        assert [item.request_id for item in queue.pop_expired(5.0)] == ['1']
        assert len(queue) == 1
