"""Whether a request has run, as far as that is known."""

import enum


class Verdict(enum.Enum):
    """Whether a request may have had an effect at an upstream."""

    NOT_RUN = 'not_run'
    """The request certainly had no effect; sending it again is safe."""

    MAY_HAVE_RUN = 'may_have_run'
    """The outcome is unknown; only an idempotent request may be resent."""

    RAN = 'ran'
    """The upstream answered, so the request has run."""

    def allows_retry(self, idempotent: bool) -> bool:
        """Return whether the system may send the request again.

        :param idempotent: whether the caller marked it as idempotent.
        """
        if self is Verdict.NOT_RUN:
            return True
        return self is Verdict.MAY_HAVE_RUN and idempotent
