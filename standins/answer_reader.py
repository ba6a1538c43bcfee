"""Reads HTTP responses of a gateway on a raw connection."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True)
class Answer:
    """A response; ``complete`` is false if the connection ended before the body."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one response with a content length or chunked encoding, even if it is cut off."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    line, *rows = head[:-4].split("\r\n")
    headers = {n.lower(): v.strip() for n, _, v in (row.partition(":") for row in rows)}
    status = int(line.split(" ")[1])
    body, complete = b"", True
    try:
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readline(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        complete = False
    return Answer(status, headers, body, complete)
