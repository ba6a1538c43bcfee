"""The priority of a prefill inside its engine: short before long, but ageing.

A priority is the milliseconds until the prefill goes before a fresh request of no length at all, so
priorities of all instances compare, whatever their clocks. It falls by one a millisecond; engines
are told when about half of it is gone, and a bounded number of times an interval.
"""

from __future__ import annotations

from lentilwell._messages import Request
from lentilwell.decisions._estimates import estimate_service_ms, prefill_ms
from lentilwell.reducer import Attempt, ChangePriority, Heap, State, Step, follows, replace

AGEING_FACTOR = 4
MIN_RAISE_DELAY_MS = 250
MAX_RAISES_PER_INTERVAL = 8
RAISE_INTERVAL_MS = 50


def find_priority(state: State, request: Request, delivered: int = 0) -> int:
    """Return the priority now; lower runs first, and 0 is the first of all.

    It starts at a multiple of the prefill, falls with the wait, and is at most the time that is
    left before the prefill must begin for the deadline to hold.
    """
    aged_ms = AGEING_FACTOR * prefill_ms(state, request.prompt_tokens + delivered)
    aged_ms -= state.now - request.arrived_at
    left_ms = request.deadline_at - state.now - estimate_service_ms(state, request, delivered)
    return max(0, int(min(aged_ms, left_ms)))


def schedule_raise(state: State, attempt: Attempt) -> Heap:
    """Return the timers with one for the next raise of a prefill; none if it is first already."""
    if attempt.priority <= 0:
        return state.raises
    due_at = state.now + max(MIN_RAISE_DELAY_MS, attempt.priority // 2)
    return state.raises.push(due_at, attempt.attempt_id)


@follows
def raise_priorities(state: State) -> Step:
    """Raise the prefills that are due, the longest due first, within the bound per interval."""
    if state.raises.key > state.now or state.now < state.raised_at + RAISE_INTERVAL_MS:
        return state, ()
    effects: list[ChangePriority] = []
    state = replace(state, raised_at=state.now)
    while state.raises.key <= state.now and len(effects) < MAX_RAISES_PER_INTERVAL:
        attempt_id, rest = state.raises.pop()
        state = replace(state, raises=rest)
        attempt = state.attempts.get(attempt_id)
        if attempt is None or attempt.first_token_at is not None:
            continue
        priority = find_priority(state, attempt.request, attempt.first_index)
        if priority >= attempt.priority:
            state = replace(state, raises=schedule_raise(state, attempt))
            continue
        attempt = replace(attempt, priority=priority)
        state = replace(state, attempts=state.attempts.set(attempt_id, attempt))
        state = replace(state, raises=schedule_raise(state, attempt))
        effects.append(ChangePriority(attempt_id, attempt.priority))
    return state, tuple(effects)
