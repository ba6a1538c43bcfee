"""Server side of a caller's HTTP/1.1 connection: parses requests and writes their answers."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Protocol

import h11

from lentilwell._clock import MS_PER_SECOND, Clock
from lentilwell.gateway._catalog import Limits
from lentilwell.gateway._connection import has_unread_bytes, set_dead_peer_timeouts
from lentilwell.gateway._messages import (
    JSON_TYPE,
    Headers,
    InboundRequest,
    encode_error,
    format_retry_after,
)
from lentilwell.gateway._turns import STEPS_PER_TURN
from lentilwell.gateway.caller_limits import (
    LINGER_MS,
    READ_BUFFER,
    CallerLimits,
    CallerTimeout,
    ConnectionAccount,
    Linger,
    ReadStep,
    Reason,
    RequestInvalid,
    RequestReader,
    find_header_timeout_ms,
    find_idle_timeout_ms,
)

# Bytes of further requests that are buffered while one request is being answered.
MAX_PIPELINED_BYTES = 65_536
# A caller that stops reading for some seconds still gets the rest of its answer.
UNACKNOWLEDGED_TIMEOUT_MS = 5_000

HTTP_1_0 = b"1.0"
# The arguments of SO_LINGER: on, for 0 s. The kernel then closes a socket with a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
OUT_OF_MEMORY = "the instance holds too much for its callers"
TOO_MANY_REQUESTS = "too many requests at a time"
TOO_MANY_CONNECTIONS = "too many connections"
# The ``Retry-After`` of what is refused to keep the limits of the process: connections without
# progress are given up within this time.
RETRY_HEADERS: Headers = (format_retry_after(1_000),)


class CallerContext(Protocol):
    """What a caller's connection needs from the gateway."""

    @property
    def limits(self) -> Limits:
        """Return the limits for request sizes and timeouts."""

    @property
    def caller_limits(self) -> CallerLimits:
        """Return the bounds on what all callers make the process hold."""

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


class CallerConnection(asyncio.BufferedProtocol):
    """Speaks HTTP/1.1 with one caller. If the caller disconnects, its request is cancelled."""

    def __init__(self, clock: Clock, context: CallerContext) -> None:
        self._clock = clock
        self._context = context
        self._transport: asyncio.Transport | None = None
        self._account = ConnectionAccount(self, context.caller_limits)
        self._reader = RequestReader(self._account, lambda: context.limits)
        self._linger: Linger | None = None
        self._exchange: asyncio.Task[None] | None = None
        self._timeout = CallerTimeout(clock, lambda: context.limits, self._handle_timeout)
        self._writable = asyncio.Event()
        self._writable.set()
        self._first_byte_at: int | None = None

    @property
    def busy(self) -> bool:
        """Tell whether a request is being read or answered, or an answer is not yet sent."""
        in_progress = (
            self._exchange is not None or self._reader.request is not None or self._reading
        )
        return in_progress or self._account.unsent_bytes > 0

    @property
    def _reading(self) -> bool:
        return self._first_byte_at is not None

    @property
    def _closing(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and start the idle timeout, or refuse the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_dead_peer_timeouts(transport.get_extra_info("socket"), UNACKNOWLEDGED_TIMEOUT_MS)
        self._context.register(self)
        if not self._account.open(transport):
            self._answer_rejection(503, TOO_MANY_CONNECTIONS, RETRY_HEADERS)
            transport.close()
            return
        self._timeout.start(find_idle_timeout_ms)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that bytes are received in; they are copied at once."""
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes, or buffer them while a request is being answered."""
        if self._linger is not None:
            self._drop_received(nbytes)
            return
        if self._first_byte_at is None and not self._account.answering:
            self._first_byte_at = self._clock.now()
            self._timeout.start(find_header_timeout_ms)
        self._reader.receive(bytes(READ_BUFFER[:nbytes]))
        if not self._account.answering:
            self._process_events()
            return
        if self._account.unparsed.size_bytes > MAX_PIPELINED_BYTES:
            self._account.pause_reading()
        self._account.update()

    def eof_received(self) -> bool:
        """Close the connection: a caller that half-closes is treated as disconnected."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, because nobody is left to receive its answer."""
        self._timeout.clear()
        self._writable.set()
        if self._exchange is not None:
            self._exchange.cancel()
        self._context.unregister(self)
        self._account.close()

    def pause_writing(self) -> None:
        """Block writers until the caller has read more of the answer."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Release the writers that wait for the caller to read, and begin the next request."""
        self._writable.set()
        self._account.update_unsent()
        if self._account.waiting and not self._closing:
            self._account.waiting = False
            self._start_next_request()

    def start_answer(self, status: int, headers: Headers, close_after: bool = False) -> None:
        """Write the status line and the headers of the answer.

        In a stop, the caller is told that the connection closes after this answer, unless it has
        sent the next request already.
        """
        if close_after or (self._context.stopping and not self._account.unparsed.size_bytes):
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
        if body and not (
            self._reader.request is not None and self._reader.request.method == b"HEAD"
        ):
            self._write(h11.Data(data=body))
        self.finish_answer()

    def abort(self) -> None:
        """Abort the connection, so that the caller does not take a partial answer for complete."""
        if self._transport is None:
            return
        if self._reader.http.their_http_version == HTTP_1_0:
            # The answer has no chunks and ends with its connection: only a reset shows the cut.
            _reset_on_close(self._transport.get_extra_info("socket"))
        self._transport.abort()

    def close_idle(self, min_idle_ms: int) -> None:
        """Close the connection if it has been idle for that long and no request has arrived.

        The next request on a connection that is new or was used just now may be on its way.
        """
        if self._clock.now() - self._timeout.started_at >= min_idle_ms:
            self.close_unused()

    def close_unused(self) -> bool:
        """Close the connection if no request has arrived on it; return whether it is closed."""
        if self.busy or self._transport is None or self._has_unread_bytes():
            return False
        self._transport.close()
        self._account.close()
        return True

    def give_up(self, reason: Reason) -> None:
        """Refuse the request that is being received, or close the connection."""
        if self._account.answering or self._linger is not None or self._account.unsent_bytes:
            self.abort()
        else:
            self._reject(503, f"{OUT_OF_MEMORY} ({reason})", RETRY_HEADERS)

    def refresh_unsent(self) -> None:
        """Record how much of its answers the caller has taken since the last call."""
        self._account.update_unsent()

    def refuse_unfinished(self, retry_after_ms: int) -> None:
        """Refuse a request that has not arrived completely, so that its caller repeats it."""
        if self._exchange is None and (self._reader.request is not None or self._reading):
            self._reject(503, "stopping", (format_retry_after(retry_after_ms),))

    def _process_events(self) -> None:
        """Handle what has arrived, ``STEPS_PER_TURN`` events at a time.

        The event loop runs between them, however small the chunks of a body are.
        """
        try:
            for _ in range(STEPS_PER_TURN):
                if not self._read_step():
                    return
        except RequestInvalid as error:
            self._reject(error.status, error.reason)
            return
        finally:
            self._account.update()
        if self._linger is not None:
            return
        self._account.pause_reading()
        asyncio.get_running_loop().call_soon(self._continue_processing)

    def _continue_processing(self) -> None:
        if self._closing or self._linger is not None:
            return
        self._account.resume_reading()
        self._process_events()

    def _read_step(self) -> bool:
        """Handle one step of parsing; return whether another one may be possible."""
        arrived_at = self._first_byte_at if self._first_byte_at is not None else self._clock.now()
        step = self._reader.read_step(arrived_at)
        if step is ReadStep.HEAD:
            self._timeout.start(find_idle_timeout_ms)
            if self._reader.http.they_are_waiting_for_100_continue:
                self._write(h11.InformationalResponse(status_code=100, headers=[]))
        elif step is ReadStep.END:
            self._start_exchange()
        return step in (ReadStep.HEAD, ReadStep.DATA)

    def _start_exchange(self) -> None:
        self._account.reserve_request()
        if self._linger is not None:
            return
        if not self._account.begin_request():
            self._reject(503, TOO_MANY_REQUESTS, RETRY_HEADERS)
            return
        self._timeout.clear()
        request = self._reader.take_request()
        coroutine = self._context.serve(self, request)
        self._exchange = asyncio.get_running_loop().create_task(coroutine)
        self._exchange.add_done_callback(self._end_exchange)

    def _end_exchange(self, task: asyncio.Task[None]) -> None:
        self._exchange = None
        self._reader.request = None
        self._first_byte_at = None
        self._account.end_request()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if task.cancelled() or task.exception() is not None:
            self.abort()
            return
        if (
            self._reader.http.our_state is not h11.DONE
            or self._reader.http.their_state is not h11.DONE
        ):
            transport.close()
            return
        # What a caller does not read of its answers must not add up.
        self._account.waiting = not self._writable.is_set()
        if not self._account.waiting:
            self._start_next_request()

    def _start_next_request(self) -> None:
        self._reader.http.start_next_cycle()
        self._account.resume_reading()
        self._timeout.start(find_idle_timeout_ms)
        if self._account.unparsed.size_bytes:
            self._first_byte_at = self._clock.now()
            self._process_events()
        else:
            self._account.record_idle()

    def _reject(self, status: int, reason: str, headers: Headers = ()) -> None:
        """Answer a malformed, oversized or late request with an error status, and close.

        The caller is read from for a bounded time, so that the answer is not lost by a reset.
        """
        self._answer_rejection(status, reason, headers)
        if self._transport is None or self._transport.is_closing():
            return
        self._linger = Linger()
        self._first_byte_at = None
        self._reader.clear()
        self._account.resume_reading()
        self._transport.write_eof()
        loop = asyncio.get_running_loop()
        loop.call_later(LINGER_MS / MS_PER_SECOND, self._transport.close)

    def _answer_rejection(self, status: int, reason: str, headers: Headers) -> None:
        self._context.record_rejection(status, reason)
        self._timeout.clear()
        if self._reader.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.answer(status, (JSON_TYPE, *headers), encode_error(reason), close_after=True)

    def _drop_received(self, size_bytes: int) -> None:
        assert self._linger is not None
        if not self._linger.drop(size_bytes) and self._transport is not None:
            self._transport.close()

    def _write(self, event: h11.Event) -> None:
        assert self._transport is not None
        data = self._reader.http.send(event)
        if data:
            self._transport.write(data)
        self._account.update_unsent()

    def _handle_timeout(self) -> None:
        if self._account.answering:
            return
        if self._reading:
            self._reject(408, "the request was not received in time")
        elif self._has_unread_bytes():
            self._timeout.schedule(0)  # the next round of the event loop reads them first
        elif self._transport is not None:
            self._transport.close()

    def _has_unread_bytes(self) -> bool:
        """Tell whether bytes have arrived that the event loop has not read yet."""
        return self._transport is not None and has_unread_bytes(self._transport)


def _reset_on_close(sock: socket.socket) -> None:
    """Let the kernel reset the connection when the socket is closed, and drop unsent bytes."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
