"""The ratio of actual to specified latency of each upstream, learned from first events. Pure.

Engines can become slow, or be slow after their start, while their health checks succeed.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

SAMPLE_WEIGHT = 0.4
MIN_FACTOR = 0.8
MAX_FACTOR = 10.0
# Without samples, a factor returns to 1 within this time.
DECAY_MS = 6_000
# A first event that was estimated to take less than this gives no sample.
MIN_EXPECTED_MS = 20.0


@dataclass(frozen=True)
class LatencyFactor:
    """A factor on estimated times, 1 for an upstream as specified, and when it was learned."""

    factor: float
    learned_at: int


class LatencyFactors:
    """The latency factor of each upstream incarnation, by name."""

    def __init__(self) -> None:
        self._factors: dict[str, LatencyFactor] = {}

    def record_sample(self, upstream: str, expected_ms: float, actual_ms: float, now: int) -> None:
        """Update a factor: a first event came after ``actual_ms`` instead of ``expected_ms``."""
        if expected_ms < MIN_EXPECTED_MS:
            return
        sample = min(MAX_FACTOR, max(MIN_FACTOR, actual_ms / expected_ms))
        before = self.find(upstream, now)
        self._factors[upstream] = LatencyFactor(before + SAMPLE_WEIGHT * (sample - before), now)

    def find(self, upstream: str, now: int) -> float:
        """Return the factor of an upstream, which decays to 1 without new samples."""
        known = self._factors.get(upstream)
        if known is None:
            return 1.0
        remaining_share = max(0.0, 1 - (now - known.learned_at) / DECAY_MS)
        return 1.0 + (known.factor - 1.0) * remaining_share

    def keep_only(self, listed: Container[str]) -> None:
        """Remove the factors of all upstreams that are not listed."""
        self._factors = {name: known for name, known in self._factors.items() if name in listed}
