"""Opens tunnels: connections to upstreams through other instances."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from lentilwell._clock import Clock
from lentilwell._log_lines import TunnelFailed, write_line
from lentilwell._timeouts import allow_ms
from lentilwell.gateway._addresses import split_address
from lentilwell.gateway._answer_memory import AnswerMemory
from lentilwell.gateway._connection import (
    CONNECT_TIMEOUT_MS,
    UNACKNOWLEDGED_TIMEOUT_MS,
    HttpConnection,
    set_dead_peer_timeouts,
)
from lentilwell.gateway._failures import Unreachable
from lentilwell.gateway.tunnels._frames import (
    Frame,
    FrameDecoder,
    FrameKind,
    UnreadableFrame,
    encode_request,
)

# The other instance needs up to one connect timeout, and some ms for the messages.
OPEN_TIMEOUT_MS = CONNECT_TIMEOUT_MS + 100
# Further instances would not be asked in time for the request.
MAX_FAILED = 2
# A refusal comes at once. In a large data centre that is cut off as a whole, many refuse.
MAX_REFUSED = 8
# An instance that refused or did not answer is not asked again for this time.
AVOID_MS = 2_000


class TunnelBroken(OSError):
    """A tunnel ended without a word of the upstream's connection."""


class TunnelRefused(OSError):
    """The other instance opens no tunnel now."""


@dataclass(frozen=True)
class TunnelPeer:
    """An instance that may be asked for a tunnel; ``address`` is ``host:port``."""

    name: str
    address: str


class TunnelClient:
    """Opens tunnels through instances that are chosen at random among those in contact.

    ``on_open`` is called for each one that was opened.
    """

    def __init__(self, clock: Clock, list_peers: Callable[[], Sequence[TunnelPeer]]) -> None:
        self._clock = clock
        self._list_peers = list_peers
        self._avoid_until: dict[str, int] = {}
        self._random = random.Random()
        self.on_open: Callable[[], None] = lambda: None

    async def open(self, address: str, memory: AnswerMemory | None) -> HttpConnection:
        """Return a connection to the upstream at ``host:port``.

        Raise ``Unreachable`` if none of the instances that are asked reaches it.
        """
        failed = refused = 0
        for peer in self._shuffle_peers():
            try:
                connection = await open_tunnel(peer.address, address, self._clock, memory)
            except Unreachable:
                failed += 1
            except TunnelRefused as error:
                refused += 1
                self._avoid(peer, address, error)
            except (OSError, TimeoutError) as error:
                failed += 1
                self._avoid(peer, address, error)
            else:
                self.on_open()
                return connection
            if failed >= MAX_FAILED or refused >= MAX_REFUSED:
                break
        raise Unreachable(f"{address} is not reached through other instances")

    def _shuffle_peers(self) -> list[TunnelPeer]:
        """Return the instances that are not avoided, in random order."""
        now = self._clock.now()
        self._avoid_until = {name: at for name, at in self._avoid_until.items() if at > now}
        peers = [peer for peer in self._list_peers() if peer.name not in self._avoid_until]
        self._random.shuffle(peers)
        return peers

    def _avoid(self, peer: TunnelPeer, address: str, error: Exception) -> None:
        self._avoid_until[peer.name] = self._clock.now() + AVOID_MS
        write_line(TunnelFailed(peer.name, address, repr(error)))


async def open_tunnel(
    peer_address: str, address: str, clock: Clock, memory: AnswerMemory | None = None
) -> HttpConnection:
    """Return a connection to the upstream at ``address`` through the instance at ``peer_address``.

    Raise ``Unreachable`` if that instance does not reach the upstream, and ``OSError`` or
    ``TimeoutError`` if it opens no tunnel.
    """
    host, port = split_address(peer_address)
    connection = HttpConnection(clock, memory)
    loop = asyncio.get_running_loop()
    async with allow_ms(OPEN_TIMEOUT_MS):
        _, tunnel = await loop.create_connection(
            lambda: _TunnelProtocol(address, connection), host, port
        )
        try:
            await tunnel.opened
        except BaseException:
            tunnel.abort()
            raise
    return connection


class _TunnelProtocol(asyncio.Protocol):
    """Lets a connection to an upstream run inside a tunnel.

    The connection writes to the tunnel as it is, and receives what the frames carry. An end of the
    tunnel itself does not count as an end by the upstream.
    """

    def __init__(self, address: str, connection: HttpConnection) -> None:
        self._address = address
        self._connection = connection
        self._decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._error: OSError | None = None
        self.opened: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def abort(self) -> None:
        """Abort the tunnel."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask for the upstream."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_dead_peer_timeouts(transport.get_extra_info("socket"), UNACKNOWLEDGED_TIMEOUT_MS)
        transport.write(encode_request(self._address))

    def data_received(self, data: bytes) -> None:
        """Handle the frames that are complete."""
        try:
            for frame in self._decoder.decode(data):
                self._handle_frame(frame)
        except UnreadableFrame as error:
            self._fail(TunnelBroken(str(error)))

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the connection how it ended."""
        error = self._error or TunnelBroken(f"the tunnel has ended: {exc!r}")
        if not self.opened.done():
            self.opened.set_exception(error)
            self.opened.exception()  # nobody may wait for it any more
        self._connection.connection_lost(error)

    def pause_writing(self) -> None:
        """Let the connection stop writing."""
        self._connection.pause_writing()

    def resume_writing(self) -> None:
        """Let the connection write again."""
        self._connection.resume_writing()

    def _handle_frame(self, frame: Frame) -> None:
        assert self._transport is not None
        if not self.opened.done():
            self._handle_reply(frame)
        elif frame.kind is FrameKind.DATA:
            self._connection.data_received(frame.data)
        elif frame.kind is FrameKind.END:
            self._connection.eof_received()
            self._transport.close()
        elif frame.kind is FrameKind.RESET:
            self._fail(ConnectionResetError("the upstream's connection has broken"))
        else:
            self._fail(TunnelBroken(f"unexpected frame {frame.kind.name}"))

    def _handle_reply(self, frame: Frame) -> None:
        assert self._transport is not None
        if frame.kind is FrameKind.OPENED:
            self._connection.connection_made(self._transport)
            self.opened.set_result(None)
        elif frame.kind is FrameKind.UNREACHABLE:
            self.opened.set_exception(Unreachable(f"{self._address} is not reached there either"))
            self._transport.abort()
        else:
            self._fail(TunnelRefused(frame.kind.name.lower()))

    def _fail(self, error: OSError) -> None:
        assert self._transport is not None
        self._error = error
        self._transport.abort()
