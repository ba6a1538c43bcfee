"""A small HTTP server for stand-ins, with routes by method and path prefix."""

from __future__ import annotations

import argparse
import json
import signal
import socket
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qsl, urlsplit

MAX_BACKLOG = 1_024


@dataclass(frozen=True)
class Request:
    """A request to a route; ``remaining_path`` is the path after the prefix of the route."""

    method: str
    remaining_path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body decoded as JSON, or an empty object if the body is empty."""
        return json.loads(self.body) if self.body else {}


@dataclass(frozen=True)
class Response:
    """The status, body and headers that a route returns for a request."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


class DropConnection(Exception):
    """Raised by a route to close the connection without a response."""


class DetachConnection(Exception):
    """Raised by a route that has duplicated the socket and goes on using the connection."""


def json_response(value: object, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    return Response(status, json.dumps(value).encode(), {"Content-Type": "application/json"})


Route = Callable[[Request, socket.socket], Response]


class Server(ThreadingHTTPServer):
    """Serves routes registered with ``route``; the longest matching prefix wins."""

    daemon_threads = True
    request_queue_size = MAX_BACKLOG

    def __init__(self, port: int) -> None:
        super().__init__(("127.0.0.1", port), Handler)
        self.routes: dict[tuple[str, str], Route] = {}
        self.detached: set[int] = set()

    def route(self, method: str, prefix: str) -> Callable[[Route], Route]:
        """Register the decorated function for a method (or ``*``) and a path prefix."""

        def register(function: Route) -> Route:
            self.routes[(method, prefix)] = function
            return function

        return register

    def find_route(self, method: str, path: str) -> tuple[Route, str] | None:
        """Return the route with the longest matching prefix, and the path after that prefix."""
        matches = [
            (len(prefix), route, path[len(prefix) :])
            for (route_method, prefix), route in self.routes.items()
            if route_method in (method, "*") and path.startswith(prefix)
        ]
        if not matches:
            return None
        _, route, remaining_path = max(matches, key=lambda match: match[0])
        return route, remaining_path

    def shutdown_request(self, request: Any) -> None:
        """Close a connection; if it is detached, close the socket without shutting it down."""
        if request.fileno() in self.detached:
            self.detached.discard(request.fileno())
            request.close()
            return
        super().shutdown_request(request)


class Handler(BaseHTTPRequestHandler):
    """Passes requests to the routes of the server and sends their responses."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: Server

    def log_message(self, format: str, *args: Any) -> None:
        """Suppress the access log."""

    def handle_one_request(self) -> None:
        """Handle one request of any method with ``serve``."""
        try:
            self.raw_requestline = self.rfile.readline(65_537)
            if not self.raw_requestline or not self.parse_request():
                self.close_connection = True
                return
            self.serve()
        except (ConnectionError, TimeoutError):
            self.close_connection = True

    def serve(self) -> None:
        """Call the route of a request and send the response that it returns."""
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        parts = urlsplit(self.path)
        matched = self.server.find_route(self.command, parts.path)
        if matched is None:
            self.send(Response(404))
            return
        route, remaining_path = matched
        headers = {name.lower(): value for name, value in self.headers.items()}
        request = Request(self.command, remaining_path, dict(parse_qsl(parts.query)), headers, body)
        try:
            self.send(route(request, self.connection))
        except DropConnection:
            self.close_connection = True
        except DetachConnection:
            self.server.detached.add(self.connection.fileno())
            self.close_connection = True

    def send(self, response: Response) -> None:
        """Send a response in one write."""
        lines = [
            f"HTTP/1.1 {response.status} {self.responses.get(response.status, ('Status',))[0]}"
        ]
        headers = {**response.headers, "Content-Length": str(len(response.body))}
        lines += [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        self.wfile.write(head + response.body)
        self.wfile.flush()


def build_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options common to all stand-ins."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, default=0, help="port to listen on; 0 takes a free one")
    parser.add_argument("--name", default="standin")
    return parser


def serve(server: Server) -> None:
    """Print the port as a line of JSON, then serve until SIGTERM or SIGINT."""

    def stop(_signal: int, _frame: object) -> None:
        raise SystemExit(0)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    sys.stdout.write(json.dumps({"port": server.server_address[1]}) + "\n")
    sys.stdout.flush()
    server.serve_forever(poll_interval=0.2)
