"""Client side of an HTTP/1.1 connection to an upstream, with a timeout for silence."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Sequence
from typing import Protocol

import h11

from lentilwell._clock import Clock
from lentilwell._timeouts import allow_ms
from lentilwell.gateway._addresses import split_address
from lentilwell.gateway._answer_memory import AnswerMemory
from lentilwell.gateway._answer_parser import AnswerParser
from lentilwell.gateway._failures import ConnectionBroken, Unreachable
from lentilwell.gateway._input_allowance import InputAllowance
from lentilwell.gateway._messages import Headers
from lentilwell.gateway._turns import Turns

# Many round trips, but less than the one second after which TCP sends a lost SYN again.
CONNECT_TIMEOUT_MS = 250
# The kernel drops a connection whose sent bytes are not acknowledged for this long, or that the
# peer gives no room to send more for this long.
UNACKNOWLEDGED_TIMEOUT_MS = 2_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Reading from the socket pauses when more unparsed bytes than this are buffered.
READ_AHEAD_BYTES = 65_536
# A body is written in pieces of this size.
WRITE_BYTES = 65_536
# Bounds the memory of an answer that is buffered whole; hundreds may be in flight at once.
MAX_BODY_BYTES = 1_048_576
# 1xx responses that are skipped while waiting for the final response.
MAX_INFORMATIONAL_RESPONSES = 16


class SilenceWatch(Protocol):
    """Is told when an upstream leaves the request in flight without progress for too long."""

    def find_silence_timeout_ms(self) -> int | None:
        """Return how long the upstream may be silent, in ms; None for no limit."""

    def handle_silence(self, silent_ms: int) -> None:
        """Handle a silence; the connection goes on waiting for the answer."""


class HttpConnection(asyncio.Protocol):
    """A connection to an upstream that carries one request at a time.

    ``reusable`` becomes false, and stays so, once the connection must not carry another request.
    ``ended_by_peer`` is true once the upstream has closed or reset it. ``events_received`` counts
    the events of the answer in progress. ``used_before`` is true once a request has been answered
    on the connection, and ``opened_at`` is when it was opened.

    ``silence_watch`` is told of a silence of the upstream while a request is in flight, None if
    nobody is. The silence is measured from the last response head or call of ``record_progress``.
    Other bytes do not end it, so an upstream that sends single bytes without end counts as silent.
    """

    def __init__(self, clock: Clock, memory: AnswerMemory | None = None) -> None:
        self._clock = clock
        self._memory = memory or AnswerMemory()
        self._allowance = InputAllowance(MAX_BODY_BYTES)
        self._parser = AnswerParser(self._allowance)
        self._turns = Turns()
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[bool] | None = None
        self._error: Exception | None = None
        self._broken_off = ""
        self._in_use = False
        self._writable = True
        self._unsent_body = memoryview(b"")
        self._received_at = clock.now()
        self._progress_at = clock.now()
        self._silence_reported = False
        self.opened_at = clock.now()
        self.answer_begun = False
        self.events_received = 0
        self.ended_by_peer = False
        self.reusable = True
        self.used_before = False
        self.silence_watch: SilenceWatch | None = None
        self.idle_since = clock.now()
        self.idle_limit_ms: int | None = None

    @property
    def idle(self) -> bool:
        """Tell whether the connection can be used for a new request."""
        return self.reusable and not self._in_use

    @property
    def descriptor(self) -> int:
        """Return the number of the socket's descriptor, -1 before it is open or once closed."""
        if self._transport is None:
            return -1
        number: int = self._transport.get_extra_info("socket").fileno()
        return number

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.opened_at = self._clock.now()
        set_dead_peer_timeouts(transport.get_extra_info("socket"), UNACKNOWLEDGED_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the parser, or close: bytes outside an answer belong to no request."""
        if not self._in_use:
            self.close()
            return
        self._received_at = self._clock.now()
        self.answer_begun = True
        self._parser.receive(data)
        self._update_memory()
        self._notify()
        if self._transport is not None and self._parser.unparsed_bytes > READ_AHEAD_BYTES:
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Let the parser see the end of the stream; the connection cannot be reused."""
        self.reusable = False
        if self._in_use:
            self.ended_by_peer = True
            self._received_at = self._clock.now()
            self._parser.end()
            self._notify()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the error and wake the waiting reader."""
        self.reusable = False
        self.ended_by_peer = self.ended_by_peer or isinstance(exc, ConnectionError)
        self._error = exc or ConnectionResetError("the upstream closed the connection")
        self._notify()

    def send(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Write a complete request.

        Once its first byte is written, the upstream may have received the request. Raise
        ``Unreachable`` for a request that cannot be encoded, of which no byte is written.
        """
        assert self._transport is not None
        self._in_use = True
        self.answer_begun = False
        self.events_received = 0
        self._received_at = self._clock.now()
        self.record_progress()
        try:
            head, data = self._parser.format_request(method, target, headers, body)
        except h11.LocalProtocolError as error:
            self.close()
            raise Unreachable(f"the request cannot be encoded: {error}") from error
        if len(data) <= WRITE_BYTES:
            self._transport.write(head + data)
            return
        self._transport.write(head)
        self._unsent_body = memoryview(data)
        self._write_further()

    def pause_writing(self) -> None:
        """Stop writing the body while the socket takes no more of it."""
        self._writable = False

    def resume_writing(self) -> None:
        """Continue writing the body."""
        self._writable = True
        self._write_further()

    def _write_further(self) -> None:
        """Write the body in pieces, so that the transport copies only one of them at a time."""
        assert self._transport is not None
        while self._writable and self._unsent_body and not self._transport.is_closing():
            piece = self._unsent_body[:WRITE_BYTES]
            self._unsent_body = self._unsent_body[WRITE_BYTES:]
            self._transport.write(piece)

    def record_progress(self) -> None:
        """Record that the upstream sent something useful, which ends a silence."""
        self._allowance.renew(MAX_BODY_BYTES)
        self._progress_at = self._clock.now()
        self._silence_reported = False

    async def read_head(self) -> h11.Response:
        """Return the status line and the headers of the answer.

        Raise ``ConnectionBroken`` if the connection ends or the bytes are not a valid response.
        """
        for _ in range(MAX_INFORMATIONAL_RESPONSES):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self.record_progress()
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionBroken("the answer has no status line")
        raise ConnectionBroken(
            f"{MAX_INFORMATIONAL_RESPONSES} informational responses without a final one"
        )

    async def read_data(self) -> bytes | None:
        """Return the next bytes of the body, or None at its end; raise like ``read_head``."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ConnectionBroken("the upstream closed the connection")

    async def read_body(
        self, max_bytes: int = MAX_BODY_BYTES, pause_ms: int | None = None
    ) -> bytes:
        """Return the whole body; raise ``ConnectionBroken`` if it exceeds ``max_bytes``.

        The same holds for a body of that size in too many pieces. Other failures raise like
        ``read_head``. With ``pause_ms``, raise ``TimeoutError`` if no piece comes for that time.
        """
        self._allowance.renew(max_bytes)
        body = bytearray()
        while (data := await self._read_piece(pause_ms)) is not None:
            body += data
        return bytes(body)

    async def _read_piece(self, pause_ms: int | None) -> bytes | None:
        if pause_ms is None:
            return await self.read_data()
        async with allow_ms(pause_ms):
            return await self.read_data()

    def finish(self) -> None:
        """Prepare the connection for the next request after a complete answer, or close it.

        It is closed if unsent or unread bytes remain, since they could mix with the next request.
        An idle connection is read, so that its end or a late answer is noticed.
        """
        assert self._transport is not None
        self._in_use = False
        self._memory.update(self, 0)
        self.silence_watch = None
        unsent = self._transport.get_write_buffer_size() > 0 or len(self._unsent_body) > 0
        if not self.reusable or unsent or not self._parser.start_next():
            self.close()
            return
        self._transport.resume_reading()
        self.used_before = True
        self.idle_since = self._clock.now()

    def report_silence(self, min_silent_ms: int) -> None:
        """Report a silence now if the upstream has sent nothing for ``min_silent_ms``.

        Used when a probe finds the upstream unreachable.
        """
        silent = self._clock.now() - self._received_at >= min_silent_ms
        if self._in_use and silent and not self._silence_reported:
            self._report_silence()

    def has_unread_bytes(self) -> bool:
        """Tell whether bytes, or the end of the connection, have arrived and are not read yet."""
        return self._transport is None or has_unread_bytes(self._transport)

    def close(self) -> None:
        """Abort the connection, which lets the upstream cancel the request in flight."""
        self.reusable = False
        self._unsent_body = memoryview(b"")
        self._memory.update(self, 0)
        if self._transport is not None:
            self._transport.abort()

    def break_off(self, reason: str) -> None:
        """End an answer that holds too much memory; its reader gets ``ConnectionBroken``."""
        self._broken_off = reason
        self._parser.clear()
        self.close()
        self._notify()

    def _update_memory(self) -> None:
        held_bytes = self._parser.unparsed_bytes + self._allowance.held_bytes
        self._memory.update(self, held_bytes)

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            await self._turns.pause_if_due()
            if self._broken_off:
                raise ConnectionBroken(self._broken_off)
            event = self._parser.read_event()
            if event is not None:
                self._update_memory()
                self._turns.add_piece(len(event.data) if isinstance(event, h11.Data) else 0)
                return event
            if self._error is not None:
                raise ConnectionBroken(str(self._error)) from self._error
            if self._transport is not None and not self._transport.is_closing():
                self._transport.resume_reading()
            await self._wait_for_bytes()

    async def _wait_for_bytes(self) -> None:
        """Wait for bytes or the end of the connection, and report a silence meanwhile.

        The timeout is computed again each time it expires, because it may have grown meanwhile. If
        the process was paused, bytes that arrived meanwhile take precedence over the timeout.
        """
        while not await self._wait(self._find_remaining_ms()):
            remaining_ms = self._find_remaining_ms()
            if remaining_ms is not None and remaining_ms <= 0:
                self._report_silence()

    def _find_remaining_ms(self) -> int | None:
        """Return the time until the silence must be reported, None if it must not be."""
        if self.silence_watch is None or self._silence_reported:
            return None
        timeout_ms = self.silence_watch.find_silence_timeout_ms()
        return None if timeout_ms is None else timeout_ms - self._measure_silence_ms()

    def _measure_silence_ms(self) -> int:
        return self._clock.now() - self._progress_at

    def _report_silence(self) -> None:
        self._silence_reported = True
        if self.silence_watch is not None:
            self.silence_watch.handle_silence(self._measure_silence_ms())

    async def _wait(self, timeout_ms: int | None) -> bool:
        """Wait for bytes or the end of the connection; return False on a timeout."""
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        timer = None
        if timeout_ms is not None:
            timer = loop.call_later(max(0, timeout_ms) / 1_000, self._notify, False)
        try:
            return await self._waiter
        finally:
            self._waiter = None
            if timer is not None:
                timer.cancel()

    def _notify(self, received: bool = True) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(received)


def has_unread_bytes(transport: asyncio.Transport) -> bool:
    """Tell whether bytes, or the end of a connection, wait in the kernel to be read."""
    if transport.is_closing():
        return False
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


def set_dead_peer_timeouts(sock: socket.socket, unacknowledged_ms: int) -> None:
    """Send small writes at once, and let the kernel detect a dead peer within a few seconds.

    ``unacknowledged_ms`` is how long a peer may neither acknowledge bytes nor make room for more.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms)
    for option, value in _KEEPALIVE_OPTIONS:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


_KEEPALIVE_OPTIONS: Sequence[tuple[int, int]] = (
    (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)


async def open_http_connection(
    address: str, clock: Clock, memory: AnswerMemory | None = None
) -> HttpConnection:
    """Connect to ``host:port``; raise ``Unreachable`` if that fails.

    Connections with the same ``memory`` share its bound on what unfinished answers hold.
    """
    loop = asyncio.get_running_loop()
    try:
        host, port = split_address(address)
        async with allow_ms(CONNECT_TIMEOUT_MS):
            _, connection = await loop.create_connection(
                lambda: HttpConnection(clock, memory), host, port
            )
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        # The last two are raised for a host that cannot be encoded and a port out of range.
        raise Unreachable(f"{address} does not accept connections: {error!r}") from error
    return connection
