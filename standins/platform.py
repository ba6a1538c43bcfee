"""A stand-in platform: table service with conditional writes, object store, list of instances."""

from __future__ import annotations

import base64
import socket
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from weakref import WeakSet

from standins.web import Call, DropConnection, Reply, Server, build_parser, reply_json, serve

Versioned = tuple[bytes, int]
LateWrite = tuple[str, bytes, int]
PERCENT = 100


@dataclass
class Store:
    """All that the platform keeps, and the faults it was told to show.

    ``lose_answers`` and ``late_writes`` count down: the next writes take effect without an answer,
    or are held back without an answer until ``/late`` is posted. ``refuse_percent`` of the table's
    calls are answered with 503. Connections open at ``/silence`` never answer again.
    """

    lock: threading.Lock = field(default_factory=threading.Lock)
    rows: dict[str, Versioned] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    members: dict[str, dict[str, object]] = field(default_factory=dict)
    late: list[LateWrite] = field(default_factory=list)
    open: WeakSet[socket.socket] = field(default_factory=WeakSet)
    silent: WeakSet[socket.socket] = field(default_factory=WeakSet)
    counts: Counter[str] = field(default_factory=Counter)
    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    late_writes: int = 0
    refuse_percent: int = 0
    calls: int = 0
    writes: int = 0
    reads: int = 0

    def check_up(self, connection: socket.socket) -> None:
        """Show the outage, the silence or the slowness asked for."""
        self.open.add(connection)
        if connection in self.silent:
            connection.recv(1)
            raise DropConnection
        if self.delay_ms:
            time.sleep(self.delay_ms / 1_000)
        if self.down:
            raise DropConnection

    def refuses(self) -> bool:
        """Tell whether this call is one of those that are refused, evenly spread."""
        self.calls += 1
        before = (self.calls - 1) * self.refuse_percent // PERCENT
        return self.calls * self.refuse_percent // PERCENT > before

    def hold_back(self, write: LateWrite) -> None:
        """Keep a write for later, without an answer, if told to."""
        if self.late_writes > 0:
            self.late_writes -= 1
            self.late.append(write)
            raise DropConnection

    def apply(self, write: LateWrite) -> int | None:
        """Write a row if its version is the expected one; return its version then."""
        key, value, expected = write
        version = self.rows.get(key, (b"", 0))[1]
        if expected != version:
            return None
        self.rows[key] = (value, version + 1)
        return version + 1

    def note_read(self, key: str) -> None:
        """Count a read, in all and under the key's first word."""
        self.reads += 1
        self.counts[f"{key.partition('.')[0]}.reads"] += 1

    def after_write(self, key: str) -> None:
        """Count a write and lose its answer if told to."""
        self.writes += 1
        self.counts[f"{key.partition('.')[0]}.writes"] += 1
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise DropConnection


def encode_row(key: str, row: Versioned) -> dict[str, object]:
    """Return a row in the form of the wire."""
    return {"key": key, "value": base64.b64encode(row[0]).decode(), "version": row[1]}


def add_routes(server: Server, store: Store) -> None:
    """Register the platform's calls."""

    @server.route("GET", "/table/")
    def read_row(call: Call, connection: socket.socket) -> Reply:
        store.check_up(connection)
        with store.lock:
            if store.refuses():
                return reply_json({}, 503)
            store.note_read(call.rest)
            row = store.rows.get(call.rest)
            return reply_json({}, 404) if row is None else reply_json(encode_row(call.rest, row))

    @server.route("GET", "/table")
    def scan_rows(call: Call, connection: socket.socket) -> Reply:
        store.check_up(connection)
        prefix, after = call.query.get("prefix", ""), call.query.get("after", "")
        with store.lock:
            store.note_read(prefix)
            keys = sorted(k for k in store.rows if k.startswith(prefix) and k > after)
            keys = keys[: int(call.query.get("limit", "100"))]
            return reply_json({"rows": [encode_row(key, store.rows[key]) for key in keys]})

    @server.route("PUT", "/table/")
    def write_row(call: Call, connection: socket.socket) -> Reply:
        store.check_up(connection)
        with store.lock:
            if store.refuses():
                return reply_json({}, 503)
            write = (call.rest, call.body, int(call.headers["if-version"]))
            store.hold_back(write)
            version = store.apply(write)
            if version is None:
                return reply_json({"version": store.rows.get(call.rest, (b"", 0))[1]}, 412)
            store.after_write(call.rest)
            return reply_json({"version": version})

    @server.route("DELETE", "/table/")
    def delete_row(call: Call, connection: socket.socket) -> Reply:
        store.check_up(connection)
        with store.lock:
            version = store.rows.get(call.rest, (b"", 0))[1]
            if int(call.headers["if-version"]) != version:
                return reply_json({"version": version}, 412)
            store.rows.pop(call.rest, None)
            store.after_write(call.rest)
            return reply_json({})

    @server.route("GET", "/objects/")
    def get_object(call: Call, connection: socket.socket) -> Reply:
        store.check_up(connection)
        with store.lock:
            value = store.objects.get(call.rest)
        return Reply(404) if value is None else Reply(200, value)

    @server.route("PUT", "/objects/")
    def put_object(call: Call, connection: socket.socket) -> Reply:
        store.check_up(connection)
        with store.lock:
            store.objects[call.rest] = call.body
            store.after_write("objects")
        return reply_json({})

    @server.route("GET", "/instances")
    def list_members(_call: Call, connection: socket.socket) -> Reply:
        store.check_up(connection)
        with store.lock:
            return reply_json({"instances": list(store.members.values())})

    @server.route("PUT", "/instances/")
    def set_member(call: Call, _connection: socket.socket) -> Reply:
        with store.lock:
            store.members[call.rest] = call.json()
        return reply_json({})

    @server.route("POST", "/control")
    def control(call: Call, _connection: socket.socket) -> Reply:
        for name, value in call.json().items():
            setattr(store, name, value)
        return reply_json({})

    @server.route("POST", "/late")
    def apply_late(_call: Call, _connection: socket.socket) -> Reply:
        """Let the writes that were held back arrive now; answer how many took effect."""
        with store.lock:
            applied = [store.apply(write) for write in store.late]
            store.late.clear()
        return reply_json({"applied": sum(version is not None for version in applied)})

    @server.route("POST", "/silence")
    def silence(_call: Call, _connection: socket.socket) -> Reply:
        """Let every connection that is open now go silent; new ones work."""
        store.silent.update(store.open)
        return reply_json({})

    @server.route("GET", "/counts")
    def counts(_call: Call, _connection: socket.socket) -> Reply:
        return reply_json({"writes": store.writes, "reads": store.reads, **store.counts})


def main() -> None:
    """Run the platform."""
    options = build_parser(__doc__ or "").parse_args()
    server = Server(options.port)
    add_routes(server, Store())
    serve(server)


if __name__ == "__main__":
    main()
