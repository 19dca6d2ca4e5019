"""Tokens by which a worker's process refuses calls for its predecessor."""

from samphirestack.fleet import actions
from samphirestack.fleet import scheduler as schedulers
from samphirestack.fleet import specs
from samphirestack import model
from samphirestack_testing import fake_fleet
from samphirestack_testing import fleet_world as worlds

A = model.WorkerId('a')
SECOND_MS = int((worlds.UNIX_AT_ZERO_S + 4.0) * 1000)
"""Start of the second process of a worker, in Unix milliseconds."""


def restarted_world() -> tuple[worlds.World, specs.CallToken]:
    """Return a world in which a worker restarted, and its former token."""
    world = worlds.World([worlds.make_worker('a')])
    world.report(1.0, 'a')
    former = world.scheduler.token_for(A)
    world.scheduler.update_worker(
        5.0, worlds.make_worker('a', started=SECOND_MS)
    )
    return world, former


class TestLateCalls:
    """Guards against calls that the next process of a worker carries out."""

    def test_a_late_acknowledgement_forgets_no_end_of_the_next_process(
        self,
    ) -> None:
        # The ends would be lost unread, and their tasks would run again.
        world, former = restarted_world()
        process = fake_fleet.FakeWorker('a', 1.0)
        assert process.accepts(5.1, world.scheduler.token_for(A))
        assert not process.accepts(1.1, former)

    def test_the_next_process_is_called_at_once(self) -> None:
        # Until its first call, it can't refuse what is late.
        world, _ = restarted_world()
        assert actions.PollWorker(A) in world.plan(5.1)

    def test_a_start_carries_the_token_of_the_process(self) -> None:
        world, former = restarted_world()
        world.report(5.1, 'a', started=SECOND_MS)
        assert world.scheduler.token_for(A) > former


class TestRefusedTokens:
    """Guards against a term that ends because a call was outdated."""

    def test_a_call_for_the_former_process_is_no_sign_of_a_newer_term(
        self,
    ) -> None:
        world, former = restarted_world()
        world.scheduler.record_refused_token(A, former)
        assert not world.scheduler.fenced

    def test_a_start_for_the_former_process_is_ordered_again(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        world.report(1.0, 'a')
        world.accept(1.0, worlds.make_job(1))
        (start,) = world.plan_starts(1.1)
        former = world.scheduler.token_for(A)
        world.scheduler.update_worker(
            5.0, worlds.make_worker('a', started=SECOND_MS)
        )
        world.report(5.05, 'a', started=SECOND_MS)
        world.scheduler.handle_start_result(
            5.1,
            A,
            start.order.task_id,
            start.order.run,
            specs.StartOutcome.FENCED,
            former,
        )
        assert not world.scheduler.fenced
        assert world.plan_starts(6.0)

    def test_the_present_token_is_refused_because_of_a_newer_term(
        self,
    ) -> None:
        world, _ = restarted_world()
        world.scheduler.record_refused_token(A, world.scheduler.token_for(A))
        assert world.scheduler.fenced


class TestOrderOfTokens:
    """Guards against a token below one that the process has seen."""

    def test_a_forgotten_worker_that_is_back_gets_a_higher_one(self) -> None:
        world, _ = restarted_world()
        seen = world.scheduler.token_for(A)
        world.scheduler.mark_worker_silent(6.0, A)
        world.scheduler.mark_worker_unregistered(A)
        world.plan(60.0)
        assert A not in world.scheduler.workers_by_id
        world.scheduler.update_worker(
            61.0, worlds.make_worker('a', started=SECOND_MS)
        )
        assert world.scheduler.token_for(A) > seen

    def test_a_worker_that_is_not_tracked_accepts_a_late_stop(self) -> None:
        world, _ = restarted_world()
        seen = world.scheduler.token_for(A)
        del world.scheduler.workers_by_id[A]
        assert world.scheduler.token_for(A) >= seen

    def test_those_of_the_next_term_are_above(self) -> None:
        world, _ = restarted_world()
        seen = world.scheduler.token_for(A)
        following = schedulers.FleetScheduler(
            9.0,
            world.scheduler.term + 1,
            worlds.make_configuration(),
            worlds.LEASE_S,
        )
        following.set_workers(9.0, [worlds.make_worker('a')])
        assert following.token_for(A) > seen

    def test_the_term_ends_when_none_is_left(self, monkeypatch) -> None:  # type: ignore[no-untyped-def]
        monkeypatch.setattr(schedulers, 'TOKENS_PER_TERM', 2)
        world = worlds.World([worlds.make_worker('a')])
        assert not world.scheduler.tokens_are_used_up
        world.scheduler.update_worker(
            5.0, worlds.make_worker('a', started=SECOND_MS)
        )
        assert world.scheduler.tokens_are_used_up
