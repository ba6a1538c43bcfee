"""This instance's part of the retry budget that all instances share. Pure."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True)
class BudgetRules:
    """The limit on the retries of a service by all instances together, per time window.

    A window of ``window_ms`` permits ``ratio`` retries per request plus ``extra`` retries.
    """

    ratio: float
    extra: int
    window_ms: int


class RetryBudget:
    """Counts one service's requests and retries at this instance in a sliding window.

    An instance may spend ``ratio`` retries per request that it received itself, which needs no
    coordination, and an equal part of ``extra``. It spends only half of both: a previous process of
    this instance may have spent its own half within the same window.
    """

    def __init__(self, rules: BudgetRules) -> None:
        self._rules = rules
        self._requests: deque[int] = deque()
        self._retries: deque[int] = deque()

    def change_rules(self, rules: BudgetRules) -> None:
        """Replace the rules; requests and retries already counted stay counted."""
        self._rules = rules

    def record_request(self, now: int) -> None:
        """Count a request from a caller."""
        self._requests.append(now)
        self._drop_expired(now)

    def allows_retry(self, now: int, instances: int) -> bool:
        """Tell whether this instance has a retry left."""
        self._drop_expired(now)
        extra = self._rules.extra / (2 * max(1, instances))
        allowed = int(self._rules.ratio * len(self._requests) / 2 + extra)
        return len(self._retries) < allowed

    def try_spend(self, now: int, instances: int) -> bool:
        """Spend one retry, or return False if this instance has none left."""
        if not self.allows_retry(now, instances):
            return False
        self._retries.append(now)
        return True

    def _drop_expired(self, now: int) -> None:
        window_start = now - self._rules.window_ms
        for times in (self._requests, self._retries):
            while times and times[0] <= window_start:
                times.popleft()
