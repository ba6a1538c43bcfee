"""An outgoing connection to one peer, with one worker thread and a bounded message queue."""

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
    make_nonce,
    open_channels,
    verify_server_proof,
)
from lentilwell.peers._codec import (
    MAX_FRAME_BYTES,
    PROTOCOL_FACTORY,
    decode,
    decode_identity,
    encode,
    encode_identity,
)

CALL_TIMEOUT_MS = 1_000
HEARTBEAT_INTERVAL_MS = 1_000
MIN_RECONNECT_DELAY_MS = 250
MAX_RECONNECT_DELAY_MS = 2_000
MAX_QUEUED_CALLS = 64
MAX_CALL_ATTEMPTS = 2

logging.getLogger("thrift").addHandler(logging.NullHandler())
logging.getLogger("thrift").propagate = False


class PeerUnreachable(Exception):
    """A message could not be delivered, or no reply to it arrived."""


@dataclass(frozen=True)
class _Call:
    """A queued message and the future that receives its reply."""

    body: bytes
    reply: Future[Any]


class _Session:
    """An authenticated connection that this instance opened."""

    def __init__(self, address: str, key: bytes, identity: Identity, own_address: str) -> None:
        host, _, port = address.rpartition(":")
        self._socket = TSocket(host, int(port))
        self._socket.setTimeout(CALL_TIMEOUT_MS)
        self._socket.open()
        try:
            self._socket.handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            framed = TFramedTransport(self._socket, MAX_FRAME_BYTES)
            self._client: Any = Exchange.Client(PROTOCOL_FACTORY.getProtocol(framed))
            self.peer, channels = self._perform_handshake(key, identity, own_address)
        except BaseException:
            self._socket.close()
            raise
        self._to_server, self._to_client = channels

    def call(self, body: bytes) -> Any:
        """Send one message and return its verified reply."""
        sequence, proof = self._to_server.seal(body)
        sealed = self._client.pass_on(ttypes.Sealed(sequence, body, proof))
        sealed.validate()
        self._to_client.verify(sealed.sequence, sealed.body, sealed.proof)
        return decode(ttypes.Reply, sealed.body)

    def close(self) -> None:
        """Close the connection for good."""
        self._socket.close()

    def _perform_handshake(
        self, key: bytes, identity: Identity, own_address: str
    ) -> tuple[Identity, tuple[Channel, Channel]]:
        nonce = make_nonce()
        hello = ttypes.Hello(encode_identity(identity), own_address, nonce)
        welcome = self._client.greet(hello)
        welcome.validate()
        peer = decode_identity(welcome.receiver)
        handshake = Handshake(identity, own_address, nonce, peer, welcome.nonce)
        verify_server_proof(key, handshake, welcome.proof)
        return peer, open_channels(key, handshake)


class PeerLink:
    """Sends messages to one address, reconnecting as needed.

    A newer digest replaces one that was not sent yet. Calls wait in a bounded queue.
    """

    def __init__(
        self,
        address: str,
        key: bytes,
        identity: Identity,
        own_address: str,
        on_reply: Callable[[Identity, int, int], None],
    ) -> None:
        self.address = address
        self.peer: Identity | None = None
        self._key = key
        self._identity = identity
        self._own_address = own_address
        self._on_reply = on_reply
        self._condition = Condition()
        self._next_digest: bytes | None = None
        self._calls: deque[_Call] = deque()
        self._session: _Session | None = None
        self._closed = False
        self._reconnect_delay_ms = MIN_RECONNECT_DELAY_MS
        self.sent_bytes = 0
        self.sent_messages = 0

    def set_next_digest(self, body: bytes) -> None:
        """Set the next digest to send, replacing one that was not sent yet. Never blocks."""
        with self._condition:
            self._next_digest = body
            self._condition.notify()

    def call(self, body: bytes) -> Future[Any]:
        """Queue a message and return the future of its reply. Never blocks.

        If the queue is full or the link is closed, the future fails with ``PeerUnreachable``.
        """
        reply: Future[Any] = Future()
        with self._condition:
            if self._closed or len(self._calls) >= MAX_QUEUED_CALLS:
                reply.set_exception(PeerUnreachable())
                return reply
            self._calls.append(_Call(body, reply))
            self._condition.notify()
        return reply

    def close(self) -> None:
        """Stop the worker and fail every queued call."""
        with self._condition:
            self._closed = True
            calls, self._calls = self._calls, deque()
            self._condition.notify()
        for call in calls:
            call.reply.set_exception(PeerUnreachable())

    def run(self) -> None:
        """Send queued messages until closed, and heartbeats while the queue is empty."""
        heartbeat = encode(ttypes.Message(heartbeat=ttypes.Heartbeat()))
        while not self._closed:
            call, digest = self._wait_for_message()
            if self._closed and call is None:
                break
            if call is not None:
                self._send_call(call)
            elif not self._try_send(digest or heartbeat):
                self._wait_to_reconnect()
        self._close_session()

    def _wait_for_message(self) -> tuple[_Call | None, bytes | None]:
        with self._condition:
            nothing_queued = not self._calls and self._next_digest is None and not self._closed
            if nothing_queued and self._session is not None:
                self._condition.wait(HEARTBEAT_INTERVAL_MS / MS_PER_SECOND)
            if self._calls:
                return self._calls.popleft(), None
            digest, self._next_digest = self._next_digest, None
            return None, digest

    def _send_call(self, call: _Call) -> None:
        """Send a call, and retry it once on a new connection if that fails."""
        for _ in range(MAX_CALL_ATTEMPTS):
            reply = self._try_send(call.body)
            if reply is not None:
                call.reply.set_result(reply)
                return
        call.reply.set_exception(PeerUnreachable())

    def _try_send(self, body: bytes) -> Any:
        """Send a message and return its reply. On failure, close the connection and return None."""
        try:
            if self._session is None:
                self._session = _Session(self.address, self._key, self._identity, self._own_address)
                self.peer = self._session.peer
            reply = self._session.call(body)
        except AuthenticationError as error:
            logger.warning("peer not authenticated", address=self.address, reason=str(error))
            self._close_session()
            return None
        except Exception as error:
            logger.debug("peer unreachable", address=self.address, reason=type(error).__name__)
            self._close_session()
            return None
        self._reconnect_delay_ms = MIN_RECONNECT_DELAY_MS
        self.sent_bytes += len(body)
        self.sent_messages += 1
        self._on_reply(self._session.peer, reply.configuration, reply.told)
        return reply

    def _close_session(self) -> None:
        if self._session is not None:
            self._session.close()
            self._session = None

    def _wait_to_reconnect(self) -> None:
        """Wait for the reconnect delay or until a call is queued, then double the delay."""
        with self._condition:
            self._condition.wait_for(
                lambda: self._closed or bool(self._calls), self._reconnect_delay_ms / MS_PER_SECOND
            )
        self._reconnect_delay_ms = min(MAX_RECONNECT_DELAY_MS, self._reconnect_delay_ms * 2)
