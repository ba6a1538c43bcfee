"""A stand-in engine over HTTP that runs the batch model in real time.

It serves event streams, prefills parts of prompts for other engines and grants memory leases.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from lentilwell.gateway import EngineSpec
from standins.batch import ENGINE, Batch, BatchJob
from standins.loopback import listen
from standins.pauses import NO_PAUSE, Pause, PausePoint
from standins.received_request import ReceivedRequest, read_request

EVENT_BYTES = 20
DISCONNECT_POLL_S = 0.02


@dataclass
class Lease:
    """Memory reserved for a request until ``expires_at_s`` on the monotonic clock."""

    tokens: int
    expires_at_s: float


@dataclass
class BatchServer:
    """One engine.

    ``engines_by_address`` holds all engines, so that an engine can add prefill jobs to the others.
    Passes run ``speed`` times faster than in the batch model. While ``rate_limit`` is set, every
    answer names it. ``on_request`` is called with each request for a stream, and ``on_naming`` with
    the headers of each one whose answer names the limit. ``draw_pause`` returns the pause of each
    stream, and ``on_pause`` is called with the headers as it begins. The engine ends when it has
    begun to write the answer to a request for which ``is_deadly`` is true, and calls ``on_crash``
    with that request, or with None if it ended by itself.
    """

    name: str
    engines_by_address: dict[str, BatchServer]
    spec: EngineSpec = ENGINE
    speed: float = 1.0
    address: str = ""
    served_request_ids: list[str] = field(default_factory=list)
    stream_numbers: Iterator[int] = field(default_factory=itertools.count)
    leases: dict[str, Lease] = field(default_factory=dict)
    rate_limit: float | None = None
    on_request: Callable[[ReceivedRequest], None] = lambda request: None
    on_naming: Callable[[dict[str, str]], None] = lambda headers: None
    draw_pause: Callable[[], Pause] = lambda: NO_PAUSE
    on_pause: Callable[[dict[str, str], Pause], None] = lambda headers, pause: None
    is_deadly: Callable[[ReceivedRequest], bool] = lambda request: False
    on_crash: Callable[[ReceivedRequest | None], None] = lambda cause: None
    connections: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> str:
        """Listen on loopback and return the address."""
        self.batch = Batch(self.spec)
        self.prefill_events: dict[str, asyncio.Event] = {}
        self.event_queues: dict[str, asyncio.Queue[None]] = {}
        self._work_added = asyncio.Event()
        self._server, self.address = await listen(self._serve_connection)
        self._passes = asyncio.get_running_loop().create_task(self._run_passes())
        self.engines_by_address[self.address] = self
        return self.address

    def close(self) -> None:
        """Stop listening and running passes."""
        self._server.close()
        self._passes.cancel()

    def crash(self, cause: ReceivedRequest | None = None) -> None:
        """End at once: reset all connections and accept none."""
        self.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.on_crash(cause)

    def add_job(self, job: BatchJob) -> asyncio.Event:
        """Add a job and return an event that is set once its prefill is done."""
        self.prefill_events[job.name] = asyncio.Event()
        self.batch.add(job)
        self._work_added.set()
        return self.prefill_events[job.name]

    def remove_job(self, name: str) -> None:
        """Remove the job of a request and its events."""
        self.batch.remove(name)
        self.prefill_events.pop(name, None)
        self.event_queues.pop(name, None)

    def is_lease_active(self, lease_id: str) -> bool:
        """Return whether a lease exists and has not expired."""
        known = self.leases.get(lease_id)
        return known is not None and known.expires_at_s > time.monotonic()

    async def _run_passes(self) -> None:
        while True:
            result = self.batch.run_pass()
            if result is None:
                self._work_added.clear()
                await self._work_added.wait()
                continue
            await asyncio.sleep(result.duration_ms / 1_000 / self.speed)
            for name in result.prefilled:
                if name in self.prefill_events:
                    self.prefill_events[name].set()
            for name in result.decoded:
                if name in self.event_queues:
                    self.event_queues[name].put_nowait(None)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections.add(writer)
        try:
            while True:
                await self._answer(await read_request(reader), reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        headers, body = request.headers, request.body
        if headers.get("expect-instance", self.name) != self.name:
            _write_response(writer, 421, b"", {"Instance-Id": self.name})
        elif request.path == "/order":
            _write_response(writer, *self._handle_order(json.loads(body)), self._name_limit())
        elif "token-count" in headers:
            self.on_request(request)
            name = f"{self.name}.{next(self.stream_numbers)}"
            work = asyncio.ensure_future(self._serve_stream(name, request, writer))
            disconnect = asyncio.ensure_future(_wait_for_disconnect(reader))
            await asyncio.wait((work, disconnect), return_when=asyncio.FIRST_COMPLETED)
            disconnect.cancel()
            if not work.done():
                work.cancel()
                self._remove_from_all(name)
                raise ConnectionResetError
            await work
        else:
            self.served_request_ids.append(headers["request-id"])
            answer = {"Request-Id": headers["request-id"], "Server-Stamp": f"s-{self.name}"}
            answer.update(self._name_limit())
            _write_response(writer, 200, body or b"looked up", answer)
        await writer.drain()

    def _name_limit(self) -> dict[str, str]:
        """Return the header that names the rate limit, if there is one."""
        return {} if self.rate_limit is None else {"Server-Limit": str(self.rate_limit)}

    def _handle_order(self, order: dict[str, object]) -> tuple[int, bytes]:
        lease_id = str(order["id"])
        if order["operation"] == "release":
            self.leases.pop(lease_id, None)
            return 200, b"{}"
        now = time.monotonic()
        leased_tokens = sum(
            other.tokens
            for name, other in self.leases.items()
            if name != lease_id and other.expires_at_s > now
        )
        tokens = int(str(order["tokens"]))
        if leased_tokens + tokens > self.spec.memory_tokens:
            return 409, b"{}"
        self.leases[lease_id] = Lease(tokens, now + int(str(order["hold_ms"])) / 1_000)
        return 200, b"{}"

    async def _serve_stream(
        self, name: str, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        headers, request_id = request.headers, request.request_id
        prompt, answer = (int(part) for part in headers["token-count"].split(","))
        events = max(1, answer // self.spec.steps_per_pass)
        helpers = [entry.split("/") for entry in headers.get("helpers", "").split(",") if entry]
        refusal = self._find_refusal(prompt, helpers)
        if refusal is not None:
            refusal |= {"Not-Run": "1", "Request-Id": request_id, **self._name_limit()}
            _write_response(writer, 503, b"", refusal)
            return
        parts = len(helpers) + 1
        prefill_events = [
            self.engines_by_address[helper[0]].add_job(
                BatchJob(name, prompt, 0, parts, decodes=False)
            )
            for helper in helpers
        ]
        job = BatchJob(name, prompt, events, parts)
        job.may_decode = not helpers
        self.event_queues[name] = asyncio.Queue()
        prefill_events.append(self.add_job(job))
        await asyncio.gather(*(event.wait() for event in prefill_events))
        job.may_decode = True
        self._work_added.set()
        self.served_request_ids.append(request_id)
        pause = self.draw_pause()
        await self._hold(PausePoint.BEFORE_HEAD, pause, headers)
        head = f"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nRequest-Id: {request_id}\r\n"
        limit = "".join(f"{name}: {value}\r\n" for name, value in self._name_limit().items())
        if limit:
            self.on_naming(headers)
        writer.write(f"{head}{limit}Server-Stamp: s-{self.name}\r\n\r\n".encode())
        if self.is_deadly(request):
            await writer.drain()
            self.crash(request)
            raise ConnectionResetError
        await self._hold(PausePoint.AFTER_HEAD, pause, headers)
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, events + 1):
            if number == (first + events + 1) // 2:
                await self._hold(PausePoint.INSIDE_BODY, pause, headers)
            await self._write_event(name, number, writer)
        writer.write(b"0\r\n\r\n")
        self._remove_from_all(name)

    async def _hold(self, point: PausePoint, pause: Pause, headers: dict[str, str]) -> None:
        """Pause a stream if it has a pause at this point; its engine goes on with the batch."""
        if pause.begins_at(point):
            self.on_pause(headers, pause)
            await pause.hold(point)

    def _find_refusal(self, prompt: int, helpers: list[list[str]]) -> dict[str, str] | None:
        leased_tokens = 0
        for address, *lease in helpers:
            other = self.engines_by_address.get(address)
            if other is None or (lease and not other.is_lease_active(lease[0])):
                return {"At-Server": address}
            leased_tokens += other.leases[lease[0]].tokens if lease else 0
        return {} if prompt - leased_tokens > self.spec.memory_tokens else None

    async def _write_event(self, name: str, number: int, writer: asyncio.StreamWriter) -> None:
        await self.event_queues[name].get()
        data = b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES)
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await writer.drain()

    def _remove_from_all(self, name: str) -> None:
        for engine in self.engines_by_address.values():
            engine.remove_job(name)


def list_parts(headers: dict[str, str]) -> list[str]:
    """Return the ids of the parts of a prompt."""
    return [entry.partition(":")[0] for entry in headers.get("prompt-prefix", "").split(",")]


def _write_response(
    writer: asyncio.StreamWriter, status: int, body: bytes, headers: dict[str, str]
) -> None:
    rows = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{rows}\r\n"
    writer.write(head.encode() + body)


async def _wait_for_disconnect(reader: asyncio.StreamReader) -> None:
    """Return once the caller has closed its side of the connection."""
    while not reader.at_eof():
        await asyncio.sleep(DISCONNECT_POLL_S)
