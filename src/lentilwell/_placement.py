"""Which engine, or span of engines, takes a request: policies that a rule selects.

A policy sees the state and one waiting request and returns the placements, the lead first, or an
empty tuple where there is no room now. It never looks at more than ``SAMPLE_ENGINES`` engines, so
its cost does not grow with the fleet.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lentilwell._estimates import estimate_service_ms
from lentilwell._messages import Placement, Request
from lentilwell._reservations import may_use
from lentilwell._state import EngineView, State, draw

SAMPLE_ENGINES = 16

PlacementPolicy = Callable[[State, Request], tuple[Placement, ...]]
PLACEMENTS: dict[str, PlacementPolicy] = {}


def placement(name: str) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Register a placement policy under the name that the rules use."""

    def register(policy: PlacementPolicy) -> PlacementPolicy:
        PLACEMENTS[name] = policy
        return policy

    return register


def usable_engines(state: State, request: Request) -> Iterable[EngineView]:
    """Yield up to ``SAMPLE_ENGINES`` engines that may take this team's work for this model."""
    names = state.by_model.get(request.model, ())
    if state.inventory is None or not names:
        return
    allowed = state.inventory.teams[request.team].engines
    _, start = draw(state.random, len(names))
    estimate_ms = estimate_service_ms(state, request) if state.reservations else 0.0
    for offset in range(min(SAMPLE_ENGINES, len(names))):
        view = state.engines[names[(start + offset) % len(names)]]
        if allowed and view.spec.name not in allowed:
            continue
        if view.leaving or view.ejected_until > state.now:
            continue
        if not may_use(state, view, request, estimate_ms):
            continue
        yield view


def free_memory(state: State, view: EngineView) -> int:
    """Return the tokens of memory that nobody is known to hold: own use and peers' digests."""
    held = view.own_memory
    for peer in state.peers.values():
        held += sum(u.memory_tokens for u in peer.digest.uses if u.engine == view.spec.name)
    if view.report is not None:
        held = max(held, view.report.memory_used)
    return view.spec.memory_tokens - held


def find_span(state: State, request: Request) -> tuple[Placement, ...]:
    """Return a whole span in one data centre for a request above one engine's memory."""
    by_centre: dict[str, list[EngineView]] = {}
    for view in usable_engines(state, request):
        by_centre.setdefault(view.spec.data_centre, []).append(view)
    for views in by_centre.values():
        placements: list[Placement] = []
        missing = request.memory_tokens
        for view in sorted(views, key=lambda v: -free_memory(state, v)):
            share = min(missing, free_memory(state, view))
            if share > 0 and view.own_streams < view.spec.slots:
                placements.append(Placement(view.spec.name, share))
                missing -= share
            if missing == 0:
                return tuple(placements)
    return ()


@placement("least_loaded")
def place_least_loaded(state: State, request: Request) -> tuple[Placement, ...]:
    """Take the engine with the least backlog that has memory and a slot, else a span."""
    best: EngineView | None = None
    largest = 0
    for view in usable_engines(state, request):
        largest = max(largest, view.spec.memory_tokens)
        if view.own_streams >= view.spec.slots:
            continue
        if free_memory(state, view) < request.memory_tokens:
            continue
        if best is None or view.own_backlog < best.own_backlog:
            best = view
    if best is not None:
        return (Placement(best.spec.name, request.memory_tokens),)
    if request.memory_tokens > largest > 0:
        return find_span(state, request)
    return ()


PLACEMENTS["owner_share"] = place_least_loaded
