"""Command that explains where a job would start now."""

import pathlib

import aiohttp
import msgspec

from samphirestack_client import failures
from samphirestack_client import options

EXAMPLE = (
    'samphirestack explain job.json --queue reports --customer harbour '
    '--entry 10.0.0.4:9464'
)
COLUMNS = (
    'step',
    'class',
    'workers',
    'excluded',
    'could take',
    'headroom',
    'starting',
    'chosen',
    'verdict',
)
DEFAULT_TIMEOUT_S = 10.0
HINTS_BY_CODE = {
    'no_queue': 'Give the name of a queue of the configuration in force.',
    'no_customer': 'Give the name of a customer, or none for an open queue.',
    'bad_request': 'Correct the job file; it holds the body of a submission.',
    'too_large': 'Shorten the job file; clients could not submit it either.',
    'no_holder': 'Repeat the command once an entry holds the term.',
}


class _Excluded(msgspec.Struct):
    reason: str
    workers: int


class _Step(msgspec.Struct):
    step: int
    verdict: str
    order_class: str = ''
    workers: int = 0
    excluded: tuple[_Excluded, ...] = ()
    could_take_a_task: int = 0
    headroom: int = 0
    tasks: int = 0
    tasks_starting: int = 0
    chosen: tuple[str, ...] = ()


class _Explanation(msgspec.Struct):
    steps: tuple[_Step, ...]


class _Refusal(msgspec.Struct):
    code: str = 'unknown'
    error: str = ''
    holder: str = ''
    address: str = ''


async def explain(
    job_file: pathlib.Path,
    *,
    queue: str,
    entry: str,
    customer: str = '',
    common: options.Common = options.COMMON,
) -> None:
    """Explain where a job would start now and why, without sending it.

    Parameters
    ----------
    job_file
        File with the body of a submission.
    queue
        Queue to which the job would be submitted.
    entry
        Metrics address of the entry that holds the term, as host:port.
    customer
        Customer that would submit the job.
    """
    body = _read(job_file)
    timeout_s = common.timeout_s or DEFAULT_TIMEOUT_S
    content = await _ask(entry, queue, customer, body, timeout_s)
    try:
        found = msgspec.json.decode(content, type=_Explanation)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise failures.ClientFailure(
            f'{entry} sent an answer that can not be decoded: {error}',
            'Check that it is the metrics address of an entry.',
        ) from error
    common.output.rows(
        COLUMNS, [_row(step) for step in found.steps], msgspec.Raw(content)
    )


def _read(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise failures.WrongUsage(
            f'{path} cannot be read: {error.strerror}',
            'Give a file with the body of a submission.',
        ) from error


async def _ask(
    entry: str, queue: str, customer: str, body: bytes, timeout_s: float
) -> bytes:
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(
                f'http://{entry}/explain',
                params={'queue': queue, 'customer': customer},
                data=body,
                allow_redirects=False,
            ) as response,
        ):
            content = await response.read()
    except (aiohttp.ClientError, OSError, ValueError) as error:
        reason = str(error) or type(error).__name__
        raise failures.Unreachable(
            f'{entry} does not answer: {reason}',
            'Check that it is the metrics address of a running entry.',
        ) from error
    if response.status != 200:
        raise _refusal(entry, response.status, content)
    return content


def _refusal(
    entry: str, status: int, content: bytes
) -> failures.ClientFailure:
    try:
        found = msgspec.json.decode(content, type=_Refusal)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        found = _Refusal(error=f'{entry} answered with status {status}')
    if found.code == 'not_holder':
        hint = (
            f'Ask the metrics address of the holder {found.holder}, which '
            f'other entries reach at {found.address}.'
        )
    else:
        hint = HINTS_BY_CODE.get(
            found.code, 'Check that it is the metrics address of an entry.'
        )
    if found.code == 'bad_request':
        return failures.WrongUsage(found.error, hint)
    return failures.Refused(found.code, found.error, hint)


def _row(step: _Step) -> tuple[object, ...]:
    excluded = {item.reason: item.workers for item in step.excluded}
    return (
        step.step,
        step.order_class,
        step.workers,
        excluded or None,
        step.could_take_a_task,
        step.headroom,
        f'{step.tasks_starting} of {step.tasks}',
        step.chosen,
        step.verdict,
    )
