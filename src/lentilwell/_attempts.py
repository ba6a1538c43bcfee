"""The books of attempts: what each holds on its engines, and how it stops."""

from __future__ import annotations

from pyrsistent import pset

from lentilwell._cancels import cancel_streams
from lentilwell._effects import CancelAttempt
from lentilwell._records import replace
from lentilwell._reducer import Step
from lentilwell._state import Attempt, State


def index_attempt(state: State, attempt: Attempt) -> State:
    """Note on which engines an attempt is."""
    by_engine = state.by_engine
    for share in attempt.placements:
        by_engine = by_engine.set(
            share.engine, by_engine.get(share.engine, pset()).add(attempt.attempt_id)
        )
    return replace(state, by_engine=by_engine)


def release(state: State, attempt_id: str) -> State:
    """Forget an attempt and give back what it booked."""
    attempt = state.attempts[attempt_id]
    engines, by_engine = state.engines, state.by_engine
    for share in attempt.placements:
        left = by_engine.get(share.engine, pset()).discard(attempt_id)
        by_engine = by_engine.set(share.engine, left) if left else by_engine.discard(share.engine)
        view = engines.get(share.engine)
        if view is not None:
            backlog = 0 if attempt.first_token_at is not None else share.memory_tokens
            view = replace(
                view,
                own_streams=view.own_streams - 1,
                own_memory=view.own_memory - share.memory_tokens,
                own_backlog=view.own_backlog - backlog,
            )
            engines = engines.set(share.engine, view)
        if not left and not is_listed(state, share.engine):
            engines = engines.discard(share.engine)
    return replace(
        state,
        engines=engines,
        by_engine=by_engine,
        attempts=state.attempts.remove(attempt_id),
        in_hand=state.in_hand.discard(attempt.request.request_id),
        asks=state.asks.discard(attempt_id),
    )


def is_listed(state: State, engine: str) -> bool:
    """Tell whether an engine is in the inventory in force."""
    return state.inventory is not None and engine in state.inventory.engines


def stop_attempt(state: State, attempt_id: str) -> Step:
    """Release an attempt, stop reading it, and cancel its streams until they are freed."""
    attempt = state.attempts[attempt_id]
    asked_only = attempt_id in state.asks
    state = release(state, attempt_id)
    if asked_only:
        return state, ()
    engines = (share.engine for share in attempt.placements)
    state, frees = cancel_streams(state, engines, attempt_id)
    return state, (CancelAttempt(attempt_id), *frees)
