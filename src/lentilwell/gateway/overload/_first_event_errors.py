"""How much later first events come than estimated, learned from the latest ones. Pure.

Peers report late, and a queue at the engines may be longer than is known. An estimate is corrected
by the mean error of the latest ones of its service, plus part of their usual deviation.
"""

from __future__ import annotations

SAMPLE_WEIGHT = 0.1
DEVIATIONS = 0.2
# Larger errors have other causes, such as an upstream that has failed.
MAX_ERROR_MS = 500.0
# Without samples, the correction vanishes within this time.
DECAY_MS = 3_000


class FirstEventErrors:
    """The mean error of estimated first events of a service and its mean deviation, in ms."""

    def __init__(self) -> None:
        self._mean_ms = 0.0
        self._deviation_ms = 0.0
        self._learned_at = 0

    def record(self, expected_ms: float, actual_ms: float, now: int) -> None:
        """Add a first event that came after ``actual_ms`` instead of ``expected_ms``."""
        error_ms = min(MAX_ERROR_MS, max(-MAX_ERROR_MS, actual_ms - expected_ms))
        remaining = self._find_remaining_share(now)
        mean_ms, deviation_ms = remaining * self._mean_ms, remaining * self._deviation_ms
        self._deviation_ms = deviation_ms + SAMPLE_WEIGHT * (abs(error_ms - mean_ms) - deviation_ms)
        self._mean_ms = mean_ms + SAMPLE_WEIGHT * (error_ms - mean_ms)
        self._learned_at = now

    def find_correction_ms(self, now: int) -> float:
        """Return what is added to an estimate, 0 or more."""
        correction_ms = self._mean_ms + DEVIATIONS * self._deviation_ms
        return max(0.0, self._find_remaining_share(now) * correction_ms)

    def _find_remaining_share(self, now: int) -> float:
        return max(0.0, 1 - (now - self._learned_at) / DECAY_MS)
