"""One connection to an upstream: a request at a time, every answer checked to belong to it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence

import h11

from lentilwell._clock import Clock
from lentilwell.gateway._failures import LinkBroken, LinkSilent, Unreachable
from lentilwell.gateway._messages import Headers

# Many round trips, but less than the second after which a lost opening packet is sent again.
CONNECT_TIMEOUT_MS = 250
UNACKNOWLEDGED_TIMEOUT_MS = 2_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
READ_AHEAD_BYTES = 262_144
# Of an answer that is read whole; hundreds of them may be under way at once.
LONGEST_BODY_BYTES = 1_048_576
# Informational answers before the real one.
MOST_INFORMATIONAL = 16

FindPatience = Callable[[], int | None]


def wait_for_good() -> int | None:
    """Wait however long the upstream is silent."""
    return None


class Link(asyncio.Protocol):
    """A connection to one upstream. ``reusable`` turns false for good once anything is amiss.

    ``patient`` is set while a request is on it that only its deadline may end. ``used_before``
    tells that an earlier request was answered on it. Patience ends by lack of progress: heads and
    what ``note_progress`` is called for count, single bytes do not.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._http = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._wake: asyncio.Future[bool] | None = None
        self._lost: Exception | None = None
        self._in_use = False
        self._heard_at = clock.now()
        self._progress_at = clock.now()
        self._given_up = False
        self.reusable = True
        self.used_before = False
        self.patient = False
        self.idle_since = clock.now()
        self.idle_limit_ms: int | None = None

    @property
    def idle(self) -> bool:
        """Tell whether the connection can take a request now."""
        return self.reusable and not self._in_use

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_dead_peer_timeouts(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Take bytes; between two answers none may come."""
        if not self._in_use:
            self.close()
            return
        self._feed(data)
        if self._transport is not None and len(self._http.trailing_data[0]) > READ_AHEAD_BYTES:
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Take the end of the upstream's bytes."""
        self.reusable = False
        if self._in_use:
            self._feed(b"")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone."""
        self.reusable = False
        self._lost = exc or ConnectionResetError("the upstream closed the connection")
        self._notify()

    def send(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Write a whole request; it may have arrived from the first byte on."""
        assert self._transport is not None
        self._in_use = True
        self._heard_at = self._clock.now()
        self.note_progress()
        request = h11.Request(method=method, target=target, headers=list(headers))
        try:
            parts = [self._http.send(request)]
            if body:
                parts.append(self._http.send(h11.Data(data=body)))
            parts.append(self._http.send(h11.EndOfMessage()))
        except h11.LocalProtocolError as error:
            self.close()
            raise Unreachable(f"the request cannot be written: {error}") from error
        self._transport.write(b"".join(part for part in parts if part))

    def note_progress(self) -> None:
        """What came is of use: patience begins anew."""
        self._progress_at = self._clock.now()

    async def read_head(self, find_patience: FindPatience = wait_for_good) -> h11.Response:
        """Return the head of the answer; raise ``LinkSilent`` after too long without one."""
        for _ in range(MOST_INFORMATIONAL):
            event = await self._next_event(find_patience)
            if isinstance(event, h11.Response):
                self.note_progress()
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise LinkBroken("the answer has no head")
        raise LinkBroken(f"{MOST_INFORMATIONAL} informational answers and no other")

    async def read_data(self, find_patience: FindPatience = wait_for_good) -> bytes | None:
        """Return the next bytes of the body, None at its end; raise as ``read_head`` does."""
        event = await self._next_event(find_patience)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise LinkBroken("the upstream closed the connection")

    async def read_body(
        self,
        find_patience: FindPatience = wait_for_good,
        longest_bytes: int = LONGEST_BODY_BYTES,
    ) -> bytes:
        """Return the whole body; raise as ``read_data`` does, and where it is too long."""
        parts: list[bytes] = []
        size = 0
        while (data := await self.read_data(find_patience)) is not None:
            parts.append(data)
            size += len(data)
            if size > longest_bytes:
                raise LinkBroken(f"the answer is longer than {longest_bytes} bytes")
        return b"".join(parts)

    def finish(self) -> None:
        """The answer is whole: make ready for the next request, or close where that is unsafe."""
        assert self._transport is not None
        self._in_use = False
        unsent = self._transport.get_write_buffer_size() > 0
        clean = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if not self.reusable or unsent or not clean or self._http.trailing_data[0]:
            self.close()
            return
        self._http.start_next_cycle()
        self.used_before = True
        self.idle_since = self._clock.now()

    def give_up_silent(self, silent_ms: int) -> None:
        """The upstream is known to be out of reach: stop waiting if nothing came for a while."""
        silent = self._clock.now() - self._heard_at >= silent_ms
        if self._in_use and not self.patient and silent:
            self._given_up = True
            self._notify(False)

    def close(self) -> None:
        """Close the connection at once; the upstream stops its work."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def _feed(self, data: bytes) -> None:
        self._heard_at = self._clock.now()
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._lost = error
        self._notify()

    async def _next_event(self, find_patience: FindPatience) -> h11.Event | type[h11.PAUSED]:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise LinkBroken(str(error)) from error
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            if self._lost is not None:
                raise LinkBroken(str(self._lost)) from self._lost
            if self._transport is not None and self.reusable:
                self._transport.resume_reading()
            await self._wait_while_patient(find_patience)

    async def _wait_while_patient(self, find_patience: FindPatience) -> None:
        """Wait for bytes; the patience is asked for again each time that it has run out."""
        while True:
            patience_ms = find_patience()
            silent_ms = self._clock.now() - self._progress_at
            if self._given_up or (patience_ms is not None and silent_ms >= patience_ms):
                raise LinkSilent(f"no progress for {silent_ms} ms")
            left_ms = None if patience_ms is None else patience_ms - silent_ms
            if await self._wait(left_ms):
                return

    async def _wait(self, patience_ms: int | None) -> bool:
        """Wait for bytes or the end; return False where neither came in time.

        Bytes that came while this process stood still are taken before the time-out is.
        """
        loop = asyncio.get_running_loop()
        self._wake = loop.create_future()
        timer = None
        if patience_ms is not None:
            timer = loop.call_later(patience_ms / 1_000, self._notify, False)
        try:
            return await self._wake
        finally:
            self._wake = None
            if timer is not None:
                timer.cancel()

    def _notify(self, came: bool = True) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(came)


def set_dead_peer_timeouts(sock: socket.socket) -> None:
    """Let the kernel find out about a peer that has gone silent."""
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
    """Return host and port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def open_link(address: str, clock: Clock) -> Link:
    """Connect to an upstream, or raise ``Unreachable``."""
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1_000):
            _, link = await loop.create_connection(lambda: Link(clock), host, port)
    except (OSError, TimeoutError) as error:
        raise Unreachable(f"{address} does not accept: {error!r}") from error
    return link
