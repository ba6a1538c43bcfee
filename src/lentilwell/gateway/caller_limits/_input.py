"""Bounds and counts the bytes between a caller's socket and the parsed request."""

from __future__ import annotations

import socket

# The most bytes that are read at a time. What tiny chunks leave for the parser's next turn is
# held until then; with asyncio's 256 KiB, a hundred connections would hold 26 MB of it.
READ_BYTES = 16_384
# Sockets are read one at a time, in one thread, and the bytes are copied at once.
READ_BUFFER = memoryview(bytearray(READ_BYTES))
# The kernel doubles this for its own overhead. Without it, buffers grow to 4 to 32 MB.
SOCKET_BUFFER_BYTES = 65_536


class UnparsedInput:
    """Counts the received bytes that the HTTP parser has not consumed.

    The parser tells their number only by copying them, so it is asked where it has just consumed
    some, and added up otherwise: the cost for each received byte stays constant.
    """

    def __init__(self) -> None:
        self._consumed = False
        self.size_bytes = 0

    def receive(self, size_bytes: int) -> None:
        """Add received bytes."""
        self.size_bytes += size_bytes

    def record_event(self) -> None:
        """Record that the parser has consumed bytes of an unknown number."""
        self._consumed = True

    def settle(self, rest: bytes) -> None:
        """Set the number to that of ``rest``, all that the parser holds."""
        self.size_bytes = len(rest)
        self._consumed = False

    @property
    def is_estimate(self) -> bool:
        """Tell whether ``size_bytes`` is only an upper bound."""
        return self._consumed


def bound_kernel_buffers(listener: socket.socket) -> None:
    """Bound the kernel's buffers of all connections that ``listener`` accepts from now on."""
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
