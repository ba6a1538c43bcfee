"""Connections to upstreams through other instances, while this one has no path of its own."""

from lentilwell.gateway.tunnels._client import TunnelClient, TunnelPeer
from lentilwell.gateway.tunnels._path import UpstreamPath
from lentilwell.gateway.tunnels._server import TunnelServer

__all__ = [
    "TunnelClient",
    "TunnelPeer",
    "TunnelServer",
    "UpstreamPath",
]
