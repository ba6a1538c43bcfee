"""The callers' sockets: writes buffered answers, and notices callers that are gone or too slow."""

from __future__ import annotations

import selectors
from collections.abc import Callable

from lentilwell._clock import Clock
from lentilwell._failures import DeadlineExceeded, Failure
from lentilwell.forwarding._exchange import MAX_BUFFER_BYTES, Exchange
from lentilwell.reducer import CallerGone, Event

CLOSE_TIMEOUT_MS = 2_000
DEADLINE_MARGIN_MS = 150
READ_SIZE_BYTES = 4_096


class CallerSockets:
    """Owns the exchanges with open sockets. All methods run in the transfer thread.

    ``on_room`` is called with an exchange when its buffer has room again.
    """

    def __init__(
        self,
        clock: Clock,
        selector: selectors.BaseSelector,
        post: Callable[[Event], object],
        on_room: Callable[[Exchange], None],
    ) -> None:
        self._clock = clock
        self._selector = selector
        self._post = post
        self._on_room = on_room
        self._exchanges: dict[str, Exchange] = {}

    @property
    def open_count(self) -> int:
        """Return the number of callers whose connection is still open."""
        return len(self._exchanges)

    def find(self, request_id: str) -> Exchange | None:
        """Return the exchange of a request, or None if its connection is closed."""
        return self._exchanges.get(request_id)

    def add(self, exchange: Exchange) -> None:
        """Take ownership of a caller's exchange and socket."""
        self._exchanges[exchange.request.request_id] = exchange
        exchange.connection.setblocking(False)
        self._selector.register(exchange.connection, selectors.EVENT_READ, exchange)

    def handle_socket(self, exchange: Exchange, mask: int) -> None:
        """Read from or write to a socket that is ready."""
        if mask & selectors.EVENT_READ:
            self._read(exchange)
        if mask & selectors.EVENT_WRITE:
            self.flush(exchange)

    def flush(self, exchange: Exchange) -> None:
        """Write as much of the buffer as the socket takes; close it after the whole answer."""
        if exchange.closed:
            return
        try:
            while exchange.buffer:
                sent = exchange.connection.send(exchange.buffer)
                del exchange.buffer[:sent]
        except BlockingIOError:
            pass
        except OSError:
            self._handle_caller_gone(exchange)
            return
        if exchange.closing and not exchange.buffer:
            self._close(exchange)
            return
        mask = selectors.EVENT_READ | (selectors.EVENT_WRITE if exchange.buffer else 0)
        self._selector.modify(exchange.connection, mask, exchange)
        if len(exchange.buffer) < MAX_BUFFER_BYTES // 2:
            self._on_room(exchange)

    def fail(self, request_id: str, failure: Failure) -> None:
        """End the caller's answer with a failure, unless it has already ended."""
        exchange = self._exchanges.get(request_id)
        if exchange is not None and not exchange.closing:
            exchange.fail(failure, self._clock.now())
            self.flush(exchange)

    def fail_all(self, failure: Failure) -> None:
        """End every unfinished answer with a failure."""
        for request_id in list(self._exchanges):
            self.fail(request_id, failure)

    def check_deadlines(self, now: int) -> None:
        """Fail requests past their deadline and close connections of callers that do not read.

        Deadlines are checked here as well, because the reducer may be behind with its events.
        """
        for exchange in list(self._exchanges.values()):
            deadline_at = exchange.request.deadline_at
            if not exchange.closing and now > deadline_at + DEADLINE_MARGIN_MS:
                self.fail(exchange.request.request_id, DeadlineExceeded())
                self._post(CallerGone(now, exchange.request.request_id))
            elif exchange.closing and now > find_close_deadline(exchange):
                self._close(exchange)

    def _read(self, exchange: Exchange) -> None:
        """Notice a caller that has closed its connection; any bytes are dropped."""
        try:
            data = exchange.connection.recv(READ_SIZE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._handle_caller_gone(exchange)

    def _handle_caller_gone(self, exchange: Exchange) -> None:
        exchange.closed = True
        self._close(exchange)
        self._post(CallerGone(self._clock.now(), exchange.request.request_id))

    def _close(self, exchange: Exchange) -> None:
        if self._exchanges.pop(exchange.request.request_id, None) is None:
            return
        exchange.closed = True
        self._selector.unregister(exchange.connection)
        exchange.connection.close()
        exchange.on_end(exchange)


def find_close_deadline(exchange: Exchange) -> int:
    """Return the time at which a caller's connection is closed even if it has unsent bytes.

    A complete answer may be read until the request's deadline, if that is later.
    """
    timeout_at = exchange.closing_since + CLOSE_TIMEOUT_MS
    if exchange.failure is not None:
        return timeout_at
    return max(timeout_at, exchange.request.deadline_at)
