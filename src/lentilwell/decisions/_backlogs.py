"""Engine time of started attempts, in ms by length class, per engine and per model.

Engines prefill short prompts first, so a request waits only for prompts of its own length class and
of shorter classes. An attempt also occupies slots and memory after its prefill, until it ends. This
occupancy is counted per model.
"""

from __future__ import annotations

from pyrsistent import PMap, pmap

from lentilwell._messages import Request
from lentilwell.decisions._estimates import length_class
from lentilwell.reducer import Attempt, State, replace

ClassTotals = PMap[int, float]
# A total up to this size is a rounding error of float sums and counts as zero.
ROUNDING_ERROR_MS = 1e-6


def add_total(totals: ClassTotals, prompt_class: int, by_ms: float) -> ClassTotals:
    """Add ``by_ms`` to the total of one length class, and remove a total that becomes zero."""
    total = totals.get(prompt_class, 0.0) + by_ms
    return (
        totals.set(prompt_class, total)
        if total > ROUNDING_ERROR_MS
        else totals.discard(prompt_class)
    )


def sum_ahead(totals: ClassTotals | None, request: Request) -> float:
    """Return the sum of the totals of the request's length class and of all shorter classes."""
    if not totals:
        return 0.0
    prompt_class = length_class(request.prompt_tokens)
    return sum(total for shorter, total in totals.items() if shorter <= prompt_class)


def estimate_engine_wait_ms(state: State, engine: str, request: Request) -> float:
    """Estimate how long an engine prefills other attempts of this instance before this request.

    Attempts of longer length classes do not count, since the engine prefills shorter prompts first.
    """
    return sum_ahead(state.backlogs.get(engine), request)


def add_backlog(state: State, attempt: Attempt) -> State:
    """Add an attempt that starts: its prefill, and its occupancy of slots and memory after it."""
    return adjust_occupancy(adjust_backlog(state, attempt, 1), attempt, 1)


def remove_backlog(state: State, attempt: Attempt) -> State:
    """Remove the prefill of an attempt that has its first token, or ends without one."""
    return adjust_backlog(state, attempt, -1)


def adjust_backlog(state: State, attempt: Attempt, sign: int) -> State:
    """Add the prefill of an attempt to the totals (sign 1), or subtract it (sign -1)."""
    request = attempt.request
    prompt_class = length_class(request.prompt_tokens)
    backlogs = state.backlogs
    for share in attempt.placements:
        totals: ClassTotals = backlogs.get(share.engine, pmap())
        totals = add_total(totals, prompt_class, sign * attempt.prefill_ms)
        if totals:
            backlogs = backlogs.set(share.engine, totals)
        else:
            backlogs = backlogs.discard(share.engine)
    engine_ms = sign * attempt.prefill_ms * len(attempt.placements)
    model_totals: ClassTotals = state.model_backlogs.get(request.model, pmap())
    model_totals = add_total(model_totals, prompt_class, engine_ms)
    model_backlogs = state.model_backlogs.set(request.model, model_totals)
    return replace(state, backlogs=backlogs, model_backlogs=model_backlogs)


def adjust_occupancy(state: State, attempt: Attempt, sign: int) -> State:
    """Add an attempt's occupancy to the total of its model (sign 1), or subtract it (sign -1).

    The occupancy is the part of the attempt's cost that exceeds its prefill.
    """
    occupancy_ms = attempt.cost_ms - attempt.prefill_ms * len(attempt.placements)
    if occupancy_ms <= 0:
        return state
    request = attempt.request
    occupancies: ClassTotals = state.model_holds.get(request.model, pmap())
    occupancies = add_total(occupancies, length_class(request.prompt_tokens), sign * occupancy_ms)
    return replace(state, model_holds=state.model_holds.set(request.model, occupancies))


def remove_occupancy(state: State, attempt: Attempt) -> State:
    """Subtract the occupancy of an attempt that ends."""
    return adjust_occupancy(state, attempt, -1)
