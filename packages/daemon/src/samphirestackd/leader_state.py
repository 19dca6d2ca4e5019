"""State of the zone's schedulers for the operator API."""

from collections.abc import Mapping

from samphirestack import model
from samphirestackd.controllers import requests
from samphirestackd.controllers import tasks


class LeaderState:
    """Queries to the request and task schedulers of this zone."""

    def __init__(
        self,
        request_controller: requests.RequestController,
        task_controller: tasks.TaskController,
    ) -> None:
        self._requests = request_controller
        self._tasks = task_controller

    def explain_job(self, job_id: model.JobId) -> str | None:
        """Return why a job waits, or ``None`` if this node has no answer."""
        return self._tasks.explain_job(job_id)

    def explain_share(self, team: model.TeamId) -> object | None:
        """Return a team's fair-share state, or ``None`` if unknown here."""
        return self._requests.explain_share(team)

    def worker_states(self) -> Mapping[model.VmId, str]:
        """Return the name of the state of each worker of the zone."""
        return {
            model.VmId(worker_id): state
            for worker_id, state in self._tasks.worker_states().items()
        }
