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
    """How often each non-idempotent call arrived and ran, and the faults asked for.

    ``lose_answers`` and ``drop_requests`` count down: the next calls run without an answer, or end
    before they run.
    """

    name: str
    lock: threading.Lock = field(default_factory=threading.Lock)
    runs: dict[str, int] = field(default_factory=dict)
    arrivals: dict[str, int] = field(default_factory=dict)
    lookups: int = 0
    answer_bytes: int = 0
    delay_ms: int = 0
    lose_answers: int = 0
    refuse: bool = False
    drop_requests: int = 0


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

    @server.route("GET", "/arrivals")
    def arrivals(_call: Call, _connection: socket.socket) -> Reply:
        with ledger.lock:
            return reply_json({**ledger.arrivals, "lookups": ledger.lookups})

    @server.route("*", "/")
    def run(call: Call, _connection: socket.socket) -> Reply:
        key = call.headers.get("idempotency-key", "")
        with ledger.lock:
            ledger.lookups += call.method == "GET"
            ledger.arrivals[key] = ledger.arrivals.get(key, 0) + 1
            if ledger.drop_requests > 0:
                ledger.drop_requests -= 1
                raise DropConnection
        if ledger.delay_ms:
            time.sleep(ledger.delay_ms / 1_000)
        if ledger.refuse:
            return reply_json({"error": "refused"}, 503)
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
            "run": ledger.runs.get(key, 0),
            "filler": "x" * ledger.answer_bytes,
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
