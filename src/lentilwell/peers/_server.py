"""The peers' listener: authenticated connections on a bounded number of workers."""

from __future__ import annotations

import socket
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from threading import Lock
from typing import Any

from loguru import logger
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport, TTransportException

from lentilwell._clock import MS_PER_SECOND, Clock
from lentilwell._messages import Identity
from lentilwell._wire import Exchange, ttypes
from lentilwell.peers._auth import (
    Channel,
    Handshake,
    check_handshake,
    make_nonce,
    open_channels,
    prove_server,
)
from lentilwell.peers._codec import (
    MAXIMUM_FRAME_BYTES,
    PROTOCOLS,
    decode,
    decode_identity,
    encode,
    encode_identity,
)

MAXIMUM_CONNECTIONS = 96
GREETING_TIMEOUT_MS = 2_000
IDLE_TIMEOUT_MS = 5_000
SWEEP_INTERVAL_MS = 200
BACKLOG = 128


@dataclass(frozen=True)
class Caller:
    """The authenticated other side of a connection and the address at which it listens."""

    identity: Identity
    address: str


Receive = Callable[[Caller, Any], Any]


@dataclass(eq=False)
class _Connection:
    """A socket that was accepted, and since when it has been waiting to prove its key."""

    socket: socket.socket
    opened_at: int
    proved: bool = field(default=False)


class _Handler:
    """The thrift handler of one connection. Every error closes the connection."""

    def __init__(
        self, key: bytes, identity: Identity, connection: _Connection, receive: Receive
    ) -> None:
        self._key = key
        self._identity = identity
        self._connection = connection
        self._receive = receive
        self._caller: Caller | None = None
        self._channels: tuple[Channel, Channel] | None = None

    def greet(self, hello: Any) -> Any:
        """Prove that this side holds the key; the other side does so with its first message."""
        try:
            return self._greet(hello)
        except Exception as error:
            raise TTransportException(message=str(error)) from error

    def pass_on(self, message: Any) -> Any:
        """Check and hand on one message, and seal the reply."""
        try:
            return self._pass_on(message)
        except Exception as error:
            raise TTransportException(message=str(error)) from error

    def _greet(self, hello: Any) -> Any:
        hello.validate()
        if self._channels is not None:
            raise ValueError("greeted twice")
        caller = Caller(decode_identity(hello.sender), hello.address)
        handshake = Handshake(
            caller.identity, caller.address, hello.nonce, self._identity, make_nonce()
        )
        check_handshake(handshake)
        self._caller = caller
        self._channels = open_channels(self._key, handshake)
        proof = prove_server(self._key, handshake)
        return ttypes.Welcome(encode_identity(self._identity), handshake.server_nonce, proof)

    def _pass_on(self, message: Any) -> Any:
        if self._channels is None or self._caller is None:
            raise ValueError("not greeted")
        message.validate()
        to_server, to_client = self._channels
        to_server.check(message.sequence, message.body, message.proof)
        self._connection.proved = True
        reply = encode(self._receive(self._caller, decode(ttypes.Message, message.body)))
        sequence, proof = to_client.seal(reply)
        return ttypes.Sealed(sequence, reply, proof)


class PeerServer:
    """Accepts the other instances' connections; beyond a bound they are closed at once."""

    def __init__(
        self, host: str, port: int, key: bytes, identity: Identity, clock: Clock, receive: Receive
    ) -> None:
        self._key = key
        self._identity = identity
        self._clock = clock
        self._receive = receive
        self._lock = Lock()
        self._open: set[_Connection] = set()
        self._closed = False
        self._listener = socket.create_server((host, port), backlog=BACKLOG)
        self._listener.settimeout(SWEEP_INTERVAL_MS / MS_PER_SECOND)
        self._workers = ThreadPoolExecutor(MAXIMUM_CONNECTIONS, thread_name_prefix="peer-server")
        self.host: str = self._listener.getsockname()[0]
        self.port: int = self._listener.getsockname()[1]

    def serve(self) -> None:
        """Accept until closed."""
        while not self._closed:
            self._sweep()
            try:
                accepted, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError:
                if not self._closed:
                    logger.exception("peers' listener failed")
                return
            self._admit(accepted)

    def close(self) -> None:
        """Stop accepting and close every connection."""
        self._closed = True
        self._listener.close()
        with self._lock:
            for connection in self._open:
                _shut(connection.socket)
        self._workers.shutdown(wait=True)

    @property
    def connections(self) -> int:
        """Return how many connections are open."""
        return len(self._open)

    def _admit(self, accepted: socket.socket) -> None:
        with self._lock:
            if self._closed or len(self._open) >= MAXIMUM_CONNECTIONS:
                accepted.close()
                return
            connection = _Connection(accepted, self._clock.now())
            self._open.add(connection)
        self._workers.submit(self._work, connection)

    def _sweep(self) -> None:
        """Close connections that have not proved their key in time."""
        late = self._clock.now() - GREETING_TIMEOUT_MS
        with self._lock:
            for connection in self._open:
                if not connection.proved and connection.opened_at < late:
                    _shut(connection.socket)

    def _work(self, connection: _Connection) -> None:
        try:
            self._talk(connection)
        except Exception as error:
            logger.debug("peer connection closed", reason=type(error).__name__)
        finally:
            with self._lock:
                self._open.discard(connection)
                connection.socket.close()

    def _talk(self, connection: _Connection) -> None:
        connection.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        transport = TSocket()
        transport.setHandle(connection.socket)
        transport.setTimeout(IDLE_TIMEOUT_MS)
        protocol = PROTOCOLS.getProtocol(TFramedTransport(transport, MAXIMUM_FRAME_BYTES))
        handler = _Handler(self._key, self._identity, connection, self._receive)
        processor = Exchange.Processor(handler)
        while not self._closed:
            processor.process(protocol, protocol)


def _shut(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
