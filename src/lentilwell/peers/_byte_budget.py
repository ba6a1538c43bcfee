"""A bound on the bytes that a process sends for control."""

from __future__ import annotations

from lentilwell._clock import MS_PER_SECOND, Clock


class ByteBudget:
    """Lets so many bytes a second pass, with a burst of one second's worth."""

    def __init__(self, clock: Clock, bytes_per_second: int) -> None:
        self._clock = clock
        self._rate = bytes_per_second
        self._left = bytes_per_second
        self._filled_at = clock.now()

    def take(self, size: int) -> bool:
        """Take ``size`` bytes, or return False where they are not left."""
        now = self._clock.now()
        gained = (now - self._filled_at) * self._rate // MS_PER_SECOND
        if gained > 0:
            self._left = min(self._rate, self._left + gained)
            self._filled_at = now
        if self._left < size:
            return False
        self._left -= size
        return True
