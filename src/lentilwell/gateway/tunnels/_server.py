"""Serves tunnels: connects other instances to upstreams that they do not reach themselves."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lentilwell._clock import MS_PER_SECOND
from lentilwell._timeouts import allow_ms
from lentilwell.gateway._addresses import split_address
from lentilwell.gateway._connection import (
    CONNECT_TIMEOUT_MS,
    UNACKNOWLEDGED_TIMEOUT_MS,
    set_dead_peer_timeouts,
)
from lentilwell.gateway.tunnels._frames import (
    FrameKind,
    UnreadableFrame,
    decode_request,
    encode_frame,
)

# A connection that has not asked for an upstream by then is closed.
REQUEST_TIMEOUT_MS = 1_000


class TunnelServer:
    """Opens tunnels to listed upstreams, ``max_tunnels`` at a time.

    ``is_listed`` tells whether an address is that of a listed upstream, ``may_open`` whether this
    instance opens tunnels now. ``on_unreachable`` is called with an upstream that could not be
    connected to.
    """

    def __init__(self, max_tunnels: int) -> None:
        self._max_tunnels = max_tunnels
        self._tunnels: set[_CallingEnd] = set()
        self.is_listed: Callable[[str], bool] = lambda address: False
        self.may_open: Callable[[], bool] = lambda: True
        self.on_unreachable: Callable[[str], None] = lambda address: None

    @property
    def tunnels(self) -> int:
        """Return the number of tunnels that are open or being opened."""
        return len(self._tunnels)

    def make_protocol(self) -> asyncio.Protocol:
        """Return the protocol of a connection of another instance."""
        return _CallingEnd(self)

    def accepts(self, address: str) -> bool:
        """Tell whether a tunnel to an address may be opened now."""
        return self.may_open() and self.is_listed(address)

    def add(self, tunnel: _CallingEnd) -> bool:
        """Add a connection; return False if there are too many."""
        if len(self._tunnels) >= self._max_tunnels:
            return False
        self._tunnels.add(tunnel)
        return True

    def remove(self, tunnel: _CallingEnd) -> None:
        """Remove a connection that has ended."""
        self._tunnels.discard(tunnel)

    def close(self) -> None:
        """End all tunnels."""
        for tunnel in list(self._tunnels):
            tunnel.abort()


class _End(asyncio.Protocol):
    """One of the two connections of a tunnel."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None

    @property
    def is_open(self) -> bool:
        """Tell whether the connection has been made and is not being closed."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_dead_peer_timeouts(transport.get_extra_info("socket"), UNACKNOWLEDGED_TIMEOUT_MS)

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if self._transport is not None and self.is_open:
            self._transport.write(data)

    def pause_reading(self) -> None:
        """Stop reading while the other end takes no more."""
        if self._transport is not None and self.is_open:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        if self._transport is not None and self.is_open:
            self._transport.resume_reading()

    def abort(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()


class _CallingEnd(_End):
    """The connection of the instance that has asked for the tunnel."""

    def __init__(self, server: TunnelServer) -> None:
        super().__init__()
        self._server = server
        self._request = b""
        self._upstream: _UpstreamEnd | None = None
        self._opening: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the request, or refuse it if there are too many tunnels."""
        super().connection_made(transport)
        if not self._server.add(self):
            self.finish(FrameKind.REFUSED)
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(REQUEST_TIMEOUT_MS / MS_PER_SECOND, self.abort)

    def data_received(self, data: bytes) -> None:
        """Read the request line, or pass bytes on to the upstream."""
        if self._upstream is not None:
            self._upstream.write(data)
        elif self._opening is not None:
            self.abort()  # bytes before the tunnel is open belong to no request
        else:
            self._read_request(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the upstream's connection, so that it drops the request in flight."""
        self._server.remove(self)
        if self._timer is not None:
            self._timer.cancel()
        if self._opening is not None:
            self._opening.cancel()
        if self._upstream is not None:
            self._upstream.abort()

    def pause_writing(self) -> None:
        """Stop reading from the upstream while the other instance takes no more."""
        if self._upstream is not None:
            self._upstream.pause_reading()

    def resume_writing(self) -> None:
        """Read from the upstream again."""
        if self._upstream is not None:
            self._upstream.resume_reading()

    def write_frame(self, kind: FrameKind, data: bytes = b"") -> None:
        """Send a frame to the other instance."""
        self.write(encode_frame(kind, data))

    def finish(self, kind: FrameKind) -> None:
        """Send a last frame and close the tunnel."""
        self.write_frame(kind)
        if self._transport is not None:
            self._transport.close()

    def _read_request(self, data: bytes) -> None:
        self._request += data
        try:
            address = decode_request(self._request)
        except UnreadableFrame:
            self.abort()
            return
        if address is not None:
            self._handle_request(address)

    def _handle_request(self, address: str) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if not self._server.accepts(address):
            self.finish(FrameKind.REFUSED)
            return
        self._opening = asyncio.get_running_loop().create_task(self._open(address))

    async def _open(self, address: str) -> None:
        loop = asyncio.get_running_loop()
        try:
            host, port = split_address(address)
            async with allow_ms(CONNECT_TIMEOUT_MS):
                _, upstream = await loop.create_connection(lambda: _UpstreamEnd(self), host, port)
        except (OSError, TimeoutError):
            self._server.on_unreachable(address)
            self.finish(FrameKind.UNREACHABLE)
            return
        if not self.is_open:
            upstream.abort()
            return
        self._upstream = upstream
        self.write_frame(FrameKind.OPENED)
        upstream.resume_reading()


class _UpstreamEnd(_End):
    """The connection to the upstream. It is not read before the tunnel is open."""

    def __init__(self, caller: _CallingEnd) -> None:
        super().__init__()
        self._caller = caller
        self._ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait until the tunnel is open."""
        super().connection_made(transport)
        self.pause_reading()

    def data_received(self, data: bytes) -> None:
        """Pass bytes of an answer on."""
        self._caller.write_frame(FrameKind.DATA, data)

    def eof_received(self) -> bool:
        """Pass the regular end on."""
        self._ended = True
        self._caller.finish(FrameKind.END)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass an irregular end on."""
        if not self._ended:
            self._caller.finish(FrameKind.RESET)

    def pause_writing(self) -> None:
        """Stop reading from the other instance while the upstream takes no more."""
        self._caller.pause_reading()

    def resume_writing(self) -> None:
        """Read from the other instance again."""
        self._caller.resume_reading()

    def abort(self) -> None:
        """Abort the connection, which is no end by the upstream."""
        self._ended = True
        super().abort()
