"""A stand-in plain service: it counts what really ran and echoes each call back."""

from __future__ import annotations

import hashlib
import json
import socket
import threading
import time
from dataclasses import dataclass, field

from standins.web import Call, DropConnection, Reply, Server, build_parser, reply_json, serve


@dataclass
class Ledger:
    """How often each non-idempotent call ran, and the faults asked for."""

    name: str
    lock: threading.Lock = field(default_factory=threading.Lock)
    runs: dict[str, int] = field(default_factory=dict)
    delay_ms: int = 0
    lose_answers: int = 0
    refuse: bool = False
    drop_requests: bool = False


def add_routes(server: Server, ledger: Ledger) -> None:
    """Register the service's calls."""

    @server.route("POST", "/control")
    def control(call: Call, _connection: socket.socket) -> Reply:
        for name, value in call.json().items():
            setattr(ledger, name, value)
        return reply_json({})

    @server.route("GET", "/runs")
    def runs(_call: Call, _connection: socket.socket) -> Reply:
        with ledger.lock:
            return reply_json(ledger.runs)

    @server.route("*", "/")
    def run(call: Call, _connection: socket.socket) -> Reply:
        if ledger.drop_requests:
            raise DropConnection
        if ledger.delay_ms:
            time.sleep(ledger.delay_ms / 1_000)
        if ledger.refuse:
            return reply_json({"error": "refused"}, 503)
        key = call.headers.get("idempotency-key", "")
        if call.method != "GET":
            with ledger.lock:
                ledger.runs[key] = ledger.runs.get(key, 0) + 1
            if ledger.lose_answers > 0:
                ledger.lose_answers -= 1
                raise DropConnection
        echo = {
            "service": ledger.name,
            "method": call.method,
            "path": call.rest,
            "query": call.query,
            "body_sha256": hashlib.sha256(call.body).hexdigest(),
            "key": key,
        }
        return Reply(200, json.dumps(echo).encode(), {"Content-Type": "application/json"})


def main() -> None:
    """Run one service."""
    options = build_parser(__doc__ or "").parse_args()
    server = Server(options.port)
    add_routes(server, Ledger(options.name))
    serve(server)


if __name__ == "__main__":
    main()
