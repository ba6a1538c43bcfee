"""A minimal HTTP/1.1 server and client for the stand-ins of the cases. Standard library only."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or an answer. Header names are in lower case."""

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        return int(self.start.split(" ")[1])

    @property
    def target(self) -> str:
        return self.start.split(" ")[1]


async def read_message(reader: asyncio.StreamReader, *, is_answer: bool) -> Message | None:
    """Read one message; return None if the connection ended before it began."""
    head = bytearray()
    while not head.endswith(b"\r\n\r\n"):
        line = await reader.readline()
        if not line.endswith(b"\n"):
            if not head and not line:
                return None
            raise ConnectionError("the message ends early")
        head += line
    lines = head.decode("latin-1").split("\r\n")
    message = Message(lines[0])
    for line in filter(None, lines[1:]):
        name, _, value = line.partition(":")
        message.headers[name.strip().lower()] = value.strip()
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        message.body = await _read_chunks(reader)
    elif "content-length" in message.headers:
        message.body = await reader.readexactly(int(message.headers["content-length"]))
    elif is_answer:
        message.body = await reader.read()
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body


def format_answer(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None, close: bool = False
) -> bytes:
    """Return the bytes of a complete answer."""
    fields = {"Content-Length": str(len(body)), **(headers or {})}
    if close:
        fields["Connection"] = "close"
    rows = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status} -\r\n{rows}\r\n".encode() + body


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[bool]]


class Listener:
    """Serves one address. ``handler`` writes the answer and tells whether the connection stays."""

    def __init__(self, ip: str, handler: Handler) -> None:
        self.ip, self.port = ip, 0
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"{self.ip}:{self.port}"

    async def start(self) -> None:
        """Listen at the port of last time, or at a free one at first."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_message(reader, is_answer=False)) is not None:
                if not await self._handler(message, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(
    ip: str, port: int, method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> Message | None:
    """Send one request on a new connection; return its answer, None if there was none."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(ip, port)
        fields = {**headers, "Content-Length": str(len(body))}
        rows = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"{method} {target} HTTP/1.1\r\n{rows}\r\n".encode() + body)
        return await read_message(reader, is_answer=True)
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
