"""One connection to one peer, kept up by one worker, with a bounded queue before it."""

from __future__ import annotations

import logging
import socket
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
from threading import Condition
from typing import Any

from loguru import logger
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport

from lentilwell._clock import MS_PER_SECOND
from lentilwell._messages import Identity
from lentilwell._wire import Exchange, ttypes
from lentilwell.peers._auth import (
    AuthenticationError,
    Channel,
    Handshake,
    check_server,
    make_nonce,
    open_channels,
)
from lentilwell.peers._codec import (
    MAXIMUM_FRAME_BYTES,
    PROTOCOLS,
    decode,
    decode_identity,
    encode,
    encode_identity,
)

CALL_TIMEOUT_MS = 1_000
HEARTBEAT_INTERVAL_MS = 1_000
RECONNECT_MINIMUM_MS = 250
RECONNECT_MAXIMUM_MS = 2_000
MAXIMUM_QUEUED_CALLS = 64
CALL_ATTEMPTS = 2

logging.getLogger("thrift").addHandler(logging.NullHandler())
logging.getLogger("thrift").propagate = False


class PeerUnreachable(Exception):
    """The message could not be delivered, or its reply did not come."""


@dataclass(frozen=True)
class _Call:
    """A message that waits for its turn, and where its reply goes."""

    body: bytes
    reply: Future[Any]


class _Session:
    """An authenticated connection from this side."""

    def __init__(self, address: str, key: bytes, identity: Identity, own_address: str) -> None:
        host, _, port = address.rpartition(":")
        self._socket = TSocket(host, int(port))
        self._socket.setTimeout(CALL_TIMEOUT_MS)
        self._socket.open()
        try:
            self._socket.handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            framed = TFramedTransport(self._socket, MAXIMUM_FRAME_BYTES)
            self._client: Any = Exchange.Client(PROTOCOLS.getProtocol(framed))
            self.peer, channels = self._greet(key, identity, own_address)
        except BaseException:
            self._socket.close()
            raise
        self._to_server, self._to_client = channels

    def call(self, body: bytes) -> Any:
        """Pass one message on and return the checked reply."""
        sequence, proof = self._to_server.seal(body)
        sealed = self._client.pass_on(ttypes.Sealed(sequence, body, proof))
        sealed.validate()
        self._to_client.check(sealed.sequence, sealed.body, sealed.proof)
        return decode(ttypes.Reply, sealed.body)

    def close(self) -> None:
        """Close the connection; it is never used again."""
        self._socket.close()

    def _greet(
        self, key: bytes, identity: Identity, own_address: str
    ) -> tuple[Identity, tuple[Channel, Channel]]:
        nonce = make_nonce()
        hello = ttypes.Hello(encode_identity(identity), own_address, nonce)
        welcome = self._client.greet(hello)
        welcome.validate()
        peer = decode_identity(welcome.receiver)
        handshake = Handshake(identity, own_address, nonce, peer, welcome.nonce)
        check_server(key, handshake, welcome.proof)
        return peer, open_channels(key, handshake)


class PeerLink:
    """Sends to one address. A newer digest replaces an unsent one; calls queue up to a bound."""

    def __init__(
        self,
        address: str,
        key: bytes,
        identity: Identity,
        own_address: str,
        heard: Callable[[Identity, int, int], None],
    ) -> None:
        self.address = address
        self.peer: Identity | None = None
        self._key = key
        self._identity = identity
        self._own_address = own_address
        self._heard = heard
        self._changed = Condition()
        self._digest: bytes | None = None
        self._calls: deque[_Call] = deque()
        self._session: _Session | None = None
        self._closed = False
        self._reconnect_ms = RECONNECT_MINIMUM_MS
        self.sent_bytes = 0
        self.sent_messages = 0

    def put_digest(self, body: bytes) -> None:
        """Leave the digest to be sent next; never blocks."""
        with self._changed:
            self._digest = body
            self._changed.notify()

    def call(self, body: bytes) -> Future[Any]:
        """Queue a message and return the future of its reply; never blocks."""
        reply: Future[Any] = Future()
        with self._changed:
            if self._closed or len(self._calls) >= MAXIMUM_QUEUED_CALLS:
                reply.set_exception(PeerUnreachable())
                return reply
            self._calls.append(_Call(body, reply))
            self._changed.notify()
        return reply

    def close(self) -> None:
        """Stop the worker; what waits is given up."""
        with self._changed:
            self._closed = True
            calls, self._calls = self._calls, deque()
            self._changed.notify()
        for call in calls:
            call.reply.set_exception(PeerUnreachable())

    def run(self) -> None:
        """Send what is queued, or a heartbeat when nothing is, until closed."""
        heartbeat = encode(ttypes.Message(heartbeat=ttypes.Heartbeat()))
        while not self._closed:
            call, digest = self._take()
            if self._closed and call is None:
                break
            if call is not None:
                self._deliver(call)
            elif not self._try_send(digest or heartbeat):
                self._pause()
        self._drop_session()

    def _take(self) -> tuple[_Call | None, bytes | None]:
        with self._changed:
            idle = not self._calls and self._digest is None and not self._closed
            if idle and self._session is not None:
                self._changed.wait(HEARTBEAT_INTERVAL_MS / MS_PER_SECOND)
            if self._calls:
                return self._calls.popleft(), None
            digest, self._digest = self._digest, None
            return None, digest

    def _deliver(self, call: _Call) -> None:
        """Send a call, once more on a fresh connection if the first one fails."""
        for _ in range(CALL_ATTEMPTS):
            reply = self._try_send(call.body)
            if reply is not None:
                call.reply.set_result(reply)
                return
        call.reply.set_exception(PeerUnreachable())

    def _try_send(self, body: bytes) -> Any:
        """Return the reply, or None after closing a connection that did not give one."""
        try:
            if self._session is None:
                self._session = _Session(self.address, self._key, self._identity, self._own_address)
                self.peer = self._session.peer
            reply = self._session.call(body)
        except AuthenticationError as error:
            logger.warning("peer not authenticated", address=self.address, reason=str(error))
            self._drop_session()
            return None
        except Exception as error:
            logger.debug("peer unreachable", address=self.address, reason=type(error).__name__)
            self._drop_session()
            return None
        self._reconnect_ms = RECONNECT_MINIMUM_MS
        self.sent_bytes += len(body)
        self.sent_messages += 1
        self._heard(self._session.peer, reply.configuration, reply.told)
        return reply

    def _drop_session(self) -> None:
        if self._session is not None:
            self._session.close()
            self._session = None

    def _pause(self) -> None:
        """Wait before the next connection, unless a call has come meanwhile."""
        with self._changed:
            self._changed.wait_for(
                lambda: self._closed or bool(self._calls), self._reconnect_ms / MS_PER_SECOND
            )
        self._reconnect_ms = min(RECONNECT_MAXIMUM_MS, self._reconnect_ms * 2)
