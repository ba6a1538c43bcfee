"""A stand-in plain service: it counts what really ran and echoes each call back."""

from __future__ import annotations

import hashlib
import json
import socket
import threading
import time
from dataclasses import dataclass, field

from standins.web import (
    DropConnection,
    Request,
    Response,
    Server,
    build_parser,
    json_response,
    serve,
)


@dataclass
class ServiceState:
    """Counts of calls by idempotency key, and the faults, which ``/control`` sets by name.

    ``arrivals`` counts all calls, ``runs`` those that took effect. ``lose_answers`` is the number
    of following calls that run without a response, ``drop_requests`` of those that do not run.
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


def add_routes(server: Server, state: ServiceState) -> None:
    """Register all routes of the service."""

    @server.route("POST", "/control")
    def control(request: Request, _connection: socket.socket) -> Response:
        for name, value in request.json().items():
            setattr(state, name, value)
        return json_response({})

    @server.route("GET", "/runs")
    def runs(_request: Request, _connection: socket.socket) -> Response:
        with state.lock:
            return json_response(state.runs)

    @server.route("GET", "/arrivals")
    def arrivals(_request: Request, _connection: socket.socket) -> Response:
        with state.lock:
            return json_response({**state.arrivals, "lookups": state.lookups})

    @server.route("*", "/")
    def run(request: Request, _connection: socket.socket) -> Response:
        key = request.headers.get("idempotency-key", "")
        with state.lock:
            state.lookups += request.method == "GET"
            state.arrivals[key] = state.arrivals.get(key, 0) + 1
            if state.drop_requests > 0:
                state.drop_requests -= 1
                raise DropConnection
        if state.delay_ms:
            time.sleep(state.delay_ms / 1_000)
        if state.refuse:
            return json_response({"error": "refused"}, 503)
        if request.method != "GET":
            with state.lock:
                state.runs[key] = state.runs.get(key, 0) + 1
                if state.lose_answers > 0:
                    state.lose_answers -= 1
                    raise DropConnection
        echo = {
            "service": state.name,
            "method": request.method,
            "path": request.remaining_path,
            "query": request.query,
            "body_sha256": hashlib.sha256(request.body).hexdigest(),
            "key": key,
            "run": state.runs.get(key, 0),
            "filler": "x" * state.answer_bytes,
        }
        return Response(200, json.dumps(echo).encode(), {"Content-Type": "application/json"})


def main() -> None:
    """Run a service until it is stopped."""
    options = build_parser(__doc__ or "").parse_args()
    server = Server(options.port)
    add_routes(server, ServiceState(options.name))
    serve(server)


if __name__ == "__main__":
    main()
