"""A pool of connections to upstreams, by address."""

from __future__ import annotations

import sys
import weakref
from collections.abc import Iterable

from lentilwell._clock import Clock
from lentilwell.gateway._answer_memory import MAX_HELD_BYTES, AnswerMemory
from lentilwell.gateway._connection import HttpConnection
from lentilwell.gateway._connector import Connector
from lentilwell.gateway.tunnels import TunnelClient

# A connection is dropped this long before the upstream's idle limit: the upstream closes it by its
# own clock, and the close takes time to arrive.
IDLE_MARGIN_MS = 400
# The idle limit of upstreams that do not say how long they keep an idle connection open.
DEFAULT_IDLE_LIMIT_MS = 2_000
# An upstream has one connection limit, which the connections of all instances share.
MAX_IDLE_PER_UPSTREAM = 6


class ConnectionPool:
    """Keeps idle connections and opens new ones.

    Unfinished answers hold at most ``max_answer_bytes`` together. Idle connections are closed when
    a new one gets a descriptor number from ``max_descriptor`` on: the lowest free one is given out.
    With ``tunnels``, new connections go through other instances while this one has no path.
    """

    def __init__(
        self,
        clock: Clock,
        max_answer_bytes: int = MAX_HELD_BYTES,
        max_descriptor: int = sys.maxsize,
        tunnels: TunnelClient | None = None,
    ) -> None:
        self._clock = clock
        self._memory = AnswerMemory(min(max_answer_bytes, MAX_HELD_BYTES))
        self._connector = Connector(clock, tunnels)
        self._max_descriptor = max_descriptor
        self._idle: dict[str, list[HttpConnection]] = {}
        self._connections: dict[str, weakref.WeakSet[HttpConnection]] = {}
        self.opened = 0

    @property
    def path_cut(self) -> bool:
        """Tell whether new connections go through other instances."""
        return self._connector.path.cut

    def record_unreachable(self, address: str) -> None:
        """Record that a connection for another instance failed, which tells of the path as well."""
        self._connector.path.record_failure(address, self._clock.now())

    async def acquire(self, address: str, fresh: bool) -> HttpConnection:
        """Return an idle or new connection; with ``fresh``, always a new one.

        One that has ended, or on which bytes have arrived that belong to no request, is not used,
        even if the event loop has not read them yet.

        Raise ``Unreachable`` if no connection can be opened.
        """
        idle = self._idle.get(address, [])
        while idle and not fresh:
            connection = idle.pop()
            if self._can_reuse(connection) and not connection.has_unread_bytes():
                return connection
            connection.close()
        self.opened += 1
        return self._register(address, await self._connector.open(address, self._memory))

    async def probe(self, address: str) -> HttpConnection:
        """Return a new connection, which may show that this instance has no path to upstreams.

        Raise ``Unreachable`` if no connection can be opened.
        """
        self.opened += 1
        return self._register(address, await self._connector.probe(address, self._memory))

    async def probe_path(self, address: str) -> None:
        """Open a direct connection, which ends the use of other instances if it succeeds.

        Raise ``Unreachable`` if it cannot be opened.
        """
        self.opened += 1
        connection = await self._connector.open_directly(address, self._memory)
        self.close()
        self.release(address, self._register(address, connection))

    def _register(self, address: str, connection: HttpConnection) -> HttpConnection:
        self._connections.setdefault(address, weakref.WeakSet()).add(connection)
        if connection.descriptor >= self._max_descriptor:
            self.close()
        return connection

    def report_silence(self, address: str, min_silent_ms: int) -> None:
        """Report the silence of an unreachable upstream that has sent nothing for that long."""
        for connection in list(self._connections.get(address, ())):
            connection.report_silence(min_silent_ms)

    def leave_path(self, min_silent_ms: int) -> None:
        """Close all idle connections, and report the silence of the others.

        Called when the path to all upstreams is found to be cut.
        """
        self.close()
        for address in list(self._connections):
            self.report_silence(address, min_silent_ms)

    def release(self, address: str, connection: HttpConnection) -> None:
        """Put a connection back into the pool, or drop it if it cannot be reused."""
        if not connection.reusable:
            return
        idle = self._idle.setdefault(address, [])
        if len(idle) >= MAX_IDLE_PER_UPSTREAM:
            idle.pop(0).close()
        idle.append(connection)

    def prune(self, addresses: Iterable[str]) -> None:
        """Close the idle connections to upstreams that are gone, and those idle for too long."""
        known = set(addresses)
        for address in list(self._idle):
            kept: list[HttpConnection] = []
            for connection in self._idle[address]:
                if address in known and self._can_reuse(connection):
                    kept.append(connection)
                else:
                    connection.close()
            self._idle[address] = kept
            if not kept:
                del self._idle[address]
        for address in list(self._connections):
            if not self._connections[address]:
                del self._connections[address]

    def close(self) -> None:
        """Close all idle connections."""
        self.prune(())

    def _can_reuse(self, connection: HttpConnection) -> bool:
        limit_ms = (
            connection.idle_limit_ms
            if connection.idle_limit_ms is not None
            else DEFAULT_IDLE_LIMIT_MS
        )
        idle_ms = self._clock.now() - connection.idle_since
        return connection.reusable and idle_ms < limit_ms - IDLE_MARGIN_MS
