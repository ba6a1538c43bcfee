"""Spans: several engines of one data centre that hold one prompt together, whole or not at all.

A span books nothing until it fits whole, and a refusal by one of its engines gives all back, so a
reading that waits never holds a part of what another needs; shorter work goes on meanwhile.
"""

from __future__ import annotations

from collections.abc import Sequence

from lentilwell._messages import Placement, Request
from lentilwell.decisions._estimates import estimate_service_ms
from lentilwell.decisions._health import is_failing, is_usable
from lentilwell.decisions._reservations import may_use
from lentilwell.decisions._room import count_streams, free_memory
from lentilwell.reducer import EngineView, State, draw

SPAN_SAMPLE = 32
LEAST_SHARE_TOKENS = 1_024

Roomy = tuple[int, EngineView]


def find_span(state: State, request: Request) -> tuple[Placement, ...]:
    """Return the span with the fewest engines in the data centre with most room, or nothing."""
    centres = [centre for model, centre in state.by_place if model == request.model]
    sampled = [list_roomy(state, request, centre) for centre in centres]
    sound = [[share for share in views if not is_failing(share[1])] for views in sampled]
    return choose_span(request, sound) or choose_span(request, sampled)


def choose_span(request: Request, sampled: Sequence[Sequence[Roomy]]) -> tuple[Placement, ...]:
    """Return the span in the data centre with most room, of those sampled."""
    best: tuple[Placement, ...] = ()
    most = 0
    for views in sampled:
        room = sum(free for free, _ in views)
        shares = cut_shares(request, views) if room > most else ()
        if shares:
            best, most = shares, room
    return best


def list_roomy(state: State, request: Request, centre: str) -> list[Roomy]:
    """Return the engines of one data centre that can hold a share, most room first."""
    names = allowed_names(state, request, centre)
    if not names:
        return []
    _, start = draw(state.random + state.now, len(names))
    estimate_ms = estimate_service_ms(state, request) if state.reservations else 0.0
    roomy: list[Roomy] = []
    for offset in range(min(SPAN_SAMPLE, len(names))):
        view = state.engines[names[(start + offset) % len(names)]]
        if not is_usable(view, state.now):
            continue
        if count_streams(state, view) >= view.spec.slots:
            continue
        if not may_use(state, view, request, estimate_ms):
            continue
        free = free_memory(state, view)
        if free >= LEAST_SHARE_TOKENS:
            roomy.append((free, view))
    return sorted(roomy, key=lambda found: -found[0])


def allowed_names(state: State, request: Request, centre: str) -> Sequence[str]:
    """Return the engines of a data centre that the team may use for the model."""
    inventory = state.inventory
    team = inventory.teams.get(request.team) if inventory is not None else None
    if team is None:
        return ()
    if not team.engines:
        return state.by_place[(request.model, centre)]
    specs = [state.engines[name].spec for name in team.engines if name in state.engines]
    return [s.name for s in specs if s.data_centre == centre and request.model in s.models]


def cut_shares(request: Request, views: Sequence[Roomy]) -> tuple[Placement, ...]:
    """Cut a request into shares, the largest first; the lead's holds the whole answer too."""
    missing = request.memory_tokens
    shares: list[Placement] = []
    for free, view in views:
        share = min(missing, free)
        shares.append(Placement(view.spec.name, share))
        missing -= share
        if missing == 0:
            break
    if missing > 0 or shares[0].memory_tokens <= request.answer_tokens:
        return ()
    return tuple(shares)
