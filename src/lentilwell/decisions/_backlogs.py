"""What is in hand, in ms of engine time by length class: per engine and per model.

Engines prefill short prompts first, so a request waits only for what is in its class or a shorter
one. Beside the prefills, attempts hold slots and memory until they end; that part counts per model.
"""

from __future__ import annotations

from pyrsistent import PMap, pmap

from lentilwell._messages import Request
from lentilwell.decisions._estimates import length_class
from lentilwell.reducer import Attempt, State, replace

Totals = PMap[int, float]
ROUNDING = 1e-6


def add_total(totals: Totals, kind: int, by_ms: float) -> Totals:
    """Return the totals by class with one changed; a class without anything has no entry."""
    total = totals.get(kind, 0.0) + by_ms
    return totals.set(kind, total) if total > ROUNDING else totals.discard(kind)


def sum_ahead(totals: Totals | None, request: Request) -> float:
    """Return the sum over the request's class and the shorter ones."""
    if not totals:
        return 0.0
    kind = length_class(request.prompt_tokens)
    return sum(total for shorter, total in totals.items() if shorter <= kind)


def engine_wait_ms(state: State, engine: str, request: Request) -> float:
    """Estimate how long an engine prefills what this instance gave it before this request.

    A long prefill there does not count for a short request, which goes before it.
    """
    return sum_ahead(state.backlogs.get(engine), request)


def add_backlog(state: State, attempt: Attempt) -> State:
    """Count an attempt that starts."""
    return count_hold(count_backlog(state, attempt, 1), attempt, 1)


def remove_backlog(state: State, attempt: Attempt) -> State:
    """Take off the prefill of an attempt that has its first token, or ends without one."""
    return count_backlog(state, attempt, -1)


def count_backlog(state: State, attempt: Attempt, sign: int) -> State:
    """Add the prefill of an attempt to the totals, or take it off."""
    request = attempt.request
    kind = length_class(request.prompt_tokens)
    backlogs = state.backlogs
    for share in attempt.placements:
        totals: Totals = backlogs.get(share.engine, pmap())
        totals = add_total(totals, kind, sign * attempt.prefill_ms)
        if totals:
            backlogs = backlogs.set(share.engine, totals)
        else:
            backlogs = backlogs.discard(share.engine)
    spent_ms = sign * attempt.prefill_ms * len(attempt.placements)
    of_model: Totals = state.model_backlogs.get(request.model, pmap())
    of_model = add_total(of_model, kind, spent_ms)
    model_backlogs = state.model_backlogs.set(request.model, of_model)
    return replace(state, backlogs=backlogs, model_backlogs=model_backlogs)


def count_hold(state: State, attempt: Attempt, sign: int) -> State:
    """Add what an attempt holds beyond its prefill to its model's total, or take it off."""
    hold_ms = attempt.cost_ms - attempt.prefill_ms * len(attempt.placements)
    if hold_ms <= 0:
        return state
    request = attempt.request
    holds: Totals = state.model_holds.get(request.model, pmap())
    holds = add_total(holds, length_class(request.prompt_tokens), sign * hold_ms)
    return replace(state, model_holds=state.model_holds.set(request.model, holds))


def remove_hold(state: State, attempt: Attempt) -> State:
    """Take off what an attempt that ends has held beyond its prefill."""
    return count_hold(state, attempt, -1)
