"""The other entry instances: who they are, authenticated connections to them, and what they tell.

Here belong the list of members, the handshake, the codec and the bounded traffic between instances.
"""

from lentilwell.peers._membership import MEMBERS_INTERVAL_MS, MembersPoller
from lentilwell.peers._network import (
    REFRESH_INTERVAL_MS,
    PeerNetwork,
    PeersContext,
    register_peer_runners,
)

__all__ = [
    "MEMBERS_INTERVAL_MS",
    "REFRESH_INTERVAL_MS",
    "MembersPoller",
    "PeerNetwork",
    "PeersContext",
    "register_peer_runners",
]
