"""Entry processes on the stand-in for the platform."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import pathlib
import signal
import socket
import time

import msgspec
import pytest
import pytest_asyncio

from samphirestack_platform import entry as platform_entry
from samphirestack_platform_standin import deployment as deployments
from samphirestack_platform_standin import oracle
from samphirestack_platform_standin import store as stores
from samphirestack_platform_standin import workers

LONGEST_WAIT_S = 40.0
MAX_CRASHING_RUNS = 4
LARGE_MILLICORES = 3000


async def until(condition: Callable[[], Awaitable[bool] | bool]) -> None:
    async with asyncio.timeout(LONGEST_WAIT_S):
        while True:
            result = condition()
            if isinstance(result, Awaitable):
                result = await result
            if result:
                return
            await asyncio.sleep(0.05)


@pytest_asyncio.fixture
async def deployment(
    tmp_path: pathlib.Path,
) -> AsyncIterator[deployments.Deployment]:
    async with deployments.Deployment(tmp_path) as one:
        for entry in one.entries:
            await until(lambda entry=entry: one.ready(entry))
        await until(lambda: one.holder_name() != '')
        yield one


def job(
    run_ms: int = 100, count: int = 2, more: str = '', **fields: object
) -> dict[str, object]:
    return {
        'specification': f'run_ms={run_ms};{more}',
        'steps': [
            {
                'count': count,
                'cpu': 1000,
                'memory_request_mb': 512,
                'estimated_ms': run_ms,
                **fields,
            }
        ],
    }


def path(number: int) -> str:
    return f'/batch/{number:016x}'


async def state(
    deployment: deployments.Deployment, number: int, entry: int = 0
) -> str:
    status, body = await deployment.call(
        deployment.entries[entry], 'GET', path(number)
    )
    return body['state'] if status == 200 else str(status)  # type: ignore[index]


async def wait_for_state(
    deployment: deployments.Deployment,
    number: int,
    wanted: str,
    entry: int = 0,
) -> None:
    async def reached() -> bool:
        return await state(deployment, number, entry) == wanted

    await until(reached)


def assert_no_task_ran_twice(deployment: deployments.Deployment) -> None:
    by_task = itertools.groupby(
        sorted(deployment.runs, key=lambda run: (run.task, run.started_at)),
        key=lambda run: run.task,
    )
    for task, runs in by_task:
        for before, after in itertools.pairwise(runs):
            assert before.ended_at is not None, task
            assert before.ended_at <= after.started_at, task
            assert before.reason != 'done', task


class TestCalls:
    """Guards against wrong replies to clients."""

    async def test_a_job_is_accepted_and_completes(
        self, deployment: deployments.Deployment
    ) -> None:
        entry = deployment.entries[0]
        assert (await deployment.call(entry, 'POST', path(1), job()))[0] == 200
        assert (await deployment.call(entry, 'POST', path(1), job()))[0] == 200
        for number in range(len(deployment.entries)):
            await wait_for_state(deployment, 1, 'completed', number)
        assert len(deployment.runs) == 2
        assert deployment.advisor.calls >= 1

    async def test_bad_input_is_refused_and_disturbs_nothing(
        self, deployment: deployments.Deployment
    ) -> None:
        entry = deployment.entries[0]
        calls = [
            ('POST', path(1), {'specification': 'x'}, 400),
            ('POST', path(1), {'specification': 'x', 'steps': []}, 400),
            ('POST', path(1), job(count=0), 400),
            ('POST', path(1), job(after=[3]), 400),
            ('POST', '/batch/short', job(), 400),
            ('POST', '/unknown/0123456789abcdef', job(), 404),
            ('GET', path(7), None, 410),
            ('DELETE', path(7), None, 410),
            ('PUT', path(7), None, 405),
        ]
        for method, target, body, expected in calls:
            status, _ = await deployment.call(entry, method, target, body)
            assert status == expected, (method, target, body)
        status, _ = await deployment.call(entry, 'GET', path(1), key='other')
        assert status == 401
        deployment.store.put('servers', 'w-strange', b'not json')
        deployment.store.put('op', 'strange', b'{"version": 1}')
        assert (await deployment.call(entry, 'POST', path(2), job()))[0] == 200
        await wait_for_state(deployment, 2, 'completed')

    async def test_a_job_that_always_fails_is_shown_as_failed(
        self, deployment: deployments.Deployment
    ) -> None:
        entry = deployment.entries[0]
        body = job(count=1, more='fail')
        assert (await deployment.call(entry, 'POST', path(1), body))[0] == 200
        await wait_for_state(deployment, 1, 'failed')
        assert len(deployment.runs) == 2

    async def test_a_cancelled_job_stops(
        self, deployment: deployments.Deployment
    ) -> None:
        entry = deployment.entries[0]
        await deployment.call(entry, 'POST', path(1), job(run_ms=30_000))
        await until(lambda: len(deployment.runs) == 2)
        assert (await deployment.call(entry, 'DELETE', path(1)))[0] == 200
        await wait_for_state(deployment, 1, 'cancelled')
        await until(
            lambda: all(run.reason == 'stopped' for run in deployment.runs)
        )

    async def test_waiting_jobs_are_counted(
        self, deployment: deployments.Deployment
    ) -> None:
        entry = deployment.entries[1]
        body = job(cpu=90_000)
        await deployment.call(entry, 'POST', path(1), body)

        async def counted() -> bool:
            status, answer = await deployment.call(entry, 'GET', '/batch/')
            return (status, answer) == (200, {'waiting': 1})

        await until(counted)


class TestManyEnds:
    """Guards against ends beyond an incomplete list that count as lost."""

    async def test_no_task_starts_again_after_its_success(
        self, deployment: deployments.Deployment
    ) -> None:
        tasks = 50
        jobs = 4 * workers.MAX_LISTED_ENDS // tasks
        for worker in deployment.workers[1:]:
            deployment.set_capacity(worker, 0)
        deployment.set_capacity(deployment.workers[0], 100_000)
        entry = deployment.entries[0]
        more = f'done_at={time.time() + 12.0}'
        for number in range(jobs):
            body = job(12_000, tasks, more, cpu=8, memory_request_mb=8)
            status, _ = await deployment.call(
                entry, 'POST', path(number), body
            )
            assert status == 200
        for number in range(jobs):
            await wait_for_state(deployment, number, 'completed')
        assert_no_task_ran_twice(deployment)
        assert (
            deployment.workers[0].most_unacknowledged_ends
            > workers.MAX_LISTED_ENDS
        )


class TestEvacuations:
    """Guards against starts in an evacuated zone, which holds all workers."""

    async def test_an_evacuation_outlives_its_holder_and_ends_in_an_outage(
        self, deployment: deployments.Deployment
    ) -> None:
        def knows_of_evacuation() -> bool:
            name = deployment.holder_name()
            return any(
                'evacuation.begun' in one.log_path.read_text()
                for one in deployment.entries
                if one.name == name
            )

        deployment.store.put('op', 'evacuate/z1', b'\xff')
        deployment.store.put('op', 'evacuate/nowhere', b'')
        await until(knows_of_evacuation)
        for number, entry in enumerate(deployment.entries):
            await deployment.call(entry, 'POST', path(number), job())
        name = deployment.holder_name()
        holder = next(one for one in deployment.entries if one.name == name)
        await holder.stop(signal.SIGKILL)
        await until(lambda: deployment.holder_name() != name)
        await until(knows_of_evacuation)
        assert not deployment.runs
        deployment.store.fault = stores.Fault.BUSY
        deployment.store.remove('op', 'evacuate/z1')
        deployment.store.drop_history()
        other = next(
            index
            for index, one in enumerate(deployment.entries)
            if one is not holder
        )
        log_path = deployment.entries[other].log_path
        await until(lambda: '"store.lost"' in log_path.read_text())
        assert not deployment.runs
        deployment.store.fault = stores.Fault.NONE
        for number in range(len(deployment.entries)):
            await wait_for_state(deployment, number, 'completed', other)
        assert_no_task_ran_twice(deployment)


class TestFailures:
    """Guards against lost and doubled work during failures."""

    @pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGTERM])
    async def test_the_holder_ends_while_tasks_run(
        self, deployment: deployments.Deployment, number: signal.Signals
    ) -> None:
        entry = deployment.entries[0]
        for one in range(12):
            body = job(run_ms=1500)
            status, _ = await deployment.call(entry, 'POST', path(one), body)
            assert status == 200
        await until(lambda: len(deployment.runs) == 24)
        name = deployment.holder_name()
        holder = next(one for one in deployment.entries if one.name == name)
        await holder.stop(number)
        other = next(
            index
            for index, one in enumerate(deployment.entries)
            if one is not holder
        )
        for one in range(12):
            await wait_for_state(deployment, one, 'completed', other)
        assert_no_task_ran_twice(deployment)
        assert len(deployment.runs) == 24

    async def test_all_processes_are_killed_and_started_again(
        self, deployment: deployments.Deployment
    ) -> None:
        entry = deployment.entries[0]
        for one in range(6):
            await deployment.call(entry, 'POST', path(one), job(run_ms=800))
        await until(lambda: len(deployment.runs) > 0)
        for one in deployment.entries:
            await one.stop(signal.SIGKILL)
        for one in deployment.entries:
            await one.start()
        for number in range(6):
            await wait_for_state(deployment, number, 'completed')
        assert_no_task_ran_twice(deployment)

    async def test_a_paused_holder_starts_nothing_when_it_wakes(
        self, deployment: deployments.Deployment
    ) -> None:
        name = deployment.holder_name()
        holder = next(one for one in deployment.entries if one.name == name)
        other = next(
            index
            for index, one in enumerate(deployment.entries)
            if one is not holder
        )
        entry = deployment.entries[other]
        assert holder.process is not None
        await deployment.call(entry, 'POST', path(1), job(run_ms=5000))
        await until(lambda: len(deployment.runs) == 2)
        holder.process.send_signal(signal.SIGSTOP)
        await deployment.call(entry, 'POST', path(2), job())
        await until(lambda: deployment.holder_name() != name)
        await wait_for_state(deployment, 2, 'completed', other)
        holder.process.send_signal(signal.SIGCONT)
        await wait_for_state(deployment, 1, 'completed', other)
        assert_no_task_ran_twice(deployment)

    async def test_an_outage_of_the_store_loses_nothing(
        self, deployment: deployments.Deployment
    ) -> None:
        entry = deployment.entries[0]
        await deployment.call(entry, 'POST', path(1), job(run_ms=2000))
        await until(lambda: len(deployment.runs) == 2)
        deployment.store.fault = stores.Fault.BUSY
        status, _ = await deployment.call(entry, 'POST', path(2), job())
        assert status == 503
        await until(
            lambda: all(run.ended_at is not None for run in deployment.runs)
        )
        deployment.store.fault = stores.Fault.NONE
        await wait_for_state(deployment, 1, 'completed')

        async def accepted() -> bool:
            # An entry refuses calls until the store has answered it, which
            # can be later than for the holder; clients retry.
            status, _ = await deployment.call(entry, 'POST', path(2), job())
            assert status in (200, 503)
            return status == 200

        await until(accepted)
        await wait_for_state(deployment, 2, 'completed')
        assert_no_task_ran_twice(deployment)
        assert len(deployment.runs) == 4

    async def test_a_write_with_a_lost_answer_is_not_refused(
        self, deployment: deployments.Deployment
    ) -> None:
        entry = deployment.entries[0]
        deployment.store.fault = stores.Fault.LOST
        status, _ = await deployment.call(entry, 'POST', path(1), job())
        assert status in (0, 200, 504)
        deployment.store.fault = stores.Fault.NONE
        status, _ = await deployment.call(entry, 'POST', path(1), job())
        assert status == 200
        await wait_for_state(deployment, 1, 'completed')
        assert_no_task_ran_twice(deployment)

    async def test_a_withdrawn_key_stops_working(
        self, deployment: deployments.Deployment
    ) -> None:
        entry = deployment.entries[2]
        assert (await deployment.call(entry, 'POST', path(1), job()))[0] == 200
        deployment.store.put(
            'op', 'config', deployments.configuration(2, ('key-2',))
        )

        async def refused() -> bool:
            return (await deployment.call(entry, 'GET', path(1)))[0] == 401

        await until(refused)
        status, _ = await deployment.call(entry, 'GET', path(1), key='key-2')
        assert status == 200

    async def test_a_history_that_was_dropped_is_read_again(
        self, deployment: deployments.Deployment
    ) -> None:
        deployment.store.put('op', 'other', b'{}')
        deployment.store.drop_history()
        deployment.store.put(
            'op', 'config', deployments.configuration(5, ('key-5',))
        )
        entry = deployment.entries[0]

        async def known() -> bool:
            status, _ = await deployment.call(
                entry, 'GET', path(9), key='key-5'
            )
            return status == 410

        await until(known)

    async def test_a_draining_worker_gets_nothing_new(
        self, deployment: deployments.Deployment
    ) -> None:
        leaving = deployment.workers[0]
        leaving.state = 'draining'
        deployment.register(leaving)
        entry = deployment.entries[0]
        assert (await deployment.call(entry, 'POST', path(1), job()))[0] == 200
        await wait_for_state(deployment, 1, 'completed')
        version = deployment.store.version
        await until(lambda: deployment.store.version > version + 2)
        for number in range(2, 6):
            await deployment.call(entry, 'POST', path(number), job(count=4))
            await wait_for_state(deployment, number, 'completed')
        assert not [
            run
            for run in deployment.runs
            if run.worker == leaving.worker_id
            and not run.task.startswith(f'{1:016x}')
        ]


def runs_of(
    deployment: deployments.Deployment, number: int
) -> list[workers.Run]:
    job_id = f'{number:016x}'
    return [run for run in deployment.runs if run.task.startswith(job_id)]


def is_logged(deployment: deployments.Deployment, message_type: str) -> bool:
    return any(
        f'"{message_type}"' in entry.log_path.read_text()
        for entry in deployment.entries
    )


class TestCrashingTasks:
    """Guards against a task that crashes one worker after the other."""

    @pytest.mark.parametrize('crash_delay_s', [0.01, 0.0])
    @pytest.mark.parametrize('keeps_id', [False, True])
    async def test_only_the_job_of_the_crashing_task_fails(
        self,
        deployment: deployments.Deployment,
        keeps_id: bool,
        crash_delay_s: float,
    ) -> None:
        deployment.make_outage = lambda: deployments.Outage(keeps_id=keeps_id)
        for worker in deployment.workers:
            worker.crash_delay_s = crash_delay_s
        entry = deployment.entries[0]
        for number in range(8):
            body = job(run_ms=1500, count=3)
            await deployment.call(entry, 'POST', path(number), body)
        await until(lambda: len(deployment.runs) == 24)
        body = job(count=1, more='crash')
        await deployment.call(entry, 'POST', path(100), body)
        for number in range(8, 16):
            body = job(run_ms=1500, count=3)
            await deployment.call(entry, 'POST', path(number), body)
        await wait_for_state(deployment, 100, 'failed')
        for number in range(16):
            await wait_for_state(deployment, number, 'completed')
        assert 2 <= deployment.crash_count <= MAX_CRASHING_RUNS
        assert len(runs_of(deployment, 100)) == deployment.crash_count
        assert_no_task_ran_twice(deployment)

    async def test_the_other_tasks_of_the_job_stop(
        self, deployment: deployments.Deployment
    ) -> None:
        entry = deployment.entries[0]
        body = job(run_ms=20_000, count=6, more='crash=0')
        await deployment.call(entry, 'POST', path(1), body)
        await wait_for_state(deployment, 1, 'failed')
        await until(
            lambda: all(run.ended_at is not None for run in deployment.runs)
        )
        assert 2 <= deployment.crash_count <= MAX_CRASHING_RUNS
        assert {run.reason for run in deployment.runs} <= {'gone', 'stopped'}

    @pytest.mark.parametrize('is_reported', [False, True])
    async def test_the_count_survives_the_death_of_the_holder(
        self, deployment: deployments.Deployment, is_reported: bool
    ) -> None:
        entry = deployment.entries[0]
        for number in range(4):
            body = job(run_ms=1500, count=3)
            await deployment.call(entry, 'POST', path(number), body)
        body = job(count=1, more='crash')
        await deployment.call(entry, 'POST', path(100), body)
        await until(lambda: deployment.crash_count == 1)
        for worker in deployment.workers:
            # Without room, the task can't start before the holder is dead.
            deployment.set_capacity(worker, 0)
        if is_reported:
            await until(lambda: is_logged(deployment, 'worker.crashed'))
        name = deployment.holder_name()
        holder = next(one for one in deployment.entries if one.name == name)
        await holder.stop(signal.SIGKILL)
        assert deployment.crash_count == 1
        for worker in deployment.workers:
            deployment.set_capacity(worker, workers.CAPACITY_MILLICORES)
        other = next(
            index
            for index, one in enumerate(deployment.entries)
            if one is not holder
        )
        await wait_for_state(deployment, 100, 'failed', other)
        for number in range(4):
            await wait_for_state(deployment, number, 'completed', other)
        assert 2 <= deployment.crash_count <= MAX_CRASHING_RUNS
        assert_no_task_ran_twice(deployment)

    async def test_one_crash_of_a_worker_fails_no_job(
        self, deployment: deployments.Deployment
    ) -> None:
        entry = deployment.entries[0]
        for number in range(6):
            body = job(run_ms=2000, count=2)
            await deployment.call(entry, 'POST', path(number), body)
        await until(lambda: len(deployment.runs) == 12)
        crashed_id = deployment.runs[-1].worker
        worker = next(
            one for one in deployment.workers if one.worker_id == crashed_id
        )
        deployment.crash_worker(worker)
        for number in range(6):
            await wait_for_state(deployment, number, 'completed')
        assert worker.worker_ids != [crashed_id]
        assert_no_task_ran_twice(deployment)


class TestRestartsUnderOldIds:
    """Guards against a second run of a task that the new process runs."""

    async def test_orders_for_the_former_process_that_the_new_one_takes(
        self, deployment: deployments.Deployment
    ) -> None:
        entry, body = deployment.entries[0], job(run_ms=2000)
        await deployment.call(entry, 'POST', path(100), job(run_ms=10))
        await wait_for_state(deployment, 100, 'completed')
        # The next tasks are packed on the same worker.
        used_id = deployment.runs[-1].worker
        worker = next(
            one for one in deployment.workers if one.worker_id == used_id
        )
        # The row is written before a hold call can time out.
        outage = deployments.Outage(
            down_s=0.6, keeps_id=True, keeps_address=True, row_delay_s=0.1
        )
        deployment.crash_worker(worker, outage)
        await asyncio.gather(
            *(
                deployment.call(entry, 'POST', path(number), body)
                for number in range(6)
            )
        )
        for number in range(6):
            await wait_for_state(deployment, number, 'completed')
        assert_no_task_ran_twice(deployment)


class TestCapacity:
    """Guards against starts beyond a capacity that has shrunk."""

    async def test_a_worker_that_shrank_is_not_overcommitted(
        self, deployment: deployments.Deployment
    ) -> None:
        entry = deployment.entries[0]
        body = job(
            run_ms=800,
            count=1,
            more=f'cpu={LARGE_MILLICORES}',
            cpu=LARGE_MILLICORES,
        )
        for worker in deployment.workers:
            deployment.set_capacity(worker, 2 * LARGE_MILLICORES)
        shrank_at = time.monotonic()
        numbers = itertools.count()

        async def enough_late_starts() -> bool:
            status, _ = await deployment.call(
                entry, 'POST', path(next(numbers)), body
            )
            assert status == 200
            late = shrank_at + oracle.SHRINK_EFFECT_S
            return sum(run.started_at > late for run in deployment.runs) >= 20

        await until(enough_late_starts)
        for number in range(next(numbers)):
            await wait_for_state(deployment, number, 'completed')
        for worker in deployment.workers:
            assert oracle.overcommitted(worker, deployment.runs) == []

    async def test_a_worker_that_grew_gets_larger_tasks(
        self, deployment: deployments.Deployment
    ) -> None:
        entry = deployment.entries[0]
        for worker in deployment.workers:
            deployment.set_capacity(worker, LARGE_MILLICORES)
        numbers = itertools.count()

        async def some_wait() -> bool:
            number = next(numbers)
            body = job(count=1, cpu=LARGE_MILLICORES + 1)
            status, _ = await deployment.call(
                entry, 'POST', path(number), body
            )
            assert status == 200
            _, answer = await deployment.call(entry, 'GET', '/batch/')
            assert isinstance(answer, dict)
            # The number is unknown until the holder has sent it.
            return answer.get('waiting', 0) >= 10

        await until(some_wait)
        grown = deployment.workers[0]
        deployment.set_capacity(grown, LARGE_MILLICORES + 1)
        for number in range(next(numbers)):
            await wait_for_state(deployment, number, 'completed')


class TestAddresses:
    """Guards against an entry that ends without a word on its cause."""

    async def test_an_address_in_use_is_named(
        self, tmp_path: pathlib.Path
    ) -> None:
        ports = deployments.PortReservations()
        entry = deployments.Entry('entry', tmp_path, ports)
        entry.configure('127.0.0.1:1', '127.0.0.1:1')
        host, _, port = entry.ready.rpartition(':')
        with socket.create_server((host, int(port))):
            await entry.start()
            assert entry.process is not None
            async with asyncio.timeout(30.0):
                status = await entry.process.wait()
        ports.close()
        assert status == platform_entry.EXIT_ADDRESS
        (line,) = entry.log_path.read_text().splitlines()
        found = msgspec.json.decode(line)
        assert found['message_type'] == 'entry.cannot_listen'
        assert found['setting'] == 'listen.ready'

    def test_two_deployments_reserve_different_ports(self) -> None:
        first = deployments.PortReservations()
        second = deployments.PortReservations()
        numbers = [ports.reserve() for ports in (first, second) * 50]
        assert len(set(numbers)) == len(numbers)
        first.close()
        second.close()
