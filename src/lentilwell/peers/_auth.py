"""Authentication between entry instances: a handshake and sealed messages under a shared key.

Each connection has two keys of its own, one a direction, derived from the shared key, both
identities and both nonces. A message's proof covers its number and body, so that a message which is
altered, repeated, reordered, reflected or taken from another connection is refused.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from dataclasses import dataclass

from lentilwell._messages import Identity

NONCE_BYTES = 16
_SEQUENCE_BYTES = 8
_LENGTH_BYTES = 4


class AuthenticationError(Exception):
    """The other side does not hold the key, or the message is not the next of this connection."""


@dataclass(frozen=True)
class Handshake:
    """What both sides of a connection know after their greetings."""

    client: Identity
    client_address: str
    client_nonce: bytes
    server: Identity
    server_nonce: bytes

    def encode(self) -> bytes:
        """Return an unambiguous form: every part with its length before it."""
        parts = [self.client_address.encode(), self.client_nonce, self.server_nonce]
        for identity in (self.client, self.server):
            parts += [identity.instance.encode(), identity.incarnation.encode()]
            parts.append(identity.data_centre.encode())
        return b"".join(len(part).to_bytes(_LENGTH_BYTES, "big") + part for part in parts)


def make_nonce() -> bytes:
    """Return a nonce for one connection."""
    return secrets.token_bytes(NONCE_BYTES)


def prove_server(key: bytes, handshake: Handshake) -> bytes:
    """Return the server's proof that it holds the key and saw this greeting."""
    return hmac.digest(key, b"welcome" + handshake.encode(), hashlib.sha256)


def check_handshake(handshake: Handshake) -> None:
    """Refuse a nonce of the wrong size and a connection of an instance to itself."""
    if len(handshake.client_nonce) != NONCE_BYTES or len(handshake.server_nonce) != NONCE_BYTES:
        raise AuthenticationError("wrong size of nonce")
    if handshake.client.instance == handshake.server.instance:
        raise AuthenticationError("an instance does not connect to itself")


def check_server(key: bytes, handshake: Handshake, proof: bytes) -> None:
    """Raise AuthenticationError unless the proof is the server's for this handshake."""
    check_handshake(handshake)
    if not hmac.compare_digest(prove_server(key, handshake), proof):
        raise AuthenticationError("wrong key")


class Channel:
    """One direction of a connection: numbers and seals messages, or checks them."""

    def __init__(self, key: bytes, handshake: Handshake, direction: bytes) -> None:
        self._key = hmac.digest(key, direction + handshake.encode(), hashlib.sha256)
        self._sequence = 0

    def seal(self, body: bytes) -> tuple[int, bytes]:
        """Return the number and the proof of the next message."""
        self._sequence += 1
        return self._sequence, self._prove(self._sequence, body)

    def check(self, sequence: int, body: bytes, proof: bytes) -> None:
        """Raise AuthenticationError unless this is the next message of the other side."""
        if sequence != self._sequence + 1:
            raise AuthenticationError("message repeated or out of order")
        if not hmac.compare_digest(self._prove(sequence, body), proof):
            raise AuthenticationError("wrong proof")
        self._sequence = sequence

    def _prove(self, sequence: int, body: bytes) -> bytes:
        number = sequence.to_bytes(_SEQUENCE_BYTES, "big")
        return hmac.digest(self._key, number + body, hashlib.sha256)


def open_channels(key: bytes, handshake: Handshake) -> tuple[Channel, Channel]:
    """Return the channels from client to server and from server to client."""
    return Channel(key, handshake, b"to server"), Channel(key, handshake, b"to client")
