"""Spans: several engines of one data centre that together hold the memory of one request.

A span is allocated only as a whole, and a refusal by one of its engines releases all of it. So a
request that waits for a span never occupies a part of what another one needs, and smaller requests
run meanwhile.
"""

from __future__ import annotations

from collections.abc import Sequence

from lentilwell._messages import Placement, Request
from lentilwell.decisions._estimates import estimate_service_ms
from lentilwell.decisions._free_capacity import count_streams, free_memory
from lentilwell.decisions._health import is_failing, is_usable
from lentilwell.decisions._reservations import may_use
from lentilwell.reducer import EngineView, State, draw_random

MAX_SAMPLED_ENGINES = 32
MIN_SHARE_TOKENS = 1_024

# The free memory of an engine in tokens, and the engine.
FreeEngine = tuple[int, EngineView]


def find_span(state: State, request: Request) -> tuple[Placement, ...]:
    """Return the span with the fewest engines in the data centre with the most free memory.

    Failing engines are used only if no span fits without them. The result is empty if no span fits.
    """
    data_centres = [data_centre for model, data_centre in state.by_place if model == request.model]
    sampled = [list_free_engines(state, request, data_centre) for data_centre in data_centres]
    healthy = [[entry for entry in engines if not is_failing(entry[1])] for engines in sampled]
    return choose_span(request, healthy) or choose_span(request, sampled)


def choose_span(request: Request, sampled: Sequence[Sequence[FreeEngine]]) -> tuple[Placement, ...]:
    """Return a span in the data centre with the most free memory, or an empty tuple."""
    best: tuple[Placement, ...] = ()
    max_free = 0
    for free_engines in sampled:
        total_free = sum(free for free, _ in free_engines)
        shares = split_into_shares(request, free_engines) if total_free > max_free else ()
        if shares:
            best, max_free = shares, total_free
    return best


def list_free_engines(state: State, request: Request, data_centre: str) -> list[FreeEngine]:
    """Return the engines of one data centre that can hold a share, most free memory first."""
    names = list_allowed_names(state, request, data_centre)
    if not names:
        return []
    _, start = draw_random(state.random + state.now, len(names))
    estimate_ms = estimate_service_ms(state, request) if state.reservations else 0.0
    free_engines: list[FreeEngine] = []
    for offset in range(min(MAX_SAMPLED_ENGINES, len(names))):
        view = state.engines[names[(start + offset) % len(names)]]
        if not is_usable(view, state.now):
            continue
        if count_streams(state, view) >= view.spec.slots:
            continue
        if not may_use(state, view, request, estimate_ms):
            continue
        free = free_memory(state, view)
        if free >= MIN_SHARE_TOKENS:
            free_engines.append((free, view))
    return sorted(free_engines, key=lambda entry: -entry[0])


def list_allowed_names(state: State, request: Request, data_centre: str) -> Sequence[str]:
    """Return the engines of a data centre that the team may use for the model."""
    inventory = state.inventory
    team = inventory.teams.get(request.team) if inventory is not None else None
    if team is None:
        return ()
    if not team.engines:
        return state.by_place[(request.model, data_centre)]
    specs = [state.engines[name].spec for name in team.engines if name in state.engines]
    return [s.name for s in specs if s.data_centre == data_centre and request.model in s.models]


def split_into_shares(
    request: Request, free_engines: Sequence[FreeEngine]
) -> tuple[Placement, ...]:
    """Split a request into shares, the largest first; the primary also holds the whole answer.

    The result is empty if the engines have too little free memory, or the primary's share is not
    larger than the answer.
    """
    missing = request.memory_tokens
    shares: list[Placement] = []
    for free, view in free_engines:
        share = min(missing, free)
        shares.append(Placement(view.spec.name, share))
        missing -= share
        if missing == 0:
            break
    if missing > 0 or shares[0].memory_tokens <= request.answer_tokens:
        return ()
    return tuple(shares)
