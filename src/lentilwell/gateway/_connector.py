"""Opens connections to upstreams: directly, or through other instances if there is no path."""

from __future__ import annotations

from lentilwell._clock import Clock
from lentilwell._log_lines import UpstreamPathCut, UpstreamPathRestored, write_line
from lentilwell.gateway._answer_memory import AnswerMemory
from lentilwell.gateway._connection import HttpConnection, open_http_connection
from lentilwell.gateway._failures import Unreachable
from lentilwell.gateway.tunnels import TunnelClient, UpstreamPath


class Connector:
    """Opens the connections of one instance; ``path`` decides by which way.

    Without ``tunnels``, all of them are direct. Connections with the same ``memory`` share its
    bound on what unfinished answers hold.
    """

    def __init__(self, clock: Clock, tunnels: TunnelClient | None = None) -> None:
        self._clock = clock
        self._tunnels = tunnels
        self.path = UpstreamPath()

    async def open(self, address: str, memory: AnswerMemory) -> HttpConnection:
        """Return a new connection to ``host:port``; raise ``Unreachable`` if that fails."""
        if self._tunnels is not None and self.path.cut:
            return await self._tunnels.open(address, memory)
        return await self.open_directly(address, memory)

    async def probe(self, address: str, memory: AnswerMemory) -> HttpConnection:
        """Return a new connection like ``open``, and find out whether the path is cut.

        Other instances are asked as well if this one cannot connect and its path is suspect.
        """
        try:
            return await self.open(address, memory)
        except Unreachable:
            now = self._clock.now()
            if self._tunnels is None or self.path.cut or not self.path.is_suspect(now):
                raise
            return await self._try_tunnel(self._tunnels, address, memory)

    async def open_directly(self, address: str, memory: AnswerMemory) -> HttpConnection:
        """Return a new direct connection; raise ``Unreachable`` if that fails."""
        try:
            connection = await open_http_connection(address, self._clock, memory)
        except Unreachable:
            self.path.record_failure(address, self._clock.now())
            raise
        if self.path.record_connection():
            write_line(UpstreamPathRestored(address))
        return connection

    async def _try_tunnel(
        self, tunnels: TunnelClient, address: str, memory: AnswerMemory
    ) -> HttpConnection:
        try:
            connection = await tunnels.open(address, memory)
        except Unreachable:
            self.path.record_no_tunnel(self._clock.now())
            raise
        if self.path.record_tunnel():
            write_line(UpstreamPathCut(address))
        return connection
