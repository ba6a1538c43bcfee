"""Whether a request waits where all upstreams want nothing for a while, and in which order. Pure.

Load that this answers: a service whose every upstream turned requests away with a time to come
back. What can be served after that time waits, in the order of arrival; the rest is told to return
then. Nobody asks before, and those who waited do not all ask at once.
"""

from __future__ import annotations

from collections import Counter

from lentilwell.gateway._admission import find_caller_silence_timeout_ms
from lentilwell.gateway._catalog import Route

# Between two requests of one instance that waited for the same service.
STEP_MS = 20
# Callers who are told to come back are spread over this time.
RETURN_SPREAD_MS = 250


def find_patience_ms(route: Route, waited_ms: int, left_ms: int) -> int:
    """Return how much longer a caller waits for its answer to begin."""
    if not route.streams:
        return left_ms
    return min(left_ms, find_caller_silence_timeout_ms(route) - waited_ms)


def may_wait(route: Route, opens_in_ms: int, waited_ms: int, left_ms: int) -> bool:
    """Tell whether a request that is sent ``opens_in_ms`` from now can still be served."""
    return opens_in_ms + route.objective_ms <= find_patience_ms(route, waited_ms, left_ms)


def find_return_ms(opens_in_ms: int, point: float) -> int:
    """Return when a caller should come back; ``point`` is random, from 0 up to 1."""
    return opens_in_ms + round(point * RETURN_SPREAD_MS)


class Waiters:
    """How many requests of this instance wait for each service."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def enter(self, service: str) -> int:
        """Count one more and return how many wait before it."""
        before = self._counts[service]
        self._counts[service] += 1
        return before

    def leave(self, service: str) -> None:
        """Count one less."""
        self._counts[service] -= 1
        if not self._counts[service]:
            del self._counts[service]


def find_wait_ms(opens_in_ms: int, before: int, point: float) -> int:
    """Return how long a request waits that has ``before`` others before it, in ms."""
    return opens_in_ms + 1 + round((before + point) * STEP_MS)
