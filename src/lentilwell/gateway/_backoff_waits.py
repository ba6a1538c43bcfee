"""Decides whether requests wait until a backoff of all upstreams ends. Pure logic, no I/O.

When every upstream of a service has asked for a backoff (a Retry-After time), requests that can
still be served after it wait and are released in order of arrival. The others are refused with a
Retry-After of their own. No request is sent before the backoff ends, and the waiting requests are
spread over time.
"""

from __future__ import annotations

from collections import Counter

from lentilwell.gateway._catalog import Route
from lentilwell.gateway.overload import find_caller_silence_timeout_ms

# Time between two requests of one instance that waited for the same service.
RELEASE_INTERVAL_MS = 20
# The Retry-After times of refused callers are spread at random over this time.
RETRY_AFTER_SPREAD_MS = 250


def find_remaining_wait_ms(route: Route, waited_ms: int, remaining_ms: int) -> int:
    """Return how much longer a caller waits for the first byte of its answer."""
    if not route.streams:
        return remaining_ms
    return min(remaining_ms, find_caller_silence_timeout_ms(route) - waited_ms)


def may_wait(route: Route, backoff_ms: int, waited_ms: int, remaining_ms: int) -> bool:
    """Tell whether a request that is sent ``backoff_ms`` from now can still be served."""
    return backoff_ms + route.objective_ms <= find_remaining_wait_ms(route, waited_ms, remaining_ms)


def find_retry_after_ms(backoff_ms: int, random_point: float) -> int:
    """Return the Retry-After time for a refused caller, in ms.

    ``random_point`` is a random number from 0 up to 1.
    """
    return backoff_ms + round(random_point * RETRY_AFTER_SPREAD_MS)


class BackoffQueue:
    """Counts the requests of this instance that wait for the backoff of each service."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, service: str) -> int:
        """Add a waiting request; return how many were waiting before it."""
        requests_ahead = self._counts[service]
        self._counts[service] += 1
        return requests_ahead

    def remove(self, service: str) -> None:
        """Remove a request that no longer waits."""
        self._counts[service] -= 1
        if not self._counts[service]:
            del self._counts[service]


def find_wait_ms(backoff_ms: int, requests_ahead: int, random_point: float) -> int:
    """Return how long a request waits in ms, if ``requests_ahead`` others wait before it.

    ``random_point`` is a random number from 0 up to 1.
    """
    return backoff_ms + 1 + round((requests_ahead + random_point) * RELEASE_INTERVAL_MS)
