"""The share of one instance in the retry budget that all instances keep together. Pure."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True)
class BudgetRules:
    """In each window a service may get ``ratio`` retries a request plus ``extra``, over all."""

    ratio: float
    extra: int
    window_ms: int


class RetryBudget:
    """Counts one service's requests and retries of this instance in a sliding window.

    An instance spends ``ratio`` of what it saw itself, which needs no agreement, and an even part
    of ``extra``. Half of that part stays unspent for a predecessor of this process that may have
    spent its own part within the same window.
    """

    def __init__(self, rules: BudgetRules) -> None:
        self._rules = rules
        self._requests: deque[int] = deque()
        self._retries: deque[int] = deque()

    def change_rules(self, rules: BudgetRules) -> None:
        """Take other rules into force."""
        self._rules = rules

    def note_request(self, now: int) -> None:
        """Count a caller's request."""
        self._requests.append(now)
        self._forget(now)

    def take(self, now: int, instances: int) -> bool:
        """Spend one retry, or return False where this instance's part is used up."""
        self._forget(now)
        part = self._rules.extra / (2 * max(1, instances))
        allowed = int(self._rules.ratio * len(self._requests) / 2 + part)
        if len(self._retries) >= allowed:
            return False
        self._retries.append(now)
        return True

    def _forget(self, now: int) -> None:
        begin = now - self._rules.window_ms
        for times in (self._requests, self._retries):
            while times and times[0] <= begin:
                times.popleft()
