"""The transfer thread, which forwards engine streams to the callers' sockets.

One thread runs the engine connections (``_attempt_transfers``, on curl by ``_curl_sockets``) and
the callers' sockets (``_caller_sockets``), so that a chunk reaches its caller without passing
between threads. When a caller's buffer is full, the transfer from its engine is paused.
"""

from __future__ import annotations

import contextlib
import selectors
import socket
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor

from loguru import logger

from lentilwell._clock import Clock
from lentilwell._failures import Failure
from lentilwell.forwarding._attempt_transfers import AttemptTransfers, StreamTarget
from lentilwell.forwarding._caller_sockets import CallerSockets
from lentilwell.forwarding._curl_sockets import CurlSockets
from lentilwell.forwarding._exchange import Exchange
from lentilwell.reducer import Event

POLL_INTERVAL_MS = 100
WAKE_READ_BYTES = 4_096


class TransferLoop:
    """Runs the transfer thread, which owns the exchanges.

    Public methods may be called from any thread. Except for ``close``, they do not block.
    """

    def __init__(self, clock: Clock, post: Callable[[Event], object]) -> None:
        self._clock = clock
        self._commands: deque[Callable[[], None]] = deque()
        self._selector = selectors.DefaultSelector()
        self._wake_sender, self._wake_receiver = socket.socketpair()
        self._wake_sender.setblocking(False)
        self._wake_receiver.setblocking(False)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ, None)
        self._curl_sockets = CurlSockets(clock, self._selector)
        self._callers = CallerSockets(clock, self._selector, post, self._resume_paused)
        self._attempts = AttemptTransfers(clock, self._curl_sockets, post, self._callers.flush)
        self._timeouts_checked_at = 0
        self._running = True
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="transfer")

    @property
    def open_exchanges(self) -> int:
        """Return the number of callers whose connection is still open."""
        return self._callers.open_count

    @property
    def chunk_count(self) -> int:
        """Return the number of tokens received from engines."""
        return self._attempts.chunk_count

    def start(self) -> Future[None]:
        """Start the transfer thread."""
        return self._executor.submit(self._run)

    def close(self) -> None:
        """Stop the transfer thread and wait for its end."""
        self._enqueue(self._stop)
        self._executor.shutdown(wait=True)

    def add_exchange(self, exchange: Exchange) -> None:
        """Take ownership of a caller's exchange and socket.

        Call this before the request's event is posted: the reducer's effects need the exchange.
        """
        self._enqueue(lambda: self._callers.add(exchange))

    def open_attempt(
        self,
        attempt_id: str,
        request_id: str,
        build_targets: Callable[[Exchange], list[StreamTarget]],
    ) -> None:
        """Open the streams of an attempt.

        ``build_targets`` is called in the transfer thread with the current state of the exchange.
        """
        self._enqueue(lambda: self._open_attempt(attempt_id, request_id, build_targets))

    def resume_attempt(self, attempt_id: str) -> None:
        """Reconnect each stream of an attempt on a new connection, from the next missing index."""
        self._enqueue(lambda: self._attempts.reconnect(attempt_id))

    def drop_attempt(self, attempt_id: str) -> None:
        """Stop reading an attempt's streams; their connections are closed and not reused."""
        self._enqueue(lambda: self._attempts.drop(attempt_id))

    def fail_exchange(self, request_id: str, failure: Failure) -> None:
        """End the caller's answer with a failure, unless it has already ended."""
        self._enqueue(lambda: self._callers.fail(request_id, failure))

    def fail_all(self, failure: Failure) -> None:
        """End every unfinished answer with a failure."""
        self._enqueue(lambda: self._callers.fail_all(failure))

    def _enqueue(self, command: Callable[[], None]) -> None:
        self._commands.append(command)
        with contextlib.suppress(BlockingIOError):
            self._wake_sender.send(b"x")

    def _stop(self) -> None:
        self._running = False

    def _run(self) -> None:
        while self._running:
            try:
                self._run_once()
            except Exception:
                logger.exception("transfer turn failed")

    def _run_once(self) -> None:
        for key, mask in self._selector.select(self._find_timeout_ms() / 1_000):
            self._handle_socket(key, mask)
        self._curl_sockets.run_timer()
        while self._commands:
            self._commands.popleft()()
        self._attempts.close_ended()
        self._check_timeouts()

    def _find_timeout_ms(self) -> int:
        if self._commands:
            return 0
        curl_timeout_ms = self._curl_sockets.find_timeout_ms()
        return (
            POLL_INTERVAL_MS if curl_timeout_ms is None else min(POLL_INTERVAL_MS, curl_timeout_ms)
        )

    def _handle_socket(self, key: selectors.SelectorKey, mask: int) -> None:
        if key.fileobj is self._wake_receiver:
            with contextlib.suppress(BlockingIOError):
                self._wake_receiver.recv(WAKE_READ_BYTES)
        elif isinstance(key.data, Exchange):
            self._callers.handle_socket(key.data, mask)
        else:
            self._curl_sockets.handle_socket(key.fd, mask)

    def _open_attempt(
        self,
        attempt_id: str,
        request_id: str,
        build_targets: Callable[[Exchange], list[StreamTarget]],
    ) -> None:
        exchange = self._callers.find(request_id)
        if exchange is not None:
            self._attempts.open(attempt_id, exchange, build_targets(exchange))

    def _resume_paused(self, exchange: Exchange) -> None:
        self._attempts.resume_paused(exchange)

    def _check_timeouts(self) -> None:
        now = self._clock.now()
        if now - self._timeouts_checked_at < POLL_INTERVAL_MS:
            return
        self._timeouts_checked_at = now
        self._callers.check_deadlines(now)
        self._attempts.check_stalls(now)
