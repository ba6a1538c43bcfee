"""Bounds the bytes of rows that a source sends. Pure logic, no I/O."""

from __future__ import annotations

from lentilwell._clock import MS_PER_SECOND

# The smallest links have 7 Mbit/s, 875 kB/s. Rows take a fourteenth of it, and at once as much as
# keeps streams waiting for 170 ms: a configuration of 30 kB, 3.5 kB compressed, for 35 instances.
BYTES_PER_S = 64_000
MAX_BYTES = 150_000


class SendBudget:
    """A token bucket of bytes, for all receivers together."""

    def __init__(self) -> None:
        self._left = float(MAX_BYTES)
        self._updated_at = 0

    def take(self, size: int, now: int) -> bool:
        """Take ``size`` bytes; return False, and take nothing, if there are fewer."""
        passed_ms = max(0, now - self._updated_at)
        self._left = min(MAX_BYTES, self._left + passed_ms * BYTES_PER_S / MS_PER_SECOND)
        self._updated_at = now
        if size > self._left:
            return False
        self._left -= size
        return True
