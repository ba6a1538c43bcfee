"""The engine connections of attempts, whose tokens go into the callers' buffers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import pycurl

from lentilwell._clock import Clock
from lentilwell._http import HttpCall, ReceivedHead, set_common_options
from lentilwell._messages import Cause
from lentilwell.adapters import OpenStream
from lentilwell.forwarding._curl_sockets import CurlSockets
from lentilwell.forwarding._exchange import MAX_BUFFER_BYTES, Exchange
from lentilwell.forwarding._stream_lines import ReceivedLines, StreamLines
from lentilwell.reducer import AttemptFailed, AttemptFinished, Event, FirstTokenSeen, ProgressSeen

STALL_TIMEOUT_MS = 3_000
PROGRESS_INTERVAL_MS = 500
_JSON_HEADERS = (("Content-Type", "application/json"),)
_OK_STATUS = 200
_MIN_REFUSED_STATUS = 429
_REFUSED_STATUSES = (404, 409)
_LEAVING_STATUS = 503


@dataclass(frozen=True)
class StreamTarget:
    """Engine, base URL and request body for one stream of an attempt."""

    engine: str
    url: str
    body: OpenStream


@dataclass
class _Transfer:
    """One engine connection of an attempt.

    ``is_primary`` marks the engine that sends the answer's tokens. After ``finished`` is set,
    further data and failures of the connection are ignored.
    """

    attempt: _Attempt
    target: StreamTarget
    is_primary: bool
    curl: pycurl.Curl
    lines: StreamLines
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


class AttemptTransfers:
    """Owns the open attempts. All methods run in the transfer thread.

    ``flush`` writes the buffer of an exchange to its caller. ``chunk_count`` counts the tokens that
    were received.
    """

    def __init__(
        self,
        clock: Clock,
        curl_sockets: CurlSockets,
        post: Callable[[Event], object],
        flush: Callable[[Exchange], None],
    ) -> None:
        self._clock = clock
        self._curl_sockets = curl_sockets
        self._post = post
        self._flush = flush
        self._attempts: dict[str, _Attempt] = {}
        self._by_curl: dict[pycurl.Curl, _Transfer] = {}
        # Transfers that a callback of curl has finished, in which they cannot be closed.
        self._finished_transfers: list[_Transfer] = []
        self.chunk_count = 0

    def open(self, attempt_id: str, exchange: Exchange, targets: list[StreamTarget]) -> None:
        """Open the streams of an attempt, of which the first is the primary engine's."""
        attempt = _Attempt(attempt_id, exchange)
        self._attempts[attempt_id] = attempt
        exchange.attempt_id = attempt_id
        for position, target in enumerate(targets):
            body = msgspec.json.encode(target.body)
            call = HttpCall("POST", f"{target.url}/v1/streams", _JSON_HEADERS, body)
            self._open_transfer(attempt, target, position == 0, call)

    def reconnect(self, attempt_id: str) -> None:
        """Reconnect each stream of an attempt on a new connection, from the next missing index."""
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

    def drop(self, attempt_id: str) -> None:
        """Stop reading an attempt's streams; their connections are closed and not reused."""
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is not None:
            for transfer in attempt.transfers:
                self._close_transfer(transfer)

    def resume_paused(self, exchange: Exchange) -> None:
        """Go on reading the streams that were paused because the caller's buffer was full."""
        attempt = self._attempts.get(exchange.attempt_id)
        for transfer in attempt.transfers if attempt is not None else []:
            if transfer.paused:
                transfer.paused = False
                transfer.last_data_at = self._clock.now()
                transfer.curl.pause(pycurl.PAUSE_CONT)

    def close_ended(self) -> None:
        """Close the transfers that have ended and report those that failed."""
        for curl, code in self._curl_sockets.collect_ended():
            self._handle_end(curl, code)
        while self._finished_transfers:
            self._close_transfer(self._finished_transfers.pop())

    def check_stalls(self, now: int) -> None:
        """Report the transfers from which no data has come for ``STALL_TIMEOUT_MS``."""
        stalled_before = now - STALL_TIMEOUT_MS
        for transfer in list(self._by_curl.values()):
            if (
                not transfer.paused
                and not transfer.finished
                and transfer.last_data_at < stalled_before
            ):
                self._report_failure(transfer, Cause.STALLED)

    def _open_transfer(
        self, attempt: _Attempt, target: StreamTarget, is_primary: bool, call: HttpCall
    ) -> None:
        curl = pycurl.Curl()
        lines = StreamLines(target.body.stream, is_primary)
        transfer = _Transfer(
            attempt, target, is_primary, curl, lines, last_data_at=self._clock.now()
        )
        set_common_options(curl, call)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.HEADERFUNCTION, transfer.head.add_line)
        curl.setopt(pycurl.WRITEFUNCTION, lambda data: self._handle_data(transfer, data))
        attempt.transfers.append(transfer)
        self._by_curl[curl] = transfer
        self._curl_sockets.add(curl)

    def _close_transfer(self, transfer: _Transfer) -> None:
        transfer.finished = True
        if self._by_curl.pop(transfer.curl, None) is not None:
            self._curl_sockets.remove(transfer.curl)

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
        if transfer.head.status == _OK_STATUS:
            answer_tokens = exchange.request.answer_tokens
            received = transfer.lines.read(data, exchange.next_index, answer_tokens)
            self._handle_lines(transfer, received)
        return len(data)

    def _handle_lines(self, transfer: _Transfer, received: ReceivedLines) -> None:
        transfer.finish_reason = received.finish_reason
        if received.texts:
            self._deliver_tokens(transfer.attempt, list(received.texts))
        if received.failure is not None:
            self._report_failure(transfer, received.failure)
        elif received.finish_reason:
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

    def _handle_end(self, curl: pycurl.Curl, code: int | None) -> None:
        transfer = self._by_curl.pop(curl, None)
        if transfer is None:
            return
        self._curl_sockets.remove(curl)
        if not transfer.finish_reason:
            self._report_failure(transfer, _classify_failure(transfer.head, code))


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
