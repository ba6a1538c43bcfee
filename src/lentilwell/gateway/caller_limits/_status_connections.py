"""Bounds the connections to a status listener."""

from __future__ import annotations

import asyncio

# Some probers and scrapers at a time; each uses one connection.
MAX_STATUS_CONNECTIONS = 16


class StatusConnections:
    """The open connections of a listener; the newest ones are kept."""

    def __init__(self) -> None:
        self._open: dict[asyncio.Transport, None] = {}

    def add(self, transport: asyncio.Transport) -> None:
        """Add a connection, and close the one that was used last the longest time ago."""
        self._open[transport] = None
        if len(self._open) > MAX_STATUS_CONNECTIONS:
            oldest = next(iter(self._open))
            del self._open[oldest]
            oldest.abort()

    def record_use(self, transport: asyncio.Transport) -> None:
        """Record that a request was answered."""
        if transport in self._open:
            del self._open[transport]
            self._open[transport] = None

    def remove(self, transport: asyncio.Transport) -> None:
        """Remove a closed connection."""
        self._open.pop(transport, None)
