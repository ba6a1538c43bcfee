"""The listening sockets of a gateway process."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from lentilwell._listening import LISTEN_BACKLOG
from lentilwell.gateway._addresses import split_address

# Connections accepted in one round of the event loop, before the first of them can be refused.
ACCEPTED_PER_ROUND = 8


class Listeners:
    """Accepts connections at several addresses until it is closed."""

    def __init__(self) -> None:
        self._servers: list[asyncio.Server] = []

    async def listen(self, address: str, make_protocol: Callable[[], asyncio.BaseProtocol]) -> None:
        """Accept connections at ``host:port``; raise ``OSError`` if it cannot be bound."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        self._servers.append(await loop.create_server(make_protocol, host, port))

    async def accept(
        self, listener: socket.socket, make_protocol: Callable[[], asyncio.BaseProtocol]
    ) -> None:
        """Accept connections from a socket that listens, a few in each round of the event loop."""
        server = await asyncio.get_running_loop().create_server(
            make_protocol, sock=listener, backlog=ACCEPTED_PER_ROUND
        )
        # The number above is also the kernel's queue, which may be longer.
        listener.listen(LISTEN_BACKLOG)
        self._servers.append(server)

    def close(self) -> None:
        """Accept no more connections."""
        for server in self._servers:
            server.close()
