"""A stand-in engine over HTTP: the batch model in real time, with streams, helpers and leases."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

from lentilwell.gateway import EngineSpec
from standins.batch import ENGINE, Batch, BatchJob
from standins.loopback import listen

EVENT_BYTES = 20
WATCH_S = 0.02


@dataclass
class Ticket:
    """Memory set aside until a moment of the monotonic clock, in seconds."""

    tokens: int
    until_s: float


@dataclass
class BatchServer:
    """One engine. ``fleet`` finds the other engines by address, to read parts on them."""

    name: str
    fleet: dict[str, BatchServer]
    spec: EngineSpec = ENGINE
    speed: float = 1.0
    address: str = ""
    served: list[str] = field(default_factory=list)
    numbers: Iterator[int] = field(default_factory=itertools.count)
    tickets: dict[str, Ticket] = field(default_factory=dict)

    async def start(self) -> str:
        """Listen on loopback and return the address."""
        self.batch = Batch(self.spec)
        self.read: dict[str, asyncio.Event] = {}
        self.events: dict[str, asyncio.Queue[None]] = {}
        self._wake = asyncio.Event()
        self._server, self.address = await listen(self._serve)
        self._passes = asyncio.get_running_loop().create_task(self._run_passes())
        self.fleet[self.address] = self
        return self.address

    def close(self) -> None:
        """Stop."""
        self._server.close()
        self._passes.cancel()

    def take(self, job: BatchJob) -> asyncio.Event:
        """Add a part to read; the event is set once it is read."""
        self.read[job.name] = asyncio.Event()
        self.batch.add(job)
        self._wake.set()
        return self.read[job.name]

    def drop(self, name: str) -> None:
        """Forget a request."""
        self.batch.remove(name)
        self.read.pop(name, None)
        self.events.pop(name, None)

    def holds(self, ticket: str) -> bool:
        """Tell whether a lease is in force."""
        found = self.tickets.get(ticket)
        return found is not None and found.until_s > time.monotonic()

    async def _run_passes(self) -> None:
        while True:
            result = self.batch.run_pass()
            if result is None:
                self._wake.clear()
                await self._wake.wait()
                continue
            await asyncio.sleep(result.length_ms / 1_000 / self.speed)
            for name in result.read:
                if name in self.read:
                    self.read[name].set()
            for name in result.wrote:
                if name in self.events:
                    self.events[name].put_nowait(None)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                line, *rows = head[:-4].decode().split("\r\n")
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (row.partition(":") for row in rows)
                }
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await self._answer(line.split(" ")[1], headers, body, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _answer(
        self,
        path: str,
        headers: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if headers.get("expect-instance", self.name) != self.name:
            _write(writer, 421, b"", {"Instance-Id": self.name})
        elif path == "/order":
            _write(writer, *self._order(json.loads(body)), {})
        elif "token-count" in headers:
            name = f"{self.name}.{next(self.numbers)}"
            work = asyncio.ensure_future(self._stream(name, headers, writer))
            leaving = asyncio.ensure_future(_watch_end(reader))
            await asyncio.wait((work, leaving), return_when=asyncio.FIRST_COMPLETED)
            leaving.cancel()
            if not work.done():
                work.cancel()
                self._drop_everywhere(name)
                raise ConnectionResetError
            await work
        else:
            self.served.append(headers["request-id"])
            answer = {"Request-Id": headers["request-id"], "Server-Stamp": f"s-{self.name}"}
            _write(writer, 200, body or b"looked up", answer)
        await writer.drain()

    def _order(self, order: dict[str, object]) -> tuple[int, bytes]:
        ticket = str(order["id"])
        if order["operation"] == "release":
            self.tickets.pop(ticket, None)
            return 200, b"{}"
        now = time.monotonic()
        others = sum(t.tokens for n, t in self.tickets.items() if n != ticket and t.until_s > now)
        tokens = int(str(order["tokens"]))
        if others + tokens > self.spec.memory_tokens:
            return 409, b"{}"
        self.tickets[ticket] = Ticket(tokens, now + int(str(order["hold_ms"])) / 1_000)
        return 200, b"{}"

    async def _stream(
        self, name: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        request_id = headers["request-id"]
        prompt, answer = (int(part) for part in headers["token-count"].split(","))
        events = max(1, answer // self.spec.steps_per_pass)
        helpers = [entry.split("/") for entry in headers.get("helpers", "").split(",") if entry]
        refusal = self._find_refusal(prompt, helpers)
        if refusal is not None:
            _write(writer, 503, b"", {"Not-Run": "1", "Request-Id": request_id, **refusal})
            return
        parts = len(helpers) + 1
        reading = [
            self.fleet[helper[0]].take(BatchJob(name, prompt, 0, parts, writes=False))
            for helper in helpers
        ]
        job = BatchJob(name, prompt, events, parts)
        job.released = not helpers
        self.events[name] = asyncio.Queue()
        reading.append(self.take(job))
        await asyncio.gather(*(one.wait() for one in reading))
        job.released = True
        self._wake.set()
        self.served.append(request_id)
        head = f"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nRequest-Id: {request_id}\r\n"
        writer.write(f"{head}Server-Stamp: s-{self.name}\r\n\r\n".encode())
        await self._write_events(name, int(headers.get("last-event-id", 0)), events, writer)
        self._drop_everywhere(name)

    def _find_refusal(self, prompt: int, helpers: list[list[str]]) -> dict[str, str] | None:
        held = 0
        for address, *ticket in helpers:
            other = self.fleet.get(address)
            if other is None or (ticket and not other.holds(ticket[0])):
                return {"At-Server": address}
            held += other.tickets[ticket[0]].tokens if ticket else 0
        return {} if prompt - held > self.spec.memory_tokens else None

    async def _write_events(
        self, name: str, last: int, events: int, writer: asyncio.StreamWriter
    ) -> None:
        for number in range(last + 1, events + 1):
            await self.events[name].get()
            data = b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES)
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def _drop_everywhere(self, name: str) -> None:
        for engine in self.fleet.values():
            engine.drop(name)


def _write(writer: asyncio.StreamWriter, status: int, body: bytes, headers: dict[str, str]) -> None:
    rows = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{rows}\r\n"
    writer.write(head.encode() + body)


async def _watch_end(reader: asyncio.StreamReader) -> None:
    """Return once the caller's bytes have ended."""
    while not reader.at_eof():
        await asyncio.sleep(WATCH_S)
