"""Termination of attempts and requests, and release of the engine use counted for them."""

from __future__ import annotations

from pyrsistent import pset

from lentilwell._failures import Failure
from lentilwell.decisions._backlogs import remove_backlog, remove_occupancy
from lentilwell.decisions._cancellations import cancel_streams
from lentilwell.decisions._estimates import estimate_cost_ms, learn_decode, prefill_ms
from lentilwell.decisions._fairness import correct_charge
from lentilwell.decisions._queues import remove_waiting
from lentilwell.decisions._reservations import remove_reservation
from lentilwell.reducer import (
    Attempt,
    CancelAttempt,
    Effect,
    EndRequest,
    State,
    Step,
    remove_engine,
    replace,
)


def release_attempt(state: State, attempt_id: str, tokens: int | None = None) -> State:
    """Remove an attempt and its use of engines, and correct the charge to its team.

    ``tokens`` is the length of the answer if the attempt completed, else None. The learned
    decode time is updated from it.
    """
    attempt = state.attempts[attempt_id]
    engines, by_engine = state.engines, state.by_engine
    for share in attempt.placements:
        remaining = by_engine.get(share.engine, pset()).discard(attempt_id)
        by_engine = (
            by_engine.set(share.engine, remaining) if remaining else by_engine.discard(share.engine)
        )
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
    if attempt.first_token_at is None:
        state = remove_backlog(state, attempt)
    state = remove_occupancy(state, attempt)
    if tokens is not None:
        state = learn_decode(state, attempt, tokens)
    state = correct_charge(
        state, attempt.request.team, used_engine_ms(state, attempt) - attempt.cost_ms
    )
    state = replace(
        state,
        engines=engines,
        by_engine=by_engine,
        asks=state.asks.discard(attempt_id),
        attempts=state.attempts.remove(attempt_id),
        in_hand=state.in_hand.discard(attempt.request.request_id),
    )
    for share in attempt.placements:
        if share.engine not in by_engine and not is_listed(state, share.engine):
            state = remove_engine(state, share.engine)
    return state


def used_engine_ms(state: State, attempt: Attempt) -> float:
    """Return the engine time in ms that an attempt has used so far.

    Before the first token this is at most the time since the start, once per engine of the span.
    After it, this is the whole prefill plus the part of the estimated decode cost that corresponds
    to the elapsed part of the estimated duration.
    """
    elapsed_ms = state.now - attempt.started_at
    if attempt.first_token_at is None:
        return min(attempt.cost_ms, float(elapsed_ms * len(attempt.placements)))
    estimate_ms = max(1, attempt.ends_at - attempt.started_at)
    prefill = prefill_ms(state, attempt.request.prompt_tokens + attempt.first_index)
    full_ms = estimate_cost_ms(state, attempt.request, attempt.first_index)
    decoded_ms = max(0.0, full_ms - prefill) * min(1.0, elapsed_ms / estimate_ms)
    return prefill + decoded_ms


def is_listed(state: State, engine: str) -> bool:
    """Return whether an engine is in the current inventory."""
    return state.inventory is not None and engine in state.inventory.engines


def stop_attempt(state: State, attempt_id: str) -> Step:
    """Release an attempt, stop reading its answer, and cancel its streams on all its engines.

    An attempt that still waits for a grant has opened no streams and needs only the release.
    """
    attempt = state.attempts[attempt_id]
    awaits_grant = attempt_id in state.asks
    state = release_attempt(state, attempt_id)
    if awaits_grant:
        return state, ()
    engines = (share.engine for share in attempt.placements)
    state, cancels = cancel_streams(state, engines, attempt_id)
    return state, (CancelAttempt(attempt_id), *cancels)


def end_request(state: State, request_id: str, failure: Failure | None) -> Step:
    """End a waiting or running request; if ``failure`` is given, answer the caller with it."""
    effects: list[Effect] = []
    known = request_id in state.waiting or request_id in state.in_hand
    attempt_id = state.in_hand.get(request_id)
    if attempt_id is not None:
        state, stopped = stop_attempt(state, attempt_id)
        effects.extend(stopped)
    state = remove_reservation(remove_waiting(state, request_id), request_id)
    if known and failure is not None:
        effects.append(EndRequest(request_id, failure))
    return state, tuple(effects)
