"""Listening before a program is ready: who connects meanwhile waits instead of being refused."""

from __future__ import annotations

import socket

BACKLOG = 1_024


def listen_at(address: str) -> socket.socket:
    """Listen at host:port; the kernel takes connections until the program does.

    Raises ``OSError`` where the address cannot be had.
    """
    host, _, port = address.rpartition(":")
    return socket.create_server((host, int(port)), backlog=BACKLOG, reuse_port=False)
