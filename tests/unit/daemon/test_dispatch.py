"""Tests of the dispatcher against fakes of links and upstreams."""

import asyncio
from collections.abc import Awaitable
import contextlib

import msgspec
import pytest

from samphirestack import errors
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import platform
from samphirestack import verdict as verdicts
from samphirestack_testing import entry_world as fakes
from samphirestackd import dispatch
from samphirestackd.dispatch import dispatcher
from samphirestackd.dispatch import records

MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
NOT_RUN = verdicts.Verdict.NOT_RUN
BROKEN = errors.UpstreamFailed('broke off')
REFUSED = errors.UpstreamRefused('refused')


def _create_entry(
    **profile: object,
) -> tuple[fakes.World, dispatcher.Dispatcher]:
    world = fakes.World(**profile)
    return world, dispatch.create(world.context, fakes.FAST)


def _create_granting_entry(
    **profile: object,
) -> tuple[fakes.World, dispatcher.Dispatcher]:
    world, entry = _create_entry(**profile)
    world.grant_always()
    return world, entry


async def _start_waiting_request(
    **profile: object,
) -> tuple[fakes.World, dispatcher.Dispatcher, asyncio.Task]:
    """Return fakes with a request that waits for a slot."""
    world, entry = _create_entry(**profile)
    task = asyncio.create_task(entry.submit(world.call()))
    await world.links.until(messages.RequestSlot)
    return world, entry, task


async def _start_sent_request(
    **profile: object,
) -> tuple[fakes.World, dispatcher.Dispatcher, asyncio.Task, asyncio.Event]:
    """Return fakes with a sent request, answered when the event is set."""
    world, entry = _create_granting_entry(**profile)
    gate = asyncio.Event()
    world.upstreams.outcomes = [gate]
    task = asyncio.create_task(entry.submit(world.call()))
    await world.upstreams.arrived.wait()
    return world, entry, task, gate


async def _expect_error(task: Awaitable) -> errors.SamphireError:
    with pytest.raises(errors.SamphireError) as caught:
        async with asyncio.timeout(5):
            await task
    return caught.value


def _released_grants(world: fakes.World) -> list[tuple[str, verdicts.Verdict]]:
    return [
        (release.grant_id, release.verdict)
        for release in world.links.of(messages.Release)
    ]


class TestGrants:
    """Handling of lost, repeated, late and outdated grants."""

    async def test_lost_grant_is_requested_again(self) -> None:
        # Guards against a request that waits forever after a lost message.
        world, entry = _create_entry()
        task = asyncio.create_task(entry.submit(world.call()))
        await world.links.until(messages.RequestSlot, count=3)
        world.links.deliver(fakes.LEADER, world.grant())
        assert (await task).body == b'"ok"'

    async def test_duplicate_in_use_is_neither_used_nor_released(
        self,
    ) -> None:
        # Guards against a second send and against freeing an occupied slot.
        world, entry = _create_entry()
        world.upstreams.outcomes = [asyncio.Event()]
        answer = world.upstreams.outcomes[0]
        task = asyncio.create_task(entry.submit(world.call()))
        await world.links.until(messages.RequestSlot)
        grant = world.grant()
        world.links.deliver(fakes.LEADER, grant)
        await world.upstreams.arrived.wait()
        world.links.deliver(fakes.LEADER, grant)
        assert _released_grants(world) == []
        answer.set()
        await task
        assert len(world.upstreams.sent) == 1
        assert _released_grants(world) == [('g1', verdicts.Verdict.RAN)]

    async def test_used_grant_is_not_used_by_the_next_attempt(self) -> None:
        # Guards against using a slot that was already released.
        world, entry = _create_entry()
        world.upstreams.outcomes = [REFUSED]
        task = asyncio.create_task(entry.submit(world.call()))
        await world.links.until(messages.RequestSlot)
        grant = world.grant()
        world.links.deliver(fakes.LEADER, grant)
        await world.links.until(messages.RequestSlot, count=2)
        world.links.deliver(fakes.LEADER, grant)
        assert _released_grants(world)[1:] == [('g1', NOT_RUN)]
        world.links.deliver(fakes.LEADER, world.grant())
        await task
        assert len(world.upstreams.sent) == 2

    async def test_repeated_grant_keeps_the_verdict_of_its_use(self) -> None:
        # Guards against freeing a slot in which the request may still run.
        world, entry = _create_granting_entry()
        world.upstreams.outcomes = [BROKEN]
        await _expect_error(entry.submit(world.call()))
        world.links.deliver(fakes.LEADER, world.grant(grant_id='g1'))
        assert _released_grants(world) == [('g1', MAY_HAVE_RUN)] * 2

    async def test_grant_for_an_earlier_attempt_is_not_used(self) -> None:
        # Guards against using a late grant that the leader has revoked.
        world, entry = _create_entry()
        task = asyncio.create_task(entry.submit(world.call()))
        (slot,) = await world.links.until(messages.RequestSlot)
        late = msgspec.structs.replace(world.grant(), attempt=1)
        world.links.deliver(fakes.LEADER, late)
        assert _released_grants(world) == [('g1', NOT_RUN)]
        current = msgspec.structs.replace(world.grant(), attempt=slot.attempt)
        world.links.deliver(fakes.LEADER, current)
        await task

    async def test_grant_for_an_unknown_request_is_released(self) -> None:
        # Guards against a slot that stays occupied after a cancellation.
        world, _ = _create_entry()
        world.links.deliver(fakes.LEADER, world.grant('gone'))
        assert _released_grants(world) == [('g1', NOT_RUN)]

    async def test_grant_of_a_lower_epoch_is_returned_unused(self) -> None:
        # Guards against two leaders that grant the same slot.
        world, entry = _create_entry()
        world.leaders.set(fakes.ZONE, fakes.LEADER, 5)
        task = asyncio.create_task(entry.submit(world.call()))
        await world.links.until(messages.RequestSlot)
        world.links.deliver(fakes.LEADER, world.grant(epoch=4))
        assert _released_grants(world) == [('g1', NOT_RUN)]
        assert not world.upstreams.sent
        world.links.deliver(fakes.LEADER, world.grant(epoch=5))
        await task

    async def test_release_is_retried_until_the_link_accepts_it(self) -> None:
        # Guards against a slot that leaks during a short link failure.
        world, _ = _create_entry()
        world.links.dead.add(fakes.LEADER)
        world.links.deliver(fakes.LEADER, world.grant('gone'))
        world.links.dead.clear()
        await world.links.until(messages.Release)

    async def test_cancelled_task_releases_its_grant(self) -> None:
        # Guards against a grant lost between its arrival and its use.
        world, _, task = await _start_waiting_request()
        world.links.deliver(fakes.LEADER, world.grant())
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        assert _released_grants(world) == [('g1', NOT_RUN)]
        assert not world.upstreams.sent


class TestLeaderChange:
    """A new leader gets waiting requests and reports of held grants."""

    async def test_waiting_request_goes_to_the_new_leader(self) -> None:
        # Guards against a request that is lost with the old leader.
        world, entry = _create_entry()
        world.leaders.set(fakes.ZONE, None)
        task = asyncio.create_task(entry.submit(world.call()))
        await asyncio.sleep(0)
        world.leaders.set(fakes.ZONE, fakes.OTHER_LEADER, 2)
        await world.links.until(messages.RequestSlot, fakes.OTHER_LEADER)
        world.links.deliver(fakes.LEADER, world.grant(epoch=1))
        assert not world.upstreams.sent
        world.links.deliver(fakes.OTHER_LEADER, world.grant(epoch=2))
        await task

    async def test_message_alone_moves_waiting_requests(self) -> None:
        # Guards against depending on the order in which the leader change and
        # the LeaderChanged message arrive.
        world, _, task = await _start_waiting_request()
        change = messages.LeaderChanged(fakes.LEADER, model.Epoch(2))
        world.links.deliver(fakes.LEADER, change)
        assert len(world.links.of(messages.RequestSlot)) == 2
        world.links.deliver(fakes.LEADER, change)
        reports = world.links.of(messages.HeldReport)
        assert [(report.epoch, report.grants) for report in reports] == [
            (2, ())
        ] * 2
        task.cancel()

    async def test_sent_request_is_reported_and_released_to_new_leader(
        self,
    ) -> None:
        # Guards against a new leader that grants an occupied slot.
        world, entry = _create_entry()
        gate = asyncio.Event()
        world.upstreams.outcomes = [gate]
        world.grant_always()
        task = asyncio.create_task(entry.submit(world.call()))
        await world.upstreams.arrived.wait()
        world.leaders.set(fakes.ZONE, fakes.OTHER_LEADER, 2)
        (report,) = world.links.of(messages.HeldReport, fakes.OTHER_LEADER)
        assert [held.grant_id for held in report.grants] == ['g1']
        gate.set()
        await task
        assert len(world.upstreams.sent) == 1
        assert world.links.of(messages.Release, fakes.OTHER_LEADER)

    async def test_granted_but_unsent_request_is_reported(self) -> None:
        # Guards against a grant missing from the report between its arrival
        # and its use.
        world, _, task = await _start_waiting_request()
        world.links.deliver(fakes.LEADER, world.grant())
        world.leaders.set(fakes.ZONE, fakes.OTHER_LEADER, 2)
        (report,) = world.links.of(messages.HeldReport, fakes.OTHER_LEADER)
        assert [held.grant_id for held in report.grants] == ['g1']
        await task

    async def test_returning_leader_gets_everything_again(self) -> None:
        # Guards against messages lost while the leader was unreachable.
        world, _, task = await _start_waiting_request()
        world.leaders.set(fakes.ZONE, None)
        world.leaders.set(fakes.ZONE, fakes.LEADER, 1)
        assert len(world.links.of(messages.RequestSlot)) == 2
        assert len(world.links.of(messages.HeldReport)) == 1
        task.cancel()


class TestSpillOver:
    """Slots are requested from other zones, but at most one is used."""

    async def test_zone_without_leader_spills_over(self) -> None:
        # Guards against callers that wait for the election of a leader.
        world, entry = _create_entry()
        world.leaders.set(fakes.ZONE, None)
        world.leaders.set(fakes.OTHER_ZONE, fakes.OTHER_LEADER)
        task = asyncio.create_task(entry.submit(world.call()))
        (slot,) = await world.links.until(messages.RequestSlot)
        assert slot.spilled
        world.links.deliver(fakes.OTHER_LEADER, world.grant())
        await task

    async def test_refusal_for_capacity_spills_over(self) -> None:
        # Guards against refusing work that another zone could run.
        world, entry = _create_entry()
        world.leaders.set(fakes.OTHER_ZONE, fakes.OTHER_LEADER)
        task = asyncio.create_task(entry.submit(world.call()))
        await world.links.until(messages.RequestSlot)
        refusal = messages.Refuse('r1', 'no_capacity', 'none')
        world.links.deliver(fakes.LEADER, refusal)
        assert world.links.of(messages.RequestSlot, fakes.OTHER_LEADER)
        world.links.deliver(fakes.OTHER_LEADER, refusal)
        error = await _expect_error(task)
        assert (error.code, error.verdict) == ('no_capacity', NOT_RUN)

    async def test_second_grant_is_released_and_not_used(self) -> None:
        # Guards against running twice when two zones grant.
        world, entry = _create_entry(urgency=model.Urgency.URGENT)
        world.leaders.set(fakes.OTHER_ZONE, fakes.OTHER_LEADER)
        task = asyncio.create_task(entry.submit(world.call()))
        await world.links.until(messages.RequestSlot, fakes.OTHER_LEADER)
        world.links.deliver(fakes.OTHER_LEADER, world.grant())
        world.links.deliver(fakes.LEADER, world.grant())
        await task
        assert len(world.upstreams.sent) == 1
        assert ('g2', NOT_RUN) in _released_grants(world)
        (cancel,) = await world.links.until(messages.CancelSlots)
        assert cancel.request_ids == ('r1',)

    async def test_patient_request_stays_in_its_zone(self) -> None:
        # Guards against load on other zones from work that can wait.
        world, entry = _create_entry()
        world.leaders.set(fakes.OTHER_ZONE, fakes.OTHER_LEADER)
        task = asyncio.create_task(entry.submit(world.call()))
        await world.links.until(messages.RequestSlot, count=4)
        assert not world.links.of(messages.RequestSlot, fakes.OTHER_LEADER)
        task.cancel()

    async def test_full_queue_does_not_spill_over(self) -> None:
        # Guards against spreading an overload over all zones.
        world, entry = _create_entry()
        world.leaders.set(fakes.OTHER_ZONE, fakes.OTHER_LEADER)
        task = asyncio.create_task(entry.submit(world.call()))
        await world.links.until(messages.RequestSlot)
        refusal = messages.Refuse('r1', 'queue_full', 'bound reached')
        world.links.deliver(fakes.LEADER, refusal)
        assert (await _expect_error(task)).code == 'queue_full'


class TestRetries:
    """Retries depend on verdict, idempotence, attempts and budget."""

    async def test_non_idempotent_request_is_sent_once(self) -> None:
        # Guards against a second run of a non-idempotent request.
        world, entry = _create_granting_entry()
        world.upstreams.outcomes = [BROKEN]
        error = await _expect_error(entry.submit(world.call()))
        assert error.verdict is MAY_HAVE_RUN
        assert len(world.upstreams.sent) == 1

    async def test_refused_request_is_retried_at_another_upstream(
        self,
    ) -> None:
        # Guards against failing a request that has not run.
        world, entry = _create_granting_entry()
        world.upstreams.outcomes = [REFUSED, REFUSED]
        await entry.submit(world.call())
        assert len(world.upstreams.sent) == 3
        slots = world.links.of(messages.RequestSlot)
        numbers = [slot.attempt for slot in slots]
        assert numbers == sorted(set(numbers))
        assert slots[-1].avoid == ('u1', 'u2')

    async def test_attempts_of_the_profile_limit_retries(self) -> None:
        # Guards against endless retries of a failing request.
        world, entry = _create_granting_entry(max_attempts=2)
        world.upstreams.outcomes = [BROKEN] * 9
        call = world.call(idempotent=True)
        error = await _expect_error(entry.submit(call))
        assert error.verdict is MAY_HAVE_RUN
        assert len(world.upstreams.sent) == 2

    async def test_budget_limits_retries_over_requests(self) -> None:
        # Guards against retries that multiply an overload.
        world, entry = _create_granting_entry(max_attempts=3)
        world.upstreams.outcomes = [BROKEN] * 99
        for number in range(20):
            call = world.call(idempotent=True, request_id=f'r{number}')
            await _expect_error(entry.submit(call))
        assert 21 <= len(world.upstreams.sent) <= 23

    async def test_verdict_covers_earlier_attempts(self) -> None:
        # Guards against "not run" for a request whose first send may have
        # run.
        world, entry = _create_granting_entry()
        world.upstreams.outcomes = [BROKEN, *[REFUSED] * 20]
        call = world.call(idempotent=True)
        error = await _expect_error(entry.submit(call))
        assert error.verdict is MAY_HAVE_RUN

    async def test_hedge_returns_first_answer_and_keeps_first_send(
        self,
    ) -> None:
        # Guards against waiting for a slow upstream, and against a slot
        # that is released while the upstream still works on the request.
        world, entry = _create_granting_entry(hedge_after_s=0.01)
        gate = asyncio.Event()
        world.upstreams.outcomes = [gate, b'"fast"']
        answer = await entry.submit(world.call(idempotent=True))
        assert answer.body == b'"fast"'
        assert [grant_id for grant_id, _ in _released_grants(world)] == ['g2']
        gate.set()
        async with asyncio.timeout(5):
            await entry.drain()
        assert [grant_id for grant_id, _ in _released_grants(world)] == [
            'g2',
            'g1',
        ]

    async def test_non_idempotent_request_is_never_hedged(self) -> None:
        # Guards against a second run through a hedge.
        world, entry = _create_granting_entry(hedge_after_s=0.001)
        gate = asyncio.Event()
        world.upstreams.outcomes = [gate]
        world.upstreams.active = (platform.ActiveRequest('r1', 'a'),)
        task = asyncio.create_task(entry.submit(world.call()))
        await world.upstreams.until_statuses(2)
        gate.set()
        await task
        assert len(world.upstreams.sent) == 1
        assert len(world.links.of(messages.RequestSlot)) == 1


class TestRecord:
    """A record refuses a second send of a non-idempotent request."""

    def test_second_send_is_refused_until_the_first_has_not_run(self) -> None:
        # Guards against a second run, whichever code path tries to send.
        world = fakes.World()
        record = records.Record(world.call(), 0.0)
        record.mark_sent()
        with pytest.raises(errors.AlreadyDispatched):
            record.mark_sent()
        record.mark_send_ended(NOT_RUN)
        record.mark_sent()
        record.mark_send_ended(MAY_HAVE_RUN)
        with pytest.raises(errors.AlreadyDispatched):
            record.mark_sent()

    @pytest.mark.parametrize('ending', ['cancelled', 'defect'])
    async def test_interrupted_send_may_have_run(self, ending: str) -> None:
        # Guards against reporting NOT_RUN to the leader or the caller while
        # the upstream may be working on the request.
        world, entry = _create_granting_entry()
        defect = ending == 'defect'
        outcome = ZeroDivisionError() if defect else asyncio.Event()
        world.upstreams.outcomes = [outcome]
        task = asyncio.create_task(entry.submit(world.call()))
        await world.upstreams.arrived.wait()
        if defect:
            assert (await _expect_error(task)).verdict is MAY_HAVE_RUN
        task.cancel()
        await asyncio.wait({task})
        assert _released_grants(world) == [('g1', MAY_HAVE_RUN)]
        assert entry.info('r1', 'a').verdict is MAY_HAVE_RUN


class TestSilence:
    """A call without an answer is dropped only if the upstream lost it."""

    async def test_unlisted_request_is_dropped(self) -> None:
        # Guards against a caller that hangs on a dead connection.
        world, entry = _create_granting_entry()
        world.upstreams.outcomes = [asyncio.Event()]
        error = await _expect_error(entry.submit(world.call()))
        assert (error.code, error.verdict) == ('upstream_failed', MAY_HAVE_RUN)
        assert world.upstreams.statuses == 2

    async def test_listed_request_is_waited_for(self) -> None:
        # Guards against dropping slow work.
        world, entry = _create_granting_entry()
        gate = asyncio.Event()
        world.upstreams.outcomes = [gate]
        world.upstreams.active = (platform.ActiveRequest('r1', 'a'),)
        task = asyncio.create_task(entry.submit(world.call()))
        await world.upstreams.until_statuses(4)
        gate.set()
        assert (await task).body == b'"late"'


class TestCancellation:
    """Waiting requests can be cancelled; sent ones go on."""

    async def test_waiting_request_is_cancelled(self) -> None:
        # Guards against a cancelled request that still occupies a slot.
        world, entry, task = await _start_waiting_request()
        assert entry.cancel('r1', 'a').state is model.RequestState.CANCELLED
        error = await _expect_error(task)
        assert (error.code, error.verdict) == ('cancelled', NOT_RUN)
        await world.links.until(messages.CancelSlots)
        world.links.deliver(fakes.LEADER, world.grant())
        assert _released_grants(world) == [('g1', NOT_RUN)]

    async def test_granted_request_is_not_sent_after_cancelling(self) -> None:
        # Guards against sending a request that was reported as cancelled.
        world, entry, task = await _start_waiting_request()
        world.links.deliver(fakes.LEADER, world.grant())
        assert entry.cancel('r1', 'a').verdict is NOT_RUN
        assert (await _expect_error(task)).code == 'cancelled'
        assert not world.upstreams.sent
        assert _released_grants(world) == [('g1', NOT_RUN)]

    async def test_sent_request_is_not_cancelled(self) -> None:
        # Guards against losing the answer of a running request.
        _, entry, task, gate = await _start_sent_request()
        info = entry.cancel('r1', 'a')
        assert info.state is model.RequestState.SENT
        assert info.verdict is MAY_HAVE_RUN
        gate.set()
        assert (await task).body == b'"late"'

    async def test_other_team_can_not_cancel(self) -> None:
        # Guards against a team that cancels the work of another.
        _, entry, task = await _start_waiting_request()
        with pytest.raises(errors.NotFound):
            entry.cancel('r1', 'b')
        task.cancel()

    async def test_deadline_ends_the_wait_as_not_run(self) -> None:
        # Guards against a request that waits beyond its deadline.
        world, entry = _create_entry()
        task = asyncio.ensure_future(entry.submit(world.call(deadline_s=0.02)))
        error = await _expect_error(task)
        assert (error.code, error.verdict) == ('deadline_exceeded', NOT_RUN)

    async def test_drain_waits_for_work_in_flight(self) -> None:
        # Guards against a shutdown that aborts a request.
        world, entry, task, gate = await _start_sent_request()
        drained = asyncio.create_task(entry.drain())
        await asyncio.sleep(0)
        refusal = entry.submit(world.call(request_id='r2'))
        error = await _expect_error(refusal)
        assert error.code == 'shutting_down'
        assert not drained.done()
        gate.set()
        await task
        await drained
