"""Tests of the stand-in for worker agents."""

import pytest

from samphirestack import errors
from samphirestack import model
from samphirestack import platform
from samphirestack_testing import ledger
from samphirestack_testing.standins import agent

OWNER = model.VmId('arree-entry-0')
OTHER = model.VmId('arree-entry-1')
EPOCH = model.Epoch(1)
NEXT = model.Epoch(2)
TASK = model.TaskId('j/0')


def _task(index: int = 0, run_s: float = 1.0) -> platform.TaskStart:
    return platform.TaskStart(
        model.TaskId(f'j/{index}'),
        1,
        model.JobId('j'),
        model.TeamId('coast'),
        model.Resources(1000, 100),
        run_s,
    )


def _agent() -> agent.Agent:
    vm = model.Vm(
        model.VmId('w'),
        '',
        model.VmRole.WORKER,
        model.ZoneId('arree'),
        capacity=model.Resources(2000, 200),
    )
    return agent.Agent(vm, ledger.Writer(''), {}, usage_lag_s=2.0)


def _leased() -> agent.Agent:
    leased = _agent()
    leased.lease(0.0, OWNER, EPOCH, 10.0, False)
    return leased


def _states(worker: agent.Agent, now: float) -> list[model.TaskState]:
    return [event.state for event in worker.events_after(now, 0)]


class TestLease:
    """A lease fences off every holder but the newest."""

    def test_renewal_keeps_tasks_running(self) -> None:
        """Guards against tasks that stop under a renewed lease."""
        worker = _leased()
        worker.start(1.0, EPOCH, _task(run_s=20.0))
        worker.lease(9.0, OWNER, EPOCH, 10.0, False)
        assert _states(worker, 18.0) == [model.TaskState.RUNNING]

    def test_lapse_stops_all_tasks(self) -> None:
        """Guards against tasks of a cut-off owner that run for ever."""
        worker = _leased()
        worker.start(1.0, EPOCH, _task(run_s=20.0))
        assert _states(worker, 10.5)[-1] is model.TaskState.STOPPED
        assert worker.used() == model.Resources()

    @pytest.mark.parametrize(
        ('now', 'owner', 'epoch'),
        [(10.0, OWNER, EPOCH), (5.0, OTHER, EPOCH), (5.0, OTHER, 0)],
    )
    def test_claim_without_higher_epoch_is_refused(
        self, now: float, owner: model.VmId, epoch: int
    ) -> None:
        """Guards against the revival of a lapsed or foreign lease."""
        with pytest.raises(errors.FencedOff):
            _leased().lease(now, owner, model.Epoch(epoch), 10.0, False)

    def test_higher_epoch_takes_tasks_over(self) -> None:
        """Guards against an old leader that still commands a worker."""
        worker = _leased()
        worker.start(1.0, EPOCH, _task(run_s=20.0))
        status = worker.lease(2.0, OTHER, NEXT, 10.0, True)
        assert status.tasks is not None
        assert [task.task_id for task in status.tasks] == [TASK]
        with pytest.raises(errors.FencedOff):
            worker.stop(3.0, EPOCH, TASK)


class TestTasks:
    """Tasks run as declared, within the capacity."""

    def test_task_ends_when_its_run_time_is_over(self) -> None:
        worker = _leased()
        worker.start(1.0, EPOCH, _task())
        assert _states(worker, 1.9) == [model.TaskState.RUNNING]
        assert _states(worker, 2.0)[-1] is model.TaskState.SUCCEEDED

    def test_capacity_and_duplicates_are_refused(self) -> None:
        """Guards against a stand-in that hides overcommitment."""
        worker = _leased()
        worker.start(1.0, EPOCH, _task(0))
        with pytest.raises(errors.WorkerRefused, match='runs already'):
            worker.start(1.0, EPOCH, _task(0))
        worker.start(1.0, EPOCH, _task(1))
        with pytest.raises(errors.WorkerRefused, match='free'):
            worker.start(1.0, EPOCH, _task(2))

    def test_checkpoint_keeps_progress(self) -> None:
        """Guards against work that starts over after a checkpoint."""
        worker = _leased()
        worker.start(1.0, EPOCH, _task(run_s=4.0))
        worker.checkpoint(4.0, EPOCH, TASK)
        worker.start(5.0, EPOCH, _task(run_s=4.0))
        assert _states(worker, 6.0)[-1] is model.TaskState.SUCCEEDED

    def test_throttle_slows_down(self) -> None:
        worker = _leased()
        worker.start(1.0, EPOCH, _task(run_s=2.0))
        worker.throttle(2.0, EPOCH, TASK, 50)
        assert _states(worker, 3.5) == [model.TaskState.RUNNING]
        assert _states(worker, 4.0)[-1] is model.TaskState.SUCCEEDED

    def test_worker_that_fails_everything(self) -> None:
        worker = _leased()
        worker.faults = agent.Faults(fail_all=True)
        worker.start(1.0, EPOCH, _task())
        assert _states(worker, 1.0)[-1] is model.TaskState.FAILED

    def test_usage_lags(self) -> None:
        """Guards against decisions that rely on usage of the moment."""
        worker = _leased()
        worker.start(1.0, EPOCH, _task(run_s=8.0))
        assert worker.usage(2.5) == []
        assert worker.usage(4.0)[0].run_time_s == 1.0
