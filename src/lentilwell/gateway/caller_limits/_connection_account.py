"""What one connection holds, as it reads requests and writes answers."""

from __future__ import annotations

import asyncio

from lentilwell.gateway.caller_limits._body import IncomingBody
from lentilwell.gateway.caller_limits._caller_limits import CallerLimits, LimitedCaller
from lentilwell.gateway.caller_limits._input import UnparsedInput
from lentilwell.gateway.caller_limits._memory import KERNEL_BUFFER_BYTES

# The objects of a request being served and of its upstream connection.
REQUEST_BYTES = 32_768
# A header takes some objects besides its bytes.
HEADER_OBJECT_BYTES = 256


class ConnectionAccount:
    """Reports to the limits what a connection holds.

    ``head_bytes`` and ``body`` are of the request that is being read, ``unparsed`` what the parser
    has not consumed. ``serving`` is true while a request is being answered, ``waiting`` while the
    next one waits until the answer is sent.
    """

    def __init__(self, caller: LimitedCaller, limits: CallerLimits) -> None:
        self._caller = caller
        self._limits = limits
        self._transport: asyncio.Transport | None = None
        self._served_bytes = 0
        self._unsent_bytes = 0
        self._paused = False
        self.head_bytes = 0
        self.body = IncomingBody()
        self.unparsed = UnparsedInput()
        self.serving = False
        self.waiting = False

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of answers that the socket has not taken."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    @property
    def answering(self) -> bool:
        """Tell whether further requests wait for the end of an answer, or until it is sent."""
        return self.serving or self.waiting

    def open(self, transport: asyncio.Transport) -> bool:
        """Add the connection; return False if it must be refused because too many are open."""
        self._transport = transport
        # Each byte that the socket does not take is known at once, and the end of them.
        transport.set_write_buffer_limits(high=0)
        return self._limits.open(self._caller)

    def close(self) -> None:
        """Forget the connection."""
        self._limits.close(self._caller)

    def receive(self, size_bytes: int) -> None:
        """Add received bytes, of which the parser has consumed none yet."""
        self._limits.record_received(self._caller, size_bytes)
        self.unparsed.receive(size_bytes)

    def add_head(self, head_bytes: int, headers: int) -> None:
        """Add a header section with so many headers."""
        self.head_bytes = head_bytes + HEADER_OBJECT_BYTES * headers

    def reserve_request(self) -> None:
        """Report what the request holds once it is served; the caller may be given up."""
        self._report(self.head_bytes + self.body.size_bytes + REQUEST_BYTES, 0)

    def begin_request(self) -> bool:
        """Begin to serve the request; return False if too many are being served."""
        self.serving = self._limits.begin_request(self._caller)
        if self.serving:
            self._served_bytes = self.head_bytes + self.body.size_bytes + REQUEST_BYTES
            self.head_bytes = 0
        return self.serving

    def end_request(self) -> None:
        """End to serve the request."""
        self.serving = False
        self._served_bytes = 0
        self._limits.end_request()
        self.update()

    def record_idle(self) -> None:
        """Record that the connection waits for the next request."""
        self._limits.record_idle(self._caller)

    def drop_request(self) -> None:
        """Forget the request that was being read."""
        self.body.clear()
        self.unparsed.settle(b"")
        self.head_bytes = 0
        self.update()

    def pause_reading(self) -> None:
        """Leave further bytes to the kernel."""
        self._paused = True
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read further bytes again."""
        self._paused = False
        if self._transport is not None:
            self._transport.resume_reading()

    def update(self) -> None:
        """Report what the connection holds; it, or others, may be given up."""
        reading = self.head_bytes + self.body.size_bytes
        if not self.answering:
            reading += self.unparsed.size_bytes
        self._report(reading, self._served_bytes)

    def update_unsent(self) -> None:
        """Report what the connection holds if the unsent bytes have changed."""
        taken_bytes = self._unsent_bytes - self.unsent_bytes
        if taken_bytes > 0:
            self._limits.record_received(self._caller, taken_bytes)
        if taken_bytes:
            self.update()

    def _report(self, reading: int, serving: int) -> None:
        self._unsent_bytes = pending = self.unsent_bytes
        if pending:
            pending += KERNEL_BUFFER_BYTES
        if self.answering:
            pending += self.unparsed.size_bytes
            pending += KERNEL_BUFFER_BYTES if self._paused else 0
        self._limits.update(self._caller, reading, serving, pending)
