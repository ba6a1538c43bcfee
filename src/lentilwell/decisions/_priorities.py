"""Priority of a prefill inside its engine: short prompts first, with ageing.

A priority is the time in ms until the prefill runs before a new request with an empty prompt, so
priorities of different instances can be compared without a common clock. It falls by one per ms. An
engine receives a new value when about half of the priority has passed, and only a bounded number of
new values per interval is sent.
"""

from __future__ import annotations

from lentilwell._messages import Request
from lentilwell.decisions._estimates import estimate_service_ms, prefill_ms
from lentilwell.reducer import Attempt, ChangePriority, Heap, State, Step, after_each_event, replace

AGEING_FACTOR = 4
MIN_RAISE_DELAY_MS = 250
MAX_RAISES_PER_INTERVAL = 8
RAISE_INTERVAL_MS = 50


def find_priority(state: State, request: Request, delivered: int = 0) -> int:
    """Return the current priority; lower values run first, and 0 runs before all others.

    It starts at ``AGEING_FACTOR`` times the prefill time and falls with the wait. It is at most the
    time left until the prefill must start to meet the deadline.
    """
    aged_ms = AGEING_FACTOR * prefill_ms(state, request.prompt_tokens + delivered)
    aged_ms -= state.now - request.arrived_at
    left_ms = request.deadline_at - state.now - estimate_service_ms(state, request, delivered)
    return max(0, int(min(aged_ms, left_ms)))


def schedule_raise(state: State, attempt: Attempt) -> Heap:
    """Return the timers with one for the next raise of an attempt, unless its priority is 0."""
    if attempt.priority <= 0:
        return state.raises
    due_at = state.now + max(MIN_RAISE_DELAY_MS, attempt.priority // 2)
    return state.raises.push(due_at, attempt.attempt_id)


@after_each_event
def raise_priorities(state: State) -> Step:
    """Raise the priorities that are due, longest overdue first, up to the limit per interval."""
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
