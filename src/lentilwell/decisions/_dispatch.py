"""Starting waiting requests where there is room: fair between teams, by policy within a team."""

from __future__ import annotations

from dataclasses import dataclass, field

from lentilwell._failures import Failure, PromptTooLong, Unauthorized, UnknownModel
from lentilwell._messages import Placement, Request
from lentilwell.decisions._backlogs import add_backlog
from lentilwell.decisions._estimates import (
    estimate_cost_ms,
    estimate_prefill_ms,
    estimate_service_ms,
    length_class,
)
from lentilwell.decisions._fairness import charge, put_back, take_team, unpark
from lentilwell.decisions._grants import begin_attempt
from lentilwell.decisions._order import note_start, rank_heads
from lentilwell.decisions._placement import PLACEMENTS
from lentilwell.decisions._priorities import find_priority, push_raise
from lentilwell.decisions._queues import take_waiting, trim
from lentilwell.decisions._reservations import is_large, remove_reservation, reserve_memory
from lentilwell.decisions._termination import end_request
from lentilwell.reducer import (
    Attempt,
    Capacity,
    Effect,
    Scanned,
    State,
    Step,
    Waiting,
    draw,
    find_capacity,
    follows,
    replace,
)

STARTS_PER_EVENT = 16
FAILED_TEAMS_PER_EVENT = 4
RESCAN_MS = 20
_WHOLE_RANGE = 1 << 32

ScanKey = tuple[str, tuple[str, ...]]


@dataclass
class Scan:
    """What one event's search has found out: teams set aside, and sizes that do not fit.

    Room only shrinks during a search, so what did not fit once does not fit later, and no larger
    request of the same model and engines does either.
    """

    aside: list[str] = field(default_factory=list)
    too_large: dict[ScanKey, int] = field(default_factory=dict)
    capacities: dict[ScanKey, Capacity | None] = field(default_factory=dict)

    def key(self, state: State, request: Request) -> ScanKey:
        """Return what decides which engines a request may use."""
        assert state.inventory is not None
        return request.model, state.inventory.teams[request.team].engines

    def find_capacity(self, state: State, request: Request) -> Capacity | None:
        """Return the capacity of the engines that a request may use."""
        key = self.key(state, request)
        if key not in self.capacities:
            found = find_capacity(state.capacities, request.team, request.model)
            self.capacities[key] = found
        return self.capacities[key]

    def excludes(self, state: State, request: Request) -> bool:
        """Tell whether a request is known not to fit."""
        limit = self.too_large.get(self.key(state, request))
        return limit is not None and request.memory_tokens >= limit

    def considers(self, state: State, waiting: Waiting) -> bool:
        """Tell whether a head is worth a try: it may fit, or is large enough for a reservation."""
        request = waiting.request
        if not self.excludes(state, request):
            return True
        return is_large(request, self.find_capacity(state, request))

    def note(self, state: State, request: Request) -> None:
        """Remember that a request did not fit."""
        key = self.key(state, request)
        limit = self.too_large.get(key, request.memory_tokens)
        self.too_large[key] = min(limit, request.memory_tokens)


@follows
def dispatch(state: State) -> Step:
    """Start requests until nothing fits or the bounds per event are reached."""
    if state.inventory is None or not state.waiting:
        return state, ()
    if is_settled(state):
        return try_newest(state)
    effects: list[Effect] = []
    scan = Scan()
    state = unpark(replace(state, untried=""))
    for turn in range(STARTS_PER_EVENT + FAILED_TEAMS_PER_EVENT):
        if len(scan.aside) == FAILED_TEAMS_PER_EVENT:
            break
        state, team = take_team(state, from_ready=turn % 2 == 1)
        if not team:
            break
        state, more = serve_team(state, team, scan)
        effects.extend(more)
    for team in scan.aside:
        state = put_back(state, team, fitted=False)
    if not state.ready:
        state = replace(state, scanned=Scanned(state.engines, state.now))
    return state, tuple(effects)


def is_settled(state: State) -> bool:
    """Tell whether all that waits was tried a moment ago and no engine has changed since."""
    scanned = state.scanned
    if state.ready or scanned.engines is not state.engines:
        return False
    return state.now < scanned.at + RESCAN_MS


def try_newest(state: State) -> Step:
    """Look for room for what this event has queued; all else was tried a moment ago."""
    waiting = state.waiting.get(state.untried)
    if waiting is None:
        return state, ()
    state = replace(state, untried="")
    request = waiting.request
    ids = state.queues[request.team].classes[length_class(request.prompt_tokens)]
    if ids.first != request.request_id or find_unservable(state, request) is not None:
        return state, ()
    placements = place(state, request)
    if placements:
        state, started = start(state, waiting, placements)
        return state, started
    return state, ()


def serve_team(state: State, team: str, scan: Scan) -> Step:
    """Start the best request of a taken team that fits; set the team aside where none does."""
    inventory = state.inventory
    assert inventory is not None
    state = trim(state, team)
    if team not in inventory.teams:
        return end_team(state, team)
    queue = state.queues[team]
    heads = [state.waiting[ids.first] for ids in queue.classes.values()]
    ranked = rank_heads(state, queue, [head for head in heads if scan.considers(state, head)])
    effects: tuple[Effect, ...] = ()
    for position, waiting in enumerate(ranked):
        state, placements = try_head(state, waiting, scan, best=position == 0)
        if placements:
            state, started = start(state, waiting, placements)
            return put_back(state, team, fitted=True), (*effects, *started)
        state, ended = end_unservable(state, waiting.request)
        effects += ended
        if position == 0:
            probe_smallest(state, ranked[1:], scan)
    if state.queues[team].classes:
        scan.aside.append(team)
        return state, effects
    return put_back(state, team, fitted=False), effects


def try_head(
    state: State, waiting: Waiting, scan: Scan, best: bool
) -> tuple[State, tuple[Placement, ...]]:
    """Look for room for one head; if the team's best is large and has none, keep room for it."""
    request = waiting.request
    if not scan.excludes(state, request):
        placements = place(state, request)
        if placements:
            return state, placements
        scan.note(state, request)
    if best and is_large(request, scan.find_capacity(state, request)):
        state = reserve_memory(state, request)
    return state, ()


def probe_smallest(state: State, heads: list[Waiting], scan: Scan) -> None:
    """Look whether the smallest of several heads fits; where not, none of them does."""
    if len(heads) < 2:
        return
    smallest = min(heads, key=lambda waiting: waiting.request.memory_tokens).request
    if not scan.excludes(state, smallest) and not place(state, smallest):
        scan.note(state, smallest)


def end_team(state: State, team: str) -> Step:
    """End all that waits for a team that the inventory no longer names."""
    effects: tuple[Effect, ...] = ()
    for ids in state.queues[team].classes.values():
        for request_id in ids:
            state, more = end_request(state, request_id, Unauthorized())
            effects += more
    return put_back(trim(state, team), team, fitted=False), effects


def end_unservable(state: State, request: Request) -> Step:
    """End a request that did not fit if the inventory in force can never serve it."""
    failure = find_unservable(state, request)
    if failure is None:
        return state, ()
    state, effects = end_request(state, request.request_id, failure)
    return trim(state, request.team), effects


def find_unservable(state: State, request: Request) -> Failure | None:
    """Return why the inventory in force can never serve a request, or None."""
    assert state.inventory is not None
    if request.team not in state.inventory.teams:
        return Unauthorized()
    capacity = find_capacity(state.capacities, request.team, request.model)
    if capacity is None:
        return UnknownModel()
    if request.memory_tokens > capacity.limit_tokens:
        return PromptTooLong(capacity.limit_tokens)
    return None


def place(state: State, request: Request) -> tuple[Placement, ...]:
    """Ask the rules' placement policy; an empty tuple means that there is no room now."""
    assert state.inventory is not None
    return PLACEMENTS[state.inventory.rules.placement](state, request)


def start(state: State, waiting: Waiting, placements: tuple[Placement, ...]) -> Step:
    """Book the placements and make the attempt."""
    request = waiting.request
    identity = state.identity
    attempt_id = f"{identity.instance}.{identity.incarnation}.{state.next_attempt}"
    cost_ms = estimate_cost_ms(state, request, waiting.tokens)
    service_ms = estimate_service_ms(state, request, waiting.tokens, placements[0].engine)
    priority = find_priority(state, request, waiting.tokens)
    attempt = Attempt(
        attempt_id=attempt_id,
        request=request,
        placements=placements,
        started_at=state.now,
        priority=priority,
        first_index=waiting.tokens,
        tokens=waiting.tokens,
        failures=waiting.failures,
        cost_ms=cost_ms,
        prefill_ms=estimate_prefill_ms(state, request, waiting.tokens),
        ends_at=state.now + int(service_ms),
        alone=state.engines[placements[0].engine].own_backlog <= 0,
    )
    state = take_waiting(book(state, placements), request.request_id)
    state = add_backlog(state, attempt)
    state = note_start(state, request, cost_ms)
    state = charge(remove_reservation(state, request.request_id), request.team, cost_ms)
    state = replace(
        state,
        random=draw(state.random, _WHOLE_RANGE)[0],
        next_attempt=state.next_attempt + 1,
        attempts=state.attempts.set(attempt_id, attempt),
        in_hand=state.in_hand.set(request.request_id, attempt_id),
        raises=push_raise(state, attempt),
    )
    return begin_attempt(state, attempt)


def book(state: State, placements: tuple[Placement, ...]) -> State:
    """Count the placements as this instance's use of their engines."""
    engines = state.engines
    for share in placements:
        view = engines[share.engine]
        view = replace(
            view,
            own_streams=view.own_streams + 1,
            own_memory=view.own_memory + share.memory_tokens,
            own_backlog=view.own_backlog + share.memory_tokens,
        )
        engines = engines.set(share.engine, view)
    return replace(state, engines=engines)
