"""HTTP servers on a bounded executor; a handler may give its socket away to the transfer thread."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from threading import Lock
from typing import Any

from loguru import logger
from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler

from lentilwell._clock import MS_PER_SECOND
from lentilwell._errors import NotReady
from lentilwell._streams import render_failure

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]
WAITING_PER_WORKER = 16


class ConnectionDetached(ConnectionError):
    """Raised by a handler that gave its socket away; the server writes nothing more to it."""


def take_connection(environ: dict[str, Any]) -> socket.socket:
    """Return a socket of the caller's connection that outlives the handler.

    Raise ``ConnectionDetached`` afterwards, so that the server does not shut the connection down.
    """
    connection: socket.socket = environ["werkzeug.socket"]
    environ["lentilwell.server"].detached.add(connection.fileno())
    return connection.dup()


class _Handler(WSGIRequestHandler):
    protocol_version = "HTTP/1.1"
    server: PooledServer

    def setup(self) -> None:
        super().setup()
        self.connection.settimeout(self.server.read_timeout_ms / MS_PER_SECOND)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def make_environ(self) -> Any:
        environ = super().make_environ()
        environ["lentilwell.server"] = self.server
        environ["lentilwell.headers"] = tuple(self.headers.items())
        return environ

    def connection_dropped(self, error: BaseException, environ: Any = None) -> None:
        self.close_connection = True

    def handle_one_request(self) -> None:
        super().handle_one_request()
        self.close_connection = True

    def log(self, type: str, message: str, *args: Any) -> None:
        logger.debug("http", detail=message % args if args else message)


class PooledServer(BaseWSGIServer):
    """Serves a WSGI application on a fixed number of worker threads; beyond a bound it refuses."""

    multithread = True

    def __init__(
        self, host: str, port: int, app: WsgiApp, workers: int, read_timeout_ms: int
    ) -> None:
        self.read_timeout_ms = read_timeout_ms
        self.detached: set[int] = set()
        self._pending = 0
        self._limit = workers * (1 + WAITING_PER_WORKER)
        self._lock = Lock()
        self._executor = ThreadPoolExecutor(workers, thread_name_prefix="http")
        super().__init__(host, port, app, handler=_Handler)

    request_queue_size = 1_024

    def process_request(self, request: Any, client_address: Any) -> None:
        """Hand a connection to a worker, or refuse it at once when too many wait."""
        with self._lock:
            refused = self._pending >= self._limit
            self._pending += 0 if refused else 1
        if refused:
            request.settimeout(0)
            request.send(render_failure(NotReady()))
            super().shutdown_request(request)
            return
        self._executor.submit(self._work, request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """Close a connection, unless it was given away: then only this reference to it."""
        if request.fileno() in self.detached:
            self.detached.discard(request.fileno())
            request.close()
            return
        super().shutdown_request(request)

    def server_close(self) -> None:
        """Stop listening and wait for the workers."""
        super().server_close()
        self._executor.shutdown(wait=True)

    def _work(self, request: Any, client_address: Any) -> None:
        try:
            self.finish_request(request, client_address)
        except Exception:
            self.handle_error(request, client_address)
        finally:
            with self._lock:
                self._pending -= 1
            self.shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Log what a handler raised, without the request."""
        logger.opt(exception=True).debug("connection failed")
