"""The transfer thread, which forwards engine streams to the callers' sockets.

One thread runs the engine connections (pycurl's multi interface) and the callers' sockets, so that
a chunk reaches its caller without passing between threads. When a caller's buffer is full, the
transfer from its engine is paused.
"""

from __future__ import annotations

import contextlib
import selectors
import socket
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field

import msgspec
import pycurl
from loguru import logger

from lentilwell._clock import Clock
from lentilwell._failures import DeadlineExceeded, Failure
from lentilwell._http import HttpCall, ReceivedHead, set_common_options
from lentilwell._messages import Cause
from lentilwell.adapters import OpenStream, StreamLine
from lentilwell.forwarding._exchange import MAX_BUFFER_BYTES, Exchange
from lentilwell.reducer import (
    AttemptFailed,
    AttemptFinished,
    CallerGone,
    Event,
    FirstTokenSeen,
    ProgressSeen,
)

POLL_INTERVAL_MS = 100
STALL_TIMEOUT_MS = 3_000
PROGRESS_INTERVAL_MS = 500
CLOSE_TIMEOUT_MS = 2_000
DEADLINE_MARGIN_MS = 150
READ_SIZE_BYTES = 4_096
MAX_LINE_BYTES = 65_536
_MIN_REFUSED_STATUS = 429
_REFUSED_STATUSES = (404, 409)
_LEAVING_STATUS = 503

_decode_line = msgspec.json.Decoder(StreamLine).decode


@dataclass(frozen=True)
class StreamTarget:
    """Engine, base URL and request body for one stream of an attempt."""

    engine: str
    url: str
    body: OpenStream


@dataclass
class _Transfer:
    """One engine connection of an attempt.

    ``is_primary`` marks the engine that sends the answer's tokens. ``partial_line`` holds the
    received start of an incomplete line. After ``finished`` is set, further data and failures of
    the connection are ignored.
    """

    attempt: _Attempt
    target: StreamTarget
    is_primary: bool
    curl: pycurl.Curl
    partial_line: bytes = b""
    paused: bool = False
    finish_reason: str = ""
    finished: bool = False
    last_data_at: int = 0
    head: ReceivedHead = field(default_factory=ReceivedHead)


@dataclass
class _Attempt:
    """An attempt with its open engine connections."""

    attempt_id: str
    exchange: Exchange
    transfers: list[_Transfer] = field(default_factory=list)
    first_token_seen: bool = False
    progress_reported_at: int = 0


class TransferLoop:
    """Runs the transfer thread, which owns the exchanges.

    Public methods may be called from any thread. Except for ``close``, they do not block.
    """

    def __init__(self, clock: Clock, post: Callable[[Event], object]) -> None:
        self._clock = clock
        self._post = post
        self._commands: deque[Callable[[], None]] = deque()
        self._selector = selectors.DefaultSelector()
        self._wake_sender, self._wake_receiver = socket.socketpair()
        self._wake_sender.setblocking(False)
        self._wake_receiver.setblocking(False)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ, None)
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._update_curl_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_curl_timer)
        self._curl_timer_at: int | None = None
        self._timeouts_checked_at = 0
        self._finished_transfers: list[_Transfer] = []
        self._exchanges: dict[str, Exchange] = {}
        self._attempts: dict[str, _Attempt] = {}
        self._by_curl: dict[pycurl.Curl, _Transfer] = {}
        self._running = True
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="transfer")
        self.chunk_count = 0

    @property
    def open_exchanges(self) -> int:
        """Return the number of callers whose connection is still open."""
        return len(self._exchanges)

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
        self._enqueue(lambda: self._add_exchange(exchange))

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
        self._enqueue(lambda: self._resume_attempt(attempt_id))

    def drop_attempt(self, attempt_id: str) -> None:
        """Stop reading an attempt's streams; their connections are closed and not reused."""
        self._enqueue(lambda: self._drop_attempt(attempt_id))

    def fail_exchange(self, request_id: str, failure: Failure) -> None:
        """End the caller's answer with a failure, unless it has already ended."""
        self._enqueue(lambda: self._fail_exchange(request_id, failure))

    def fail_all(self, failure: Failure) -> None:
        """End every unfinished answer with a failure."""
        self._enqueue(lambda: self._fail_all(failure))

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
        for key, mask in self._selector.select(self._select_timeout_ms() / 1_000):
            self._handle_socket(key, mask)
        if self._curl_timer_at is not None and self._clock.now() >= self._curl_timer_at:
            self._curl_timer_at = None
            self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        while self._commands:
            self._commands.popleft()()
        self._collect_finished()
        self._check_timeouts()

    def _select_timeout_ms(self) -> int:
        if self._commands:
            return 0
        if self._curl_timer_at is None:
            return POLL_INTERVAL_MS
        return min(POLL_INTERVAL_MS, max(0, self._curl_timer_at - self._clock.now()))

    def _handle_socket(self, key: selectors.SelectorKey, mask: int) -> None:
        if key.fileobj is self._wake_receiver:
            with contextlib.suppress(BlockingIOError):
                self._wake_receiver.recv(READ_SIZE_BYTES)
        elif isinstance(key.data, Exchange):
            if mask & selectors.EVENT_READ:
                self._read_caller(key.data)
            if mask & selectors.EVENT_WRITE:
                self._flush(key.data)
        else:
            flags = pycurl.CSELECT_IN if mask & selectors.EVENT_READ else 0
            flags |= pycurl.CSELECT_OUT if mask & selectors.EVENT_WRITE else 0
            self._multi.socket_action(key.fd, flags)

    def _update_curl_socket(
        self, action: int, fd: int, _multi: pycurl.CurlMulti, _data: object
    ) -> None:
        registered = fd in self._selector.get_map()
        if action == pycurl.POLL_REMOVE:
            if registered:
                self._selector.unregister(fd)
            return
        mask = selectors.EVENT_READ if action in (pycurl.POLL_IN, pycurl.POLL_INOUT) else 0
        mask |= selectors.EVENT_WRITE if action in (pycurl.POLL_OUT, pycurl.POLL_INOUT) else 0
        if not mask:
            if registered:
                self._selector.unregister(fd)
        elif registered:
            self._selector.modify(fd, mask, "curl")
        else:
            self._selector.register(fd, mask, "curl")

    def _set_curl_timer(self, timeout_ms: int) -> None:
        self._curl_timer_at = None if timeout_ms < 0 else self._clock.now() + timeout_ms

    def _add_exchange(self, exchange: Exchange) -> None:
        self._exchanges[exchange.request.request_id] = exchange
        exchange.connection.setblocking(False)
        self._selector.register(exchange.connection, selectors.EVENT_READ, exchange)

    def _read_caller(self, exchange: Exchange) -> None:
        try:
            data = exchange.connection.recv(READ_SIZE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._handle_caller_gone(exchange)

    def _check_deadlines(self, now: int) -> None:
        """Fail requests past their deadline and close connections of callers that do not read.

        Deadlines are checked here as well, because the reducer may be behind with its events.
        """
        for exchange in list(self._exchanges.values()):
            deadline_at = exchange.request.deadline_at
            if not exchange.closing and now > deadline_at + DEADLINE_MARGIN_MS:
                self._fail_exchange(exchange.request.request_id, DeadlineExceeded())
                self._post(CallerGone(now, exchange.request.request_id))
            elif exchange.closing and now > close_deadline(exchange):
                self._close_exchange(exchange)

    def _handle_caller_gone(self, exchange: Exchange) -> None:
        exchange.closed = True
        self._close_exchange(exchange)
        self._post(CallerGone(self._clock.now(), exchange.request.request_id))

    def _flush(self, exchange: Exchange) -> None:
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
            self._close_exchange(exchange)
            return
        mask = selectors.EVENT_READ | (selectors.EVENT_WRITE if exchange.buffer else 0)
        self._selector.modify(exchange.connection, mask, exchange)
        if len(exchange.buffer) < MAX_BUFFER_BYTES // 2:
            self._resume_paused_transfers(exchange)

    def _resume_paused_transfers(self, exchange: Exchange) -> None:
        attempt = self._attempts.get(exchange.attempt_id)
        for transfer in attempt.transfers if attempt is not None else []:
            if transfer.paused:
                transfer.paused = False
                transfer.last_data_at = self._clock.now()
                transfer.curl.pause(pycurl.PAUSE_CONT)

    def _close_exchange(self, exchange: Exchange) -> None:
        if self._exchanges.pop(exchange.request.request_id, None) is None:
            return
        exchange.closed = True
        self._selector.unregister(exchange.connection)
        exchange.connection.close()
        exchange.on_end(exchange)

    def _fail_all(self, failure: Failure) -> None:
        for request_id in list(self._exchanges):
            self._fail_exchange(request_id, failure)

    def _fail_exchange(self, request_id: str, failure: Failure) -> None:
        exchange = self._exchanges.get(request_id)
        if exchange is not None and not exchange.closing:
            exchange.fail(failure, self._clock.now())
            self._flush(exchange)

    def _open_attempt(
        self,
        attempt_id: str,
        request_id: str,
        build_targets: Callable[[Exchange], list[StreamTarget]],
    ) -> None:
        exchange = self._exchanges.get(request_id)
        if exchange is None:
            return
        attempt = _Attempt(attempt_id, exchange)
        self._attempts[attempt_id] = attempt
        exchange.attempt_id = attempt_id
        for position, target in enumerate(build_targets(exchange)):
            body = msgspec.json.encode(target.body)
            call = HttpCall("POST", f"{target.url}/v1/streams", _JSON_HEADERS, body)
            self._open_transfer(attempt, target, position == 0, call)

    def _resume_attempt(self, attempt_id: str) -> None:
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return
        previous_transfers = attempt.transfers
        attempt.transfers = []
        for transfer in previous_transfers:
            self._close_transfer(transfer)
            path = f"/v1/streams/{transfer.target.body.stream}?from={attempt.exchange.next_index}"
            call = HttpCall("GET", transfer.target.url + path, new_connection=True)
            self._open_transfer(attempt, transfer.target, transfer.is_primary, call)

    def _open_transfer(
        self, attempt: _Attempt, target: StreamTarget, is_primary: bool, call: HttpCall
    ) -> None:
        curl = pycurl.Curl()
        transfer = _Transfer(attempt, target, is_primary, curl, last_data_at=self._clock.now())
        set_common_options(curl, call)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.HEADERFUNCTION, transfer.head.add_line)
        curl.setopt(pycurl.WRITEFUNCTION, lambda data: self._handle_data(transfer, data))
        attempt.transfers.append(transfer)
        self._by_curl[curl] = transfer
        self._multi.add_handle(curl)

    def _drop_attempt(self, attempt_id: str) -> None:
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is not None:
            for transfer in attempt.transfers:
                self._close_transfer(transfer)

    def _close_transfer(self, transfer: _Transfer) -> None:
        transfer.finished = True
        if self._by_curl.pop(transfer.curl, None) is not None:
            self._multi.remove_handle(transfer.curl)
            transfer.curl.close()

    def _handle_data(self, transfer: _Transfer, data: bytes) -> int:
        """Process bytes received from an engine and return their count.

        If the caller's buffer is full, return the pause value; curl then keeps the bytes.
        """
        exchange = transfer.attempt.exchange
        if transfer.finished or exchange.closing or exchange.closed:
            return len(data)
        if len(exchange.buffer) > MAX_BUFFER_BYTES:
            transfer.paused = True
            return int(pycurl.WRITEFUNC_PAUSE)
        transfer.last_data_at = self._clock.now()
        if transfer.head.status == 200:
            *lines, transfer.partial_line = (transfer.partial_line + data).split(b"\n")
            self._handle_lines(transfer, [line for line in lines if line])
        if len(transfer.partial_line) > MAX_LINE_BYTES:
            self._report_failure(transfer, Cause.BROKEN)
        return len(data)

    def _handle_lines(self, transfer: _Transfer, lines: list[bytes]) -> None:
        exchange = transfer.attempt.exchange
        texts: list[str] = []
        expected_tokens = 0
        for raw in lines:
            line = _parse_line(raw)
            if line is None:
                self._report_failure(transfer, Cause.BROKEN)
                return
            if line.stream != transfer.target.body.stream or not transfer.is_primary:
                continue
            if line.end:
                transfer.finish_reason = line.end
                expected_tokens = (
                    line.tokens if line.tokens >= 0 else exchange.request.answer_tokens
                )
                break
            if line.index < exchange.next_index + len(texts):
                continue
            if line.index > exchange.next_index + len(texts):
                self._report_failure(transfer, Cause.GAP)
                return
            texts.append(line.text)
        if texts:
            self._deliver_tokens(transfer.attempt, texts)
        if transfer.finish_reason and exchange.next_index != expected_tokens:
            self._report_failure(transfer, Cause.GAP)
        elif transfer.finish_reason:
            self._finish_attempt(transfer)

    def _deliver_tokens(self, attempt: _Attempt, texts: list[str]) -> None:
        exchange = attempt.exchange
        self.chunk_count += len(texts)
        exchange.add_tokens(texts)
        now = self._clock.now()
        if not attempt.first_token_seen:
            attempt.first_token_seen = True
            attempt.progress_reported_at = now
            exchange.first_token_at = exchange.first_token_at or now
            self._post(FirstTokenSeen(now, attempt.attempt_id))
        elif now - attempt.progress_reported_at >= PROGRESS_INTERVAL_MS:
            attempt.progress_reported_at = now
            self._post(ProgressSeen(now, attempt.attempt_id, exchange.next_index))
        self._flush(exchange)

    def _finish_attempt(self, transfer: _Transfer) -> None:
        attempt = transfer.attempt
        exchange = attempt.exchange
        self._attempts.pop(attempt.attempt_id, None)
        self._post(AttemptFinished(self._clock.now(), attempt.attempt_id, exchange.next_index))
        exchange.complete(transfer.finish_reason, self._clock.now())
        self._flush(exchange)
        for attempt_transfer in attempt.transfers:
            attempt_transfer.finished = True
            self._finished_transfers.append(attempt_transfer)

    def _report_failure(self, transfer: _Transfer, cause: Cause) -> None:
        """Report the first failure of a transfer; the reducer then resumes or drops the attempt."""
        if transfer.finished:
            return
        transfer.finished = True
        attempt = transfer.attempt
        if attempt.attempt_id in self._attempts:
            tokens = attempt.exchange.next_index
            engine = transfer.target.engine
            self._post(AttemptFailed(self._clock.now(), attempt.attempt_id, engine, cause, tokens))

    def _collect_finished(self) -> None:
        """Remove finished transfers from curl and report those that failed."""
        queued = 1
        while queued:
            queued, completed, failed = self._multi.info_read()
            for curl in completed:
                self._finish_transfer(curl, None)
            for curl, code, _message in failed:
                self._finish_transfer(curl, code)
        while self._finished_transfers:
            self._close_transfer(self._finished_transfers.pop())

    def _finish_transfer(self, curl: pycurl.Curl, code: int | None) -> None:
        transfer = self._by_curl.pop(curl, None)
        if transfer is None:
            return
        self._multi.remove_handle(curl)
        curl.close()
        if not transfer.finish_reason:
            self._report_failure(transfer, _classify_failure(transfer.head, code))

    def _check_timeouts(self) -> None:
        now = self._clock.now()
        if now - self._timeouts_checked_at < POLL_INTERVAL_MS:
            return
        self._timeouts_checked_at = now
        self._check_deadlines(now)
        stalled_before = now - STALL_TIMEOUT_MS
        for transfer in list(self._by_curl.values()):
            if (
                not transfer.paused
                and not transfer.finished
                and transfer.last_data_at < stalled_before
            ):
                self._report_failure(transfer, Cause.STALLED)


_JSON_HEADERS = (("Content-Type", "application/json"),)


def close_deadline(exchange: Exchange) -> int:
    """Return the time at which a caller's connection is closed even if it has unsent bytes.

    A complete answer may be read until the request's deadline, if that is later.
    """
    timeout_at = exchange.closing_since + CLOSE_TIMEOUT_MS
    if exchange.failure is not None:
        return timeout_at
    return max(timeout_at, exchange.request.deadline_at)


def _parse_line(raw: bytes) -> StreamLine | None:
    try:
        return _decode_line(raw)
    except (msgspec.DecodeError, RecursionError):
        return None


def _classify_failure(head: ReceivedHead, code: int | None) -> Cause:
    """Return the cause of a failed transfer; a refusal counts only if its head arrived whole."""
    if code in (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST):
        return Cause.CONNECT
    if not head.whole:
        return Cause.BROKEN
    if head.status == _LEAVING_STATUS:
        return Cause.LEAVING
    if head.status >= _MIN_REFUSED_STATUS or head.status in _REFUSED_STATUSES:
        return Cause.REFUSED
    return Cause.BROKEN
