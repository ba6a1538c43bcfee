"""Requests that are not placed again before a moment, so that rivals for memory do not race."""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell.reducer import State, Step, Timer, draw, fires, replace, schedule


@dataclass(frozen=True)
class DeferralEnd(Timer):
    """The request may be placed again."""

    request_id: str


def defer_request(state: State, request_id: str, wait_ms: int) -> State:
    """Hold a request for ``wait_ms`` and up to as long again at random."""
    seed, jitter_ms = draw(state.random, max(1, wait_ms))
    until = state.now + wait_ms + jitter_ms
    deferred = state.held_until.set(request_id, until)
    state = replace(state, random=seed, held_until=deferred)
    return schedule(state, until, DeferralEnd(request_id))


def is_deferred(state: State, request_id: str) -> bool:
    """Tell whether a request is not to be placed yet."""
    return state.held_until.get(request_id, 0) > state.now


@fires(DeferralEnd)
def end_deferral(state: State, timer: DeferralEnd) -> Step:
    """Forget a hold that is over."""
    if is_deferred(state, timer.request_id):
        return state, ()
    return replace(state, held_until=state.held_until.discard(timer.request_id)), ()
