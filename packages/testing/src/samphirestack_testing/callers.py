"""Callers that resend only what may be resent (section 4.5 of the page)."""

import asyncio
import enum
import time

import aiohttp
import msgspec

from samphirestack import model
from samphirestack_testing import balancer
from samphirestack_testing import ledger

MAX_ATTEMPTS = 5
ANSWER_GRACE_S = 5.0
"""Time that a caller waits beyond its deadline."""
RESEND_PAUSE_S = 0.2
WAIT_POLL_S = 5.0
JOB_CALL_TIMEOUT_S = 10.0
NOT_FOUND_LIMIT = 3
"""Answers ``not_found`` in a row after which a job counts as lost."""
RESENT_CODES = frozenset(
    {
        'connection_refused',
        'shutting_down',
        'no_leader',
        'configuration_stale',
        'store_unavailable',
        'upstream_refused',
    }
)
"""Refusals whose hint says that sending again is useful."""
BROKEN = 'broken'
NO_ANSWER = 'no_answer'


class _Verdict(enum.Enum):
    RAN = 'ran'
    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'


class Call(msgspec.Struct, frozen=True):
    """A request to send."""

    name: str
    team: str
    queue: str
    urgent: bool
    idempotent: bool
    work_s: float
    deadline_s: float
    idempotency_key: str = ''


class JobCall(msgspec.Struct, frozen=True):
    """A job to submit."""

    team: str
    queue: str
    kind: model.JobKind
    tasks: int
    resources: dict[str, float]
    run_time_s: float
    real_run_time_s: float
    idempotent: bool


class _Reply(msgspec.Struct, frozen=True):
    """Result of one attempt."""

    verdict: _Verdict
    code: str = ''
    digest: str = ''


class Callers:
    """Sends calls of all teams through a balancer.

    :param keys_by_team: what each team presents.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        entries: balancer.Balancer,
        keys_by_team: dict[str, str],
    ) -> None:
        self._session = session
        self._entries = entries
        self._keys_by_team = keys_by_team

    async def call(self, call: Call) -> ledger.CallRecord:
        """Send a request until its outcome is known or may not be resent."""
        sent_at = time.monotonic()
        may_have_run = False
        entry = ''
        for attempt in range(1, MAX_ATTEMPTS + 1):
            entry = self._entries.pick(avoid=entry)
            reply = await self._attempt(call, entry)
            if reply.verdict is _Verdict.RAN:
                break
            if reply.verdict is _Verdict.MAY_HAVE_RUN:
                may_have_run = True
            late = time.monotonic() - sent_at >= call.deadline_s
            if late or not _may_resend(call, reply):
                break
            await asyncio.sleep(RESEND_PAUSE_S * attempt)
        return ledger.CallRecord(
            call=call.name,
            team=call.team,
            queue=call.queue,
            urgent=call.urgent,
            idempotent=call.idempotent,
            sent_at_s=sent_at,
            ended_at_s=time.monotonic(),
            outcome=_outcome(call, reply, may_have_run),
            attempts=attempt,
            code=reply.code,
            digest=reply.digest,
            key=call.idempotency_key,
            entry=entry,
        )

    async def _attempt(self, call: Call, entry: str) -> _Reply:
        url = self._entries.urls_by_id[entry]
        body = {
            'payload': {'call': call.name, 'work_s': call.work_s},
            'idempotent': call.idempotent,
            'deadline_s': call.deadline_s,
        }
        headers = self._headers(call.team)
        if call.idempotency_key:
            headers['Idempotency-Key'] = call.idempotency_key
        timeout = aiohttp.ClientTimeout(total=call.deadline_s + ANSWER_GRACE_S)
        try:
            async with self._session.post(
                f'{url}/v1/queues/{call.queue}/requests',
                json=body,
                headers=headers,
                timeout=timeout,
            ) as answer:
                return _reply(answer.status, await answer.read())
        except aiohttp.ClientConnectorError:
            self._entries.take_out(entry)
            return _Reply(_Verdict.NOT_RUN, 'connection_refused')
        except TimeoutError:
            return _Reply(_Verdict.MAY_HAVE_RUN, NO_ANSWER)
        except (aiohttp.ClientError, OSError):
            return _Reply(_Verdict.MAY_HAVE_RUN, BROKEN)

    def _headers(self, team: str) -> dict[str, str]:
        headers = {'Samphirestack-Team': team}
        if team in self._keys_by_team:
            headers['Authorization'] = f'Bearer {self._keys_by_team[team]}'
        return headers

    async def submit(self, job: JobCall) -> ledger.JobRecord:
        """Submit a job; a refusal is in the code of the record.

        After a broken connection the job may have been accepted; it is not
        submitted again, since that could double it.
        """
        sent_at = time.monotonic()
        body = {
            'kind': job.kind.value,
            'tasks': job.tasks,
            'resources': job.resources,
            'run_time_s': job.run_time_s,
            'idempotent': job.idempotent,
        }
        if job.kind is not model.JobKind.SERVICE:
            body['payload'] = {'run_s': job.real_run_time_s}
        path = f'/v1/queues/{job.queue}/jobs'
        status, data = await self._json('POST', path, job.team, body)
        job_id, code = '', str(data.get('code', status))
        if status == 202:
            job_id, code = str(data['job_id']), ''
        return ledger.JobRecord(
            job=job_id,
            team=job.team,
            queue=job.queue,
            kind=job.kind.value,
            tasks=job.tasks,
            idempotent=job.idempotent,
            sent_at_s=sent_at,
            ended_at_s=time.monotonic(),
            state=model.JobState.WAITING.value if job_id else '',
            code=code,
        )

    async def follow(
        self, record: ledger.JobRecord, until: float
    ) -> ledger.JobRecord:
        """Wait for the end of an accepted job, until a monotonic time."""
        state = record.state
        missing = 0
        while (left := until - time.monotonic()) > 0:
            poll_s = max(0.1, min(WAIT_POLL_S, left))
            path = f'/v1/jobs/{record.job}/wait?timeout_s={poll_s:.2f}'
            status, data = await self._json('GET', path, record.team)
            missing = missing + 1 if status == 404 else 0
            if missing >= NOT_FOUND_LIMIT:
                state = 'not_found'
                break
            if status != 200:
                await asyncio.sleep(RESEND_PAUSE_S)
                continue
            state = str(data.get('state', state))
            if model.JobState(state).is_final:
                break
        return msgspec.structs.replace(
            record, state=state, ended_at_s=time.monotonic()
        )

    async def cancel(self, record: ledger.JobRecord) -> int:
        """Cancel a job and return the HTTP status, 0 if there is none."""
        path = f'/v1/jobs/{record.job}'
        status, _ = await self._json('DELETE', path, record.team)
        return status

    async def _json(
        self, method: str, path: str, team: str, body: object = None
    ) -> tuple[int, dict[str, object]]:
        entry = self._entries.pick()
        url = self._entries.urls_by_id[entry] + path
        try:
            async with self._session.request(
                method,
                url,
                json=body,
                headers=self._headers(team),
                timeout=aiohttp.ClientTimeout(total=JOB_CALL_TIMEOUT_S),
            ) as answer:
                return answer.status, _object(await answer.read())
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0, {'code': BROKEN}


def _object(body: bytes) -> dict[str, object]:
    try:
        value = msgspec.json.decode(body)
    except msgspec.MsgspecError:
        return {}
    return value if isinstance(value, dict) else {}


def _reply(status: int, body: bytes) -> _Reply:
    data = _object(body)
    verdict = data.get('verdict')
    if status == 200 and verdict == _Verdict.RAN.value:
        digest = ledger.digest_of(data.get('answer'))
        return _Reply(_Verdict.RAN, digest=digest)
    code = str(data.get('code', f'status_{status}'))
    if verdict == _Verdict.NOT_RUN.value:
        return _Reply(_Verdict.NOT_RUN, code)
    return _Reply(_Verdict.MAY_HAVE_RUN, code)


def _may_resend(call: Call, reply: _Reply) -> bool:
    if reply.verdict is _Verdict.NOT_RUN:
        return reply.code in RESENT_CODES
    return call.idempotent or bool(call.idempotency_key)


def _outcome(call: Call, reply: _Reply, may_have_run: bool) -> ledger.Outcome:
    if reply.verdict is _Verdict.RAN:
        return ledger.Outcome.ANSWERED
    if reply.code == NO_ANSWER:
        return ledger.Outcome.NO_ANSWER
    if reply.code == BROKEN and call.idempotent:
        return ledger.Outcome.NO_ANSWER
    if may_have_run:
        return ledger.Outcome.MAY_HAVE_RUN
    return ledger.Outcome.REFUSED_NOT_RUN
