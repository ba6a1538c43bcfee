"""The server for incoming connections of peers, with a bounded number of worker threads."""

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
    make_nonce,
    make_server_proof,
    open_channels,
    validate_handshake,
)
from lentilwell.peers._codec import (
    MAX_FRAME_BYTES,
    PROTOCOL_FACTORY,
    decode,
    decode_identity,
    encode,
    encode_identity,
)

MAX_CONNECTIONS = 96
AUTHENTICATION_TIMEOUT_MS = 2_000
IDLE_TIMEOUT_MS = 5_000
ACCEPT_TIMEOUT_MS = 200
LISTEN_BACKLOG = 128


@dataclass(frozen=True)
class AuthenticatedPeer:
    """The peer at the other end of a connection and the address at which it listens."""

    identity: Identity
    address: str


MessageHandler = Callable[[AuthenticatedPeer, Any], Any]


@dataclass(eq=False)
class _Connection:
    """An accepted socket, when it was accepted, and whether the peer has authenticated."""

    socket: socket.socket
    opened_at: int
    authenticated: bool = field(default=False)


class _ConnectionHandler:
    """The thrift handler for one connection. Every error closes the connection."""

    def __init__(
        self,
        key: bytes,
        identity: Identity,
        connection: _Connection,
        handle_message: MessageHandler,
    ) -> None:
        self._key = key
        self._identity = identity
        self._connection = connection
        self._handle_message = handle_message
        self._peer: AuthenticatedPeer | None = None
        self._channels: tuple[Channel, Channel] | None = None

    def greet(self, hello: Any) -> Any:
        """Answer a handshake with the proof that this instance has the shared key.

        The peer proves that it has the key with its first message.
        """
        try:
            return self._greet(hello)
        except Exception as error:
            raise TTransportException(message=str(error)) from error

    def pass_on(self, message: Any) -> Any:
        """Verify one message, pass it to the message handler, and sign the reply."""
        try:
            return self._pass_on(message)
        except Exception as error:
            raise TTransportException(message=str(error)) from error

    def _greet(self, hello: Any) -> Any:
        hello.validate()
        if self._channels is not None:
            raise ValueError("handshake repeated on the same connection")
        peer = AuthenticatedPeer(decode_identity(hello.sender), hello.address)
        handshake = Handshake(
            peer.identity, peer.address, hello.nonce, self._identity, make_nonce()
        )
        validate_handshake(handshake)
        self._peer = peer
        self._channels = open_channels(self._key, handshake)
        proof = make_server_proof(self._key, handshake)
        return ttypes.Welcome(encode_identity(self._identity), handshake.server_nonce, proof)

    def _pass_on(self, message: Any) -> Any:
        if self._channels is None or self._peer is None:
            raise ValueError("message received before the handshake")
        message.validate()
        to_server, to_client = self._channels
        to_server.verify(message.sequence, message.body, message.proof)
        self._connection.authenticated = True
        reply = encode(self._handle_message(self._peer, decode(ttypes.Message, message.body)))
        sequence, proof = to_client.seal(reply)
        return ttypes.Sealed(sequence, reply, proof)


class PeerServer:
    """Accepts connections from peers, and closes those above ``MAX_CONNECTIONS`` at once."""

    def __init__(
        self,
        host: str,
        port: int,
        key: bytes,
        identity: Identity,
        clock: Clock,
        handle_message: MessageHandler,
    ) -> None:
        self._key = key
        self._identity = identity
        self._clock = clock
        self._handle_message = handle_message
        self._lock = Lock()
        self._connections: set[_Connection] = set()
        self._closed = False
        self._listener = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
        self._listener.settimeout(ACCEPT_TIMEOUT_MS / MS_PER_SECOND)
        self._workers = ThreadPoolExecutor(MAX_CONNECTIONS, thread_name_prefix="peer-server")
        self.host: str = self._listener.getsockname()[0]
        self.port: int = self._listener.getsockname()[1]

    def serve(self) -> None:
        """Accept connections until the server is closed."""
        while not self._closed:
            self._close_unauthenticated()
            try:
                accepted, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError:
                if not self._closed:
                    logger.exception("peers' listener failed")
                return
            self._start_connection(accepted)

    def close(self) -> None:
        """Stop accepting, close every connection and wait for the workers."""
        self._closed = True
        self._listener.close()
        with self._lock:
            for connection in self._connections:
                _shut_down(connection.socket)
        self._workers.shutdown(wait=True)

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def _start_connection(self, accepted: socket.socket) -> None:
        with self._lock:
            if self._closed or len(self._connections) >= MAX_CONNECTIONS:
                accepted.close()
                return
            connection = _Connection(accepted, self._clock.now())
            self._connections.add(connection)
        self._workers.submit(self._run_connection, connection)

    def _close_unauthenticated(self) -> None:
        """Close connections whose peer did not authenticate in time."""
        opened_before = self._clock.now() - AUTHENTICATION_TIMEOUT_MS
        with self._lock:
            for connection in self._connections:
                if not connection.authenticated and connection.opened_at < opened_before:
                    _shut_down(connection.socket)

    def _run_connection(self, connection: _Connection) -> None:
        try:
            self._serve_messages(connection)
        except Exception as error:
            logger.debug("peer connection closed", reason=type(error).__name__)
        finally:
            with self._lock:
                self._connections.discard(connection)
                connection.socket.close()

    def _serve_messages(self, connection: _Connection) -> None:
        connection.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        transport = TSocket()
        transport.setHandle(connection.socket)
        transport.setTimeout(IDLE_TIMEOUT_MS)
        protocol = PROTOCOL_FACTORY.getProtocol(TFramedTransport(transport, MAX_FRAME_BYTES))
        handler = _ConnectionHandler(self._key, self._identity, connection, self._handle_message)
        processor = Exchange.Processor(handler)
        while not self._closed:
            processor.process(protocol, protocol)


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
