"""Opens listening sockets before the program is ready to accept connections from them."""

from __future__ import annotations

import socket

LISTEN_BACKLOG = 1_024


def listen_at(address: str) -> socket.socket:
    """Return a socket that listens at ``host:port``.

    Until the program accepts connections, they wait in the kernel's backlog instead of being
    refused. Raises ``OSError`` if the address cannot be bound.
    """
    host, _, port = address.rpartition(":")
    return socket.create_server((host, int(port)), backlog=LISTEN_BACKLOG, reuse_port=False)
