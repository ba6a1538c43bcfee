"""A body as it arrives."""

from __future__ import annotations

# Pieces of one size leave holes in the heap that the next piece fits in.
PIECE_BYTES = 16_384


class IncomingBody:
    """Collects a body in pieces, so that tiny chunks take no more memory than their bytes."""

    def __init__(self) -> None:
        self._pieces: list[bytes] = []
        self._last_piece = bytearray()
        self.size_bytes = 0

    def add(self, data: bytes | bytearray) -> None:
        """Add received bytes."""
        self.size_bytes += len(data)
        self._last_piece += data
        if len(self._last_piece) >= PIECE_BYTES:
            self._pieces.append(bytes(self._last_piece))
            self._last_piece = bytearray()

    def take(self) -> bytes:
        """Return the whole body, and begin an empty one."""
        self._pieces.append(bytes(self._last_piece))
        body = b"".join(self._pieces)
        self.clear()
        return body

    def clear(self) -> None:
        """Forget what has been received."""
        self._pieces = []
        self._last_piece = bytearray()
        self.size_bytes = 0
