"""A stand-in platform: table service with conditional writes, object store, list of instances."""

from __future__ import annotations

import base64
import socket
import threading
import time
from dataclasses import dataclass, field

from standins.web import Call, DropConnection, Reply, Server, build_parser, reply_json, serve

Versioned = tuple[bytes, int]


@dataclass
class Store:
    """All that the platform keeps, and the faults it was told to show."""

    lock: threading.Lock = field(default_factory=threading.Lock)
    rows: dict[str, Versioned] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    members: dict[str, dict[str, object]] = field(default_factory=dict)
    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    writes: int = 0
    reads: int = 0

    def check_up(self) -> None:
        """Show the outage or the slowness asked for."""
        if self.delay_ms:
            time.sleep(self.delay_ms / 1_000)
        if self.down:
            raise DropConnection

    def after_write(self) -> None:
        """Count a write and lose its answer if told to."""
        self.writes += 1
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise DropConnection


def encode_row(key: str, row: Versioned) -> dict[str, object]:
    """Return a row in the form of the wire."""
    return {"key": key, "value": base64.b64encode(row[0]).decode(), "version": row[1]}


def add_routes(server: Server, store: Store) -> None:
    """Register the platform's calls."""

    @server.route("GET", "/table/")
    def read_row(call: Call, _connection: socket.socket) -> Reply:
        store.check_up()
        with store.lock:
            store.reads += 1
            row = store.rows.get(call.rest)
            return reply_json({}, 404) if row is None else reply_json(encode_row(call.rest, row))

    @server.route("GET", "/table")
    def scan_rows(call: Call, _connection: socket.socket) -> Reply:
        store.check_up()
        prefix, after = call.query.get("prefix", ""), call.query.get("after", "")
        with store.lock:
            store.reads += 1
            keys = sorted(k for k in store.rows if k.startswith(prefix) and k > after)
            keys = keys[: int(call.query.get("limit", "100"))]
            return reply_json({"rows": [encode_row(key, store.rows[key]) for key in keys]})

    @server.route("PUT", "/table/")
    def write_row(call: Call, _connection: socket.socket) -> Reply:
        store.check_up()
        with store.lock:
            version = store.rows.get(call.rest, (b"", 0))[1]
            if int(call.headers["if-version"]) != version:
                return reply_json({"version": version}, 412)
            store.rows[call.rest] = (call.body, version + 1)
            store.after_write()
            return reply_json({"version": version + 1})

    @server.route("DELETE", "/table/")
    def delete_row(call: Call, _connection: socket.socket) -> Reply:
        store.check_up()
        with store.lock:
            version = store.rows.get(call.rest, (b"", 0))[1]
            if int(call.headers["if-version"]) != version:
                return reply_json({"version": version}, 412)
            store.rows.pop(call.rest, None)
            store.after_write()
            return reply_json({})

    @server.route("GET", "/objects/")
    def get_object(call: Call, _connection: socket.socket) -> Reply:
        store.check_up()
        with store.lock:
            value = store.objects.get(call.rest)
        return Reply(404) if value is None else Reply(200, value)

    @server.route("PUT", "/objects/")
    def put_object(call: Call, _connection: socket.socket) -> Reply:
        store.check_up()
        with store.lock:
            store.objects[call.rest] = call.body
            store.after_write()
        return reply_json({})

    @server.route("GET", "/instances")
    def list_members(_call: Call, _connection: socket.socket) -> Reply:
        store.check_up()
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

    @server.route("GET", "/counts")
    def counts(_call: Call, _connection: socket.socket) -> Reply:
        return reply_json({"writes": store.writes, "reads": store.reads})


def main() -> None:
    """Run the platform."""
    options = build_parser(__doc__ or "").parse_args()
    server = Server(options.port)
    add_routes(server, Store())
    serve(server)


if __name__ == "__main__":
    main()
