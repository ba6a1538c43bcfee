"""HTTP servers on a bounded executor; a handler may give its socket away to the transfer thread.

A connection carries one request. The whole request must arrive within the read timeout, however
the caller spreads its bytes, so that a slow caller holds a worker for a bounded time only.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from io import BufferedReader, RawIOBase
from threading import Lock
from typing import Any

from loguru import logger
from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler

from lentilwell._clock import MS_PER_SECOND, Clock
from lentilwell._failures import Failure, HeadersTooLarge, InvalidRequest, NotReady, ReadTimeout
from lentilwell.forwarding import render_error_response

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]
WAITING_PER_WORKER = 16
MAXIMUM_LINE_BYTES = 65_536
WRITE_TIMEOUT_MS = 10_000
LINGER_MS = 1_000
LINGER_READ_BYTES = 262_144
_TOO_LARGE_STATUSES = frozenset((414, 431))


class ConnectionDetached(ConnectionError):
    """Raised by a handler that gave its socket away; the server writes nothing more to it."""


def take_connection(environ: dict[str, Any]) -> socket.socket:
    """Return a socket of the caller's connection that outlives the handler.

    Raise ``ConnectionDetached`` afterwards, so that the server does not shut the connection down.
    """
    connection: socket.socket = environ["werkzeug.socket"]
    environ["lentilwell.server"].detached.add(connection.fileno())
    return connection.dup()


def leave_body_unread(environ: dict[str, Any]) -> None:
    """Say that the body was not read: the caller is let finish sending before the close.

    Without this the close would reset the connection, and the caller could miss its answer.
    """
    environ["lentilwell.server"].lingering.add(environ["werkzeug.socket"].fileno())


class _DeadlineReader(RawIOBase):
    """Reads a socket until one deadline for the whole request."""

    def __init__(self, connection: socket.socket, clock: Clock, timeout_ms: int) -> None:
        self._connection = connection
        self._clock = clock
        self._deadline_at = clock.now() + timeout_ms

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int:
        left_ms = self._deadline_at - self._clock.now()
        if left_ms <= 0:
            raise TimeoutError
        self._connection.settimeout(left_ms / MS_PER_SECOND)
        try:
            return self._connection.recv_into(buffer)
        finally:
            self._connection.settimeout(WRITE_TIMEOUT_MS / MS_PER_SECOND)


class _Handler(WSGIRequestHandler):
    protocol_version = "HTTP/1.1"
    server: PooledServer

    def setup(self) -> None:
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = _DeadlineReader(self.connection, self.server.clock, self.server.read_timeout_ms)
        self.rfile = BufferedReader(reader, MAXIMUM_LINE_BYTES)

    def handle_one_request(self) -> None:
        self.close_connection = True
        try:
            self.raw_requestline = self.rfile.readline(MAXIMUM_LINE_BYTES + 1)
            if len(self.raw_requestline) > MAXIMUM_LINE_BYTES:
                self._refuse(HeadersTooLarge())
            elif self.raw_requestline and self.parse_request():
                self.run_wsgi()
        except TimeoutError:
            self._refuse(ReadTimeout())
        self.close_connection = True

    def send_error(self, code: int, message: str | None = None, explain: str | None = None) -> None:
        if code in _TOO_LARGE_STATUSES:
            self._refuse(HeadersTooLarge())
        else:
            self._refuse(InvalidRequest(f"The request is not well-formed HTTP: {message}."))

    def make_environ(self) -> Any:
        environ = super().make_environ()
        environ["lentilwell.server"] = self.server
        environ["lentilwell.headers"] = tuple(self.headers.items())
        return environ

    def send_response(self, code: int, message: str | None = None) -> None:
        """Write the status line alone, so that a service's own Server and Date stay single."""
        self.send_response_only(code, message)

    def connection_dropped(self, error: BaseException, environ: Any = None) -> None:
        self.close_connection = True

    def log(self, type: str, message: str, *args: Any) -> None:
        """Write no access log; the applications log one line a request."""

    def _refuse(self, failure: Failure) -> None:
        self.server.lingering.add(self.connection.fileno())
        with contextlib.suppress(OSError):
            self.connection.sendall(render_error_response(failure))


class PooledServer(BaseWSGIServer):
    """Serves a WSGI application on a fixed number of worker threads; beyond a bound it refuses."""

    multithread = True
    request_queue_size = 1_024

    def __init__(
        self,
        host: str,
        port: int,
        app: WsgiApp,
        workers: int,
        read_timeout_ms: int,
        clock: Clock,
    ) -> None:
        self.read_timeout_ms = read_timeout_ms
        self.clock = clock
        self.detached: set[int] = set()
        self.lingering: set[int] = set()
        self._pending = 0
        self._limit = workers * (1 + WAITING_PER_WORKER)
        self._lock = Lock()
        self._executor = ThreadPoolExecutor(workers, thread_name_prefix="http")
        super().__init__(host, port, app, handler=_Handler)

    def process_request(self, request: Any, client_address: Any) -> None:
        """Hand a connection to a worker, or refuse it at once when too many wait."""
        with self._lock:
            refused = self._pending >= self._limit
            self._pending += 0 if refused else 1
        if not refused:
            self._executor.submit(self._work, request, client_address)
            return
        request.setblocking(False)
        with contextlib.suppress(OSError):
            request.send(render_error_response(NotReady()))
        super().shutdown_request(request)

    def shutdown_request(self, request: Any) -> None:
        """Close a connection, unless it was given away: then only this reference to it."""
        number = request.fileno()
        if number in self.detached:
            self.detached.discard(number)
            request.close()
            return
        if number in self.lingering:
            self.lingering.discard(number)
            self._linger(request)
        super().shutdown_request(request)

    def server_close(self) -> None:
        """Stop listening and wait for the workers."""
        super().server_close()
        self._executor.shutdown(wait=True)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Log what a handler raised, without the request."""
        logger.opt(exception=True).debug("connection failed")

    def _work(self, request: Any, client_address: Any) -> None:
        try:
            self.finish_request(request, client_address)
        except Exception:
            self.handle_error(request, client_address)
        finally:
            with self._lock:
                self._pending -= 1
            self.shutdown_request(request)

    def _linger(self, connection: socket.socket) -> None:
        """Read and drop what the caller still sends, for a bounded time."""
        give_up_at = self.clock.now() + LINGER_MS
        with contextlib.suppress(OSError):
            connection.shutdown(socket.SHUT_WR)
            connection.settimeout(LINGER_MS / MS_PER_SECOND)
            while self.clock.now() < give_up_at and connection.recv(LINGER_READ_BYTES):
                pass
