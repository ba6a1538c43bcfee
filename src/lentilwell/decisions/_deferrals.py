"""Deferral of requests: a deferred request is not placed again before a set time plus jitter.

The jitter keeps requests that compete for the same memory from colliding again.
"""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell.reducer import (
    State,
    Step,
    Timer,
    draw_random,
    handles_timer,
    replace,
    schedule_timer,
)


@dataclass(frozen=True)
class DeferralEnd(Timer):
    """Timer for the end of a request's deferral."""

    request_id: str


def defer_request(state: State, request_id: str, wait_ms: int) -> State:
    """Defer a request by ``wait_ms`` plus a random jitter of less than ``wait_ms``."""
    seed, jitter_ms = draw_random(state.random, max(1, wait_ms))
    until = state.now + wait_ms + jitter_ms
    deferred = state.held_until.set(request_id, until)
    state = replace(state, random=seed, held_until=deferred)
    return schedule_timer(state, until, DeferralEnd(request_id))


def is_deferred(state: State, request_id: str) -> bool:
    """Return whether a request is deferred at this time."""
    return state.held_until.get(request_id, 0) > state.now


@handles_timer(DeferralEnd)
def end_deferral(state: State, timer: DeferralEnd) -> Step:
    """Remove a deferral that has expired, unless the request was deferred again."""
    if is_deferred(state, timer.request_id):
        return state, ()
    return replace(state, held_until=state.held_until.discard(timer.request_id)), ()
