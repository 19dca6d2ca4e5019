"""Reports of workers that list only some of their ends at once."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec

from samphirestack.fleet import actions
from samphirestack.fleet import specs
from samphirestack import model
from samphirestack_testing import fleet_world as worlds

STEP_S = 0.05
MAX_ROUNDS = 200
DONE = specs.EndReason.DONE
STOPPED = specs.EndReason.STOPPED

RunKey = tuple[str, int]


class ModelWorker:
    """A worker that lists at most ``page`` ends at once."""

    def __init__(self, name: str, page: int) -> None:
        self.name = name
        self.page = page
        self.running: list[RunKey] = []
        self.ends: list[tuple[int, str, int, specs.EndReason]] = []
        self.end_count = 0
        self.acknowledged: set[RunKey] = set()
        self._highest_run_by_task: dict[str, int] = {}

    def start(self, key: RunKey) -> bool:
        task, run = key
        if run <= self._highest_run_by_task.get(task, 0):
            return False
        self._highest_run_by_task[task] = run
        self.running.append(key)
        return True

    def stop(self, key: RunKey) -> None:
        task, run = key
        highest = self._highest_run_by_task.get(task, 0)
        self._highest_run_by_task[task] = max(run, highest)
        if key in self.running:
            self.end(key, STOPPED)

    def end(self, key: RunKey, reason: specs.EndReason = DONE) -> None:
        self.running.remove(key)
        self.end_count += 1
        self.ends.append((self.end_count, *key, reason))

    def hold(self, now: float, last_seen: int) -> specs.WorkerReport:
        for number, task, run, _ in self.ends:
            if number <= last_seen:
                self.acknowledged.add((task, run))
        self.ends = [end for end in self.ends if end[0] > last_seen]
        listed = self.ends[: self.page]
        report = worlds.make_report(now * 1000, self.running, listed)
        return msgspec.structs.replace(
            report, ends_complete=len(listed) < self.page
        )


class Answer(msgspec.Struct, frozen=True):
    """An answer to a hold call that has not arrived yet."""

    worker: str
    sent_at: float
    report: specs.WorkerReport
    acknowledged_end: int


class Play:
    """A scheduler and workers; calls are answered late and in any order."""

    def __init__(self, page: int, jobs: int, tasks: int) -> None:
        self.now = 0.0
        self.workers = {name: ModelWorker(name, page) for name in ('a', 'b')}
        self.world = worlds.World(
            [worlds.make_worker(name) for name in self.workers]
        )
        self.job_ids = [
            self.world.accept(
                0.0, worlds.make_job(number, [worlds.make_step(tasks)])
            )
            for number in range(jobs)
        ]
        self.answers: list[Answer] = []
        self.late_starts: list[tuple[str, RunKey]] = []
        self.starts: list[tuple[str, RunKey]] = []
        self.done: dict[str, tuple[str, RunKey]] = {}
        """The run of each task that ended as done, and its worker."""

    def step(self, operation: str, choice: int) -> None:
        self.now += STEP_S
        getattr(self, operation)(choice)

    def plan(self, choice: int) -> None:
        for action in self.world.plan(self.now):
            if isinstance(action, actions.Stop):
                key = (action.task_id, action.run)
                self.workers[action.worker.worker_id].stop(key)
                self.world.scheduler.handle_stop_result(
                    self.now, action.worker.worker_id, *key, True
                )
            elif isinstance(action, actions.Start):
                self._start(action, choice)

    def _start(self, start: actions.Start, choice: int) -> None:
        name = start.worker.worker_id
        key = (start.order.task_id, start.order.run)
        outcome = specs.StartOutcome.STARTED
        if choice % 5 == 4:
            self.late_starts.append((name, key))
            outcome = specs.StartOutcome.UNKNOWN
        else:
            self._begin(name, key)
            if choice % 5 == 3:
                outcome = specs.StartOutcome.UNKNOWN
        self.world.answer_start(self.now, start, outcome)

    def _begin(self, name: str, key: RunKey) -> None:
        if not self.workers[name].start(key):
            return
        task = key[0]
        for worker in self.workers.values():
            others = [one for one in worker.running if one[0] == task]
            assert others in ([], [key]), f'{task} runs twice'
        if task in self.done:
            # It breaks the promise if the end is, or will be, acknowledged.
            self.starts.append((task, self.done[task][1]))

    def carry_out_late(self, choice: int) -> None:
        if self.late_starts:
            index = choice % len(self.late_starts)
            self._begin(*self.late_starts.pop(index))

    def finish(self, choice: int) -> None:
        for worker in self.workers.values():
            for key in list(worker.running)[: 1 + choice]:
                worker.end(key)
                self.done.setdefault(key[0], (worker.name, key))

    def hold(self, choice: int) -> None:
        name = sorted(self.workers)[choice % len(self.workers)]
        tracked = self.world.scheduler.workers_by_id[model.WorkerId(name)]
        last_seen = tracked.end_to_acknowledge(self.now)
        if tracked.has_ends_to_acknowledge and not last_seen:
            # The holder asks for a report first.
            report = self.workers[name].hold(self.now, 0)
            self.world.scheduler.apply_report(
                self.now, self.now, model.WorkerId(name), report
            )
            last_seen = tracked.end_to_acknowledge(self.now)
        report = self.workers[name].hold(self.now, last_seen)
        self.answers.append(Answer(name, self.now, report, last_seen))

    def deliver(self, choice: int) -> None:
        if self.answers:
            answer = self.answers.pop(choice % len(self.answers))
            self.world.scheduler.apply_report(
                self.now,
                answer.sent_at,
                model.WorkerId(answer.worker),
                answer.report,
                answer.acknowledged_end,
            )

    def lose(self, choice: int) -> None:
        if self.answers:
            del self.answers[choice % len(self.answers)]

    def store(self, choice: int) -> None:
        del choice
        self.world.store_changes(self.now)

    def settle(self) -> None:
        """Let everything be answered until all jobs have ended."""
        for _ in range(MAX_ROUNDS):
            if not self.world.scheduler.jobs.active_by_id:
                return
            for operation, choice in (
                ('plan', 0),
                ('carry_out_late', 0),
                ('finish', 1000),
                ('hold', 0),
                ('hold', 1),
                ('deliver', 0),
                ('deliver', 0),
                ('store', 0),
            ):
                self.step(operation, choice)
        raise AssertionError('a job does not end')

    def check(self) -> None:
        """Check that no task started again after a known success."""
        for task, key in self.starts:
            acknowledged = any(
                key in worker.acknowledged for worker in self.workers.values()
            )
            assert not acknowledged, f'{task} started again after {key}'


_operations = st.lists(
    st.tuples(
        st.sampled_from(
            [
                'plan',
                'carry_out_late',
                'finish',
                'hold',
                'hold',
                'deliver',
                'deliver',
                'lose',
                'store',
            ]
        ),
        st.integers(0, 9),
    ),
    max_size=60,
)


class TestReportPages:
    """Guards against ends beyond an incomplete list that count as lost.

    Their tasks would start again after a success (review/2).
    """

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(
        st.integers(1, 4), st.integers(1, 3), st.integers(1, 8), _operations
    )
    def test_no_task_starts_again_after_its_success(
        self,
        page: int,
        jobs: int,
        tasks: int,
        operations: list[tuple[str, int]],
    ) -> None:
        play = Play(page, jobs, tasks)
        for operation, choice in operations:
            play.step(operation, choice)
        play.settle()
        play.check()
