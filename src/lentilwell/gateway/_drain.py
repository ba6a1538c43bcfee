"""The course of a planned stop: its times, and when it is complete."""

from __future__ import annotations

from collections.abc import Callable

from lentilwell._clock import Clock
from lentilwell.gateway._stopping import PlannedStop

# The load balancer checks readiness once a second and removes an instance after two failed checks;
# until then it still sends requests to an instance that is stopping.
MIN_STOP_MS = 3_200
# Kept free at the end of a planned stop, before the process is killed, to release leases and to
# write the logs.
STOP_MARGIN_MS = 300
# In a stop, connections stay open for this long after its beginning and after they became idle, so
# that their callers can learn of it from the ``Connection: close`` header of one more answer.
IDLE_CLOSE_AFTER_MS = 1_000


class Drain:
    """A planned stop of this instance; ``began_at`` is None as long as none has begun.

    ``find_max_ms`` returns how long the platform lets the process run after its signal to stop.
    """

    def __init__(self, clock: Clock, find_max_ms: Callable[[], int]) -> None:
        self._clock = clock
        self._find_max_ms = find_max_ms
        self.began_at: int | None = None

    @property
    def begun(self) -> bool:
        """Tell whether a planned stop has begun."""
        return self.began_at is not None

    @property
    def remaining_ms(self) -> int:
        """Return the time until requests must have ended; the whole time if no stop has begun."""
        return self._find_max_ms() - STOP_MARGIN_MS - self._elapsed_ms

    @property
    def closes_idle(self) -> bool:
        """Tell whether idle connections of callers are closed."""
        return self._elapsed_ms >= IDLE_CLOSE_AFTER_MS

    @property
    def _elapsed_ms(self) -> int:
        return 0 if self.began_at is None else self._clock.now() - self.began_at

    def begin(self) -> bool:
        """Begin a planned stop; return False if one has begun already."""
        if self.begun:
            return False
        self.began_at = self._clock.now()
        return True

    def is_complete(self, busy: bool) -> bool:
        """Tell whether the process may end; ``busy`` tells whether a caller waits for it."""
        if not self.begun:
            return False
        return self.remaining_ms <= 0 or (self._elapsed_ms >= MIN_STOP_MS and not busy)

    def describe(self, retry_after_ms: int) -> PlannedStop | None:
        """Return what decides which requests are still accepted, None if no stop has begun."""
        if self.began_at is None:
            return None
        ends_at = self._clock.now() + self.remaining_ms
        return PlannedStop(ends_at, self.began_at + MIN_STOP_MS, retry_after_ms)
