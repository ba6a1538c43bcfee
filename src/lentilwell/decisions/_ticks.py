"""Periodic tick: detects a pause of this process, fires timers and sends the digest."""

from __future__ import annotations

from lentilwell.decisions._digests import send_digest
from lentilwell.reducer import State, Step, TickPassed, fire_due_timers, handles, replace

# A longer gap between two ticks means that the process was paused.
MAX_TICK_GAP_MS = 1_000


@handles(TickPassed)
def handle_tick(state: State, event: TickPassed) -> Step:
    """Do what is due; after a pause of this process, measure the silence of peers from now."""
    if state.ticked_at is None or state.now - state.ticked_at > MAX_TICK_GAP_MS:
        state = replace(state, awake_at=state.now, members_changed_at=state.now)
    state = replace(state, ticked_at=state.now)
    state, timer_effects = fire_due_timers(state)
    state, digest_effects = send_digest(state)
    return state, (*timer_effects, *digest_effects)
