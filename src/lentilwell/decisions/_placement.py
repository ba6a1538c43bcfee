"""Which engine, or span of engines, takes a request: policies that a rule selects.

A policy scores one engine for one request; the lowest score among the engines that have room wins.
Never more than ``SAMPLE_ENGINES`` engines are looked at, so the cost does not grow with the fleet.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence

from lentilwell._messages import Placement, Request
from lentilwell.decisions._backlogs import sum_ahead
from lentilwell.decisions._deferrals import is_deferred
from lentilwell.decisions._estimates import estimate_service_ms, prefill_ms
from lentilwell.decisions._health import is_failing, is_usable
from lentilwell.decisions._prefixes import count_reused
from lentilwell.decisions._reservations import may_use
from lentilwell.decisions._room import (
    count_others_backlog,
    count_streams,
    free_memory,
    is_long_reading,
)
from lentilwell.decisions._spans import find_span
from lentilwell.reducer import EngineView, State, draw

SAMPLE_ENGINES = 16
LARGE_FLEET_SAMPLE = 8
DECODE_MS_PER_STREAM = 5.0
OTHER_CENTRE_MS = 3.0
TIE_MS = 20.0

PlacementPolicy = Callable[[State, Request], tuple[Placement, ...]]
ScorePolicy = Callable[[State, Request, EngineView], float]
PLACEMENTS: dict[str, PlacementPolicy] = {}


def placement(name: str, sample: int = SAMPLE_ENGINES) -> Callable[[ScorePolicy], ScorePolicy]:
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
    """Return the best engine with room, or a span; an empty tuple where there is no room now."""
    if is_deferred(state, request.request_id):
        return ()
    views = list(usable_engines(state, request))
    if views and request.memory_tokens > max(view.spec.memory_tokens for view in views):
        return find_span(state, request)
    roomy = [view for view in views if has_room(state, request, view)][:sample]
    if not roomy:
        return ()
    best = min(roomy, key=lambda view: (is_failing(view), score(state, request, view)))
    return (Placement(best.spec.name, request.memory_tokens),)


def has_room(state: State, request: Request, view: EngineView) -> bool:
    """Tell whether an engine has a slot and the memory for a request, as far as is known."""
    memory = request.memory_tokens
    if view.crowded_until > state.now and is_long_reading(memory, view):
        return False
    if view.own_streams >= view.spec.slots or count_streams(state, view) >= view.spec.slots:
        return False
    return free_memory(state, view) >= memory


def usable_engines(state: State, request: Request) -> Iterator[EngineView]:
    """Yield engines that may take this team's work for this model, in random order of start.

    Where every engine of the sample is ejected, those are yielded that have nothing in hand.
    """
    found = False
    ejected: list[EngineView] = []
    estimate_ms = estimate_service_ms(state, request) if state.reservations else 0.0
    for view in sample_engines(state, request):
        if not may_use(state, view, request, estimate_ms):
            continue
        if is_usable(view, state.now):
            found = True
            yield view
        elif not view.leaving and view.avoided_until <= state.now and view.own_streams == 0:
            ejected.append(view)
    if not found:
        yield from ejected


def sample_engines(state: State, request: Request) -> Iterator[EngineView]:
    """Yield up to ``SAMPLE_ENGINES`` engines of the model within the team's sharing rules.

    Where there are more, ``LARGE_FLEET_SAMPLE`` do, half of them from the own data centre.
    """
    inventory = state.inventory
    team = inventory.teams.get(request.team) if inventory is not None else None
    if inventory is None or team is None:
        return
    if team.engines:
        yield from _sample_allowed(state, request, team.engines)
        return
    near: Sequence[str] = state.by_place.get((request.model, state.identity.data_centre), ())
    every: Sequence[str] = state.by_model.get(request.model, ())
    if len(every) <= SAMPLE_ENGINES:
        yield from rotate(state, every, SAMPLE_ENGINES)
        return
    names = dict.fromkeys(view.spec.name for view in rotate(state, near, LARGE_FLEET_SAMPLE // 2))
    names.update(dict.fromkeys(view.spec.name for view in rotate(state, every, LARGE_FLEET_SAMPLE)))
    for name in list(names)[:LARGE_FLEET_SAMPLE]:
        yield state.engines[name]


def rotate(state: State, names: Sequence[str], limit: int) -> Iterator[EngineView]:
    """Yield the views of up to ``limit`` names from a random start on."""
    if not names:
        return
    _, start = draw(state.random + state.now, len(names))
    for offset in range(min(limit, len(names))):
        yield state.engines[names[(start + offset) % len(names)]]


def _sample_allowed(state: State, request: Request, allowed: Sequence[str]) -> Iterator[EngineView]:
    known = [name for name in allowed if name in state.engines]
    serving = [name for name in known if request.model in state.engines[name].spec.models]
    yield from rotate(state, serving, SAMPLE_ENGINES)


@placement("least_loaded")
def score_least_loaded(_state: State, _request: Request, view: EngineView) -> float:
    """Take the engine with the least memory in use by its last report alone."""
    if view.report is None:
        return 0.0
    return view.report.memory_used / max(1, view.spec.memory_tokens)


@placement("two_choices", sample=2)
def score_two_choices(state: State, request: Request, view: EngineView) -> float:
    """Take the better of two random engines by own use and the last report."""
    own = view.own_memory / max(1, view.spec.memory_tokens)
    return max(own, score_least_loaded(state, request, view))


@placement("owner_share")
def score_owner_share(state: State, request: Request, view: EngineView) -> float:
    """Take the earliest first token by own use, peers' digests and the report.

    Own prefills count where they go before the request; those of peers are known only in sum. The
    prefill that a cached prefix saves counts against the wait.

    Scores that differ by less than a tie are equal, so that instances do not all choose alike.
    """
    wait_ms = sum_ahead(state.backlogs.get(view.spec.name), request)
    wait_ms += prefill_ms(state, count_others_backlog(state, view), view.spec.name)
    wait_ms += count_streams(state, view) * DECODE_MS_PER_STREAM
    wait_ms -= prefill_ms(state, count_reused(state, request, view.spec.name), view.spec.name)
    ties = round(wait_ms / TIE_MS)
    near = view.spec.data_centre == state.identity.data_centre
    return ties * TIE_MS + (0.0 if near else OTHER_CENTRE_MS)
