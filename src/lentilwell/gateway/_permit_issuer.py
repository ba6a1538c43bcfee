"""Issues the permits of rate-limited upstreams at an even pace. Pure logic, no I/O.

A permit is a time at which one request may be sent. The times of one upstream are at least one
interval apart, so a window of T seconds holds at most the rate times T and one more. A request that
would have to wait longer than it can gets no permit, and takes none from others.
"""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell._clock import MS_PER_SECOND
from lentilwell.gateway._upstreams import Incarnation

# The least rate of permits. An upstream that names less, or 0, still gets a request now and then,
# since only an answer tells the end of its limit. At 0.5 and above, owners that do not know of each
# other could together send more than an upstream that names 0 is to get.
MIN_RATE = 0.49
# Requests that were sent without a permit delay the next permits by no more than this.
MAX_DEBT_MS = 4_000.0
# Bound on the remembered incarnations; the least recently used are dropped first.
MAX_INCARNATIONS = 4_096


@dataclass(frozen=True)
class PermitDecision:
    """Whether a permit was issued, and how long the next one takes, in ms."""

    granted: bool
    wait_ms: int


def find_interval_ms(rate: float, share: float) -> float:
    """Return the time between two permits for a share of a limit in requests per second."""
    return MS_PER_SECOND / (max(rate, MIN_RATE) * share)


class PermitIssuer:
    """The times of the last permits that this instance issued, by incarnation of the upstream."""

    def __init__(self) -> None:
        self._last_at: dict[Incarnation, float] = {}

    def issue(
        self, incarnation: Incarnation, interval_ms: float, patience_ms: int, now: int
    ) -> PermitDecision:
        """Issue the next permit, if its time comes within ``patience_ms``."""
        last_at = self._last_at.get(incarnation)
        due_at = now if last_at is None else max(float(now), last_at + interval_ms)
        wait_ms = round(due_at - now)
        if wait_ms > patience_ms:
            return PermitDecision(False, wait_ms)
        self._remember(incarnation, due_at)
        return PermitDecision(True, wait_ms)

    def record_unpermitted(
        self, incarnation: Incarnation, interval_ms: float, count: int, now: int
    ) -> None:
        """Count requests that could not wait for a permit: the next ones come later."""
        last_at = max(self._last_at.get(incarnation, 0.0), now - interval_ms)
        owed_until = max(last_at, now + MAX_DEBT_MS)
        self._remember(incarnation, min(last_at + count * interval_ms, owed_until))

    def _remember(self, incarnation: Incarnation, last_at: float) -> None:
        self._last_at.pop(incarnation, None)
        self._last_at[incarnation] = last_at
        if len(self._last_at) > MAX_INCARNATIONS:
            del self._last_at[next(iter(self._last_at))]
