"""Listening on loopback, for stand-ins that serve raw connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def listen(serve: Serve, port: int = 0) -> tuple[asyncio.Server, str]:
    """Serve each connection with ``serve``; return the server and its host:port."""
    server = await asyncio.start_server(serve, "127.0.0.1", port)
    host, bound = server.sockets[0].getsockname()[:2]
    return server, f"{host}:{bound}"
