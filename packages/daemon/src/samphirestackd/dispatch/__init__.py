"""Waiting and in-flight requests and the jobs of this entry."""

from samphirestackd import context as contexts
from samphirestackd.dispatch import dispatcher
from samphirestackd.dispatch import timings as timing_types


def create(
    context: contexts.Context,
    timings: timing_types.Timings | None = None,
) -> dispatcher.Dispatcher:
    """Return the dispatcher of this entry.

    :param timings: replaces the usual intervals; the silence after which
        an upstream is asked comes from the settings otherwise.
    """
    if timings is None:
        timings = timing_types.Timings(
            silent_after_s=context.settings.timing.silent_after_s
        )
    return dispatcher.Dispatcher(context, timings)
