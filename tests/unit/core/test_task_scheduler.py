"""Tests of single rules of the task scheduler."""

import msgspec
import pytest

from samphirestack import configuration
from samphirestack.internal.leader import actions
from samphirestack.internal.leader import task_starts
from samphirestack.internal.leader import tasks
from samphirestack import model
from samphirestack import platform
from samphirestack_testing import fakes
from samphirestack_testing import task_world

HALF = model.Resources(2000, 4000)
WHOLE = model.Resources(4000, 8000)
TTL_S = 10.0
LOST_AFTER = 21.5


def _configuration() -> configuration.Configuration:
    urgent = configuration.Profile('urgent', urgency=model.Urgency.URGENT)
    profiles = {'urgent': urgent, 'p': configuration.Profile('p')}
    return configuration.Configuration(
        profiles_by_id=profiles,
        services_by_id={'s': configuration.Service('s', 'p')},
        queues_by_id={
            name: configuration.Queue(name, 's', name) for name in profiles
        },
    )


class Zone:
    """A scheduler with workers w0, w1, ... in one rack each."""

    def __init__(self, count: int, limits: dict | None = None) -> None:
        self.ledger = fakes.FakeLedger(limits)
        self.scheduler = tasks.TaskScheduler(
            self.ledger, fakes.FakeShares(), TTL_S
        )
        self.scheduler.configure(0.0, _configuration())
        names = [f'w{number}' for number in range(count)]
        vms = [task_world.worker(name, name, WHOLE) for name in names]
        self.scheduler.set_workers(0.0, vms)
        self.scheduler.start_term(0.0, 1, LOST_AFTER)

    def report_tasks(
        self, now: float, worker_id: str, *starts: actions.StartTask,
        asked_at: float | None = None, last_event: int = 0,
    ) -> None:  # fmt: skip
        listed = tuple(
            platform.RunningTask(
                start.task.task_id,
                start.task.attempt,
                start.task.job_id,
                start.task.team,
                start.task.resources,
                model.TaskState.RUNNING,
            )
            for start in starts
        )
        status = platform.WorkerStatus(
            worker_id, 1, 'e', TTL_S, WHOLE, listed, last_event
        )
        self.scheduler.worker_status(now, status, asked_at)

    def submit(
        self, name: str, count: int = 1, *, now: float = 0.0,
        inserted_in_term: bool = True, **changes: object,
    ) -> model.JobRecord:  # fmt: skip
        job = model.Job(
            name, 'p', 't', model.JobKind.BATCH, count, HALF, 10.0, True, 'z',
            0.0,
        )  # fmt: skip
        record = model.JobRecord(msgspec.structs.replace(job, **changes))
        self.scheduler.job_changed(now, record, inserted_in_term)
        return record

    def plan(self, now: float) -> list[actions.StartTask]:
        planned = self.scheduler.plan(now)
        return [a for a in planned if isinstance(a, actions.StartTask)]

    def accept(self, now: float, start: actions.StartTask) -> None:
        self.scheduler.start_answered(
            now, start.worker_id, start.task.task_id, start.task.attempt,
            task_starts.StartOutcome.ACCEPTED,
        )  # fmt: skip

    def event(
        self, now: float, start: actions.StartTask, number: int, state: str
    ) -> None:
        event = platform.TaskEvent(
            number,
            start.task.task_id,
            start.task.attempt,
            model.TaskState(state),
        )
        self.scheduler.task_event(now, start.worker_id, event)


def _ready(count: int, limits: dict | None = None) -> Zone:
    zone = Zone(count, limits)
    for number in range(count):
        zone.report_tasks(0.0, f'w{number}')
    return zone


def _running_start(task_id: str, need: model.Resources) -> actions.StartTask:
    job_id = task_id.partition('/')[0]
    task = platform.TaskStart(task_id, 1, job_id, 't', need, 10.0)
    return actions.StartTask('w0', task)


class TestTakeover:
    """A new leader starts nothing that an earlier one may have started."""

    def test_older_rows_wait_for_all_workers(self) -> None:
        """Guards against a second copy on a worker that reports first."""
        zone = Zone(2)
        zone.report_tasks(0.0, 'w0')
        zone.submit('old', inserted_in_term=False)
        zone.submit('new')
        assert [s.task.job_id for s in zone.plan(1.0)] == ['new']
        assert not zone.plan(LOST_AFTER - 0.1)
        assert [s.task.job_id for s in zone.plan(LOST_AFTER)] == ['old']

    def test_limited_teams_wait_for_all_workers(self) -> None:
        """Guards against exceeding a slice by tasks on unreported workers."""
        zone = Zone(2, {'t': 1})
        zone.report_tasks(0.0, 'w0')
        zone.submit('new')
        assert not zone.plan(1.0)
        zone.report_tasks(1.0, 'w1')
        assert len(zone.plan(1.0)) == 1

    def test_dispatched_task_that_no_worker_lists_fails(self) -> None:
        """Guards against a second run after the worker was replaced."""
        zone = _ready(1)
        record = zone.submit('j', inserted_in_term=False, idempotent=False)
        record = msgspec.structs.replace(record, dispatched={0: 1})
        zone = _ready(1)
        zone.scheduler.job_changed(0.0, record)
        assert not zone.plan(1.0)
        (update,) = zone.scheduler.pop_updates(1.0)
        assert update.state is model.JobState.FAILED
        assert 'may have run' in update.reason

    def test_start_waits_for_the_row_that_records_it(self) -> None:
        """Guards against starts that the next leader has no record of."""
        zone = _ready(1)
        zone.submit('j', idempotent=False)
        assert not zone.plan(1.0)
        (update,) = zone.scheduler.pop_updates(1.0)
        assert update.dispatched == {0: 1}
        zone.scheduler.update_saved(1.0, update)
        assert len(zone.plan(1.0)) == 1

    def test_gang_waits_for_its_held_members(self) -> None:
        """Guards against starting part of a gang while the rest is held."""
        zone = Zone(3)
        start = _running_start('gang/0', HALF)
        zone.report_tasks(0.0, 'w0', start)
        zone.report_tasks(0.0, 'w1')
        zone.submit('gang', 2, kind=model.JobKind.GANG, inserted_in_term=False)
        zone.event(1.0, start, 1, 'lost')
        assert not zone.plan(1.0)
        zone.report_tasks(2.0, 'w2')
        assert len(zone.plan(2.0)) == 2

    def test_copy_of_a_task_that_runs_elsewhere_is_stopped(self) -> None:
        """Guards against a late start whose task is never stopped."""
        zone = _ready(2)
        zone.submit('j')
        (start,) = zone.plan(0.0)
        zone.accept(0.0, start)
        other = 'w1' if start.worker_id == 'w0' else 'w0'
        zone.report_tasks(1.0, other, start)
        assert zone.scheduler.plan(1.0) == [
            actions.StopTask(other, start.task.task_id)
        ]


class TestFailedGang:
    """No member of a gang goes on or starts after one has failed."""

    def _failed(
        self, idempotent: bool = True, count: int = 2
    ) -> model.JobRecord:
        record = _ready(1).submit(
            'g', count, kind=model.JobKind.GANG, idempotent=idempotent
        )
        return msgspec.structs.replace(
            record,
            state=model.JobState.RUNNING,
            failed=1,
            reason='task 0 failed',
            ended={0: model.TaskState.FAILED},
            dispatched={} if idempotent else dict.fromkeys(range(count), 1),
        )

    def test_next_leader_stops_the_member_that_still_runs(self) -> None:
        """Guards against a stop that only the former leader knew of."""
        zone = Zone(1)
        zone.scheduler.job_changed(0.0, self._failed())
        start = _running_start('g/1', HALF)
        zone.report_tasks(0.0, 'w0', start)
        assert zone.scheduler.plan(1.0) == [actions.StopTask('w0', 'g/1')]
        zone.event(1.5, start, 1, 'stopped')
        (update,) = zone.scheduler.pop_updates(2.0)
        assert update.state is model.JobState.FAILED

    def test_next_leader_starts_no_member_again(self) -> None:
        """Guards against a failed gang of which a part starts anew."""
        zone = _ready(1)
        zone.scheduler.job_changed(0.0, self._failed())
        assert not zone.plan(1.0)
        (update,) = zone.scheduler.pop_updates(1.0)
        assert update.state is model.JobState.FAILED

    def test_member_that_is_checkpointed_is_not_queued_again(self) -> None:
        """Guards against a start after the failure of another member."""
        zone = Zone(1)
        zone.scheduler.job_changed(0.0, self._failed(idempotent=False))
        start = _running_start('g/1', HALF)
        zone.report_tasks(0.0, 'w0', start)
        zone.event(1.0, start, 1, 'checkpointed')
        assert not zone.plan(2.0)
        (update,) = zone.scheduler.pop_updates(2.0)
        assert update.state is model.JobState.FAILED

    def test_member_that_is_found_later_is_not_stopped(self) -> None:
        """Guards against losing work that can't be started again."""
        zone = Zone(2)
        zone.scheduler.job_changed(
            0.0, self._failed(idempotent=False, count=3)
        )
        zone.report_tasks(0.0, 'w0', _running_start('g/1', HALF))
        zone.plan(1.0)
        zone.report_tasks(2.0, 'w1', _running_start('g/2', HALF))
        assert zone.scheduler.plan(3.0) == []

    def test_member_whose_start_had_no_effect_is_not_queued_again(
        self,
    ) -> None:
        """Guards against a start after the failure of another member."""
        zone = _ready(1)
        zone.submit('g', 2, kind=model.JobKind.GANG, idempotent=False)
        zone.plan(0.0)
        for update in zone.scheduler.pop_updates(0.0):
            zone.scheduler.update_saved(0.0, update)
        failing, other = zone.plan(0.0)
        zone.accept(0.0, failing)
        zone.event(1.0, failing, 1, 'failed')
        zone.scheduler.start_failed(2.0, 'w0', other.task.task_id, 1, False)
        zone.plan(2.0)
        (update,) = zone.scheduler.pop_updates(2.0)
        assert update.state is model.JobState.FAILED


class TestRows:
    """Rows count once, and impossible or retired work fails."""

    def test_old_row_does_not_restart_a_finished_job(self) -> None:
        """Guards against a second run caused by a scan that began earlier."""
        zone = _ready(1)
        record = zone.submit('j')
        (start,) = zone.plan(0.0)
        zone.accept(0.0, start)
        zone.event(1.0, start, 1, 'succeeded')
        zone.scheduler.job_changed(1.0, record, True)
        assert not zone.plan(1.0)
        states = [u.state for u in zone.scheduler.pop_updates(1.0)]
        assert states == [model.JobState.SUCCEEDED]

    def test_job_that_fits_no_worker_fails_at_once(self) -> None:
        """Guards against impossible jobs that wait for ever."""
        zone = _ready(1)
        zone.submit('j', resources=model.Resources(4001, 1))
        (update,) = zone.scheduler.pop_updates(0.0)
        assert update.state is model.JobState.FAILED

    def test_waiting_work_of_a_retired_queue_is_refused(self) -> None:
        """Guards against jobs that wait in a queue that no longer exists."""
        zone = _ready(0)
        zone.submit('j')
        zone.scheduler.configure(1.0, configuration.Configuration())
        (update,) = zone.scheduler.pop_updates(1.0)
        assert 'retired' in update.reason


class TestLists:
    """Task lists count as of the time when they were requested."""

    def test_list_from_before_an_event_is_not_used(self) -> None:
        """Guards against adopting a task that has already ended."""
        zone = _ready(1)
        zone.submit('j')
        (start,) = zone.plan(0.0)
        zone.accept(0.0, start)
        zone.event(2.0, start, 2, 'stopped')
        zone.report_tasks(2.1, 'w0', start, asked_at=1.0, last_event=1)
        assert zone.scheduler.workers_to_query(2.1) == ['w0']
        zone.report_tasks(2.2, 'w0', asked_at=2.2, last_event=2)
        assert len(zone.plan(2.2)) == 1

    def test_unconfirmed_start_keeps_its_room_for_one_lease(
        self,
    ) -> None:
        """Guards against overcommitment by a start that arrives late."""
        zone = _ready(1)
        zone.submit('j', resources=WHOLE)
        (start,) = zone.plan(0.0)
        zone.scheduler.start_failed(1.0, 'w0', start.task.task_id, 1, True)
        zone.report_tasks(2.0, 'w0')
        assert not zone.plan(2.0)
        zone.report_tasks(TTL_S, 'w0')
        assert len(zone.plan(TTL_S)) == 1

    def test_silent_worker_keeps_its_tasks_for_two_leases(self) -> None:
        """Guards against a second copy while the lease may be valid."""
        zone = _ready(2)
        zone.submit('j')
        (start,) = zone.plan(0.0)
        zone.accept(0.0, start)
        zone.scheduler.worker_unreachable(5.0, start.worker_id)
        assert not zone.plan(5.0 + 2 * TTL_S - 0.1)
        (again,) = zone.plan(5.0 + 2 * TTL_S)
        assert again.worker_id != start.worker_id


class TestOrder:
    """Urgent work starts first without starving patient work."""

    def test_patient_work_gets_a_tenth_of_the_starts(self) -> None:
        """Guards against starvation of patient work."""
        zone = _ready(10)
        zone.submit('patient', 5)
        zone.submit('urgent', 20, queue='urgent')
        order = [start.task.job_id for start in zone.plan(0.0)]
        assert order.index('patient') == 9
        assert order.count('urgent') == 18

    def test_urgent_work_displaces_patient_work(self) -> None:
        """Guards against urgent work that waits behind a long task."""
        zone = _ready(1)
        zone.submit('patient', resources=WHOLE)
        (start,) = zone.plan(0.0)
        zone.accept(0.0, start)
        zone.submit('urgent', now=1.0, queue='urgent')
        stop = actions.StopTask('w0', start.task.task_id)
        assert zone.scheduler.plan(1.0) == [stop]
        zone.event(1.5, start, 1, 'stopped')
        assert [s.task.job_id for s in zone.plan(1.5)] == ['urgent']

    def test_gang_does_not_reserve_room_freed_for_urgent_work(self) -> None:
        """Guards against reservations that block each other until a TTL."""
        zone = _ready(1)
        zone.submit('patient', resources=WHOLE)
        (start,) = zone.plan(0.0)
        zone.accept(0.0, start)
        gang = model.JobKind.GANG
        zone.submit('gang', now=1.0, kind=gang, resources=WHOLE)
        zone.submit('urgent', now=1.0, queue='urgent')
        stop = actions.StopTask('w0', start.task.task_id)
        assert zone.scheduler.plan(1.0) == [stop]
        zone.event(1.5, start, 1, 'stopped')
        assert [s.task.job_id for s in zone.plan(1.5)] == ['urgent']

    def test_started_work_that_is_not_idempotent_is_not_preempted(
        self,
    ) -> None:
        """Guards against losing work that can't be started again."""
        zone = _ready(1)
        zone.submit('once', resources=WHOLE, idempotent=False)
        zone.plan(0.0)
        for update in zone.scheduler.pop_updates(0.0):
            zone.scheduler.update_saved(0.0, update)
        (start,) = zone.plan(0.0)
        zone.accept(0.0, start)
        zone.submit('urgent', now=1.0, queue='urgent')
        assert zone.scheduler.plan(1.0) == []
        assert 'no worker has room' in zone.scheduler.explain(2.0, 'urgent')

    @pytest.mark.parametrize('kind', ['gang', 'service'])
    def test_lost_task_is_replaced(self, kind: str) -> None:
        """Guards against gangs and services that stay incomplete."""
        zone = _ready(3)
        zone.submit('j', 2, kind=model.JobKind(kind))
        starts = zone.plan(0.0)
        assert len(starts) == 2
        for start in starts:
            zone.accept(0.0, start)
        zone.event(1.0, starts[0], 1, 'lost')
        if kind == 'gang' and len({s.worker_id for s in starts}) == 1:
            zone.event(1.2, starts[1], 2, 'stopped')
        assert len(zone.plan(1.5)) == (2 if kind == 'gang' else 1)


class TestThrottling:
    """A changed throttle is sent until its worker has confirmed it."""

    def _running(self) -> tuple[Zone, actions.StartTask]:
        zone = _ready(1)
        zone.submit('once', idempotent=False)
        zone.plan(0.0)
        for update in zone.scheduler.pop_updates(0.0):
            zone.scheduler.update_saved(0.0, update)
        (start,) = zone.plan(0.0)
        zone.accept(0.0, start)
        return zone, start

    def test_unconfirmed_throttle_is_sent_again(self) -> None:
        """Guards against a team that stays above its lowered slice."""
        zone, _ = self._running()
        zone.ledger.running_by_team['t'] = 0
        (first,) = zone.scheduler.plan(2.0)
        assert isinstance(first, actions.ThrottleTask)
        assert zone.scheduler.plan(2.1) == []
        assert zone.scheduler.plan(5.0) == [first]
        zone.scheduler.throttle_confirmed(first)
        assert zone.scheduler.plan(10.0) == []

    def test_throttle_is_lifted_once_the_worker_is_back(self) -> None:
        """Guards against a task that stays throttled after the reason."""
        zone, start = self._running()
        zone.ledger.running_by_team['t'] = 0
        (throttle,) = zone.scheduler.plan(2.0)
        zone.scheduler.throttle_confirmed(throttle)
        zone.scheduler.worker_unreachable(3.0, 'w0')
        zone.ledger.running_by_team.clear()
        assert zone.scheduler.plan(4.0) == []
        zone.report_tasks(5.0, 'w0', start)
        lift = msgspec.structs.replace(throttle, percent=100)
        assert zone.scheduler.plan(6.0) == [lift]

    def test_confirmation_of_an_earlier_throttle_is_not_enough(self) -> None:
        """Guards against a lift that a late answer cancels."""
        zone, _ = self._running()
        zone.ledger.running_by_team['t'] = 0
        (throttle,) = zone.scheduler.plan(2.0)
        zone.ledger.running_by_team.clear()
        (lift,) = zone.scheduler.plan(4.0)
        zone.scheduler.throttle_confirmed(throttle)
        assert zone.scheduler.plan(7.0) == [lift]


class TestLostTasks:
    """Guards against a task that is lost with each worker that starts it."""

    def test_a_task_that_is_lost_each_time_is_given_up(self) -> None:
        """Guards against retries without a limit."""
        zone = _ready(1)
        zone.submit('a')
        count = 0
        for number in range(8):
            now = 10.0 * number
            for start in zone.plan(now + 1.0):
                count += 1
                zone.accept(now + 1.0, start)
                zone.report_tasks(now + 2.0, 'w0', start, asked_at=now + 2.0)
                zone.report_tasks(now + 5.0, 'w0', asked_at=now + 5.0)
        assert 1 < count <= 5

    @pytest.mark.parametrize('state', ['checkpointed', 'stopped'])
    def test_other_ends_do_not_count(self, state: str) -> None:
        """Guards against giving up a task that no worker was lost with."""
        zone = _ready(1)
        zone.submit('a')
        for number in range(8):
            (start,) = zone.plan(float(number))
            zone.accept(float(number), start)
            zone.event(number + 0.5, start, number + 1, state)

    def test_service_is_not_given_up(self) -> None:
        """Guards against a service that ends without a cancellation."""
        zone = _ready(1)
        zone.submit('a', kind=model.JobKind.SERVICE)
        for number in range(8):
            (start,) = zone.plan(float(number))
            zone.accept(float(number), start)
            zone.event(number + 0.5, start, number + 1, 'lost')


def _evacuating(evacuated: bool = True) -> configuration.Configuration:
    name = task_world.ZONE
    zone = configuration.Zone(name, evacuated=evacuated)
    return msgspec.structs.replace(_configuration(), zones_by_id={name: zone})


class TestEvacuatedZones:
    """Guards against a task that starts in a zone that is to be emptied."""

    def test_no_task_starts_until_the_zone_is_readmitted(self) -> None:
        zone = _ready(1)
        zone.scheduler.configure(0.5, _evacuating())
        zone.submit('a')
        assert not zone.plan(1.0)
        assert zone.scheduler.worker_states() == {'w0': 'evacuated'}
        assert 'the zone is evacuated' in zone.scheduler.explain(1.0, 'a')
        zone.scheduler.configure(2.0, _evacuating(False))
        assert len(zone.plan(2.0)) == 1
        assert zone.scheduler.worker_states() == {'w0': 'ready'}

    def test_a_start_that_is_not_sent_is_withdrawn(self) -> None:
        zone = _ready(1)
        zone.submit('a', idempotent=False)
        assert not zone.plan(1.0)
        (record,) = zone.scheduler.pop_updates(1.0)
        zone.scheduler.configure(1.5, _evacuating())
        zone.scheduler.update_saved(1.6, record)
        assert not zone.plan(2.0)
        zone.scheduler.configure(3.0, _evacuating(False))
        for record in zone.scheduler.pop_updates(3.0):
            zone.scheduler.update_saved(3.0, record)
        assert len(zone.plan(3.0)) == 1

    def test_running_tasks_go_on(self) -> None:
        zone = _ready(1)
        zone.submit('a')
        (start,) = zone.plan(1.0)
        zone.accept(1.0, start)
        zone.scheduler.configure(1.5, _evacuating())
        assert zone.scheduler.plan(2.0) == []
        zone.event(3.0, start, 1, 'succeeded')
        assert zone.scheduler.plan(3.0) == []

    def test_nothing_is_preempted_for_tasks_that_can_not_start(self) -> None:
        zone = _ready(1)
        zone.submit('a', resources=WHOLE)
        (start,) = zone.plan(1.0)
        zone.accept(1.0, start)
        zone.scheduler.configure(1.5, _evacuating())
        zone.submit('b', queue='urgent', now=2.0)
        assert zone.scheduler.plan(2.0) == []

    def test_a_new_leader_and_a_new_worker_keep_to_it(self) -> None:
        zone = _ready(1)
        zone.scheduler.configure(0.5, _evacuating())
        zone.scheduler.end_term(1.0)
        zone.scheduler.start_term(2.0, 2, LOST_AFTER)
        vms = [task_world.worker(name, name, WHOLE) for name in ('w0', 'w1')]
        zone.scheduler.set_workers(2.0, vms)
        for name in ('w0', 'w1'):
            zone.report_tasks(2.0, name)
        zone.submit('a', now=2.0)
        assert not zone.plan(3.0)
