"""A stand-in platform: table service with conditional writes, object store, list of instances."""

from __future__ import annotations

import base64
import socket
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from weakref import WeakSet

from standins.web import (
    DropConnection,
    Request,
    Response,
    Server,
    build_parser,
    json_response,
    serve,
)

VersionedValue = tuple[bytes, int]
DelayedWrite = tuple[str, bytes, int]
PERCENT = 100


@dataclass
class Store:
    """The data of the platform and its faults, which ``/control`` sets by name.

    ``lose_answers`` is the number of following writes that take effect without a response.
    ``late_writes`` is the number of following table writes that get no response and are delayed
    until ``/late`` is called. ``refuse_percent`` is the percentage of reads and writes of single
    rows that get status 503. ``/silence`` copies ``open`` connections to ``silent``, which holds
    those that get no further response.
    """

    lock: threading.Lock = field(default_factory=threading.Lock)
    rows: dict[str, VersionedValue] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    members: dict[str, dict[str, object]] = field(default_factory=dict)
    late: list[DelayedWrite] = field(default_factory=list)
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

    def apply_connection_faults(self, connection: socket.socket) -> None:
        """Delay the response, drop the connection while down, or block while it is silent."""
        self.open.add(connection)
        if connection in self.silent:
            connection.recv(1)
            raise DropConnection
        if self.delay_ms:
            time.sleep(self.delay_ms / 1_000)
        if self.down:
            raise DropConnection

    def should_refuse(self) -> bool:
        """Return whether to refuse this call; refusals are spread evenly over the calls."""
        self.calls += 1
        before = (self.calls - 1) * self.refuse_percent // PERCENT
        return self.calls * self.refuse_percent // PERCENT > before

    def delay_write(self, write: DelayedWrite) -> None:
        """Store a write for later and drop the connection, while ``late_writes`` is positive."""
        if self.late_writes > 0:
            self.late_writes -= 1
            self.late.append(write)
            raise DropConnection

    def apply(self, write: DelayedWrite) -> int | None:
        """Write a row if it has the expected version; return the new version, or None."""
        key, value, expected = write
        version = self.rows.get(key, (b"", 0))[1]
        if expected != version:
            return None
        self.rows[key] = (value, version + 1)
        return version + 1

    def record_read(self, key: str) -> None:
        """Count a read, in total and by the part of the key before the first dot."""
        self.reads += 1
        self.counts[f"{key.partition('.')[0]}.reads"] += 1

    def record_write(self, key: str) -> None:
        """Count a write, and drop the connection while ``lose_answers`` is positive."""
        self.writes += 1
        self.counts[f"{key.partition('.')[0]}.writes"] += 1
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise DropConnection


def encode_row(key: str, row: VersionedValue) -> dict[str, object]:
    """Return a row as a JSON object with a base64 value."""
    return {"key": key, "value": base64.b64encode(row[0]).decode(), "version": row[1]}


def add_routes(server: Server, store: Store) -> None:
    """Register all routes of the platform."""

    @server.route("GET", "/table/")
    def read_row(request: Request, connection: socket.socket) -> Response:
        store.apply_connection_faults(connection)
        with store.lock:
            if store.should_refuse():
                return json_response({}, 503)
            store.record_read(request.remaining_path)
            row = store.rows.get(request.remaining_path)
            return (
                json_response({}, 404)
                if row is None
                else json_response(encode_row(request.remaining_path, row))
            )

    @server.route("GET", "/table")
    def scan_rows(request: Request, connection: socket.socket) -> Response:
        store.apply_connection_faults(connection)
        prefix, after = request.query.get("prefix", ""), request.query.get("after", "")
        with store.lock:
            store.record_read(prefix)
            keys = sorted(k for k in store.rows if k.startswith(prefix) and k > after)
            keys = keys[: int(request.query.get("limit", "100"))]
            return json_response({"rows": [encode_row(key, store.rows[key]) for key in keys]})

    @server.route("PUT", "/table/")
    def write_row(request: Request, connection: socket.socket) -> Response:
        store.apply_connection_faults(connection)
        with store.lock:
            if store.should_refuse():
                return json_response({}, 503)
            write = (request.remaining_path, request.body, int(request.headers["if-version"]))
            store.delay_write(write)
            version = store.apply(write)
            if version is None:
                return json_response(
                    {"version": store.rows.get(request.remaining_path, (b"", 0))[1]}, 412
                )
            store.record_write(request.remaining_path)
            return json_response({"version": version})

    @server.route("DELETE", "/table/")
    def delete_row(request: Request, connection: socket.socket) -> Response:
        store.apply_connection_faults(connection)
        with store.lock:
            version = store.rows.get(request.remaining_path, (b"", 0))[1]
            if int(request.headers["if-version"]) != version:
                return json_response({"version": version}, 412)
            store.rows.pop(request.remaining_path, None)
            store.record_write(request.remaining_path)
            return json_response({})

    @server.route("GET", "/objects/")
    def get_object(request: Request, connection: socket.socket) -> Response:
        store.apply_connection_faults(connection)
        with store.lock:
            value = store.objects.get(request.remaining_path)
        return Response(404) if value is None else Response(200, value)

    @server.route("PUT", "/objects/")
    def put_object(request: Request, connection: socket.socket) -> Response:
        store.apply_connection_faults(connection)
        with store.lock:
            store.objects[request.remaining_path] = request.body
            store.record_write("objects")
        return json_response({})

    @server.route("GET", "/instances")
    def list_members(_request: Request, connection: socket.socket) -> Response:
        store.apply_connection_faults(connection)
        with store.lock:
            return json_response({"instances": list(store.members.values())})

    @server.route("PUT", "/instances/")
    def set_member(request: Request, _connection: socket.socket) -> Response:
        with store.lock:
            store.members[request.remaining_path] = request.json()
        return json_response({})

    @server.route("POST", "/control")
    def control(request: Request, _connection: socket.socket) -> Response:
        for name, value in request.json().items():
            setattr(store, name, value)
        return json_response({})

    @server.route("POST", "/late")
    def apply_late(_request: Request, _connection: socket.socket) -> Response:
        """Apply the delayed writes and return how many took effect."""
        with store.lock:
            applied = [store.apply(write) for write in store.late]
            store.late.clear()
        return json_response({"applied": sum(version is not None for version in applied)})

    @server.route("POST", "/silence")
    def silence(_request: Request, _connection: socket.socket) -> Response:
        """Make all open connections silent; later connections work."""
        store.silent.update(store.open)
        return json_response({})

    @server.route("GET", "/counts")
    def counts(_request: Request, _connection: socket.socket) -> Response:
        return json_response({"writes": store.writes, "reads": store.reads, **store.counts})


def main() -> None:
    """Run the platform until it is stopped."""
    options = build_parser(__doc__ or "").parse_args()
    server = Server(options.port)
    add_routes(server, Store())
    serve(server)


if __name__ == "__main__":
    main()
