"""Bounds what an upstream may send for one part of an answer. Pure."""

from __future__ import annotations

from lentilwell.gateway._failures import ConnectionBroken

# A body in chunks of one byte takes six bytes on the wire for each of its own.
WIRE_BYTES_PER_BODY_BYTE = 8
# The average size that pieces of a body must have before it reaches its bound.
MIN_PIECE_BYTES = 16


class InputAllowance:
    """The bytes and the pieces that may still come until the answer makes progress.

    Framing counts too, so that chunk extensions, informational responses or events that are
    dropped cannot go on without end. Pieces are counted since each takes time, however small it is.
    """

    def __init__(self, body_bytes: int) -> None:
        self.renew(body_bytes)

    @property
    def held_bytes(self) -> int:
        """Return how many bytes of a body have come without progress."""
        return self._body_bytes - self._body_left

    def renew(self, body_bytes: int) -> None:
        """Begin anew: up to ``body_bytes`` of a body may come, and the framing that it needs."""
        self._body_bytes = body_bytes
        self._body_left = body_bytes
        self._wire_left = body_bytes * WIRE_BYTES_PER_BODY_BYTE
        self._pieces_left = body_bytes // MIN_PIECE_BYTES

    def spend_wire(self, size_bytes: int) -> None:
        """Count received bytes; raise ``ConnectionBroken`` if these are too many."""
        self._wire_left -= size_bytes
        if self._wire_left < 0:
            limit = self._body_bytes * WIRE_BYTES_PER_BODY_BYTE
            raise ConnectionBroken(f"more than {limit} bytes without progress")

    def spend_piece(self, size_bytes: int) -> None:
        """Count a piece of the answer with so many bytes of its body; raise like ``spend_wire``."""
        self._body_left -= size_bytes
        self._pieces_left -= 1
        if self._body_left < 0:
            raise ConnectionBroken(f"more than {self._body_bytes} bytes of a body without progress")
        if self._pieces_left < 0:
            limit = self._body_bytes // MIN_PIECE_BYTES
            raise ConnectionBroken(f"more than {limit} pieces without progress")
