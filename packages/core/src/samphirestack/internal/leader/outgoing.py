"""Messages that a scheduler wants to have sent."""

import msgspec

from samphirestack.internal import messages
from samphirestack import model


class Outgoing(msgspec.Struct, frozen=True):
    """A message and the node that it goes to."""

    to: model.VmId
    message: messages.AnyMessage
