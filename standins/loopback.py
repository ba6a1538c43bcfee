"""Listens on loopback, for stand-ins that serve raw connections."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Awaitable, Callable

ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def find_own_ip() -> str:
    """Return a loopback address that no other process uses for its stand-ins.

    A stand-in that ends frees its port while gateways still call it. With an address for each
    process, none of these calls reaches a stand-in of another test run.
    """
    pid = os.getpid()
    return f"127.{220 + pid // 40_000 % 30}.{pid // 200 % 200}.{2 + pid % 200}"


async def listen(handle_connection: ConnectionHandler, port: int = 0) -> tuple[asyncio.Server, str]:
    """Pass each connection to ``handle_connection``; return the server and its ``host:port``."""
    server = await asyncio.start_server(handle_connection, find_own_ip(), port)
    host, bound_port = server.sockets[0].getsockname()[:2]
    return server, f"{host}:{bound_port}"
