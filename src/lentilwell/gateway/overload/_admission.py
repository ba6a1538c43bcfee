"""Decides whether a request is sent at all: one that is certain to be late is refused. Pure.

This matters when more long prompts arrive than the engines can read. A prefill that ends after its
caller has left takes engine time from the callers that still wait.
"""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell.gateway._catalog import Route
from lentilwell.gateway._placement_policies import Choice

# Callers abandon a stream after a silence as long as the maximum of these three limits: a fixed
# time, a multiple of the objective, and a multiple of the longest pause that is on time.
MIN_SILENCE_MS = 2_000
SILENCE_OBJECTIVES = 4
SILENCE_PAUSES = 8
# Estimates of the first event are off by about 15 percent.
ESTIMATE_ERROR_FACTOR = 1.15
MIN_RETRY_AFTER_MS = 200
# Callers honour a Retry-After up to this share of their remaining time.
MAX_RETRY_AFTER_SHARE = 1 / 3


@dataclass(frozen=True)
class ExpectedTooLate:
    """The caller would leave before the first event; it may retry after ``retry_after_ms``."""

    retry_after_ms: int


def find_caller_silence_timeout_ms(route: Route) -> int:
    """Return the length of silence after which callers abandon a stream of this route, in ms."""
    return max(
        MIN_SILENCE_MS,
        SILENCE_OBJECTIVES * route.objective_ms,
        SILENCE_PAUSES * route.pause_ms,
    )


def check_admission(route: Route, choice: Choice, remaining_ms: int) -> ExpectedTooLate | None:
    """Return why a request should not be sent, or None if it may be in time.

    ``remaining_ms`` is the time until the deadline of the request. The caller is asked to retry
    once the work ahead of its request has shrunk, but at the latest after a third of its remaining
    time.
    """
    if not route.streams:
        return None
    timeout_ms = min(remaining_ms, find_caller_silence_timeout_ms(route))
    if choice.first_event_ms <= ESTIMATE_ERROR_FACTOR * timeout_ms:
        return None
    shrunk_ms = choice.first_event_ms - timeout_ms / 2
    retry_ms = min(shrunk_ms, remaining_ms * MAX_RETRY_AFTER_SHARE)
    return ExpectedTooLate(max(MIN_RETRY_AFTER_MS, round(retry_ms)))
