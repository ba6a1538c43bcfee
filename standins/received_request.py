"""Requests as stand-in upstreams read them from raw connections."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

TEAM = "tenant"


@dataclass(frozen=True, order=True)
class RequestContent:
    """What stays the same when a caller sends a request again."""

    path: str
    team: str
    body: bytes


@dataclass(frozen=True)
class ReceivedRequest:
    """A request; ``headers`` have names in lower case."""

    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.headers["request-id"]

    @property
    def content(self) -> RequestContent:
        """Return the content, without what differs each time that it is sent."""
        return RequestContent(self.path, self.headers.get(TEAM, ""), self.body)


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    """Read the next request; raise ``IncompleteReadError`` once the connection has ended."""
    head = await reader.readuntil(b"\r\n\r\n")
    line, *rows = head[:-4].decode().split("\r\n")
    headers = {n.lower(): v.strip() for n, _, v in (row.partition(":") for row in rows)}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return ReceivedRequest(line.split(" ")[1], headers, body)
