"""A plain service that misbehaves on command and writes down what it was asked and what it ran."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from lentilwell._clock import BootClock
from soak.observations import Arrival, Observations, Said
from standins.loopback import listen

WORK_S = 0.01
# Longer than any deadline.
LONGEST_MUTE_S = 60
CLOSED_MS = 1_500
INSTANCE_HEADER = "x-instance"

Mode = Callable[["Desk", dict[str, str], asyncio.StreamWriter], Awaitable[None]]
MODES: dict[str, Mode] = {}


def mode(name: str) -> Callable[[Mode], Mode]:
    """Register a way to answer under a name."""

    def register(function: Mode) -> Mode:
        MODES[name] = function
        return function

    return register


class Desk:
    """One server; ``life`` counts its starts, ``leaving`` goes with all its answers."""

    def __init__(self, name: str, seen: Observations) -> None:
        self.name = name
        self.mode = "sound"
        self.life = 1
        self.leaving = False
        self.address = ""
        self._seen = seen
        self._clock = BootClock()

    async def start(self) -> str:
        """Listen and return the address."""
        self._server, self.address = await listen(self._serve)
        return self.address

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    def begin_life(self) -> None:
        """Start anew under the same name."""
        self.life += 1
        self.leaving = False
        self.mode = "sound"

    def note(self, headers: dict[str, str], ran: bool) -> None:
        """Write down that a request came."""
        instance = headers.get(INSTANCE_HEADER, "")
        arrival = Arrival(
            headers["request-id"], self.name, self.life, instance, self._clock.now(), ran
        )
        self._seen.arrivals.append(arrival)

    def say(self, headers: dict[str, str], closed_ms: int = 0) -> None:
        """Write down what the answer that goes out now says of this server."""
        now = self._clock.now()
        if self.leaving or closed_ms:
            instance = headers.get(INSTANCE_HEADER, "")
            until = now + closed_ms if closed_ms else 0
            said = Said(self.name, self.life, instance, now, self.leaving, until)
            self._seen.said.append(said)

    def format(self, headers: dict[str, str], status: int, body: bytes, **more: str) -> bytes:
        """Return the bytes of an answer."""
        rows = {"Request-Id": headers["request-id"], "Content-Length": str(len(body)), **more}
        if status <= 500:
            rows["Server-Stamp"] = f"s-{self.name}"
        if self.leaving:
            rows["Server-Leaving"] = "1"
        text = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in rows.items())
        return f"HTTP/1.1 {status} X\r\n{text}\r\n".encode() + body

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                _, *rows = head[:-4].decode().split("\r\n")
                headers = {n.lower(): v.strip() for n, _, v in (r.partition(":") for r in rows)}
                await reader.readexactly(int(headers.get("content-length", 0)))
                if headers.get("expect-instance") != self.name:
                    writer.write(self.format(headers, 421, b"", Instance_Id=self.name))
                    continue
                await MODES[self.mode](self, headers, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            writer.close()


def find_body(request: str) -> bytes:
    """Return the body that a request is answered with: its own."""
    return f"answer to {request}".encode()


@mode("sound")
async def answer(desk: Desk, headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
    """Run the request and answer it."""
    desk.note(headers, ran=True)
    await asyncio.sleep(WORK_S)
    desk.say(headers)
    writer.write(desk.format(headers, 200, find_body(headers["request-id"])))


@mode("shed")
async def shed(desk: Desk, headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
    """Turn the request away."""
    desk.note(headers, ran=False)
    desk.say(headers)
    writer.write(desk.format(headers, 503, b"", Not_Run="1"))


@mode("closed")
async def close(desk: Desk, headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
    """Turn the request away and want nothing for a while."""
    desk.note(headers, ran=False)
    desk.say(headers, CLOSED_MS)
    seconds = f"{CLOSED_MS / 1_000}"
    writer.write(desk.format(headers, 503, b"", Not_Run="1", Retry_After=seconds))


@mode("twice")
async def answer_twice(desk: Desk, headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
    """Run the request, and send a second copy of the answer late."""
    await answer(desk, headers, writer)
    copy = desk.format(headers, 200, find_body(headers["request-id"]))
    asyncio.get_running_loop().call_later(5 * WORK_S, _write_late, writer, copy)


@mode("torn")
async def tear(desk: Desk, headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
    """Run the request and break off in the middle of the answer."""
    desk.note(headers, ran=True)
    desk.say(headers)
    writer.write(desk.format(headers, 200, find_body(headers["request-id"]))[:-3])
    await writer.drain()
    writer.transport.abort()


@mode("mute")
async def stay_mute(desk: Desk, headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
    """Run the request and answer nothing."""
    desk.note(headers, ran=True)
    await asyncio.sleep(LONGEST_MUTE_S)


@mode("failing")
async def fail(desk: Desk, headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
    """Run the request and fail."""
    desk.note(headers, ran=True)
    desk.say(headers)
    writer.write(desk.format(headers, 500, b"failed"))


def _write_late(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)
