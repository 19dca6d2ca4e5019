"""Tests of placement, preemption, estimates and quarantine."""

import random

import pytest

from samphirestack import configuration
from samphirestack.internal.decisions import estimates
from samphirestack.internal.decisions import gangs
from samphirestack.internal.decisions import placement
from samphirestack.internal.decisions import preemption
from samphirestack.internal.decisions import quarantine
from samphirestack.internal.decisions import services
from samphirestack.internal.decisions import worker_index
from samphirestack.internal import messages
from samphirestack import model

SMALL = model.Resources(1000, 1000)
WHOLE = model.Resources(4000, 8000)
POLICY = placement.BestFitPolicy()


def _index(
    *workers: tuple[str, str, model.Resources],
) -> worker_index.WorkerIndex:
    index = worker_index.WorkerIndex()
    for name, rack, capacity in workers:
        index.add_or_update(name, rack, capacity)
        index.set_usable(name, True)
    return index


def _job(
    kind: model.JobKind = model.JobKind.BATCH,
    tasks: int = 1,
    resources: model.Resources = SMALL,
    run_time_s: float = 10.0,
) -> model.Job:
    return model.Job(
        'j', 'q', 't', kind, tasks, resources, run_time_s, True, 'z', 0.0
    )


class TestPlacement:
    """The best-fit policy chooses workers from the index."""

    def test_best_fit_prefers_the_fuller_worker(self) -> None:
        """Guards against fragmentation that leaves no room for large tasks."""
        index = _index(('a', 'r', WHOLE), ('b', 'r', WHOLE))
        index.commit('b', SMALL)
        assert POLICY.choose(index, SMALL) == 'b'

    def test_accelerators_are_reserved_for_work_that_needs_them(self) -> None:
        """Guards against other work that blocks workers with accelerators."""
        rich = model.Resources(4000, 8000, 2)
        index = _index(('acc', 'r', rich), ('plain', 'r', WHOLE))
        assert POLICY.choose(index, SMALL) == 'plain'
        assert POLICY.choose(index, model.Resources(1000, 1000, 1)) == 'acc'
        index.commit('plain', WHOLE)
        assert POLICY.choose(index, SMALL) == 'acc'

    def test_unusable_and_disallowed_workers_are_passed_over(self) -> None:
        """Guards against starts on quarantined or reserved workers."""
        index = _index(('a', 'r', WHOLE), ('b', 'r', WHOLE))
        index.set_usable('a', False)
        assert POLICY.choose(index, SMALL, lambda w: w != 'b') is None

    @pytest.mark.parametrize('seed', range(5))
    def test_index_finds_room_exactly_if_a_full_search_does(
        self, seed: int
    ) -> None:
        """Guards against workers that the bounded search never reaches."""
        rng = random.Random(seed)
        names = [f'w{number}' for number in range(120)]
        index = _index(*((name, 'r', WHOLE) for name in names))
        free = dict.fromkeys(names, WHOLE)
        for _ in range(1500):
            need = model.Resources(
                rng.choice([200, 900, 3000]), rng.choice([100, 2100, 7000])
            )
            found = POLICY.choose(index, need)
            fits = any(need.fits_in(left) for left in free.values())
            assert (found is not None) == fits
            if found is not None:
                assert need.fits_in(free[found])
                index.commit(found, need)
                free[found] -= need

    def test_services_spread_over_racks(self) -> None:
        """Guards against replicas that all fail with one rack."""
        index = _index(*((f'w{n}', f'r{n % 3}', WHOLE) for n in range(9)))
        racks: list[str] = []
        for _ in range(3):
            replicas = services.replicas_by_rack(racks)
            chosen = POLICY.choose_spread(index, SMALL, replicas)
            index.commit(chosen, SMALL)
            racks.append(index.state(chosen).rack)
        assert sorted(racks) == ['r0', 'r1', 'r2']

    def test_gang_uses_as_few_racks_as_possible(self) -> None:
        """Guards against gangs that are spread widely or placed partly."""
        index = _index(*((f'w{n}', f'r{n % 2}', WHOLE) for n in range(4)))
        chosen = POLICY.choose_gang(index, SMALL, 8)
        assert len({index.state(w).rack for w in chosen}) == 1
        assert len(POLICY.choose_gang(index, SMALL, 16)) == 16
        assert POLICY.choose_gang(index, SMALL, 17) is None

    def test_impossible_jobs_are_reported(self) -> None:
        """Guards against impossible jobs that wait for ever."""
        huge = model.Resources(5000, 1000)
        assert '5 cores' in placement.impossible_reason(
            _job(resources=huge), [WHOLE]
        )
        gang = _job(model.JobKind.GANG, 5)
        assert 'room for 4' in placement.impossible_reason(gang, [WHOLE])
        assert placement.impossible_reason(_job(resources=huge), []) is None
        assert placement.impossible_reason(gang, [WHOLE] * 2) is None


class TestReservation:
    """A waiting gang reserves the room that becomes free first."""

    def test_backfill_must_end_before_the_reservation(self) -> None:
        """Guards against backfill that delays the gang."""
        loads = [
            gangs.WorkerLoad('a', SMALL, (gangs.ExpectedEnd(30.0, WHOLE),)),
            gangs.WorkerLoad('b', WHOLE, ()),
        ]
        reservation = gangs.reserve(0.0, 'g', WHOLE, 2, loads)
        assert reservation.start_at == 30.0
        assert reservation.allows('a', SMALL, SMALL, ends_at=29.0)
        assert not reservation.allows('a', SMALL, SMALL, ends_at=31.0)
        assert reservation.allows('c', SMALL, SMALL, ends_at=31.0)

    def test_work_without_an_end_yields_no_reservation(self) -> None:
        """Guards against a reservation that can never be used."""
        endless = gangs.ExpectedEnd(float('inf'), WHOLE)
        load = gangs.WorkerLoad('a', model.Resources(), (endless,))
        assert gangs.reserve(0.0, 'g', SMALL, 1, [load]) is None


def _candidate(name: str, ran_s: float, **changes: object) -> object:
    fields = {
        'urgency': model.Urgency.PATIENT,
        'preemptible': True,
        'can_checkpoint': False,
        'idempotent': True,
    }
    return preemption.Candidate(
        name, SMALL, ran_s=ran_s, **{**fields, **changes}
    )


class TestPreemption:
    """Only preemptible work is removed, that with the least loss first."""

    def test_shortest_running_task_is_preempted_first(self) -> None:
        """Guards against stopping more tasks or longer ones than needed."""
        plan = preemption.plan_preemption(
            'w',
            model.Resources(),
            SMALL,
            [_candidate('old', 50.0), _candidate('new', 1.0)],
        )
        assert plan.steps == (preemption.Step('new', preemption.Method.STOP),)

    def test_checkpoint_is_preferred_to_stop(self) -> None:
        """Guards against losing work although a checkpoint would do."""
        saved = _candidate('saved', 99.0, can_checkpoint=True)
        plan = preemption.plan_preemption(
            'w', model.Resources(), SMALL, [_candidate('new', 1.0), saved]
        )
        assert plan.steps[0].method is preemption.Method.CHECKPOINT

    @pytest.mark.parametrize(
        'protection',
        [
            {'urgency': model.Urgency.URGENT},
            {'preemptible': False},
            {'idempotent': False},
        ],
    )
    def test_protected_tasks_are_never_stopped(self, protection: dict) -> None:
        """Guards against a second run of work that is not idempotent."""
        tasks = [_candidate('a', 1.0, **protection)]
        nothing = model.Resources()
        assert preemption.plan_preemption('w', nothing, SMALL, tasks) is None

    def test_team_above_its_slice_is_reduced(self) -> None:
        """Guards against a lowered limit that is never enforced."""
        usage = messages.TeamUsage('t', 3, SMALL * 3, 0)
        limit = configuration.Limit(running=1)
        excess = preemption.compute_excess(usage, limit)
        tasks = [_candidate(name, 1.0) for name in 'abc']
        assert len(preemption.plan_reduction(excess, tasks)) == 2
        only = [_candidate('n', 1.0, idempotent=False)]
        steps = preemption.plan_reduction(excess, only)
        assert steps == [preemption.Step('n', preemption.Method.THROTTLE)]
        assert preemption.compute_excess(usage, configuration.Limit()) is None


class TestEstimates:
    """Learned values replace declared ones once there are enough samples."""

    def test_run_time_follows_the_measured_run_times(self) -> None:
        """Guards against backfill based on wrong declarations."""
        learned = estimates.Estimates()
        assert learned.run_time_s(_job()) == pytest.approx(12.0)
        for _ in range(estimates.MIN_SAMPLES):
            learned.record_run_time(_job(), 100.0)
        assert learned.run_time_s(_job()) == pytest.approx(120.0)
        service = _job(model.JobKind.SERVICE)
        assert learned.run_time_s(service) == estimates.UNLIMITED_S

    def test_estimated_size_is_at_least_the_declared_one(self) -> None:
        """Guards against overcommitment caused by low samples."""
        learned = estimates.Estimates()
        for _ in range(estimates.MIN_SAMPLES):
            learned.record_peak_usage(_job(), model.Resources(2000, 10))
        assert learned.need(_job(), WHOLE) == model.Resources(2400, 1000)
        tight = model.Resources(1500, 8000)
        assert learned.need(_job(), tight) == model.Resources(1500, 1000)


class TestQuarantine:
    """Workers that fail every task get none for increasing pauses."""

    def test_three_different_jobs_start_a_pause(self) -> None:
        """Guards against blaming a worker for one broken job."""
        tracker = quarantine.Quarantine()
        for _ in range(5):
            assert not tracker.record_failure(0.0, 'w', 'same')
        assert not tracker.record_failure(0.0, 'w', 'second')
        assert tracker.record_failure(0.0, 'w', 'third')
        assert not tracker.accepts(1.0, 'w')

    def test_one_probe_and_doubling_pauses(self) -> None:
        """Guards against a broken worker that fails a task per pause."""
        tracker = quarantine.Quarantine()
        for job in 'abc':
            tracker.record_failure(0.0, 'w', job)
        first = quarantine.FIRST_PAUSE_S
        assert tracker.accepts(first, 'w')
        assert tracker.record_placement('w', 'probe')
        assert not tracker.accepts(first, 'w')
        tracker.record_failure(first, 'w', 'd')
        assert not tracker.accepts(first * 2.5, 'w')
        assert tracker.accepts(first * 3, 'w')
        tracker.record_success('w')
        assert not tracker.is_quarantined('w')


class TestBlame:
    """Guards against jobs that fail anywhere and take all workers out."""

    def fail(
        self, tracker: quarantine.Quarantine, worker: str, tasks: str
    ) -> None:
        for task in tasks:
            tracker.record_failure(0.0, worker, f'job-{task}', task)

    def test_a_task_that_fails_elsewhere_is_no_evidence(self) -> None:
        tracker = quarantine.Quarantine()
        self.fail(tracker, 'v', 'ab')
        self.fail(tracker, 'w', 'abc')
        assert tracker.accepts(1.0, 'v')
        assert tracker.accepts(1.0, 'w')

    def test_a_later_failure_elsewhere_ends_the_quarantine(self) -> None:
        tracker = quarantine.Quarantine()
        self.fail(tracker, 'w', 'abc')
        assert tracker.is_quarantined('w')
        self.fail(tracker, 'v', 'a')
        assert not tracker.is_quarantined('w')

    def test_a_failure_in_quarantine_clears_no_other_worker(self) -> None:
        tracker = quarantine.Quarantine()
        self.fail(tracker, 'v', 'xyz')
        self.fail(tracker, 'v', 'abc')
        self.fail(tracker, 'w', 'abc')
        assert tracker.is_quarantined('w')

    def test_the_success_of_a_task_shows_which_workers_failed_it(
        self,
    ) -> None:
        tracker = quarantine.Quarantine()
        for worker in 'vw':
            self.fail(tracker, worker, 'abc')
        assert not tracker.is_quarantined('v')
        for task in 'abc':
            tracker.record_success('sound', 1.0, task)
        assert tracker.is_quarantined('v')
        assert tracker.is_quarantined('w')

    def test_half_of_a_group_stays_in_use(self) -> None:
        tracker = quarantine.Quarantine()
        group = [f'w{number}' for number in range(5)]
        for worker in group:
            for job in 'abc':
                tracker.record_failure(0.0, worker, f'{worker}-{job}')
        tracker.release_excess([group])
        paused = [
            worker for worker in group if not tracker.accepts(1.0, worker)
        ]
        assert len(paused) == 2


class TestServices:
    """Failed replicas restart with an exponential delay."""

    def test_delay_doubles_up_to_a_bound(self) -> None:
        """Guards against a crash loop that overloads a worker."""
        delays = [services.restart_delay_s(n) for n in (0, 1, 2, 50)]
        assert delays == [0.0, 0.5, 1.0, services.LONGEST_DELAY_S]
        assert services.next_failure_count(9, services.STABLE_AFTER_S) == 1
