"""Stand-ins of the platform's store and of a plain service's servers, for the cases."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from dataclasses import dataclass
from urllib.parse import parse_qsl, urlsplit

from wire import Listener, Message, format_answer

BEGIN = time.monotonic()


def now_s() -> float:
    """Return the time since the start of the script, in seconds."""
    return time.monotonic() - BEGIN


class Record:
    """Writes what was sent, answered and run, a line each."""

    def __init__(self, path: str) -> None:
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115

    def write(self, text: str) -> None:
        self._file.write(f"{now_s():8.3f} {text}\n")
        self._file.flush()


@dataclass(frozen=True)
class Change:
    """A version of a row; ``value`` is None where the row was removed."""

    version: int
    table: str
    key: str
    value: bytes | None

    def encode(self) -> dict[str, object]:
        row: dict[str, object] = {
            "table": self.table,
            "part": "",
            "key": self.key,
            "schema_version": self.version,
        }
        if self.value is None:
            return {**row, "removed": True}
        return {**row, "value": base64.b64encode(self.value).decode()}


class Store:
    """The platform's store: rows, a feed of all their changes in order, and its whole history.

    Nothing is ever lost, late or refused.
    """

    def __init__(self, ip: str, record: Record) -> None:
        self.listener = Listener(ip, self._handle)
        self._record = record
        self._history: list[Change] = []
        self._rows: dict[tuple[str, str], Change] = {}
        self._changed = asyncio.Event()

    @property
    def version(self) -> int:
        return self._history[-1].version if self._history else 0

    def put(self, table: str, key: str, value: object) -> float:
        """Write a row; return when it was acknowledged."""
        return self._change(table, key, json.dumps(value).encode())

    def remove(self, table: str, key: str) -> float:
        """Remove a row; return when that was acknowledged."""
        return self._change(table, key, None)

    def _change(self, table: str, key: str, value: bytes | None) -> float:
        change = Change(self.version + 1, table, key, value)
        self._history.append(change)
        if value is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = change
        self._changed.set()
        self._changed = asyncio.Event()
        text = "removed" if value is None else value.decode()[:200]
        self._record.write(f"store: version {change.version} {table}/{key} {text}")
        return now_s()

    async def _handle(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        url = urlsplit(request.target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        answer: dict[str, object] = {}
        if url.path == "/rows-get":
            answer = self._get(query)
        elif url.path == "/rows-feed":
            answer = await self._feed(query)
        elif url.path == "/rows-tx":
            for write in json.loads(request.body)["writes"]:
                self._change(write["table"], write["key"], base64.b64decode(write["value"]))
            answer = {"rows": []}
        answer.update(schema_version=self.version, now_ms=round(now_s() * 1_000))
        headers = {"Content-Type": "application/json", "Store-Era": "1"}
        writer.write(format_answer(200, json.dumps(answer).encode(), headers))
        return True

    def _get(self, query: dict[str, str]) -> dict[str, object]:
        found = [
            change
            for (table, key), change in self._rows.items()
            if table == query["table"] and key >= query.get("from", "")
        ]
        found.sort(key=lambda change: change.key.encode())
        limit = int(query.get("limit", 500))
        return {
            "rows": [change.encode() for change in found[:limit]],
            "has_more": len(found) > limit,
        }

    async def _feed(self, query: dict[str, str]) -> dict[str, object]:
        """Return all changes after a version, as soon as there is at least one."""
        after, ends_at = int(query["after"]), now_s() + int(query["wait_ms"]) / 1_000
        while True:
            changed = self._changed
            found = [
                change
                for change in self._history
                if change.table == query["table"] and change.version > after
            ]
            left_s = ends_at - now_s()
            if found or left_s <= 0:
                return {"rows": [change.encode() for change in found]}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue


class Server:
    """A sound server of a plain service, which lists itself in the store.

    While it is draining it goes on serving and says so in all its answers.
    """

    def __init__(
        self, ip: str, name: str, service: str, zone: str, store: Store, record: Record
    ) -> None:
        self.listener = Listener(ip, self._handle)
        self.name, self.service, self.zone = name, service, zone
        self.draining = False
        self.work_ms = 20.0
        # The requests a second that the server takes from all machines, None while it names none.
        self.limit: float | None = None
        # The time and the request id of each request that has reached this server.
        self.arrivals: list[tuple[float, str]] = []
        # A request whose target holds this text crashes the server, so long after it began to run.
        self.crashes_on = ""
        self.crash_after_ms = 150.0
        self.crashed_at: list[float] = []
        self._back: asyncio.Task[None] | None = None
        self._store, self._record = store, record
        self._born = 0

    async def start(self) -> None:
        """Start, or start again, under the same id, and register in the store."""
        self._born = time.time_ns() // 1_000_000
        await self.listener.start()
        self.register()

    def register(self) -> float:
        """Write the entry; return when the store has acknowledged it."""
        entry = {
            "service": self.service,
            "address": self.listener.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self._born,
        }
        return self._store.put("servers", self.name, entry)

    def drain(self) -> float:
        """Report that this server is draining; return when the store has acknowledged it."""
        self.draining = True
        return self.register()

    def lapse(self) -> float:
        """Let the entry end, as after three heartbeat intervals of silence."""
        return self._store.remove("servers", self.name)

    async def _handle(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        request_id = request.headers.get("request-id", "")
        if request.headers.get("expect-instance", self.name) != self.name:
            self._record.write(f"{self.name}: 421 to {request_id}")
            writer.write(format_answer(421, b"", {"Instance-Id": self.name}))
            return True
        self.arrivals.append((now_s(), request_id))
        return await self._run(request, request_id, writer)

    async def _run(self, request: Message, request_id: str, writer: asyncio.StreamWriter) -> bool:
        """Answer a request; return whether the connection stays open."""
        self._record.write(f"{self.name}: runs {request_id} {request.start.rsplit(' ', 1)[0]}")
        if self.crashes_on and self.crashes_on in request.target:
            await asyncio.sleep(self.crash_after_ms / 1_000)
            self._crash(request_id)
            return False
        await asyncio.sleep(self.work_ms / 1_000)
        headers = {
            "Request-Id": request_id,
            "Server-Stamp": f"{self.name}.{request_id}",
            "Content-Type": "text/plain",
        }
        if self.draining:
            headers["Server-Leaving"] = "1"
        if self.limit is not None:
            headers["Server-Limit"] = str(self.limit)
        writer.write(format_answer(200, f"{self.name} {request_id}".encode(), headers))
        return True

    def _crash(self, request_id: str) -> None:
        """End as a process does; start again after some seconds."""
        if self._back is not None and not self._back.done():
            return
        self.crashed_at.append(now_s())
        self._record.write(f"{self.name}: crashes on {request_id}")
        self.listener.crash()
        self._back = asyncio.get_running_loop().create_task(self._come_back())

    async def _come_back(self) -> None:
        await asyncio.sleep(3.0)
        await self.start()
        self._record.write(f"{self.name}: is back")


class Engine(Server):
    """A sound server that streams an event each ``event_ms`` and answers postings at once.

    A request whose target holds ``crashes_on`` crashes it once it has written ``crash_events``.
    """

    def __init__(
        self, ip: str, name: str, service: str, zone: str, store: Store, record: Record
    ) -> None:
        super().__init__(ip, name, service, zone, store, record)
        self.events = 8
        self.event_ms = 40.0
        self.crash_events = 3

    async def _run(self, request: Message, request_id: str, writer: asyncio.StreamWriter) -> bool:
        if not request.target.startswith("/s/"):
            return await super()._run(request, request_id, writer)
        first = int(request.headers.get("last-event-id", "0")) + 1
        self._record.write(f"{self.name}: runs {request_id} from event {first}")
        deadly = bool(self.crashes_on) and self.crashes_on in request.target
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            f"Server-Stamp: {self.name}.{request_id}\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_ms / 1_000)
            if deadly and number - first >= self.crash_events:
                self._crash(request_id)
                return False
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True
