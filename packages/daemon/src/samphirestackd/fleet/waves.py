"""Execution of upkeep waves by the holder of the term."""

import asyncio

import msgspec

from samphirestack import errors
from samphirestack.fleet import ports
from samphirestack.fleet import records
from samphirestack.fleet import scheduler as schedulers
from samphirestack.fleet import term as terms
from samphirestack.fleet import upkeep
from samphirestack.internal import decoding
from samphirestackd.fleet import clock
from samphirestackd.fleet import node_context
from samphirestackd.fleet import writer as writers
from samphirestackd import logs

CHECK_INTERVAL_S = 0.5
"""Interval between steps of the waves, whose deadlines are many seconds."""

_decode_progress = decoding.msgpack_decoder(upkeep.WaveProgress)


class UpkeepController:
    """Closes workers, starts the upkeep of machines and reports progress."""

    def __init__(
        self,
        context: node_context.Context,
        term: terms.Term,
        scheduler: schedulers.FleetScheduler,
        writer: writers.TermWriter,
    ) -> None:
        self._context = context
        self._term = term
        self._scheduler = scheduler
        self._writer = writer
        self._wave_runs_by_number: dict[int, upkeep.WaveRun] = {}

    async def run(self) -> None:
        """Execute waves until cancelled."""
        while True:
            for number, received in list(self._context.waves().items()):
                if number not in self._wave_runs_by_number:
                    await self._start_wave(received)
            active = [
                run
                for run in self._wave_runs_by_number.values()
                if not run.progress.completed
            ]
            self._close_machines(active)
            if active and self._term.may_start_work(clock.now()):
                try:
                    await self._advance(active)
                except errors.PlatformError as error:
                    logs.limited_warning(
                        'upkeep.failed', 'list', error.message
                    )
                except Exception as error:
                    # One wave must not end the term.
                    logs.unexpected('upkeep.failed', '', error)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _start_wave(self, received: upkeep.ReceivedWave) -> None:
        wave = received.wave
        key = str(wave.number)
        try:
            page = await self._context.store.read(
                records.UPKEEP_TABLE, key, key + '\x00'
            )
        except errors.PlatformError as error:
            logs.limited_warning('upkeep.failed', key, error.message)
            return
        progress = None
        if page.rows:
            try:
                progress = _decode_progress(page.rows[0].value)
            except msgspec.DecodeError as error:
                # The platform confirms the upkeep of a machine that has
                # already begun.
                logs.limited_warning('upkeep.bad_row', key, error)
        run = upkeep.WaveRun(
            wave,
            received.received_at,
            self._context.bounds.upkeep_s,
            progress,
            clock.now(),
        )
        self._wave_runs_by_number[wave.number] = run
        self._context.log.write(
            'upkeep.begun',
            wave=wave.number,
            machines=len(wave.machines),
            max_down=wave.max_down,
            deadline_s=wave.deadline_s,
        )
        if not run.progress.completed:
            self._store_progress(run)

    def _store_progress(self, run: upkeep.WaveRun) -> asyncio.Event:
        """Store the progress; return an event that is set once it is."""
        number = run.wave.number
        progress = ports.Put(
            records.UPKEEP_TABLE,
            str(number),
            msgspec.msgpack.encode(run.progress),
        )
        status = self._context.registry.wave_status(
            number, run.progress.completed
        )
        return self._writer.store([progress, status])

    async def _advance(self, active: list[upkeep.WaveRun]) -> None:
        sent_at = clock.now()
        states = await self._context.machines.list_machines()
        for run in active:
            run.record_states(sent_at, states)
        # No work starts on a machine between its selection and its order.
        self._close_machines(active)
        for run in active:
            for machine in run.unconfirmed():
                await self._begin_machine_upkeep(run, machine)
            if run.is_complete:
                run.progress.completed = True
                self._store_progress(run)
                self._context.log.write(
                    'upkeep.completed', wave=run.wave.number
                )
                continue
            calls = run.begin_next(
                clock.now(),
                upkeep.index_by_machine(self._scheduler.workers_by_id),
            )
            if calls:
                await self._store_progress(run).wait()
            for machine in calls:
                await self._begin_machine_upkeep(run, machine)
        self._close_machines(active)

    def _close_machines(self, active: list[upkeep.WaveRun]) -> None:
        self._scheduler.close_machines(
            machine
            for run in active
            if not run.progress.completed
            for machine in run.closed_machines()
        )

    async def _begin_machine_upkeep(
        self, run: upkeep.WaveRun, machine: str
    ) -> None:
        if not self._term.may_start_work(clock.now()):
            return
        run.mark_sent(clock.now(), machine)
        try:
            begun = await self._context.machines.begin_upkeep(
                machine,
                run.wave.number,
                self._context.vm_id,
                self._term.number,
            )
        except errors.PlatformError as error:
            # The upkeep may have begun.  The order is repeated, and the other
            # machines don't wait for its answer.
            run.mark_unanswered(machine)
            logs.limited_warning('upkeep.no_answer', machine, error.message)
            return
        self._context.log.write(
            'upkeep.ordered',
            wave=run.wave.number,
            machine=machine,
            begun=begun,
        )
        if begun:
            run.mark_acknowledged(machine)
            self._store_progress(run)
        else:
            run.mark_refused(machine)
