"""State of this node that heartbeats carry."""

import msgspec

from samphirestack import model


class NodeStatus(msgspec.Struct, frozen=True):
    """State of this node that is sent with each heartbeat."""

    revision: model.Revision = model.Revision(0)
    promised: model.Revision = model.Revision(0)
    leader: model.VmId = model.VmId('')
    """Leader of the own zone: this node, or the one whose claims it
    receives directly; empty if there is none."""
    epoch: model.Epoch = model.Epoch(0)
    draining: bool = False
    fresh: bool = False
