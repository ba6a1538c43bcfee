"""The users' rule about rate limits that upstreams name: how many requests a window may hold."""

from __future__ import annotations

from collections.abc import Iterable

from lentilwell._clock import MS_PER_SECOND

WINDOW_MS = 4_000
# An instance is bound by a limit this long after it passed on an answer that names it.
GRACE_MS = 500
RATE_FACTOR = 1.5
EXTRA_REQUESTS = 5


def find_allowed(rate: float) -> float:
    """Return how many requests a window may hold under a limit of ``rate`` a second."""
    return RATE_FACTOR * rate * WINDOW_MS / MS_PER_SECOND + EXTRA_REQUESTS


def count_worst_window(times: Iterable[int]) -> int:
    """Return the largest number of these times, in ms, within one window."""
    ordered, worst, first = sorted(times), 0, 0
    for index, at in enumerate(ordered):
        while at - ordered[first] >= WINDOW_MS:
            first += 1
        worst = max(worst, index - first + 1)
    return worst
