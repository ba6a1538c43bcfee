"""Listens on loopback, for stand-ins that serve raw connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def listen(handle_connection: ConnectionHandler, port: int = 0) -> tuple[asyncio.Server, str]:
    """Pass each connection to ``handle_connection``; return the server and its ``host:port``."""
    server = await asyncio.start_server(handle_connection, "127.0.0.1", port)
    host, bound_port = server.sockets[0].getsockname()[:2]
    return server, f"{host}:{bound_port}"
