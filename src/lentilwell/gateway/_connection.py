"""Client side of an HTTP/1.1 connection to an upstream, with a timeout for silence."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence

import h11

from lentilwell._clock import Clock
from lentilwell._timeouts import allow_ms
from lentilwell.gateway._failures import ConnectionBroken, SilenceTimeout, Unreachable
from lentilwell.gateway._messages import Headers

# Many round trips, but less than the one second after which TCP sends a lost SYN again.
CONNECT_TIMEOUT_MS = 250
# The kernel drops a connection whose sent bytes are not acknowledged for this long.
UNACKNOWLEDGED_TIMEOUT_MS = 2_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Reading from the socket pauses when more unparsed bytes than this are buffered.
READ_AHEAD_BYTES = 262_144
# Bounds the memory of an answer that is buffered whole; hundreds may be in flight at once.
MAX_BODY_BYTES = 1_048_576
# 1xx responses that are skipped while waiting for the final response.
MAX_INFORMATIONAL_RESPONSES = 16

FindSilenceTimeoutMs = Callable[[], int | None]


def never_time_out() -> int | None:
    """Return None: the upstream may be silent without limit."""
    return None


class HttpConnection(asyncio.Protocol):
    """A connection to an upstream that carries one request at a time.

    ``reusable`` becomes false, and stays so, once the connection must not carry another request.
    ``until_deadline`` is true while the request in flight has no silence timeout, so that only its
    deadline ends the wait for the upstream. ``used_before`` is true once a request has been
    answered on the connection. The silence timeout restarts when a response head arrives and when
    ``record_progress`` is called. Other bytes do not restart it, so an upstream that sends single
    bytes without end still times out.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._http = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[bool] | None = None
        self._error: Exception | None = None
        self._in_use = False
        self._received_at = clock.now()
        self._progress_at = clock.now()
        self._timed_out = False
        self.reusable = True
        self.used_before = False
        self.until_deadline = False
        self.idle_since = clock.now()
        self.idle_limit_ms: int | None = None

    @property
    def idle(self) -> bool:
        """Tell whether the connection can be used for a new request."""
        return self.reusable and not self._in_use

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_dead_peer_timeouts(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the parser, or close: bytes outside an answer belong to no request."""
        if not self._in_use:
            self.close()
            return
        self._receive(data)
        if self._transport is not None and len(self._http.trailing_data[0]) > READ_AHEAD_BYTES:
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Let the parser see the end of the stream; the connection cannot be reused."""
        self.reusable = False
        if self._in_use:
            self._receive(b"")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the error and wake the waiting reader."""
        self.reusable = False
        self._error = exc or ConnectionResetError("the upstream closed the connection")
        self._notify()

    def send(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Write a complete request.

        Once its first byte is written, the upstream may have received the request. Raise
        ``Unreachable`` for a request that cannot be encoded, of which no byte is written.
        """
        assert self._transport is not None
        self._in_use = True
        self._received_at = self._clock.now()
        self.record_progress()
        request = h11.Request(method=method, target=target, headers=list(headers))
        try:
            parts = [self._http.send(request)]
            if body:
                parts.append(self._http.send(h11.Data(data=body)))
            parts.append(self._http.send(h11.EndOfMessage()))
        except h11.LocalProtocolError as error:
            self.close()
            raise Unreachable(f"the request cannot be encoded: {error}") from error
        self._transport.write(b"".join(part for part in parts if part))

    def record_progress(self) -> None:
        """Restart the silence timeout: the upstream sent something useful."""
        self._progress_at = self._clock.now()

    async def read_head(
        self, find_silence_timeout_ms: FindSilenceTimeoutMs = never_time_out
    ) -> h11.Response:
        """Return the status line and the headers of the answer.

        Raise ``SilenceTimeout`` if they do not arrive in time, and ``ConnectionBroken`` if the
        connection ends or the bytes are not a valid response.
        """
        for _ in range(MAX_INFORMATIONAL_RESPONSES):
            event = await self._next_event(find_silence_timeout_ms)
            if isinstance(event, h11.Response):
                self.record_progress()
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionBroken("the answer has no status line")
        raise ConnectionBroken(
            f"{MAX_INFORMATIONAL_RESPONSES} informational responses without a final one"
        )

    async def read_data(
        self, find_silence_timeout_ms: FindSilenceTimeoutMs = never_time_out
    ) -> bytes | None:
        """Return the next bytes of the body, or None at its end; raise like ``read_head``."""
        event = await self._next_event(find_silence_timeout_ms)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ConnectionBroken("the upstream closed the connection")

    async def read_body(
        self,
        find_silence_timeout_ms: FindSilenceTimeoutMs = never_time_out,
        max_bytes: int = MAX_BODY_BYTES,
    ) -> bytes:
        """Return the whole body; raise ``ConnectionBroken`` if it exceeds ``max_bytes``.

        Other failures raise like ``read_head``.
        """
        parts: list[bytes] = []
        size = 0
        while (data := await self.read_data(find_silence_timeout_ms)) is not None:
            parts.append(data)
            size += len(data)
            if size > max_bytes:
                raise ConnectionBroken(f"the answer is longer than {max_bytes} bytes")
        return b"".join(parts)

    def finish(self) -> None:
        """Prepare the connection for the next request after a complete answer, or close it.

        It is closed if unsent or unread bytes remain, since they could mix with the next request.
        An idle connection is read, so that its end or a late answer is noticed.
        """
        assert self._transport is not None
        self._in_use = False
        unsent = self._transport.get_write_buffer_size() > 0
        both_done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if not self.reusable or unsent or not both_done or self._http.trailing_data[0]:
            self.close()
            return
        self._http.start_next_cycle()
        self._transport.resume_reading()
        self.used_before = True
        self.idle_since = self._clock.now()

    def time_out_silent(self, silent_ms: int) -> None:
        """End the wait for an answer if the upstream has sent nothing for ``silent_ms``.

        Used when a probe finds the upstream unreachable; requests without a silence timeout go on.
        """
        silent = self._clock.now() - self._received_at >= silent_ms
        if self._in_use and not self.until_deadline and silent:
            self._timed_out = True
            self._notify(False)

    def close(self) -> None:
        """Abort the connection, which lets the upstream cancel the request in flight."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def _receive(self, data: bytes) -> None:
        self._received_at = self._clock.now()
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._error = error
        self._notify()

    async def _next_event(
        self, find_silence_timeout_ms: FindSilenceTimeoutMs
    ) -> h11.Event | type[h11.PAUSED]:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise ConnectionBroken(str(error)) from error
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            if self._error is not None:
                raise ConnectionBroken(str(self._error)) from self._error
            if self._transport is not None and not self._transport.is_closing():
                self._transport.resume_reading()
            await self._wait_with_silence_timeout(find_silence_timeout_ms)

    async def _wait_with_silence_timeout(
        self, find_silence_timeout_ms: FindSilenceTimeoutMs
    ) -> None:
        """Wait for bytes or raise ``SilenceTimeout``.

        The timeout is computed again each time it expires, because it may have grown meanwhile.
        """
        while True:
            silence_timeout_ms = find_silence_timeout_ms()
            silent_ms = self._clock.now() - self._progress_at
            if self._timed_out or (
                silence_timeout_ms is not None and silent_ms >= silence_timeout_ms
            ):
                raise SilenceTimeout(f"no progress for {silent_ms} ms")
            remaining_ms = None if silence_timeout_ms is None else silence_timeout_ms - silent_ms
            if await self._wait_for_bytes(remaining_ms):
                return

    async def _wait_for_bytes(self, timeout_ms: int | None) -> bool:
        """Wait for bytes or the end of the connection; return False on a timeout.

        If the process was paused, bytes that arrived meanwhile take precedence over the timeout.
        """
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        timer = None
        if timeout_ms is not None:
            timer = loop.call_later(timeout_ms / 1_000, self._notify, False)
        try:
            return await self._waiter
        finally:
            self._waiter = None
            if timer is not None:
                timer.cancel()

    def _notify(self, received: bool = True) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(received)


def set_dead_peer_timeouts(sock: socket.socket) -> None:
    """Send small writes at once, and let the kernel detect a dead peer within a few seconds."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in _KEEPALIVE_OPTIONS:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


_KEEPALIVE_OPTIONS: Sequence[tuple[int, int]] = (
    (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def open_http_connection(address: str, clock: Clock) -> HttpConnection:
    """Connect to ``host:port``; raise ``Unreachable`` if that fails."""
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    try:
        async with allow_ms(CONNECT_TIMEOUT_MS):
            _, connection = await loop.create_connection(lambda: HttpConnection(clock), host, port)
    except (OSError, TimeoutError) as error:
        raise Unreachable(f"{address} does not accept connections: {error!r}") from error
    return connection
