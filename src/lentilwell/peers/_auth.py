"""Authentication between entry instances: a handshake and message authentication codes.

Each connection has two keys, one for each direction. They are derived from the shared key, both
identities and both nonces. The HMAC of a message (its proof) covers the sequence number and the
body, so a message that is altered, replayed, reordered, reflected or copied from another connection
is rejected.
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
    """The peer does not have the shared key, or a message is not the expected next one."""


@dataclass(frozen=True)
class Handshake:
    """The values that both sides of a connection know after the handshake."""

    client: Identity
    client_address: str
    client_nonce: bytes
    server: Identity
    server_nonce: bytes

    def encode(self) -> bytes:
        """Encode every value with a length prefix, so that the encoding is unambiguous."""
        parts = [self.client_address.encode(), self.client_nonce, self.server_nonce]
        for identity in (self.client, self.server):
            parts += [identity.instance.encode(), identity.incarnation.encode()]
            parts.append(identity.data_centre.encode())
        return b"".join(len(part).to_bytes(_LENGTH_BYTES, "big") + part for part in parts)


def make_nonce() -> bytes:
    """Return a random nonce for one connection."""
    return secrets.token_bytes(NONCE_BYTES)


def make_server_proof(key: bytes, handshake: Handshake) -> bytes:
    """Return the HMAC that proves that the server has the key and received this handshake."""
    return hmac.digest(key, b"welcome" + handshake.encode(), hashlib.sha256)


def validate_handshake(handshake: Handshake) -> None:
    """Reject nonces of the wrong size and connections from an instance to itself."""
    if len(handshake.client_nonce) != NONCE_BYTES or len(handshake.server_nonce) != NONCE_BYTES:
        raise AuthenticationError("nonce has the wrong size")
    if handshake.client.instance == handshake.server.instance:
        raise AuthenticationError("an instance cannot connect to itself")


def verify_server_proof(key: bytes, handshake: Handshake, proof: bytes) -> None:
    """Raise ``AuthenticationError`` unless ``proof`` is the server's proof for this handshake."""
    validate_handshake(handshake)
    if not hmac.compare_digest(make_server_proof(key, handshake), proof):
        raise AuthenticationError("handshake proof does not match the shared key")


class Channel:
    """One direction of a connection: numbers and signs messages, or verifies them."""

    def __init__(self, key: bytes, handshake: Handshake, direction: bytes) -> None:
        self._key = hmac.digest(key, direction + handshake.encode(), hashlib.sha256)
        self._sequence = 0

    def seal(self, body: bytes) -> tuple[int, bytes]:
        """Return the sequence number and the proof of the next message."""
        self._sequence += 1
        return self._sequence, self._prove(self._sequence, body)

    def verify(self, sequence: int, body: bytes, proof: bytes) -> None:
        """Raise ``AuthenticationError`` unless this is the peer's next message."""
        if sequence != self._sequence + 1:
            raise AuthenticationError(
                "unexpected sequence number: message replayed or out of order"
            )
        if not hmac.compare_digest(self._prove(sequence, body), proof):
            raise AuthenticationError("message proof does not match")
        self._sequence = sequence

    def _prove(self, sequence: int, body: bytes) -> bytes:
        number = sequence.to_bytes(_SEQUENCE_BYTES, "big")
        return hmac.digest(self._key, number + body, hashlib.sha256)


def open_channels(key: bytes, handshake: Handshake) -> tuple[Channel, Channel]:
    """Return the client-to-server channel and the server-to-client channel."""
    return Channel(key, handshake, b"to server"), Channel(key, handshake, b"to client")
