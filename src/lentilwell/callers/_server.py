"""HTTP server on a bounded thread pool; a handler may hand its socket to the transfer thread.

Each connection carries one request. The read timeout applies to the complete request and does not
restart with each byte, so a slow caller can occupy a worker only for a bounded time.
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
MAX_WAITING_PER_WORKER = 16
MAX_LINE_BYTES = 65_536
WRITE_TIMEOUT_MS = 10_000
LINGER_TIMEOUT_MS = 1_000
LINGER_READ_BYTES = 262_144
_TOO_LARGE_STATUSES = frozenset((414, 431))


class ConnectionDetached(ConnectionError):
    """A handler has detached its socket; the server must write nothing more to it."""


def detach_connection(environ: dict[str, Any]) -> socket.socket:
    """Return a duplicate of the caller's socket that stays open when the handler returns.

    The caller of this function must then raise ``ConnectionDetached``, so that the server does not
    shut the connection down.
    """
    connection: socket.socket = environ["werkzeug.socket"]
    environ["lentilwell.server"].detached_fds.add(connection.fileno())
    return connection.dup()


def mark_body_unread(environ: dict[str, Any]) -> None:
    """Record that the request body was not read, so that the connection gets a lingering close.

    Closing a socket that has unread data resets the connection, and the caller could lose the
    response.
    """
    environ["lentilwell.server"].lingering_fds.add(environ["werkzeug.socket"].fileno())


class _DeadlineReader(RawIOBase):
    """Reads a socket, with one deadline for the complete request."""

    def __init__(self, connection: socket.socket, clock: Clock, timeout_ms: int) -> None:
        self._connection = connection
        self._clock = clock
        self._deadline_at = clock.now() + timeout_ms

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int:
        remaining_ms = self._deadline_at - self._clock.now()
        if remaining_ms <= 0:
            raise TimeoutError
        self._connection.settimeout(remaining_ms / MS_PER_SECOND)
        try:
            return self._connection.recv_into(buffer)
        finally:
            self._connection.settimeout(WRITE_TIMEOUT_MS / MS_PER_SECOND)


class _RequestCutOff(ConnectionError):
    """The caller closed its connection inside its request."""


class _RequestReader(BufferedReader):
    """Reads the lines of a request, each of which must be whole.

    ``http.client`` takes the end of the connection for the end of the headers.
    """

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return a line, or its first ``size`` bytes; raise ``_RequestCutOff`` if it is cut off."""
        line = super().readline(size)
        if not line.endswith(b"\n") and len(line) != size:
            raise _RequestCutOff
        return line


class _Handler(WSGIRequestHandler):
    protocol_version = "HTTP/1.1"
    server: PooledServer
    rfile: _RequestReader

    def setup(self) -> None:
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = _DeadlineReader(self.connection, self.server.clock, self.server.read_timeout_ms)
        self.rfile = _RequestReader(reader, MAX_LINE_BYTES)

    def handle_one_request(self) -> None:
        self.close_connection = True
        try:
            if self.rfile.peek(1):  # a caller may close its connection without a request
                self._handle_request()
        except (TimeoutError, _RequestCutOff):
            self._refuse(ReadTimeout())
        self.close_connection = True

    def _handle_request(self) -> None:
        self.raw_requestline = self.rfile.readline(MAX_LINE_BYTES + 1)
        if len(self.raw_requestline) > MAX_LINE_BYTES:
            self._refuse(HeadersTooLarge())
        elif self.parse_request():
            self.run_wsgi()

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
        """Write the status line only.

        The base class would add Server and Date headers, which a service's response may already
        contain.
        """
        self.send_response_only(code, message)

    def connection_dropped(self, error: BaseException, environ: Any = None) -> None:
        self.close_connection = True

    def log(self, type: str, message: str, *args: Any) -> None:
        """Write no access log, because the applications log each request."""

    def _refuse(self, failure: Failure) -> None:
        self.server.lingering_fds.add(self.connection.fileno())
        with contextlib.suppress(OSError):
            self.connection.sendall(render_error_response(failure))


class PooledServer(BaseWSGIServer):
    """Serves a WSGI application on a fixed number of worker threads.

    It refuses a connection if too many others are being handled or wait for a worker.
    """

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
        self.detached_fds: set[int] = set()
        self.lingering_fds: set[int] = set()
        self._open_connections = 0
        self._max_open_connections = workers * (1 + MAX_WAITING_PER_WORKER)
        self._lock = Lock()
        self._executor = ThreadPoolExecutor(workers, thread_name_prefix="http")
        super().__init__(host, port, app, handler=_Handler)

    def process_request(self, request: Any, client_address: Any) -> None:
        """Submit a connection to the workers, or refuse it immediately if too many are open."""
        with self._lock:
            refused = self._open_connections >= self._max_open_connections
            self._open_connections += 0 if refused else 1
        if not refused:
            self._executor.submit(self._handle_connection, request, client_address)
            return
        request.setblocking(False)
        with contextlib.suppress(OSError):
            request.send(render_error_response(NotReady()))
        super().shutdown_request(request)

    def shutdown_request(self, request: Any) -> None:
        """Shut a connection down and close it.

        If the connection was detached, close only this descriptor. If its request was not read
        completely, do a lingering close.
        """
        fd = request.fileno()
        if fd in self.detached_fds:
            self.detached_fds.discard(fd)
            request.close()
            return
        if fd in self.lingering_fds:
            self.lingering_fds.discard(fd)
            self._linger(request)
        super().shutdown_request(request)

    def server_close(self) -> None:
        """Accept the connections that the kernel has queued, stop listening and wait for all."""
        self._accept_queued()
        super().server_close()
        self._executor.shutdown(wait=True)

    def _accept_queued(self) -> None:
        """Accept the connections whose callers would be reset when the listener is closed."""
        with contextlib.suppress(OSError):  # none is left, or the listener is already closed
            self.socket.setblocking(False)
            for _ in range(self.request_queue_size):
                self.process_request(*self.get_request())

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Log an exception from a handler, without the contents of the request."""
        logger.opt(exception=True).debug("connection failed")

    def _handle_connection(self, request: Any, client_address: Any) -> None:
        try:
            self.finish_request(request, client_address)
        except Exception:
            self.handle_error(request, client_address)
        finally:
            with self._lock:
                self._open_connections -= 1
            self.shutdown_request(request)

    def _linger(self, connection: socket.socket) -> None:
        """Stop sending, then read and discard data from the caller until it closes or a timeout."""
        deadline_at = self.clock.now() + LINGER_TIMEOUT_MS
        with contextlib.suppress(OSError):
            connection.shutdown(socket.SHUT_WR)
            connection.settimeout(LINGER_TIMEOUT_MS / MS_PER_SECOND)
            while self.clock.now() < deadline_at and connection.recv(LINGER_READ_BYTES):
                pass
