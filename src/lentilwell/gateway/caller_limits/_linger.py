"""How much more is read after a refusal."""

from __future__ import annotations

# What a caller may have on the way when it is refused: its and our socket buffers.
LINGER_BYTES = 262_144
# Some round trips, after which a caller that reads has the refusal.
LINGER_MS = 1_000


class Linger:
    """Bounds the bytes that are dropped between a refusal and the close of its connection.

    Closing a socket with unread bytes resets the connection, and the refusal may be lost.
    """

    def __init__(self) -> None:
        self._left_bytes = LINGER_BYTES

    def drop(self, size_bytes: int) -> bool:
        """Count dropped bytes; return whether more may be read."""
        self._left_bytes -= size_bytes
        return self._left_bytes > 0
