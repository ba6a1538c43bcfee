"""How long the upstreams of a service have had no room for all requests. Pure."""

from __future__ import annotations

# A shortage has ended when no request has lacked room for this long. Shorter gaps are chance: at
# the limit of its capacity a service has a free slot every now and then.
GAP_MS = 300
# Less urgent requests give way for longer: an instance gets few urgent ones, and each that lacks
# room shows that there are more at the others.
YIELD_GAP_MS = 1_000


class Shortage:
    """The latest period in which requests of a service lacked room, as seen by this instance."""

    def __init__(self) -> None:
        self._began_at: int | None = None
        self._last_at = 0

    def record(self, now: int) -> None:
        """Record that a request lacks room."""
        if not self.lasts(now):
            self._began_at = now
        self._last_at = now

    def lasts(self, now: int, gap_ms: int = GAP_MS) -> bool:
        """Tell whether a request has lacked room in the latest ``gap_ms``."""
        return self._began_at is not None and now - self._last_at <= gap_ms

    def measure_ms(self, now: int) -> int:
        """Return how long the shortage has lasted, 0 if there is none."""
        if self._began_at is None or not self.lasts(now):
            return 0
        return now - self._began_at
