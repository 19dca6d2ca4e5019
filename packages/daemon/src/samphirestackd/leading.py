"""What this node knows while it leads, for the operators' interface."""

from collections.abc import Mapping

from samphirestack import model


class Leading:
    """Answers of the schedulers of this zone."""

    def explain_job(self, job_id: model.JobId) -> str | None:
        """Return why a job waits, or ``None`` if this node can't tell."""
        return None

    def explain_share(self, team: model.TeamId) -> object | None:
        """Return a team's standing, or ``None`` if this node can't tell."""
        return None

    def worker_states(self) -> Mapping[model.VmId, str]:
        """Return the state of each worker of the zone in a word."""
        return {}
