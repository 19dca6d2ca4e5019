"""What the holder shows operators of the scheduler's decisions."""

from samphirestack.fleet import actions
from samphirestackd.fleet import node_context


class DecisionReporter:
    """Writes decisions to the log and counts them."""

    def __init__(self, context: node_context.Context) -> None:
        self._context = context

    def report(self, action: actions.Report) -> None:
        """Report one decision."""
        if isinstance(action, actions.ReportInterference):
            self._report_interference(action)
        elif isinstance(action, actions.ReportCrash):
            self._report_crash(action)
        elif isinstance(action, actions.ReportGivenUp):
            self._report_given_up(action)
        elif isinstance(action, actions.ReportStopDecided):
            self._report_stop_decided(action)
        elif isinstance(action, actions.ReportStalled):
            self._report_stalled(action)
        elif isinstance(action, actions.ReportCopy):
            self._report_copy(action)
        elif isinstance(action, actions.ReportDisplacement):
            self._report_displacement(action)
        elif isinstance(action, actions.ReportStopOverdue):
            self._report_stop_overdue(action)
        elif isinstance(action, actions.ReportRunLost):
            self._report_run_lost(action)
        elif isinstance(action, actions.ReportRestart):
            self._report_restart(action)
        elif isinstance(action, actions.ReportSurplusRun):
            self._report_surplus_run(action)
        else:
            self._report_listed_early(action)

    def _report_interference(self, action: actions.ReportInterference) -> None:
        change = action.change
        self._context.log.write(
            'interference.learned',
            victim=change.victim,
            neighbour=change.neighbour,
            disturbs=change.disturbs,
            effect=round(change.effect, 3),
            evidence=round(change.evidence, 1),
        )

    def _report_crash(self, action: actions.ReportCrash) -> None:
        self._context.metrics.worker_crashes.inc(
            {'suspects': 'some' if action.suspect_ids else 'none'}
        )
        self._context.log.write(
            'worker.crashed',
            worker=action.worker.worker_id,
            machine=action.worker.machine,
            lost=len(action.lost_task_ids),
            suspects=list(action.suspect_ids),
        )

    def _report_given_up(self, action: actions.ReportGivenUp) -> None:
        self._context.metrics.jobs_given_up.inc({})
        self._context.log.write(
            'job.given_up',
            job_id=action.job_id,
            task_id=action.task_id,
            crashes=len(action.worker_ids),
            workers=list(action.worker_ids),
            reason='the workers that start the task crash',
        )

    def _report_stop_decided(self, action: actions.ReportStopDecided) -> None:
        self._context.metrics.stops_decided.inc({'reason': action.reason})
        self._context.log.write(
            'run.stop_decided',
            task_id=action.task_id,
            run=action.run,
            worker=action.worker_id,
            reason=action.reason,
            start_answered=action.start_answered,
        )

    def _report_stalled(self, action: actions.ReportStalled) -> None:
        self._context.log.write(
            'run.stalled',
            task_id=action.task_id,
            run=action.run,
            worker=action.worker_id,
            percent=action.percent,
            still_s=round(action.still_s, 3),
            running_s=round(action.running_s, 3),
            estimate_s=action.estimate_s,
            member_percents=list(action.member_percents),
            members_unconfirmed=action.members_unconfirmed,
        )

    def _report_copy(self, action: actions.ReportCopy) -> None:
        self._context.metrics.copies.inc({})
        self._context.log.write(
            'task.copied',
            task_id=action.task_id,
            run=action.run,
            worker=action.worker_id,
            slow_worker=action.slow_worker_id,
        )

    def _report_displacement(self, action: actions.ReportDisplacement) -> None:
        self._context.metrics.displacements.inc({})
        self._context.log.write(
            'step.displaces_runs',
            step_id=action.step_id,
            runs=action.runs,
            tasks=action.tasks,
            lost_core_s=round(action.lost_core_s, 1),
            gained_core_s=round(action.gained_core_s, 1),
        )

    def _report_stop_overdue(self, action: actions.ReportStopOverdue) -> None:
        if action.accepted:
            cause = 'accepted'
        elif action.orders:
            cause = 'not_accepted'
        else:
            cause = 'not_sent'
        self._context.metrics.stops_overdue.inc({'cause': cause})
        self._context.log.write(
            'run.stop_overdue',
            task_id=action.task_id,
            run=action.run,
            worker=action.worker_id,
            reason=action.reason,
            decided_s=round(action.decided_s, 3),
            orders=action.orders,
            accepted=action.accepted,
        )

    def _report_listed_early(self, action: actions.ReportListedEarly) -> None:
        self._context.log.write(
            'run.listed_early',
            task_id=action.task_id,
            run=action.run,
            worker=action.worker_id,
        )

    def _report_run_lost(self, action: actions.ReportRunLost) -> None:
        evidence = action.evidence.value
        self._context.metrics.runs_lost.inc({'evidence': evidence})
        self._context.log.write(
            'run.lost',
            task_id=action.task_id,
            run=action.run,
            worker=action.worker_id,
            evidence=evidence,
            start=action.state.value,
            ordered_s=round(action.ordered_s, 3),
        )

    def _report_restart(self, action: actions.ReportRestart) -> None:
        source = action.learned_from.value
        self._context.metrics.worker_restarts.inc({'source': source})
        self._context.log.write(
            'worker.restarted',
            worker=action.worker_id,
            source=source,
            former_started_ms=action.former_started_unix_ms,
            started_ms=action.started_unix_ms,
            lost=list(action.lost_task_ids),
            open=list(action.open_task_ids),
            token=action.token,
        )

    def _report_surplus_run(self, action: actions.ReportSurplusRun) -> None:
        self._context.metrics.surplus_runs.inc({})
        self._context.log.write(
            'run.surplus',
            task_id=action.task_id,
            run=action.run,
            worker=action.worker_id,
            placed_run=action.placed_run,
        )
