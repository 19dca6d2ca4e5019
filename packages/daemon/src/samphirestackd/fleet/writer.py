"""Writes of the holder of the term to the store.

Each transaction is conditional on the row of the term and renews the term,
so that a holder that was replaced cannot write any more.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from samphirestack import errors
from samphirestack.fleet import actions
from samphirestack.fleet import ports
from samphirestack.fleet import records
from samphirestack.fleet import scheduler as schedulers
from samphirestack.fleet import term as terms
from samphirestackd.fleet import clock
from samphirestackd.fleet import node_context
from samphirestackd import logs

BATCH_INTERVAL_S = 0.012
"""Pause between transactions, which batches changes because each call has a
cost.  It delays a start by half the pause on average."""

RETRY_AFTER_S = 0.1
MAX_EXTRA_PUTS = 8
"""Rows other than those of jobs in one write; see ``job_tracker.MAX_ENTRIES``.
The others wait for the next one."""


class TermLost(Exception):
    """This process no longer holds the term."""


class TermWriter:
    """Stores the changes of the scheduler and renews the term.

    :param on_stored: called with each batch of changes once it is stored.
    """

    def __init__(
        self,
        context: node_context.Context,
        term: terms.Term,
        scheduler: schedulers.FleetScheduler,
        on_stored: Callable[[actions.Changes], None],
    ) -> None:
        self._context = context
        self._term = term
        self._scheduler = scheduler
        self._on_stored = on_stored
        self._releasing = False
        self._extra_puts_by_key: dict[tuple[str, str], ports.Put] = {}
        """Rows other than those of jobs for the next transactions, by table
        and key, oldest first."""
        self._extra_puts_stored = asyncio.Event()
        self.write_requested = asyncio.Event()
        self.last_write_s = float('inf')
        """How long the last successful write took."""
        self.failing_since: float | None = None
        """When renewals began to fail; ``None`` while they succeed."""
        self.refused_since: float | None = None
        """When the store began to refuse renewals, which it certainly did not
        apply; ``None`` while it does not."""

    async def run(self) -> None:
        """Write until the term is lost or released.

        :raises TermLost: this process no longer holds the term.
        """
        while True:
            try:
                async with asyncio.timeout(terms.RENEWAL_INTERVAL_S):
                    await self.write_requested.wait()
            except TimeoutError:
                pass
            self.write_requested.clear()
            changes = self._scheduler.collect_changes()
            extra_puts, extra_puts_stored = self._collect_extra_puts()
            await self._write(
                changes, self._term.renewal_record(self._releasing), extra_puts
            )
            if extra_puts_stored is not None:
                extra_puts_stored.set()
            self._on_stored(changes)
            if self._releasing:
                raise TermLost('this process released the term')
            if self._scheduler.jobs.has_changes or self._extra_puts_by_key:
                self.write_requested.set()
            await asyncio.sleep(BATCH_INTERVAL_S)

    def _collect_extra_puts(
        self,
    ) -> tuple[tuple[ports.Put, ...], asyncio.Event | None]:
        """Remove rows for one transaction from those that wait.

        :return: the rows, and the event to set once they are stored, unless
            others wait that were added before it was requested.
        """
        keys = list(self._extra_puts_by_key)[:MAX_EXTRA_PUTS]
        puts = tuple(self._extra_puts_by_key.pop(key) for key in keys)
        if self._extra_puts_by_key:
            return puts, None
        stored = self._extra_puts_stored
        self._extra_puts_stored = asyncio.Event()
        return puts, stored

    def store(self, puts: Iterable[ports.Put]) -> asyncio.Event:
        """Add rows to the next transaction; newer ones replace older ones.

        :return: set once they are stored.
        """
        for put in puts:
            self._extra_puts_by_key[put.table, put.key] = put
        self.write_requested.set()
        return self._extra_puts_stored

    def release(self) -> None:
        """Release the term, so that another entry can take over at once."""
        self._releasing = True
        self.write_requested.set()

    async def _write(
        self,
        changes: actions.Changes,
        record: records.TermRecord,
        extra_puts: tuple[ports.Put, ...],
    ) -> None:
        """Write a batch, and repeat it until its outcome is known."""
        condition = ports.Condition(
            records.TERM_TABLE, records.TERM_KEY, self._term.version
        )
        put = ports.Put(
            records.TERM_TABLE, records.TERM_KEY, records.encode(record)
        )
        unknown_since: float | None = None
        while True:
            sent_at = clock.now()
            try:
                version = await self._context.store.transact(
                    [condition],
                    [put, *extra_puts, *changes.puts],
                    changes.removals,
                )
                self._term.record_write(sent_at, record, version)
                self.last_write_s = clock.now() - sent_at
                self._record_success()
                return
            except errors.TransactionConflict:
                await self._resolve_conflict(
                    record, sent_at if unknown_since is None else unknown_since
                )
                return
            except errors.OutcomeUnknown as error:
                if unknown_since is None:
                    unknown_since = sent_at
                self._record_failure(sent_at, error)
            except errors.StoreUnavailable as error:
                self._record_failure(sent_at, error)
                await asyncio.sleep(RETRY_AFTER_S)

    async def _resolve_conflict(
        self, record: records.TermRecord, sent_at: float
    ) -> None:
        """Check whether an earlier attempt to write the batch was applied.

        :raises TermLost: the row of the term has another content.
        """
        while True:
            try:
                page = await self._context.store.read(
                    records.TERM_TABLE,
                    records.TERM_KEY,
                    records.TERM_KEY + '\x00',
                )
            except errors.PlatformError as error:
                self._record_failure(clock.now(), error)
                await asyncio.sleep(RETRY_AFTER_S)
                continue
            row = page.rows[0] if page.rows else None
            try:
                found = (
                    records.decode_stored_term(row.value, row.version)
                    if row
                    else None
                )
            except msgspec.DecodeError as error:
                assert row is not None
                self._term.observe_unreadable(
                    sent_at, clock.now(), row.version
                )
                raise TermLost(f'the row of the term: {error}') from error
            if row is not None and found == record:
                self._term.record_write(sent_at, record, row.version)
                self._record_success()
                return
            self._term.observe(
                sent_at, clock.now(), found, row.version if row else 0
            )
            raise TermLost(f'the row of the term was replaced by {found}')

    def _record_failure(self, now: float, error: errors.SamphireError) -> None:
        if self.failing_since is None:
            self.failing_since = now
            logs.warning('term.renewal_failed', reason=error.message)
        if isinstance(error, errors.OutcomeUnknown):
            self.refused_since = None
        elif self.refused_since is None:
            self.refused_since = now

    def _record_success(self) -> None:
        self.failing_since = None
        self.refused_since = None
