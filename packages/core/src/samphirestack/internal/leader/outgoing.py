"""Messages that a scheduler hands to its caller to send."""

import msgspec

from samphirestack.internal import messages
from samphirestack import model


class Outgoing(msgspec.Struct, frozen=True):
    """A message and its recipient."""

    to: model.VmId
    message: messages.AnyMessage
