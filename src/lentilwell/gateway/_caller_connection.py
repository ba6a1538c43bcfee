"""One caller's connection: requests one after another, each answered by an exchange."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Protocol

import h11

from lentilwell._clock import Clock
from lentilwell.gateway._catalog import Limits
from lentilwell.gateway._connection import set_dead_peer_timeouts
from lentilwell.gateway._messages import JSON_TYPE, Headers, InboundRequest, encode_error

MAX_PIPELINED_BYTES = 65_536
HEADER_SEPARATOR_BYTES = 4


class CallerContext(Protocol):
    """What a caller's connection needs of the gateway."""

    @property
    def limits(self) -> Limits:
        """Return the limits in force."""

    @property
    def stopping(self) -> bool:
        """Tell whether connections are to be closed after their answers."""

    async def serve(self, caller: CallerConnection, request: InboundRequest) -> None:
        """Answer one request through ``caller``."""

    def register(self, caller: CallerConnection) -> None:
        """A connection was opened."""

    def unregister(self, caller: CallerConnection) -> None:
        """A connection is gone."""

    def record_rejection(self, status: int, reason: str) -> None:
        """Something that is no proper request was answered with a status."""


class CallerConnection(asyncio.Protocol):
    """Speaks HTTP/1.1 with one caller. A caller that leaves cancels the exchange in progress."""

    def __init__(self, clock: Clock, context: CallerContext) -> None:
        self._clock = clock
        self._context = context
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=context.limits.header_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._request: InboundRequest | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._exchange: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._first_byte_at: int | None = None

    @property
    def busy(self) -> bool:
        """Tell whether a request is being read or answered."""
        return self._exchange is not None or self._request is not None or self._reading

    @property
    def _reading(self) -> bool:
        return self._first_byte_at is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_dead_peer_timeouts(transport.get_extra_info("socket"))
        self._context.register(self)
        self._set_timer(self._context.limits.idle_timeout_ms)

    def data_received(self, data: bytes) -> None:
        """Take bytes of the next request."""
        if self._first_byte_at is None and self._exchange is None:
            self._first_byte_at = self._clock.now()
            self._set_timer(self._context.limits.header_timeout_ms)
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
        """Treat the end of the caller's bytes as its leaving."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The caller is gone: cancel what is done for it."""
        self._clear_timer()
        self._writable.set()
        if self._exchange is not None:
            self._exchange.cancel()
        self._context.unregister(self)

    def pause_writing(self) -> None:
        """The caller reads too slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """The caller has caught up."""
        self._writable.set()

    def start_answer(self, status: int, headers: Headers, close_after: bool = False) -> None:
        """Write the head of the answer."""
        if close_after or self._context.stopping:
            headers = (*headers, (b"Connection", b"close"))
        self._write(h11.Response(status_code=status, headers=list(headers)))

    async def write(self, data: bytes) -> None:
        """Write bytes of the answer's body, waiting for a caller that reads slowly."""
        self._write(h11.Data(data=data))
        await self._writable.wait()

    def finish_answer(self) -> None:
        """The answer is whole."""
        self._write(h11.EndOfMessage())

    def answer(self, status: int, headers: Headers, body: bytes, close_after: bool = False) -> None:
        """Write a whole answer."""
        length = (b"Content-Length", str(len(body)).encode())
        self.start_answer(status, (*headers, length), close_after)
        if body and not (self._request is not None and self._request.method == b"HEAD"):
            self._write(h11.Data(data=body))
        self.finish_answer()

    def abort(self) -> None:
        """Cut the connection, so that a broken answer cannot look complete."""
        if self._transport is not None:
            self._transport.abort()

    def close_idle(self) -> None:
        """Close the connection if no request is in progress on it."""
        if not self.busy and self._transport is not None:
            self._transport.close()

    def _process_events(self) -> None:
        try:
            while self._handle_next_event():
                pass
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))

    def _handle_next_event(self) -> bool:
        """Take one event of the request; return whether more may follow."""
        event = self._http.next_event()
        if isinstance(event, h11.Request):
            return self._handle_head(event)
        if isinstance(event, h11.Data):
            return self._handle_data(bytes(event.data))
        if isinstance(event, h11.EndOfMessage):
            self._start_exchange()
        return False

    def _handle_head(self, event: h11.Request) -> bool:
        headers = tuple(event.headers.raw_items())
        if _count_bytes(event.target, headers) > self._context.limits.header_bytes:
            self._reject(431, "the request line and the headers are too long")
            return False
        if _has_ambiguous_framing(headers):
            self._reject(400, "a length and a transfer coding exclude each other")
            return False
        arrived_at = self._first_byte_at if self._first_byte_at is not None else self._clock.now()
        self._request = InboundRequest(event.method, event.target, headers, arrived_at)
        self._body, self._body_bytes = [], 0
        self._set_timer(self._context.limits.idle_timeout_ms)
        if self._http.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))
        return True

    def _handle_data(self, data: bytes) -> bool:
        self._body.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > self._context.limits.body_bytes:
            self._reject(413, f"the body is longer than {self._context.limits.body_bytes} bytes")
            return False
        return True

    def _start_exchange(self) -> None:
        assert self._request is not None
        self._clear_timer()
        self._request = replace(self._request, body=b"".join(self._body))
        self._body = []
        serving = self._context.serve(self, self._request)
        self._exchange = asyncio.get_running_loop().create_task(serving)
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
        self._set_timer(self._context.limits.idle_timeout_ms)
        if self._http.trailing_data[0]:
            self._first_byte_at = self._clock.now()
            self._process_events()

    def _reject(self, status: int, reason: str) -> None:
        """Answer something that is no proper request, and close."""
        self._context.record_rejection(status, reason)
        self._clear_timer()
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.answer(status, (JSON_TYPE,), encode_error(reason), close_after=True)
        if self._transport is not None:
            self._transport.close()

    def _write(self, event: h11.Event) -> None:
        assert self._transport is not None
        data = self._http.send(event)
        if data:
            self._transport.write(data)

    def _set_timer(self, timeout_ms: int) -> None:
        self._clear_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(timeout_ms / 1_000, self._handle_timeout)

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle_timeout(self) -> None:
        if self._exchange is not None:
            return
        if self._reading:
            self._reject(408, "the request did not arrive whole in time")
        elif self._transport is not None:
            self._transport.close()


def _count_bytes(target: bytes, headers: Headers) -> int:
    return len(target) + sum(
        len(name) + len(value) + HEADER_SEPARATOR_BYTES for name, value in headers
    )


def _has_ambiguous_framing(headers: Headers) -> bool:
    """Tell whether another reader of these bytes could see another end of the request."""
    return {b"content-length", b"transfer-encoding"} <= {name.lower() for name, _ in headers}
