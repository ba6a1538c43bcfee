"""The transfer thread: all engine streams by pycurl's multi interface, and the callers' sockets.

One thread drives both, so a chunk goes from the engine to its caller without a hand-over. A full
caller buffer pauses the engine's transfer.
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
from lentilwell._http import HttpCall, set_common_options
from lentilwell._messages import Cause
from lentilwell.adapters import OpenStream, StreamLine
from lentilwell.forwarding._streams import BUFFER_LIMIT_BYTES, Exchange
from lentilwell.reducer import (
    AttemptFailed,
    AttemptFinished,
    CallerGone,
    Event,
    FirstTokenSeen,
    ProgressSeen,
)

POLL_MS = 100
STALL_LIMIT_MS = 3_000
PROGRESS_INTERVAL_MS = 500
CLOSE_PATIENCE_MS = 2_000
DEADLINE_MARGIN_MS = 150
READ_BYTES = 4_096
LINE_LIMIT_BYTES = 65_536
_REFUSED_FROM_STATUS = 429
_REFUSED_STATUSES = (404, 409)
_LEAVING_STATUS = 503

_decode_line = msgspec.json.Decoder(StreamLine).decode


@dataclass(frozen=True)
class StreamTarget:
    """One stream of an attempt: the engine, its URL and the body that opens it there."""

    engine: str
    url: str
    body: OpenStream


@dataclass
class _Transfer:
    """One engine connection of an attempt."""

    attempt: _Attempt
    target: StreamTarget
    lead: bool
    curl: pycurl.Curl
    rest: bytes = b""
    paused: bool = False
    end: str = ""
    failed: bool = False
    heard_at: int = 0
    status: int = 0


@dataclass
class _Attempt:
    """An attempt in the transfer thread."""

    attempt_id: str
    exchange: Exchange
    transfers: list[_Transfer] = field(default_factory=list)
    first_seen: bool = False
    progress_at: int = 0


class TransferLoop:
    """Owns the exchanges. Public methods may be called from any thread and never block."""

    def __init__(self, clock: Clock, post: Callable[[Event], object]) -> None:
        self._clock = clock
        self._post = post
        self._commands: deque[Callable[[], None]] = deque()
        self._selector = selectors.DefaultSelector()
        self._wake_in, self._wake_out = socket.socketpair()
        self._wake_in.setblocking(False)
        self._wake_out.setblocking(False)
        self._selector.register(self._wake_out, selectors.EVENT_READ, None)
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_curl)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._curl_due: int | None = None
        self._stalls_checked_at = 0
        self._done: list[_Transfer] = []
        self._exchanges: dict[str, Exchange] = {}
        self._attempts: dict[str, _Attempt] = {}
        self._by_curl: dict[pycurl.Curl, _Transfer] = {}
        self._running = True
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="transfer")
        self.chunks = 0

    @property
    def open_exchanges(self) -> int:
        """Return how many callers wait for an answer, or for the rest of one."""
        return len(self._exchanges)

    def start(self) -> Future[None]:
        """Start the thread."""
        return self._executor.submit(self._run)

    def close(self) -> None:
        """Stop the thread."""
        self._call(self._stop)
        self._executor.shutdown(wait=True)

    def add_exchange(self, exchange: Exchange) -> None:
        """Take over a caller's socket; do this before the request's event is posted."""
        self._call(lambda: self._add_exchange(exchange))

    def open_attempt(
        self,
        attempt_id: str,
        request_id: str,
        make_targets: Callable[[Exchange], list[StreamTarget]],
    ) -> None:
        """Open the streams of an attempt; the targets are made from the exchange as it is then."""
        self._call(lambda: self._open_attempt(attempt_id, request_id, make_targets))

    def resume_attempt(self, attempt_id: str) -> None:
        """Reconnect every stream of an attempt on fresh connections at the next index."""
        self._call(lambda: self._resume_attempt(attempt_id))

    def drop_attempt(self, attempt_id: str) -> None:
        """Stop reading an attempt; its connections are closed, not reused."""
        self._call(lambda: self._drop_attempt(attempt_id))

    def end_exchange(self, request_id: str, failure: Failure) -> None:
        """Answer the caller with a failure."""
        self._call(lambda: self._end_exchange(request_id, failure))

    def end_all(self, failure: Failure) -> None:
        """Answer every caller whose answer is not whole with a failure."""
        self._call(lambda: self._end_all(failure))

    def _call(self, command: Callable[[], None]) -> None:
        self._commands.append(command)
        with contextlib.suppress(BlockingIOError):
            self._wake_in.send(b"x")

    def _stop(self) -> None:
        self._running = False

    def _run(self) -> None:
        while self._running:
            try:
                self._turn()
            except Exception:
                logger.exception("transfer turn failed")

    def _turn(self) -> None:
        for key, mask in self._selector.select(self._wait_ms() / 1_000):
            self._serve_socket(key, mask)
        if self._curl_due is not None and self._clock.now() >= self._curl_due:
            self._curl_due = None
            self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        while self._commands:
            self._commands.popleft()()
        self._reap()
        self._check_stalls()

    def _wait_ms(self) -> int:
        if self._commands:
            return 0
        if self._curl_due is None:
            return POLL_MS
        return min(POLL_MS, max(0, self._curl_due - self._clock.now()))

    def _serve_socket(self, key: selectors.SelectorKey, mask: int) -> None:
        if key.fileobj is self._wake_out:
            with contextlib.suppress(BlockingIOError):
                self._wake_out.recv(READ_BYTES)
        elif isinstance(key.data, Exchange):
            if mask & selectors.EVENT_READ:
                self._read_caller(key.data)
            if mask & selectors.EVENT_WRITE:
                self._flush(key.data)
        else:
            flags = pycurl.CSELECT_IN if mask & selectors.EVENT_READ else 0
            flags |= pycurl.CSELECT_OUT if mask & selectors.EVENT_WRITE else 0
            self._multi.socket_action(key.fd, flags)

    def _watch_curl(self, what: int, fd: int, _multi: pycurl.CurlMulti, _data: object) -> None:
        known = fd in self._selector.get_map()
        if what == pycurl.POLL_REMOVE:
            if known:
                self._selector.unregister(fd)
            return
        mask = selectors.EVENT_READ if what in (pycurl.POLL_IN, pycurl.POLL_INOUT) else 0
        mask |= selectors.EVENT_WRITE if what in (pycurl.POLL_OUT, pycurl.POLL_INOUT) else 0
        if not mask:
            if known:
                self._selector.unregister(fd)
        elif known:
            self._selector.modify(fd, mask, "curl")
        else:
            self._selector.register(fd, mask, "curl")

    def _set_timer(self, timeout_ms: int) -> None:
        self._curl_due = None if timeout_ms < 0 else self._clock.now() + timeout_ms

    def _add_exchange(self, exchange: Exchange) -> None:
        self._exchanges[exchange.request.request_id] = exchange
        exchange.connection.setblocking(False)
        self._selector.register(exchange.connection, selectors.EVENT_READ, exchange)

    def _read_caller(self, exchange: Exchange) -> None:
        try:
            data = exchange.connection.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._lose_caller(exchange)

    def _check_deadlines(self, now: int) -> None:
        """End what is late, also when the reducer is behind, and cut callers that do not read."""
        for exchange in list(self._exchanges.values()):
            deadline_at = exchange.request.deadline_at
            if not exchange.closing and now > deadline_at + DEADLINE_MARGIN_MS:
                self._end_exchange(exchange.request.request_id, DeadlineExceeded())
                self._post(CallerGone(now, exchange.request.request_id))
            elif exchange.closing and now > closing_limit(exchange):
                self._finish_exchange(exchange)

    def _lose_caller(self, exchange: Exchange) -> None:
        exchange.gone = True
        self._finish_exchange(exchange)
        self._post(CallerGone(self._clock.now(), exchange.request.request_id))

    def _flush(self, exchange: Exchange) -> None:
        if exchange.gone:
            return
        try:
            while exchange.buffer:
                sent = exchange.connection.send(exchange.buffer)
                del exchange.buffer[:sent]
        except BlockingIOError:
            pass
        except OSError:
            self._lose_caller(exchange)
            return
        if exchange.closing and not exchange.buffer:
            self._finish_exchange(exchange)
            return
        mask = selectors.EVENT_READ | (selectors.EVENT_WRITE if exchange.buffer else 0)
        self._selector.modify(exchange.connection, mask, exchange)
        if len(exchange.buffer) < BUFFER_LIMIT_BYTES // 2:
            self._unpause(exchange)

    def _unpause(self, exchange: Exchange) -> None:
        attempt = self._attempts.get(exchange.attempt_id)
        for transfer in attempt.transfers if attempt is not None else []:
            if transfer.paused:
                transfer.paused = False
                transfer.heard_at = self._clock.now()
                transfer.curl.pause(pycurl.PAUSE_CONT)

    def _finish_exchange(self, exchange: Exchange) -> None:
        if self._exchanges.pop(exchange.request.request_id, None) is None:
            return
        exchange.gone = True
        self._selector.unregister(exchange.connection)
        exchange.connection.close()
        exchange.on_end(exchange)

    def _end_all(self, failure: Failure) -> None:
        for request_id in list(self._exchanges):
            self._end_exchange(request_id, failure)

    def _end_exchange(self, request_id: str, failure: Failure) -> None:
        exchange = self._exchanges.get(request_id)
        if exchange is not None and not exchange.closing:
            exchange.end_failed(failure, self._clock.now())
            self._flush(exchange)

    def _open_attempt(
        self,
        attempt_id: str,
        request_id: str,
        make_targets: Callable[[Exchange], list[StreamTarget]],
    ) -> None:
        exchange = self._exchanges.get(request_id)
        if exchange is None:
            return
        attempt = _Attempt(attempt_id, exchange)
        self._attempts[attempt_id] = attempt
        exchange.attempt_id = attempt_id
        for position, target in enumerate(make_targets(exchange)):
            body = msgspec.json.encode(target.body)
            call = HttpCall("POST", f"{target.url}/v1/streams", _JSON, body)
            self._open(attempt, target, position == 0, call)

    def _resume_attempt(self, attempt_id: str) -> None:
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return
        old = attempt.transfers
        attempt.transfers = []
        for transfer in old:
            self._close_transfer(transfer)
            path = f"/v1/streams/{transfer.target.body.stream}?from={attempt.exchange.next_index}"
            call = HttpCall("GET", transfer.target.url + path, new_connection=True)
            self._open(attempt, transfer.target, transfer.lead, call)

    def _open(self, attempt: _Attempt, target: StreamTarget, lead: bool, call: HttpCall) -> None:
        curl = pycurl.Curl()
        transfer = _Transfer(attempt, target, lead, curl, heard_at=self._clock.now())
        set_common_options(curl, call)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.HEADERFUNCTION, lambda line: _note_status(transfer, line))
        curl.setopt(pycurl.WRITEFUNCTION, lambda data: self._take(transfer, data))
        attempt.transfers.append(transfer)
        self._by_curl[curl] = transfer
        self._multi.add_handle(curl)

    def _drop_attempt(self, attempt_id: str) -> None:
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is not None:
            for transfer in attempt.transfers:
                self._close_transfer(transfer)

    def _close_transfer(self, transfer: _Transfer) -> None:
        transfer.failed = True
        if self._by_curl.pop(transfer.curl, None) is not None:
            self._multi.remove_handle(transfer.curl)
            transfer.curl.close()

    def _take(self, transfer: _Transfer, data: bytes) -> int:
        """Take bytes of a stream; returning a pause leaves them with curl."""
        exchange = transfer.attempt.exchange
        if transfer.failed or exchange.closing or exchange.gone:
            return len(data)
        if len(exchange.buffer) > BUFFER_LIMIT_BYTES:
            transfer.paused = True
            return int(pycurl.WRITEFUNC_PAUSE)
        transfer.heard_at = self._clock.now()
        if transfer.status == 200:
            *lines, transfer.rest = (transfer.rest + data).split(b"\n")
            self._take_lines(transfer, [line for line in lines if line])
        if len(transfer.rest) > LINE_LIMIT_BYTES:
            self._fail(transfer, Cause.BROKEN)
        return len(data)

    def _take_lines(self, transfer: _Transfer, lines: list[bytes]) -> None:
        exchange = transfer.attempt.exchange
        texts: list[str] = []
        whole = 0
        for raw in lines:
            line = _parse_line(raw)
            if line is None:
                self._fail(transfer, Cause.BROKEN)
                return
            if line.stream != transfer.target.body.stream or not transfer.lead:
                continue
            if line.end:
                transfer.end = line.end
                whole = line.tokens if line.tokens >= 0 else exchange.request.answer_tokens
                break
            if line.index < exchange.next_index + len(texts):
                continue
            if line.index > exchange.next_index + len(texts):
                self._fail(transfer, Cause.GAP)
                return
            texts.append(line.text)
        if texts:
            self._deliver(transfer.attempt, texts)
        if transfer.end and exchange.next_index != whole:
            self._fail(transfer, Cause.GAP)
        elif transfer.end:
            self._end_lead(transfer)

    def _deliver(self, attempt: _Attempt, texts: list[str]) -> None:
        exchange = attempt.exchange
        self.chunks += len(texts)
        exchange.add_tokens(texts)
        now = self._clock.now()
        if not attempt.first_seen:
            attempt.first_seen = True
            attempt.progress_at = now
            exchange.first_token_at = exchange.first_token_at or now
            self._post(FirstTokenSeen(now, attempt.attempt_id))
        elif now - attempt.progress_at >= PROGRESS_INTERVAL_MS:
            attempt.progress_at = now
            self._post(ProgressSeen(now, attempt.attempt_id, exchange.next_index))
        self._flush(exchange)

    def _end_lead(self, transfer: _Transfer) -> None:
        attempt = transfer.attempt
        exchange = attempt.exchange
        self._attempts.pop(attempt.attempt_id, None)
        self._post(AttemptFinished(self._clock.now(), attempt.attempt_id, exchange.next_index))
        exchange.end_whole(transfer.end, self._clock.now())
        self._flush(exchange)
        for each in attempt.transfers:
            each.failed = True
            self._done.append(each)

    def _fail(self, transfer: _Transfer, cause: Cause) -> None:
        """Report a failure once; the reducer answers with a resume or a drop."""
        if transfer.failed:
            return
        transfer.failed = True
        attempt = transfer.attempt
        if attempt.attempt_id in self._attempts:
            tokens = attempt.exchange.next_index
            engine = transfer.target.engine
            self._post(AttemptFailed(self._clock.now(), attempt.attempt_id, engine, cause, tokens))

    def _reap(self) -> None:
        """Take finished connections off curl and judge how they ended."""
        more = 1
        while more:
            more, done, broken = self._multi.info_read()
            for curl in done:
                self._reap_one(curl, None)
            for curl, code, _message in broken:
                self._reap_one(curl, code)
        while self._done:
            self._close_transfer(self._done.pop())

    def _reap_one(self, curl: pycurl.Curl, code: int | None) -> None:
        transfer = self._by_curl.pop(curl, None)
        if transfer is None:
            return
        status = curl.getinfo(pycurl.RESPONSE_CODE)
        self._multi.remove_handle(curl)
        curl.close()
        if not transfer.end:
            self._fail(transfer, _judge(status, code))

    def _check_stalls(self) -> None:
        now = self._clock.now()
        if now - self._stalls_checked_at < POLL_MS:
            return
        self._stalls_checked_at = now
        self._check_deadlines(now)
        oldest = now - STALL_LIMIT_MS
        for transfer in list(self._by_curl.values()):
            if not transfer.paused and not transfer.failed and transfer.heard_at < oldest:
                self._fail(transfer, Cause.STALLED)


_JSON = (("Content-Type", "application/json"),)


def closing_limit(exchange: Exchange) -> int:
    """Return until when a caller may take the end of its answer: its deadline, if that is whole."""
    limit = exchange.closing_at + CLOSE_PATIENCE_MS
    if exchange.failure is not None:
        return limit
    return max(limit, exchange.request.deadline_at)


def _note_status(transfer: _Transfer, line: bytes) -> None:
    if line.startswith(b"HTTP/"):
        transfer.status = int(line.split(b" ", 2)[1])


def _parse_line(raw: bytes) -> StreamLine | None:
    try:
        return _decode_line(raw)
    except msgspec.DecodeError:
        return None


def _judge(status: int, code: int | None) -> Cause:
    if code in (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST):
        return Cause.CONNECT
    if status == _LEAVING_STATUS:
        return Cause.LEAVING
    if status >= _REFUSED_FROM_STATUS or status in _REFUSED_STATUSES:
        return Cause.REFUSED
    return Cause.BROKEN
