"""Server side of a caller's HTTP/1.1 connection: parses requests and writes their answers."""

from __future__ import annotations

import asyncio
import socket
import struct
import sys
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

import h11

from lentilwell._clock import Clock
from lentilwell.gateway._catalog import Limits
from lentilwell.gateway._connection import has_unread_bytes, set_dead_peer_timeouts
from lentilwell.gateway._framing import count_head_bytes, has_ambiguous_framing
from lentilwell.gateway._messages import (
    JSON_TYPE,
    Headers,
    InboundRequest,
    encode_error,
    format_retry_after,
)
from lentilwell.gateway._turns import STEPS_PER_TURN

# Bytes of further requests that are buffered while one request is being answered.
MAX_PIPELINED_BYTES = 65_536
# A caller that stops reading for some seconds still gets the rest of its answer.
UNACKNOWLEDGED_TIMEOUT_MS = 5_000

HTTP_1_0 = b"1.0"
# The arguments of SO_LINGER: on, for 0 s. The kernel then closes a socket with a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
TOO_LONG = "the request line and the headers are too long"

FindTimeoutMs = Callable[[Limits], int]


class CallerContext(Protocol):
    """What a caller's connection needs from the gateway."""

    @property
    def limits(self) -> Limits:
        """Return the limits for request sizes and timeouts."""

    @property
    def stopping(self) -> bool:
        """Tell whether connections must be closed after their current answer."""

    async def serve(self, caller: CallerConnection, request: InboundRequest) -> None:
        """Serve one request and write its answer to ``caller``."""

    def register(self, caller: CallerConnection) -> None:
        """Add a connection that was opened."""

    def unregister(self, caller: CallerConnection) -> None:
        """Remove a connection that was closed."""

    def record_rejection(self, status: int, reason: str) -> None:
        """Record that a malformed or oversized request was answered with an error status."""


class CallerConnection(asyncio.Protocol):
    """Speaks HTTP/1.1 with one caller. If the caller disconnects, its request is cancelled."""

    def __init__(self, clock: Clock, context: CallerContext) -> None:
        self._clock = clock
        self._context = context
        # The limit may change meanwhile, so that ``_check_incomplete_event`` applies it instead.
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)
        self._transport: asyncio.Transport | None = None
        self._request: InboundRequest | None = None
        self._body = bytearray()
        self._exchange: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_started_at = clock.now()
        self._find_timeout_ms: FindTimeoutMs = _find_idle_timeout_ms
        self._writable = asyncio.Event()
        self._writable.set()
        self._first_byte_at: int | None = None

    @property
    def busy(self) -> bool:
        """Tell whether a request is being read or answered, or an answer is not yet sent."""
        in_progress = self._exchange is not None or self._request is not None or self._reading
        return in_progress or self._has_unsent_bytes

    @property
    def _has_unsent_bytes(self) -> bool:
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    @property
    def _reading(self) -> bool:
        return self._first_byte_at is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and start the idle timeout."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_dead_peer_timeouts(transport.get_extra_info("socket"), UNACKNOWLEDGED_TIMEOUT_MS)
        self._context.register(self)
        self._set_timer(_find_idle_timeout_ms)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or buffer them while a request is being answered."""
        if self._first_byte_at is None and self._exchange is None:
            self._first_byte_at = self._clock.now()
            self._set_timer(_find_header_timeout_ms)
        self._http.receive_data(data)
        if self._exchange is not None:
            if (
                len(self._http.trailing_data[0]) > MAX_PIPELINED_BYTES
                and self._transport is not None
            ):
                self._transport.pause_reading()
            return
        self._process_events()

    def eof_received(self) -> bool:
        """Close the connection: a caller that half-closes is treated as disconnected."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, because nobody is left to receive its answer."""
        self._clear_timer()
        self._writable.set()
        if self._exchange is not None:
            self._exchange.cancel()
        self._context.unregister(self)

    def pause_writing(self) -> None:
        """Block writers until the caller has read more of the answer."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Release the writers that wait for the caller to read."""
        self._writable.set()

    def start_answer(self, status: int, headers: Headers, close_after: bool = False) -> None:
        """Write the status line and the headers of the answer.

        In a stop, the caller is told that the connection closes after this answer, unless it has
        sent the next request already.
        """
        if close_after or (self._context.stopping and not self._http.trailing_data[0]):
            headers = (*headers, (b"Connection", b"close"))
        self._write(h11.Response(status_code=status, headers=list(headers)))

    async def write(self, data: bytes) -> None:
        """Write bytes of the answer's body, and wait while the send buffer is full."""
        self._write(h11.Data(data=data))
        await self._writable.wait()

    def finish_answer(self) -> None:
        """Write the end of the answer's body."""
        self._write(h11.EndOfMessage())

    def answer(self, status: int, headers: Headers, body: bytes, close_after: bool = False) -> None:
        """Write a complete answer with a ``Content-Length`` header."""
        length = (b"Content-Length", str(len(body)).encode())
        self.start_answer(status, (*headers, length), close_after)
        if body and not (self._request is not None and self._request.method == b"HEAD"):
            self._write(h11.Data(data=body))
        self.finish_answer()

    def abort(self) -> None:
        """Abort the connection, so that the caller does not take a partial answer for complete."""
        if self._transport is None:
            return
        if self._http.their_http_version == HTTP_1_0:
            # The answer has no chunks and ends with its connection: only a reset shows the cut.
            _reset_on_close(self._transport.get_extra_info("socket"))
        self._transport.abort()

    def close_idle(self, min_idle_ms: int) -> None:
        """Close the connection if it has been idle for that long and no request has arrived.

        The next request on a connection that is new or was used just now may be on its way.
        """
        if self.busy or self._transport is None or self._has_unread_bytes():
            return
        if self._clock.now() - self._timer_started_at >= min_idle_ms:
            self._transport.close()

    def refuse_unfinished(self, retry_after_ms: int) -> None:
        """Refuse a request that has not arrived completely, so that its caller repeats it."""
        if self._exchange is None and (self._request is not None or self._reading):
            self._reject(503, "stopping", (format_retry_after(retry_after_ms),))

    def _process_events(self) -> None:
        """Handle what has arrived, ``STEPS_PER_TURN`` events at a time.

        The event loop runs between them, however small the chunks of a body are.
        """
        try:
            for _ in range(STEPS_PER_TURN):
                if not self._handle_next_event():
                    return
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))
            return
        if self._transport is not None:
            self._transport.pause_reading()
        asyncio.get_running_loop().call_soon(self._continue_processing)

    def _continue_processing(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.resume_reading()
        self._process_events()

    def _handle_next_event(self) -> bool:
        """Handle one parser event; return whether another one may be available."""
        event = self._http.next_event()
        if isinstance(event, h11.Request):
            return self._handle_head(event)
        if isinstance(event, h11.Data):
            return self._handle_data(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._start_exchange()
        if event is h11.NEED_DATA:
            self._check_incomplete_event()
        return False

    def _check_incomplete_event(self) -> None:
        """Reject a head, or the size line of a chunk, that is too long before it has ended."""
        if len(self._http.trailing_data[0]) > self._context.limits.header_bytes:
            self._reject(431, TOO_LONG)

    def _handle_head(self, event: h11.Request) -> bool:
        headers = tuple(event.headers.raw_items())
        if count_head_bytes(event.target, headers) > self._context.limits.header_bytes:
            self._reject(431, TOO_LONG)
            return False
        if has_ambiguous_framing(headers):
            self._reject(400, "Content-Length and Transfer-Encoding must not be combined")
            return False
        arrived_at = self._first_byte_at if self._first_byte_at is not None else self._clock.now()
        self._request = InboundRequest(event.method, event.target, headers, arrived_at)
        self._body.clear()
        self._set_timer(_find_idle_timeout_ms)
        if self._http.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))
        return True

    def _handle_data(self, data: bytes | bytearray) -> bool:
        self._body += data
        if len(self._body) > self._context.limits.body_bytes:
            self._reject(413, f"the body is longer than {self._context.limits.body_bytes} bytes")
            return False
        return True

    def _start_exchange(self) -> None:
        assert self._request is not None
        self._clear_timer()
        self._request = replace(self._request, body=bytes(self._body))
        self._body = bytearray()
        coroutine = self._context.serve(self, self._request)
        self._exchange = asyncio.get_running_loop().create_task(coroutine)
        self._exchange.add_done_callback(self._end_exchange)

    def _end_exchange(self, task: asyncio.Task[None]) -> None:
        self._exchange = None
        self._request = None
        self._first_byte_at = None
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if task.cancelled() or task.exception() is not None:
            self.abort()
            return
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            transport.close()
            return
        self._start_next_request(transport)

    def _start_next_request(self, transport: asyncio.Transport) -> None:
        self._http.start_next_cycle()
        transport.resume_reading()
        self._set_timer(_find_idle_timeout_ms)
        if self._http.trailing_data[0]:
            self._first_byte_at = self._clock.now()
            self._process_events()

    def _reject(self, status: int, reason: str, headers: Headers = ()) -> None:
        """Answer a malformed, oversized or late request with an error status, and close."""
        self._context.record_rejection(status, reason)
        self._clear_timer()
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.answer(status, (JSON_TYPE, *headers), encode_error(reason), close_after=True)
        if self._transport is not None:
            self._transport.close()

    def _write(self, event: h11.Event) -> None:
        assert self._transport is not None
        data = self._http.send(event)
        if data:
            self._transport.write(data)

    def _set_timer(self, find_timeout_ms: FindTimeoutMs) -> None:
        """Start a timeout, whose length is looked up again in the limits in force when it ends."""
        self._find_timeout_ms = find_timeout_ms
        self._timer_started_at = self._clock.now()
        self._schedule_timeout(find_timeout_ms(self._context.limits))

    def _schedule_timeout(self, remaining_ms: int) -> None:
        self._clear_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(remaining_ms / 1_000, self._handle_timeout)

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle_timeout(self) -> None:
        if self._exchange is not None:
            return
        ends_at = self._timer_started_at + self._find_timeout_ms(self._context.limits)
        remaining_ms = ends_at - self._clock.now()
        if remaining_ms > 0:
            self._schedule_timeout(remaining_ms)
        elif self._reading:
            self._reject(408, "the request was not received in time")
        elif self._has_unread_bytes():
            self._schedule_timeout(0)  # the next round of the event loop reads them first
        elif self._transport is not None:
            self._transport.close()

    def _has_unread_bytes(self) -> bool:
        """Tell whether bytes have arrived that the event loop has not read yet."""
        return self._transport is not None and has_unread_bytes(self._transport)


def _reset_on_close(sock: socket.socket) -> None:
    """Let the kernel reset the connection when the socket is closed, and drop unsent bytes."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def _find_idle_timeout_ms(limits: Limits) -> int:
    return limits.idle_timeout_ms


def _find_header_timeout_ms(limits: Limits) -> int:
    return limits.header_timeout_ms
