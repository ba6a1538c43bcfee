"""Choice of the engine, or span of engines, for a request: policies that the rules select.

A policy scores one engine for one request. The engine with the lowest score among those with free
capacity is chosen. At most ``MAX_SAMPLED_ENGINES`` engines are looked at, so that the cost does not
grow with the number of engines.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence

from lentilwell._messages import Placement, Request
from lentilwell.decisions._backlogs import sum_ahead
from lentilwell.decisions._deferrals import is_deferred
from lentilwell.decisions._estimates import estimate_service_ms, prefill_ms
from lentilwell.decisions._free_capacity import (
    count_peer_backlog,
    count_streams,
    free_memory,
    needs_grant,
)
from lentilwell.decisions._health import is_failing, is_usable
from lentilwell.decisions._prefixes import count_cached_tokens
from lentilwell.decisions._reservations import may_use
from lentilwell.decisions._spans import find_span
from lentilwell.reducer import EngineView, State, draw_random

MAX_SAMPLED_ENGINES = 16
LARGE_FLEET_SAMPLE = 8
DECODE_MS_PER_STREAM = 5.0
OTHER_DATA_CENTRE_MS = 3.0
TIE_RANGE_MS = 20.0

PlacementPolicy = Callable[[State, Request], tuple[Placement, ...]]
ScorePolicy = Callable[[State, Request, EngineView], float]
PLACEMENTS: dict[str, PlacementPolicy] = {}


def placement(name: str, sample: int = MAX_SAMPLED_ENGINES) -> Callable[[ScorePolicy], ScorePolicy]:
    """Register a policy under the name that the rules use; it chooses among ``sample`` engines."""

    def register(score: ScorePolicy) -> ScorePolicy:
        def place(state: State, request: Request) -> tuple[Placement, ...]:
            return place_request(state, request, score, sample)

        PLACEMENTS[name] = place
        return score

    return register


def place_request(
    state: State, request: Request, score: ScorePolicy, sample: int
) -> tuple[Placement, ...]:
    """Return the best engine with free capacity, or a span; an empty tuple if nothing fits now."""
    if is_deferred(state, request.request_id):
        return ()
    views = list(usable_engines(state, request))
    if views and request.memory_tokens > max(view.spec.memory_tokens for view in views):
        return find_span(state, request)
    free_engines = [view for view in views if has_free_capacity(state, request, view)][:sample]
    if not free_engines:
        return ()
    best = min(free_engines, key=lambda view: (is_failing(view), score(state, request, view)))
    return (Placement(best.spec.name, request.memory_tokens),)


def has_free_capacity(state: State, request: Request, view: EngineView) -> bool:
    """Return whether an engine is known to have a free slot and the memory for a request."""
    memory = request.memory_tokens
    if view.crowded_until > state.now and needs_grant(memory, view):
        return False
    if view.own_streams >= view.spec.slots or count_streams(state, view) >= view.spec.slots:
        return False
    return free_memory(state, view) >= memory


def usable_engines(state: State, request: Request) -> Iterator[EngineView]:
    """Yield sampled engines that may take a request, starting at a random one.

    If the sample has no usable engine, yield its ejected ones on which this instance has no stream.
    """
    has_usable = False
    ejected: list[EngineView] = []
    estimate_ms = estimate_service_ms(state, request) if state.reservations else 0.0
    for view in sample_engines(state, request):
        if not may_use(state, view, request, estimate_ms):
            continue
        if is_usable(view, state.now):
            has_usable = True
            yield view
        elif not view.leaving and view.avoided_until <= state.now and view.own_streams == 0:
            ejected.append(view)
    if not has_usable:
        yield from ejected


def sample_engines(state: State, request: Request) -> Iterator[EngineView]:
    """Yield up to ``MAX_SAMPLED_ENGINES`` engines of the model that the team may use.

    If the team may use all engines and the model has more of them, yield ``LARGE_FLEET_SAMPLE``,
    half of them from this instance's data centre.
    """
    inventory = state.inventory
    team = inventory.teams.get(request.team) if inventory is not None else None
    if inventory is None or team is None:
        return
    if team.engines:
        yield from _sample_allowed(state, request, team.engines)
        return
    local_names: Sequence[str] = state.by_place.get((request.model, state.identity.data_centre), ())
    all_names: Sequence[str] = state.by_model.get(request.model, ())
    if len(all_names) <= MAX_SAMPLED_ENGINES:
        yield from iterate_from_random(state, all_names, MAX_SAMPLED_ENGINES)
        return
    names = dict.fromkeys(
        view.spec.name for view in iterate_from_random(state, local_names, LARGE_FLEET_SAMPLE // 2)
    )
    names.update(
        dict.fromkeys(
            view.spec.name for view in iterate_from_random(state, all_names, LARGE_FLEET_SAMPLE)
        )
    )
    for name in list(names)[:LARGE_FLEET_SAMPLE]:
        yield state.engines[name]


def iterate_from_random(state: State, names: Sequence[str], limit: int) -> Iterator[EngineView]:
    """Yield up to ``limit`` of the named engines in order, starting at a random one."""
    if not names:
        return
    _, start = draw_random(state.random + state.now, len(names))
    for offset in range(min(limit, len(names))):
        yield state.engines[names[(start + offset) % len(names)]]


def _sample_allowed(state: State, request: Request, allowed: Sequence[str]) -> Iterator[EngineView]:
    known = [name for name in allowed if name in state.engines]
    serving = [name for name in known if request.model in state.engines[name].spec.models]
    yield from iterate_from_random(state, serving, MAX_SAMPLED_ENGINES)


@placement("least_loaded")
def score_least_loaded(_state: State, _request: Request, view: EngineView) -> float:
    """Prefer the engine with the least memory in use, by its last report alone."""
    if view.report is None:
        return 0.0
    return view.report.memory_used / max(1, view.spec.memory_tokens)


@placement("two_choices", sample=2)
def score_two_choices(state: State, request: Request, view: EngineView) -> float:
    """Prefer the better of two random engines, by own use and the last report."""
    own = view.own_memory / max(1, view.spec.memory_tokens)
    return max(own, score_least_loaded(state, request, view))


@placement("owner_share")
def score_owner_share(state: State, request: Request, view: EngineView) -> float:
    """Prefer the earliest first token, by own use, peers' digests and the report.

    Own prefills count only if they run before the request; of the peers' prefills only the sum is
    known. The prefill time that a cached prefix saves is subtracted.

    Scores are rounded to ``TIE_RANGE_MS``, so that instances do not all choose the same engine.
    """
    wait_ms = sum_ahead(state.backlogs.get(view.spec.name), request)
    wait_ms += prefill_ms(state, count_peer_backlog(state, view), view.spec.name)
    wait_ms += count_streams(state, view) * DECODE_MS_PER_STREAM
    wait_ms -= prefill_ms(
        state, count_cached_tokens(state, request, view.spec.name), view.spec.name
    )
    tie_ranges = round(wait_ms / TIE_RANGE_MS)
    is_local = view.spec.data_centre == state.identity.data_centre
    return tie_ranges * TIE_RANGE_MS + (0.0 if is_local else OTHER_DATA_CENTRE_MS)
