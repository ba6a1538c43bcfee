"""How slow each upstream is against its specification, learned from first events. Pure.

Load that this answers: engines that turn slow, or start cold, while they look healthy.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

WEIGHT = 0.4
FASTEST = 0.8
SLOWEST = 10.0
FORGET_MS = 6_000
LEAST_EXPECTED_MS = 20.0


@dataclass(frozen=True)
class Pace:
    """A factor on estimated times, 1 for an upstream as specified, and when it was learned."""

    factor: float
    learned_at: int


class Paces:
    """The pace of every upstream, by the name of its life."""

    def __init__(self) -> None:
        self._paces: dict[str, Pace] = {}

    def learn(self, upstream: str, expected_ms: float, actual_ms: float, now: int) -> None:
        """Take a sample: a first event came after ``actual_ms`` instead of ``expected_ms``."""
        if expected_ms < LEAST_EXPECTED_MS:
            return
        sample = min(SLOWEST, max(FASTEST, actual_ms / expected_ms))
        before = self.find(upstream, now)
        self._paces[upstream] = Pace(before + WEIGHT * (sample - before), now)

    def find(self, upstream: str, now: int) -> float:
        """Return the factor of an upstream; what was learned fades within some seconds."""
        pace = self._paces.get(upstream)
        if pace is None:
            return 1.0
        kept = max(0.0, 1 - (now - pace.learned_at) / FORGET_MS)
        return 1.0 + (pace.factor - 1.0) * kept

    def keep_only(self, listed: Container[str]) -> None:
        """Forget all upstreams but those listed."""
        self._paces = {name: pace for name, pace in self._paces.items() if name in listed}
