"""Connections between the daemons of a deployment."""

from samphirestackd.peers import links
from samphirestackd.peers import security
from samphirestackd.peers import status

Keys = security.Keys
NodeStatus = status.NodeStatus
PeerLinks = links.PeerLinks
read_keys = security.read_keys
