"""Rate limit for control traffic between instances, in bytes a second."""

from __future__ import annotations

from lentilwell._clock import MS_PER_SECOND, Clock


class ByteBudget:
    """A token bucket of bytes. Its burst size is the traffic of one second."""

    def __init__(self, clock: Clock, bytes_per_second: int) -> None:
        self._clock = clock
        self._bytes_per_second = bytes_per_second
        self._available_bytes = bytes_per_second
        self._refilled_at = clock.now()

    def try_acquire(self, size: int) -> bool:
        """Use ``size`` bytes of the budget, or return False if fewer are available."""
        now = self._clock.now()
        refill = (now - self._refilled_at) * self._bytes_per_second // MS_PER_SECOND
        if refill > 0:
            self._available_bytes = min(self._bytes_per_second, self._available_bytes + refill)
            self._refilled_at = now
        if self._available_bytes < size:
            return False
        self._available_bytes -= size
        return True
