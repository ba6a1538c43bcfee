"""A stand-in plain service that ends when it begins to run a deadly request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from standins.loopback import listen
from standins.received_request import ReceivedRequest, read_request

# A server that ends late does so this long after it has begun to run the request.
LATE_S = 0.03
ANSWER = b"done"


class CrashPoint(Enum):
    """When a server ends that runs a deadly request."""

    BEGIN = auto()
    AFTER_HEAD = auto()
    LATE = auto()


@dataclass
class CrashingServer:
    """One upstream of a plain service.

    It runs each request for the time that ``draw_service_s`` returns, all at once, and ends at
    ``point`` when it runs one for which ``is_deadly`` is true. ``on_request`` is called with each
    request, and ``on_crash`` with the one that ended the server, None if it ended by itself.
    """

    name: str
    is_deadly: Callable[[ReceivedRequest], bool]
    point: CrashPoint = CrashPoint.BEGIN
    draw_service_s: Callable[[], float] = lambda: 0.0
    on_request: Callable[[ReceivedRequest], None] = lambda request: None
    on_crash: Callable[[ReceivedRequest | None], None] = lambda cause: None
    address: str = ""
    ended: bool = False
    running: int = 0
    connections: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> str:
        """Listen on loopback and return the address."""
        self._server, self.address = await listen(self._serve)
        return self.address

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    def crash(self, cause: ReceivedRequest | None = None) -> None:
        """End at once: reset all connections and accept none."""
        self.ended = True
        self.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.on_crash(cause)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            while True:
                request = await read_request(reader)
                self._check_running()
                await self._answer(request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if request.headers.get("expect-instance", self.name) != self.name:
            writer.write(self._format_answer(421, {"Instance-Id": self.name}, b""))
            return
        self.on_request(request)
        self.running += 1
        try:
            if self.is_deadly(request):
                await self._run_deadly(request, writer)
            await asyncio.sleep(self.draw_service_s())
            self._check_running()
        finally:
            self.running -= 1
        writer.write(self._format_answer(200, self._sign(request), ANSWER))

    async def _run_deadly(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if self.point is CrashPoint.AFTER_HEAD:
            writer.write(self._format_answer(200, self._sign(request), ANSWER)[: -len(ANSWER)])
            await writer.drain()
        elif self.point is CrashPoint.LATE:
            await asyncio.sleep(LATE_S)
        self._check_running()
        self.crash(request)
        self._check_running()

    def _check_running(self) -> None:
        """Leave the requests unanswered that the end of the server has cut."""
        if self.ended:
            raise ConnectionResetError

    def _sign(self, request: ReceivedRequest) -> dict[str, str]:
        return {"Request-Id": request.request_id, "Server-Stamp": f"s-{self.name}"}

    def _format_answer(self, status: int, headers: dict[str, str], body: bytes) -> bytes:
        rows = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{rows}\r\n"
        return head.encode() + body
