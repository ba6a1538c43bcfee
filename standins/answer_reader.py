"""Reads answers as a caller of the gateway sees them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True)
class Answer:
    """An answer as a caller sees it; ``complete`` tells whether it reached its end."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer, framed by length or in chunks, or cut off."""
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
