"""Dispatch of the requests and jobs that this entry receives."""

from samphirestackd import context as contexts
from samphirestackd.dispatch import dispatcher
from samphirestackd.dispatch import timings as timing_types


def create(
    context: contexts.Context,
    timings: timing_types.Timings | None = None,
) -> dispatcher.Dispatcher:
    """Return the dispatcher of this entry.

    :param timings: replaces the default intervals.  By default only
        ``silent_after_s`` is read from the settings.
    """
    if timings is None:
        timings = timing_types.Timings(
            silent_after_s=context.settings.timing.silent_after_s
        )
    return dispatcher.Dispatcher(context, timings)
