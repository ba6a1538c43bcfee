"""A stand-in upstream that misbehaves on demand and records requests and announcements."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from lentilwell._clock import BootClock
from soak.observations import (
    Announcement,
    Arrival,
    DeadlyArrival,
    LimitNaming,
    Observations,
    PausedAnswer,
)
from standins.loopback import listen
from standins.pauses import NO_PAUSE, Pause, PausePoint
from standins.received_request import ReceivedRequest, read_request

SERVICE_TIME_S = 0.01
DUPLICATE_DELAY_S = 0.05
# Longer than the deadline of any call.
MUTE_S = 60
CLOSED_MS = 1_500
INSTANCE_HEADER = "x-instance"
# Modes in which a server runs nothing.
IDLE_MODES = ("shed", "closed")

AnswerMode = Callable[["FaultyServer", dict[str, str], asyncio.StreamWriter], Awaitable[None]]
MODES: dict[str, AnswerMode] = {}


def mode(name: str) -> Callable[[AnswerMode], AnswerMode]:
    """Register a function that answers one request under the name of a mode."""

    def register(function: AnswerMode) -> AnswerMode:
        MODES[name] = function
        return function

    return register


class FaultyServer:
    """One upstream of a plain service; the current mode decides how it answers.

    ``incarnation`` counts its starts. While ``leaving`` is set, every answer announces it, and
    while ``rate_limit`` is set, every answer names it. ``draw_pause`` returns the pause of each
    sound answer, and ``inside_answer`` holds the connections on which only a part of one has been
    written. The server ends when it begins to run a request with one of ``deadly_paths``, and calls
    ``on_crash``; it is ``down`` until it is restarted.
    """

    def __init__(self, name: str, observations: Observations) -> None:
        self.name = name
        self.mode = "sound"
        self.incarnation = 1
        self.leaving = False
        self.rate_limit: float | None = None
        self.inside_answer: set[asyncio.StreamWriter] = set()
        self.draw_pause: Callable[[], Pause] = lambda: NO_PAUSE
        self.address = ""
        self.deadly_paths: set[str] = set()
        self.on_crash: Callable[[], None] = lambda: None
        self.down = False
        self._connections: set[asyncio.StreamWriter] = set()
        self._observations = observations
        self._clock = BootClock()

    async def start(self) -> str:
        """Listen and return the address."""
        self._server, self.address = await listen(self._serve)
        return self.address

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    def restart(self) -> None:
        """Simulate a restart: a new incarnation with the same name and address."""
        self.incarnation += 1
        self.down = False
        self.leaving = False
        self.rate_limit = None
        self.mode = "sound"

    def crash(self) -> None:
        """End at once: reset all connections, and new ones until the restart."""
        self.down = True
        for writer in list(self._connections):
            writer.transport.abort()
        self.on_crash()

    def record_arrival(self, headers: dict[str, str], ran: bool) -> None:
        """Record a request and whether this server runs it."""
        instance = headers.get(INSTANCE_HEADER, "")
        arrival = Arrival(
            headers["request-id"], self.name, self.incarnation, instance, self._clock.now(), ran
        )
        self._observations.arrivals.append(arrival)

    def record_announcement(self, headers: dict[str, str], closed_ms: int = 0) -> None:
        """Record that the next answer announces a leave or a pause of ``closed_ms``, if any."""
        now = self._clock.now()
        if self.leaving or closed_ms:
            instance = headers.get(INSTANCE_HEADER, "")
            until = now + closed_ms if closed_ms else 0
            announcement = Announcement(
                self.name, self.incarnation, instance, now, self.leaving, until
            )
            self._observations.announcements.append(announcement)

    def record_pause(self, request: str, pause: Pause) -> None:
        """Record that the answer to a request pauses from now on."""
        now = self._clock.now()
        paused = PausedAnswer(request, self.name, now, now + pause.duration_ms)
        self._observations.pauses.append(paused)

    def write_later(self, writer: asyncio.StreamWriter, duplicate: bytes) -> None:
        """Write a second copy of an answer after ``DUPLICATE_DELAY_S``, not inside another answer.

        A copy inside the body of another answer could not be told from that body.
        """
        asyncio.get_running_loop().call_later(
            DUPLICATE_DELAY_S, self._write_duplicate, writer, duplicate
        )

    def _write_duplicate(self, writer: asyncio.StreamWriter, duplicate: bytes) -> None:
        if writer in self.inside_answer:
            self.write_later(writer, duplicate)
        elif not writer.is_closing():
            writer.write(duplicate)

    def format_answer(
        self, headers: dict[str, str], status: int, body: bytes, **extra_headers: str
    ) -> bytes:
        """Return the bytes of an answer; underscores in names of extra headers become hyphens."""
        answer_headers = {
            "Request-Id": headers["request-id"],
            "Content-Length": str(len(body)),
            **extra_headers,
        }
        if status <= 500:
            answer_headers["Server-Stamp"] = f"s-{self.name}"
        if self.leaving:
            answer_headers["Server-Leaving"] = "1"
        if self.rate_limit is not None:
            answer_headers["Server-Limit"] = str(self.rate_limit)
            self._record_naming(headers)
        header_lines = "".join(
            f"{name.replace('_', '-')}: {value}\r\n" for name, value in answer_headers.items()
        )
        return f"HTTP/1.1 {status} X\r\n{header_lines}\r\n".encode() + body

    def _record_naming(self, headers: dict[str, str]) -> None:
        instance = headers.get(INSTANCE_HEADER, "")
        naming = LimitNaming(self.name, self.incarnation, instance, self._clock.now())
        self._observations.namings.append(naming)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        try:
            while True:
                request = await read_request(reader)
                headers = request.headers
                if self.down or writer.is_closing():
                    raise ConnectionResetError
                if headers.get("expect-instance") != self.name:
                    writer.write(self.format_answer(headers, 421, b"", Instance_Id=self.name))
                    continue
                if request.path in self.deadly_paths and self.mode not in IDLE_MODES:
                    self._run_deadly(request)
                await MODES[self.mode](self, headers, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._connections.discard(writer)
            self.inside_answer.discard(writer)
            writer.close()

    def _run_deadly(self, request: ReceivedRequest) -> None:
        self.record_arrival(request.headers, ran=True)
        instance = request.headers.get(INSTANCE_HEADER, "")
        arrival = DeadlyArrival(request.path, self.name, instance, self._clock.now())
        self._observations.deadly_arrivals.append(arrival)
        self.crash()
        raise ConnectionResetError


def build_answer_body(request: str) -> bytes:
    """Return the body of the answer to a request; it contains the request id."""
    return f"answer to {request}".encode()


@mode("sound")
async def answer_request(
    server: FaultyServer, headers: dict[str, str], writer: asyncio.StreamWriter
) -> None:
    """Run the request and answer it correctly, with a pause within the answer if one is drawn."""
    pause = server.draw_pause()
    request = headers["request-id"]
    server.record_arrival(headers, ran=True)
    await asyncio.sleep(SERVICE_TIME_S)
    if writer.is_closing():
        raise ConnectionResetError
    if pause.duration_ms:
        server.record_pause(request, pause)
    await pause.hold(PausePoint.BEFORE_HEAD)
    server.record_announcement(headers)
    body = build_answer_body(request)
    answer = server.format_answer(headers, 200, body)
    body_begin = len(answer) - len(body)
    body_middle = body_begin + len(body) // 2
    server.inside_answer.add(writer)
    writer.write(answer[:body_begin])
    await pause.hold(PausePoint.AFTER_HEAD)
    writer.write(answer[body_begin:body_middle])
    await pause.hold(PausePoint.INSIDE_BODY)
    writer.write(answer[body_middle:])
    server.inside_answer.discard(writer)


@mode("shed")
async def shed(server: FaultyServer, headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
    """Refuse the request without running it."""
    server.record_arrival(headers, ran=False)
    server.record_announcement(headers)
    writer.write(server.format_answer(headers, 503, b"", Not_Run="1"))


@mode("closed")
async def refuse_temporarily(
    server: FaultyServer, headers: dict[str, str], writer: asyncio.StreamWriter
) -> None:
    """Refuse the request and ask for a pause of ``CLOSED_MS`` with Retry-After."""
    server.record_arrival(headers, ran=False)
    server.record_announcement(headers, CLOSED_MS)
    seconds = f"{CLOSED_MS / 1_000}"
    writer.write(server.format_answer(headers, 503, b"", Not_Run="1", Retry_After=seconds))


@mode("twice")
async def answer_twice(
    server: FaultyServer, headers: dict[str, str], writer: asyncio.StreamWriter
) -> None:
    """Run the request, answer it, and later send the same answer again."""
    await answer_request(server, headers, writer)
    duplicate = server.format_answer(headers, 200, build_answer_body(headers["request-id"]))
    server.write_later(writer, duplicate)


@mode("torn")
async def break_off_answer(
    server: FaultyServer, headers: dict[str, str], writer: asyncio.StreamWriter
) -> None:
    """Run the request and reset the connection within the body of the answer."""
    server.record_arrival(headers, ran=True)
    server.record_announcement(headers)
    writer.write(server.format_answer(headers, 200, build_answer_body(headers["request-id"]))[:-3])
    await writer.drain()
    writer.transport.abort()


@mode("mute")
async def leave_unanswered(
    server: FaultyServer, headers: dict[str, str], writer: asyncio.StreamWriter
) -> None:
    """Run the request and send no answer."""
    server.record_arrival(headers, ran=True)
    await asyncio.sleep(MUTE_S)


@mode("failing")
async def answer_failure(
    server: FaultyServer, headers: dict[str, str], writer: asyncio.StreamWriter
) -> None:
    """Run the request and answer with status 500."""
    server.record_arrival(headers, ran=True)
    server.record_announcement(headers)
    writer.write(server.format_answer(headers, 500, b"failed"))
