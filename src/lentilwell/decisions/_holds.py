"""Requests that are not placed again before a moment, so that rivals for memory do not race."""

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
class HoldDue(Timer):
    """The request may be placed again."""

    request_id: str


def hold_request(state: State, request_id: str, wait_ms: int) -> State:
    """Hold a request for ``wait_ms`` and up to as long again at random."""
    seed, jitter_ms = draw_random(state.random, max(1, wait_ms))
    until = state.now + wait_ms + jitter_ms
    held = state.held_until.set(request_id, until)
    state = replace(state, random=seed, held_until=held)
    return schedule_timer(state, until, HoldDue(request_id))


def is_held(state: State, request_id: str) -> bool:
    """Tell whether a request is not to be placed yet."""
    return state.held_until.get(request_id, 0) > state.now


@handles_timer(HoldDue)
def end_hold(state: State, timer: HoldDue) -> Step:
    """Forget a hold that is over."""
    if is_held(state, timer.request_id):
        return state, ()
    return replace(state, held_until=state.held_until.discard(timer.request_id)), ()
