"""A process of the fleet daemon: an entry that can hold the term."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import hashlib
import os

import msgspec
import zmq.asyncio

from samphirestack import errors
from samphirestack.fleet import memory
from samphirestack.fleet import messages
from samphirestack.fleet import pacing
from samphirestack.fleet import ports
from samphirestack.fleet import records
from samphirestack.fleet import scheduler as schedulers
from samphirestack.fleet import term as terms
from samphirestack import model
from samphirestackd.fleet import clock
from samphirestackd.fleet import configuration_feed
from samphirestackd.fleet import edge
from samphirestackd.fleet import handover
from samphirestackd.fleet import holder as holders
from samphirestackd.fleet import link
from samphirestackd.fleet import node_context
from samphirestackd.fleet import writer as writers
from samphirestackd import http_client
from samphirestackd import logs

POLL_TERM_INTERVAL_S = 0.25
"""Interval between reads of the term while the holder does not reply."""

POLL_TERM_IDLE_INTERVAL_S = 4.0
"""Interval between reads of the term while the holder replies."""

CHECK_INTERVAL_S = 0.1
YIELD_AFTER_S = 1.2
"""A holder without an answer to its renewals for this long yields the term to
an entry that reaches the store.  One lost answer takes 0.9 s."""

YIELD_AFTER_REFUSALS_S = 0.4
"""A holder whose renewals the store has refused for this long, which is four
attempts, yields as well."""

ENTRY_LOST_AFTER_S = 1.5
LOST_PINGS = 3
"""An entry that sent no ping for ENTRY_LOST_AFTER_S, and for so many intervals
of pings, is removed."""

MAX_WAITING_COUNTS_AGE_S = 1.5
"""Clients accept counts of waiting jobs that are 2 s old; the rest covers the
transit."""

MAX_CLAIM_JITTER_S = 0.15
"""Range of the delays of entries that claim a free term."""

CLAIM_PAUSE_S = 5.0
"""Pause of an entry whose term ended by an unexpected error, in which another
entry takes over."""

ANSWER_TRANSIT_S = 0.1
"""Transit of the store's answer to an entry and of the entry's ping, which
reports the age of the answer."""

READY_MARGIN_S = 2.0
"""Margin by which an entry leaves the rotation of the balancer before its
configuration is too old for calls with a key."""

MAX_STORE_ANSWER_AGE_S = configuration_feed.FEED_WAIT_S + 0.5
"""An entry reaches the store if its last answer is at most this old: the feed
of the configuration answers once a second."""


class Node:
    """Connects the term, the link to its holder and the configuration.

    :param peer_address: ``IP:PORT`` where this process listens for entries.
    """

    def __init__(
        self, context: node_context.Context, peer_address: str
    ) -> None:
        self._context = context
        self._zmq = zmq.asyncio.Context(io_threads=1)
        self._incarnation = os.urandom(6).hex()
        self._listener = link.Listener(self._zmq, peer_address)
        self._connection = link.Connection(
            self._zmq,
            f'{context.vm_id}/{self._incarnation}',
            self._handle_holder_message,
            self._on_holder_disconnect,
        )
        self.term = terms.Term(context.vm_id, self._incarnation, peer_address)
        self.configuration_feed = configuration_feed.ConfigurationFeed(
            context.store, context.registry, context.bounds.evacuation_s
        )
        self._poll_requested = asyncio.Event()
        self.configuration_feed.on_store_recovered = self._poll_requested.set
        self._check_requested = asyncio.Event()
        self._disconnected_incarnation = ''
        """Process of the holder whose connection was lost; empty once it was
        checked."""
        self._last_reply: tuple[str, float] = ('', 0.0)
        """Process of the holder, and the time of its last reply or, if later,
        of its discovery."""
        self._holder_renewed_at = float('-inf')
        """When a holder at another entry last wrote to the store."""
        self._holder: holders.Holder | None = None
        self._pings_by_identity: dict[bytes, tuple[float, messages.Ping]] = {}
        self._state_waiters: dict[
            int, asyncio.Future[messages.StateReply]
        ] = {}
        self._last_query_number = 0
        self._waiting_counts: dict[model.QueueId, int] | None = None
        self._waiting_counts_at = float('-inf')
        self._holder_since = 0.0
        self._pong_counts: dict[model.QueueId, int] | None = None
        self._pong_counts_at = float('-inf')
        self._claim_after = float('-inf')
        """Earliest next claim, after a term that ended by an unexpected
        error."""
        self._stopping = False
        self._handover = handover.Sender(self._connection.send)
        self._holder_write_s: float | None = None
        """How long the last write of a holder elsewhere took."""
        self._submissions: handover.Server | None = None
        self._calls: set[asyncio.Task[None]] = set()
        self._admission = memory.Admission()

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer should send clients to this entry."""
        now = clock.now()
        return (
            not self._stopping
            and self.configuration_feed.configuration is not None
            and self.configuration_feed.age(now)
            < self._context.bounds.revocation_s - READY_MARGIN_S
        )

    async def run(self) -> None:
        """Run until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.configuration_feed.run())
            group.create_task(self._listener.run(self._handle_entry_message))
            group.create_task(self._ping())
            group.create_task(self._poll_term())
            group.create_task(self._acquire_terms())

    async def stop(self) -> None:
        """Release the term and report not ready; calls are still answered."""
        self._stopping = True
        if self._holder is not None:
            self._holder.writer.release()

    def serve_submissions(
        self, serve: Callable[[edge.Call], Awaitable[edge.Reply]]
    ) -> None:
        """Serve what entries hand over while this process holds the term.

        :param serve: handles a call as if a client had sent it here.
        """
        self._submissions = handover.Server(
            self._context, serve, self._listener.send
        )

    # The term

    async def _poll_term(self) -> None:
        while True:
            if self._holder is None:
                await self._read_term()
            await asyncio.sleep(POLL_TERM_INTERVAL_S)
            if self._holder is not None or not self._connection.is_late:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(POLL_TERM_IDLE_INTERVAL_S):
                        await self._poll_requested.wait()
            self._poll_requested.clear()

    async def _read_term(self) -> None:
        sent_at = clock.now()
        try:
            page = await self._context.store.read(
                records.TERM_TABLE, records.TERM_KEY, records.TERM_KEY + '\x00'
            )
        except errors.PlatformError as error:
            logs.debug('term.read_failed', reason=error.message)
            return
        row = page.rows[0] if page.rows else None
        try:
            record = (
                records.decode_stored_term(row.value, row.version)
                if row
                else None
            )
        except msgspec.DecodeError as error:
            assert row is not None
            logs.limited_warning('term.bad_row', str(row.version), error)
            self.term.observe_unreadable(sent_at, clock.now(), row.version)
            return
        before = self.term.number
        self.term.observe(
            sent_at, clock.now(), record, row.version if row else 0
        )
        if record is not None and record.term != before:
            self._context.log.write(
                'term.observed',
                term=record.term,
                holder=record.holder,
                released=record.released,
            )

    async def _acquire_terms(self) -> None:
        jitter_s = _jitter(self._incarnation)
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._check_requested.wait()
            self._check_requested.clear()
            if self._connection.is_late:
                # The row must be observed unchanged for a while.
                self._poll_requested.set()
            if self.configuration_feed.configuration is None:
                continue
            if self.term.is_mine:
                # An earlier claim was applied although its answer was lost.
                await self._hold_term()
                continue
            if self._stopping:
                continue
            if clock.now() < self._claim_after:
                continue
            if not self._may_take_over():
                await self._check_holder_process()
            if not self._may_take_over():
                continue
            await asyncio.sleep(
                jitter_s
                + terms.claim_delay_s(
                    self._context.strength, self.term.best_strength
                )
            )
            if not self._may_take_over():
                continue
            await self._claim()
            if self.term.is_mine:
                await self._hold_term()

    def _may_take_over(self) -> bool:
        now = clock.now()
        record = self.term.record
        if record is not None and record.life != self._last_reply[0]:
            self._last_reply = (record.life, now)
        return self.term.may_take_over(now, self._last_reply[1])

    def _on_holder_disconnect(self) -> None:
        record = self.term.record
        if record is not None:
            self._disconnected_incarnation = record.life
            self._check_requested.set()

    async def _check_holder_process(self) -> None:
        """Check whether the process of the holder has ended.

        This is done after a lost connection or without replies: the process
        has ended if its address refuses connections.
        """
        record = self.term.record
        if record is None or self.term.is_mine or record.released:
            return
        connection_lost = self._disconnected_incarnation == record.life
        self._disconnected_incarnation = ''
        if not connection_lost and not self._connection.is_silent:
            return
        self._poll_requested.set()
        if await http_client.refuses_connections(record.address):
            logs.info('term.holder_died', holder=record.holder)
            await self._read_term()
            self.term.mark_process_dead(record.life)

    async def _claim(self) -> None:
        """Try to take over the term.

        Without an answer, the claim may be applied at any later time.  The
        row then names this process, which a read shows.
        """
        condition = ports.Condition(
            records.TERM_TABLE, records.TERM_KEY, self.term.version
        )
        sent_at = clock.now()
        record = self.term.begin_claim(sent_at)
        put = ports.Put(
            records.TERM_TABLE, records.TERM_KEY, records.encode(record)
        )
        try:
            version = await self._context.store.transact([condition], [put])
        except errors.TransactionConflict:
            await self._read_term()
        except errors.OutcomeUnknown as error:
            logs.warning(
                'term.claim_unknown', term=record.term, reason=error.message
            )
            await self._read_term()
        except errors.StoreUnavailable as error:
            logs.warning('term.claim_failed', reason=error.message)
        else:
            self.term.record_write(sent_at, record, version)

    async def _hold_term(self) -> None:
        configuration = self.configuration_feed.configuration
        assert configuration is not None
        now = clock.now()
        earlier_renewal_before = self.term.begin_term(now)
        self._context.log.write(
            'term.claimed',
            term=self.term.number,
            renewal_age_s=round(self.term.renewal_age(now), 3),
        )
        self._connection.close()
        holder = holders.Holder(
            self._context,
            self.term,
            configuration,
            self._listener.send,
            earlier_renewal_before,
        )
        self._holder = holder
        self._holder_since = clock.now()
        self._pong_counts = None
        self._context.metrics.term.set({}, holder.scheduler.term)
        if self._stopping:
            # The claim was in progress when this process was told to stop.
            holder.writer.release()
        supervisor = asyncio.create_task(self._supervise_holder(holder))
        reason = 'stopped'
        try:
            await holder.run()
        except* writers.TermLost as group:
            reason = str(group.exceptions[0])
        except* Exception as group:
            reason = f'unexpected error: {group.exceptions[0]!r}'
            logs.unexpected('term.failed', '', group.exceptions[0])
            self._claim_after = clock.now() + CLAIM_PAUSE_S
        finally:
            self._holder = None
            self._context.metrics.term.set({}, 0)
            supervisor.cancel()
            # This process sends no more orders, so that another entry may
            # take over at once.
            for identity in self._pings_by_identity:
                self._listener.send(
                    identity,
                    messages.TakeOver(
                        holder.scheduler.term, self._incarnation
                    ),
                )
            self._pings_by_identity.clear()
        self._context.log.write(
            'term.ended', term=holder.scheduler.term, reason=reason
        )
        self._incarnation = os.urandom(6).hex()
        self.term.abandon(self._incarnation)
        await self._read_term()

    async def _supervise_holder(self, holder: holders.Holder) -> None:
        """Remove lost entries, and give up the term to a better entry.

        That is a much stronger entry, or one that reaches the store while
        this process does not.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = clock.now()
            lost_after_s = max(
                ENTRY_LOST_AFTER_S,
                LOST_PINGS
                * pacing.ping_interval_s(len(self._pings_by_identity)),
            )
            for identity, (received_at, _) in list(
                self._pings_by_identity.items()
            ):
                if now - received_at > lost_after_s:
                    del self._pings_by_identity[identity]
                    holder.advice_callers.remove(identity)
            self.term.best_strength = self._best_strength()
            if terms.should_hand_over(
                self._context.strength,
                self.term.best_strength,
                now - self._holder_since,
            ):
                self._context.log.write(
                    'term.handed_over', strength=self._context.strength
                )
                holder.writer.release()
                return
            other = self._find_entry_reaching_store(now, holder.writer)
            if other is not None:
                self._context.log.write('term.yielded', to=other)
                holder.resign('only other entries reach the store')
                return

    def _find_entry_reaching_store(
        self, now: float, writer: writers.TermWriter
    ) -> model.VmId | None:
        """Return an entry with an answer newer than the holder's failures.

        Return ``None`` if there is none, or while the holder has failed too
        briefly to yield.
        """
        failing_since = writer.failing_since
        refused_since = writer.refused_since
        if failing_since is None:
            return None
        refused = (
            refused_since is not None
            and now - refused_since >= YIELD_AFTER_REFUSALS_S
        )
        if not refused and now - failing_since < YIELD_AFTER_S:
            return None
        for received_at, ping in self._pings_by_identity.values():
            if (
                received_at - ping.store_age_s
                > failing_since + ANSWER_TRANSIT_S
            ):
                return ping.vm_id
        return None

    def _best_strength(self) -> float:
        """Return the highest strength of the entries that reach the store."""
        return max(
            (
                ping.strength
                for _, ping in self._pings_by_identity.values()
                if ping.store_age_s < MAX_STORE_ANSWER_AGE_S
            ),
            default=self._context.strength,
        )

    # Messages

    async def _ping(self) -> None:
        while True:
            await asyncio.sleep(self._connection.ping_interval_s)
            record = self.term.record
            if self._holder is not None or record is None:
                continue
            if record.life == self._incarnation or record.released:
                continue
            if not record.address:
                continue
            if (
                record.address != self._connection.address
                or self._connection.is_silent
            ):
                self._connection.open(record.address)
            now = clock.now()
            self._connection.send(
                messages.Ping(
                    self._context.vm_id,
                    self.term.number,
                    record.life,
                    now - self.configuration_feed.answered_at,
                    self._context.strength,
                )
            )

    def _handle_entry_message(
        self, identity: bytes, message: messages.Message
    ) -> None:
        holder = self._holder
        if isinstance(message, messages.Ping):
            if message.holder_life != self._incarnation:
                # The process that the ping is for has ended or gave up the
                # term.
                self._listener.send(
                    identity,
                    messages.TakeOver(message.term, message.holder_life),
                )
                return
            if holder is None:
                return
            self._pings_by_identity[identity] = (clock.now(), message)
            holder.advice_callers.add(identity)
            self._listener.send(
                identity,
                messages.Pong(
                    holder.scheduler.term,
                    self._counts_for_pongs(holder),
                    self.term.best_strength,
                    self.term.renewal_age(clock.now()),
                    pacing.ping_interval_s(len(self._pings_by_identity)),
                    holder.writer.last_write_s if self._submissions else None,
                    self._room_for_entries(holder),
                ),
            )
        elif isinstance(message, messages.SubmissionRequest):
            if self._submissions is not None:
                self._submissions.handle_request(
                    identity, message, holder is not None
                )
        elif isinstance(message, messages.StateQuery):
            # Without a state, the entry reads the store at once.
            self._listener.send(
                identity,
                _state_reply(holder, message.number, message.job_id)
                if holder is not None and holder.loaded
                else messages.StateReply(message.number, None, None),
            )
        elif holder is None:
            return
        elif isinstance(message, messages.JobStored):
            holder.add_job(message.row, message.version)
        elif isinstance(message, messages.CancelStored):
            holder.cancel_job(message.job_id, message.version)
        elif isinstance(message, messages.AdviceReply):
            holder.handle_advice_reply(message)

    def _handle_holder_message(
        self, identity: bytes, message: messages.Message
    ) -> None:
        if isinstance(message, messages.Pong):
            self.term.best_strength = message.best_strength
            self._connection.ping_interval_s = pacing.bound_ping_interval_s(
                message.ping_interval_s
            )
            self._holder_renewed_at = clock.now() - message.renewal_age_s
            self._holder_write_s = message.write_s
            record = self.term.record
            if record is not None:
                self._last_reply = (record.life, clock.now())
            if message.room is not None:
                self._admission.update(message.room)
            if message.waiting_by_queue is not None:
                self._waiting_counts = message.waiting_by_queue
                self._waiting_counts_at = clock.now()
        elif isinstance(message, messages.StateReply):
            waiter = self._state_waiters.get(message.number)
            if waiter is not None and not waiter.done():
                waiter.set_result(message)
        elif isinstance(message, messages.SubmissionReply):
            self._handover.handle_reply(message)
        elif isinstance(message, messages.AdviceRequest):
            task = asyncio.create_task(self._advise(message))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)
        elif isinstance(message, messages.TakeOver):
            self._holder_write_s = None
            self.term.mark_process_dead(message.life)
            self._poll_requested.set()
            self._check_requested.set()

    async def _advise(self, message: messages.AdviceRequest) -> None:
        tickets = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(message.timeout_s):
                tickets = await holders.call_advisor(
                    self._context, message.step_id, message.worker_ids
                )
        self._connection.send(messages.AdviceReply(message.number, tickets))

    def _counts_for_pongs(
        self, holder: holders.Holder
    ) -> dict[model.QueueId, int] | None:
        """Return the counts of waiting jobs to send to entries.

        There are none until the holder has read all jobs; they would be too
        low.  They are computed once for the pongs of CHECK_INTERVAL_S, since
        each entry sends three pings per second.
        """
        if not holder.loaded:
            return None
        now = clock.now()
        counts = self._pong_counts
        if counts is None or now - self._pong_counts_at > CHECK_INTERVAL_S:
            counts = holder.scheduler.jobs.waiting_by_queue()
            self._pong_counts = counts
            self._pong_counts_at = now
        return counts

    def _room_for_entries(self, holder: holders.Holder) -> memory.Room | None:
        jobs = holder.scheduler.jobs
        if not holder.loaded:
            return None
        return jobs.budget.room(
            len(self._pings_by_identity) + 1, jobs.deferring_customers()
        )

    # edge.HolderAccess

    def admit_job(self, customer_id: model.TeamId, size: int) -> bool:
        """Return whether the holder has memory for a further job."""
        if self._holder is not None:
            room = self._room_for_entries(self._holder)
            if room is not None:
                self._admission.update(room)
        return self._admission.admit(customer_id, size)

    def announce_job(self, row: bytes, version: int) -> None:
        """Tell the holder that a job was stored."""
        if self._holder is not None:
            self._holder.add_job(row, version)
        else:
            self._connection.send(messages.JobStored(row, version))

    def announce_cancellation(self, job_id: model.JobId, version: int) -> None:
        """Tell the holder that the cancellation of a job was stored."""
        if self._holder is not None:
            self._holder.cancel_job(job_id, version)
        else:
            self._connection.send(messages.CancelStored(job_id, version))

    async def state_of(
        self, job_id: model.JobId, timeout_s: float
    ) -> messages.StateReply | None:
        """Return the state of a job; ``None`` without an answer in time."""
        if self._holder is not None and self._holder.loaded:
            return _state_reply(self._holder, 0, job_id)
        if not self._connection.is_alive:
            return None
        self._last_query_number += 1
        number = self._last_query_number
        waiter: asyncio.Future[messages.StateReply] = (
            asyncio.get_running_loop().create_future()
        )
        self._state_waiters[number] = waiter
        self._connection.send(messages.StateQuery(number, job_id))
        try:
            async with asyncio.timeout(timeout_s):
                return await waiter
        except TimeoutError:
            return None
        finally:
            del self._state_waiters[number]

    def waiting_by_queue(self, now: float) -> dict[model.QueueId, int] | None:
        """Return the number of jobs that have not begun, by queue.

        ``None`` if there is no recent number.
        """
        if self._holder is not None and self._holder.loaded:
            return self._holder.scheduler.jobs.waiting_by_queue()
        if now - self._waiting_counts_at > MAX_WAITING_COUNTS_AGE_S:
            return None
        return self._waiting_counts

    def reaches_store(self, now: float) -> bool:
        """Return whether a holder elsewhere recently wrote to the store."""
        return (
            self._holder is None
            and now - self._holder_renewed_at < terms.ORDER_LEASE_S
        )

    def takes_submissions(self, now: float) -> bool:
        """Return whether a holder elsewhere serves submissions."""
        return (
            self._connection.is_alive
            and self.reaches_store(now)
            and handover.is_holder_fast(self._holder_write_s)
        )

    def deciding_scheduler(
        self, now: float
    ) -> schedulers.FleetScheduler | None:
        """Return the scheduler while this process decides by it."""
        holder = self._holder
        if (
            holder is None
            or not holder.loaded
            or not self.term.may_start_work(now)
        ):
            return None
        return holder.scheduler

    def known_holder(self) -> records.TermRecord | None:
        """Return the last known row of the term."""
        return None if self.term.is_mine else self.term.record

    async def submit(self, call: edge.Call) -> edge.Reply | None:
        """Hand a submission over to the holder."""
        return await self._handover.submit(call)


def _state_reply(
    holder: holders.Holder, number: int, job_id: model.JobId
) -> messages.StateReply:
    jobs = holder.scheduler.jobs
    record = jobs.record_of(job_id)
    if record is None or record.withdrawn:
        return messages.StateReply(number, None, None)
    return messages.StateReply(
        number,
        jobs.state_of(job_id),
        record.customer_id,
        record.queue.host,
        record.queue.prefix,
    )


def _jitter(incarnation: str) -> float:
    digest = hashlib.blake2b(incarnation.encode(), digest_size=2).digest()
    return int.from_bytes(digest, 'big') / 65536 * MAX_CLAIM_JITTER_S
