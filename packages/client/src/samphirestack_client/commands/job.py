"""Commands on jobs."""

from typing import Any

import cyclopts

from samphirestack import model
from samphirestack_client import api as apis
from samphirestack_client import options

COLUMNS = (
    'job_id',
    'team',
    'queue',
    'kind',
    'state',
    'tasks',
    'succeeded',
    'failed',
    'reason',
)

app = cyclopts.App(name='job', help='Single jobs.')


async def jobs(
    *,
    team: str = '',
    state: model.JobState | None = None,
    zone: str = '',
    limit: int = 100,
    common: options.Common = options.COMMON,
) -> None:
    """List jobs, newest first.

    Parameters
    ----------
    team
        Show only the jobs of this team.
    state
        Show only jobs in this state.
    zone
        Show only jobs whose home is this zone.
    limit
        How many jobs to show.
    """
    query: dict[str, str | int] = {'limit': limit}
    if team:
        query['team'] = team
    if state is not None:
        query['state'] = state.value
    if zone:
        query['zone'] = zone
    async with common.connect() as api:
        found = await api.get('/jobs', list[dict[str, Any]], **query)
    rows = [[job.get(column) for column in COLUMNS] for job in found]
    common.output.rows(COLUMNS, rows, found)


@app.command(
    help_epilogue=options.examples('samphirestack job show arree--0a1b2c')
)
async def show(
    job_id: str, *, common: options.Common = options.COMMON
) -> None:
    """Show the stored record of a job.

    Parameters
    ----------
    job_id
        Id of the job.
    """
    async with common.connect() as api:
        path = f'/jobs/{apis.quote_path_segment(job_id)}'
        record = await api.get(path, model.JobRecord)
    if common.json:
        common.output.json(record)
        return
    fields = {
        name: getattr(record.job, name)
        for name in record.job.__struct_fields__
    }
    fields |= {
        'state': record.state,
        'succeeded': record.succeeded,
        'failed': record.failed,
        'reason': record.reason,
    }
    common.output.rows(('field', 'value'), fields.items(), record)


@app.command(
    help_epilogue=options.examples('samphirestack job why arree--0a1b2c')
)
async def why(job_id: str, *, common: options.Common = options.COMMON) -> None:
    """Explain what a job waits for.

    Parameters
    ----------
    job_id
        Id of the job.
    """
    async with common.connect() as api:
        path = f'/jobs/{apis.quote_path_segment(job_id)}/explain'
        found = await api.get(path, dict[str, Any])
    text = f'{found.get("state")}: {found.get("explanation")}'
    common.output.text(text, found)


@app.command(
    help_epilogue=options.examples('samphirestack job cancel arree--0a1b2c')
)
async def cancel(
    job_id: str, *, common: options.Common = options.COMMON
) -> None:
    """Cancel a job of any team.

    Parameters
    ----------
    job_id
        Id of the job.
    """
    async with common.connect() as api:
        path = f'/jobs/{apis.quote_path_segment(job_id)}'
        found = await api.send('DELETE', path, dict[str, Any])
    common.output.text(f'{job_id}: {found.get("state")}', found)
