"""Communication with the other entry instances (the peers).

This package contains peer discovery, the authentication handshake, the message codec, and the
connections between instances, with bounds on their traffic.
"""

from lentilwell.peers._membership import MEMBERS_POLL_INTERVAL_MS, MembersPoller
from lentilwell.peers._network import (
    REFRESH_INTERVAL_MS,
    PeerNetwork,
    PeersContext,
    register_peer_runners,
)

__all__ = [
    "MEMBERS_POLL_INTERVAL_MS",
    "REFRESH_INTERVAL_MS",
    "MembersPoller",
    "PeerNetwork",
    "PeersContext",
    "register_peer_runners",
]
