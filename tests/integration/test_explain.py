"""Explanations of jobs by entry processes."""

import asyncio
import json
import pathlib

import pytest

from samphirestack_client import main
from samphirestack_platform_standin import deployment as deployments

LONGEST_WAIT_S = 40.0

JOB = {
    'specification': 'run_ms=100;',
    'steps': [{'count': 2, 'cpu': 1000, 'memory_request_mb': 512}],
}


class TestExplain:
    """Guards against explanations by others, and runs of what is explained."""

    @pytest.mark.asyncio
    async def test_only_the_holder_explains_and_nothing_runs(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        job_file = tmp_path / 'job.json'
        job_file.write_text(json.dumps(JOB))

        async def explain(entry: deployments.Entry) -> tuple[int, str, str]:
            capsys.readouterr()
            address = f'127.0.0.1:{entry.metrics_port}'
            arguments = ['explain', str(job_file), '--json']
            arguments += ['--queue', 'r-batch', '--entry', address]
            code = await asyncio.to_thread(main.run, arguments)
            return code, *capsys.readouterr()

        async with (
            asyncio.timeout(LONGEST_WAIT_S),
            deployments.Deployment(tmp_path) as deployment,
        ):
            answers: list[tuple[int, str, str]] = []
            while not any(
                code == 0 and json.loads(text)['steps'][0]['workers']
                for code, text, _ in answers
            ) or not any('does not hold' in text for _, _, text in answers):
                answers = [
                    await explain(entry) for entry in deployment.entries
                ]
                await asyncio.sleep(0.1)
            assert [code for code, _, _ in answers].count(0) == 1
            assert not deployment.runs
