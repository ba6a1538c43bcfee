"""Whether a request is sent at all: one that surely comes too late is told so at once. Pure.

Load that this answers: more long prompts than the engines can read. A reading that ends after its
caller has left takes the engines' time from those who still wait.
"""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell.gateway._catalog import Route
from lentilwell.gateway._choice import Choice

# Callers leave a stream after a gap of the longest of these three.
LEAST_LEAVING_MS = 2_000
LEAVING_OBJECTIVES = 4
LEAVING_PAUSES = 8
# Estimates err by some 15 in 100.
SURELY_LATE = 1.15
LEAST_RETRY_MS = 200
# Callers honour a Retry-After up to this share of the time that they have left.
LONGEST_RETRY_SHARE = 1 / 3


@dataclass(frozen=True)
class Hopeless:
    """The caller would leave before the first event; ``retry_after_ms`` is when to return."""

    retry_after_ms: int


def find_leaving_ms(route: Route) -> int:
    """Return after how long a silence callers leave a stream of this route."""
    return max(
        LEAST_LEAVING_MS,
        LEAVING_OBJECTIVES * route.objective_ms,
        LEAVING_PAUSES * route.pause_ms,
    )


def judge_choice(route: Route, choice: Choice, left_ms: int) -> Hopeless | None:
    """Return why a request should not be sent, None where it has a chance.

    ``left_ms`` is the time until the request's deadline. The caller may return once the work that
    stands before it has shrunk, and while a third of its time is left.
    """
    if not route.streams:
        return None
    patience_ms = min(left_ms, find_leaving_ms(route))
    if choice.first_event_ms <= SURELY_LATE * patience_ms:
        return None
    shrunk_ms = choice.first_event_ms - patience_ms / 2
    retry_ms = min(shrunk_ms, left_ms * LONGEST_RETRY_SHARE)
    return Hopeless(max(LEAST_RETRY_MS, round(retry_ms)))
