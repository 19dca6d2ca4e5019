"""What heartbeats tell of this node."""

import msgspec

from samphirestack import model


class NodeStatus(msgspec.Struct, frozen=True):
    """State of this node as it goes into each heartbeat."""

    revision: model.Revision = model.Revision(0)
    promised: model.Revision = model.Revision(0)
    leader: model.VmId = model.VmId('')
    """Leader of the own zone that this node is or hears itself."""
    epoch: model.Epoch = model.Epoch(0)
    draining: bool = False
    fresh: bool = False
