"""Start of waiting requests on engines with free capacity.

Engine time is shared fairly between teams; the order policy applies within a team.
"""

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
from lentilwell.decisions._fairness import charge_team, pop_team, retry_parked, return_team
from lentilwell.decisions._grants import begin_attempt
from lentilwell.decisions._order import rank_heads, update_credits
from lentilwell.decisions._placement import PLACEMENTS
from lentilwell.decisions._priorities import find_priority, schedule_raise
from lentilwell.decisions._queues import dequeue, remove_stale_heads
from lentilwell.decisions._reservations import is_large, remove_reservation, reserve_memory
from lentilwell.decisions._termination import end_request
from lentilwell.reducer import (
    Attempt,
    Capacity,
    CompletedScan,
    Effect,
    State,
    Step,
    WaitingRequest,
    after_each_event,
    draw_random,
    find_capacity,
    replace,
)

MAX_STARTS_PER_EVENT = 16
MAX_FAILED_TEAMS_PER_EVENT = 4
RESCAN_INTERVAL_MS = 20
_RANDOM_RANGE = 1 << 32

ScanKey = tuple[str, tuple[str, ...]]


@dataclass
class Scan:
    """Results of one event's search for engines: teams to skip, and sizes that do not fit.

    Free capacity only shrinks during a search. So a request that did not fit does not fit later in
    the search, and neither does a larger request of the same model and engines.
    """

    skipped_teams: list[str] = field(default_factory=list)
    too_large_tokens: dict[ScanKey, int] = field(default_factory=dict)
    capacities: dict[ScanKey, Capacity | None] = field(default_factory=dict)

    def key(self, state: State, request: Request) -> ScanKey:
        """Return the model and the team's allowed engines, which decide where a request fits."""
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
        """Return whether a request is known not to fit."""
        limit = self.too_large_tokens.get(self.key(state, request))
        return limit is not None and request.memory_tokens >= limit

    def is_candidate(self, state: State, waiting: WaitingRequest) -> bool:
        """Return whether to try a request: it may fit, or it is large enough for a reservation."""
        request = waiting.request
        if not self.excludes(state, request):
            return True
        return is_large(request, self.find_capacity(state, request))

    def record_misfit(self, state: State, request: Request) -> None:
        """Record that a request did not fit."""
        key = self.key(state, request)
        limit = self.too_large_tokens.get(key, request.memory_tokens)
        self.too_large_tokens[key] = min(limit, request.memory_tokens)


@after_each_event
def dispatch(state: State) -> Step:
    """Start waiting requests until nothing fits or the limits per event are reached."""
    if state.inventory is None or not state.waiting:
        return state, ()
    if was_just_scanned(state):
        return dispatch_newest(state)
    effects: list[Effect] = []
    scan = Scan()
    state = retry_parked(replace(state, untried=""))
    for step in range(MAX_STARTS_PER_EVENT + MAX_FAILED_TEAMS_PER_EVENT):
        if len(scan.skipped_teams) == MAX_FAILED_TEAMS_PER_EVENT:
            break
        state, team = pop_team(state, from_ready=step % 2 == 1)
        if not team:
            break
        state, more_effects = dispatch_team(state, team, scan)
        effects.extend(more_effects)
    for team in scan.skipped_teams:
        state = return_team(state, team, has_started=False)
    if not state.ready:
        state = replace(state, scanned=CompletedScan(state.engines, state.now))
    return state, tuple(effects)


def was_just_scanned(state: State) -> bool:
    """Return whether all waiting requests were tried recently and no engine has changed since.

    Recently means within ``RESCAN_INTERVAL_MS``.
    """
    scanned = state.scanned
    if state.ready or scanned.engines is not state.engines:
        return False
    return state.now < scanned.at + RESCAN_INTERVAL_MS


def dispatch_newest(state: State) -> Step:
    """Try to place only the request that this event has queued.

    All other waiting requests were tried within ``RESCAN_INTERVAL_MS``.
    """
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
        state, started = start_attempt(state, waiting, placements)
        return state, started
    return state, ()


def dispatch_team(state: State, team: str, scan: Scan) -> Step:
    """Start the highest-ranked request of a team that fits, or skip the team for this event."""
    inventory = state.inventory
    assert inventory is not None
    state = remove_stale_heads(state, team)
    if team not in inventory.teams:
        return end_team_requests(state, team)
    queue = state.queues[team]
    heads = [state.waiting[ids.first] for ids in queue.classes.values()]
    ranked = rank_heads(state, queue, [head for head in heads if scan.is_candidate(state, head)])
    effects: tuple[Effect, ...] = ()
    for position, waiting in enumerate(ranked):
        state, placements = place_or_reserve(state, waiting, scan, best=position == 0)
        if placements:
            state, started = start_attempt(state, waiting, placements)
            return return_team(state, team, has_started=True), (*effects, *started)
        state, ended = end_unservable(state, waiting.request)
        effects += ended
        if position == 0:
            check_smallest(state, ranked[1:], scan)
    if state.queues[team].classes:
        scan.skipped_teams.append(team)
        return state, effects
    return return_team(state, team, has_started=False), effects


def place_or_reserve(
    state: State, waiting: WaitingRequest, scan: Scan, best: bool
) -> tuple[State, tuple[Placement, ...]]:
    """Try to place the first request of a class.

    If it does not fit, is large and is ranked first in its team (``best``), reserve memory for it.
    """
    request = waiting.request
    if not scan.excludes(state, request):
        placements = place(state, request)
        if placements:
            return state, placements
        scan.record_misfit(state, request)
    if best and is_large(request, scan.find_capacity(state, request)):
        state = reserve_memory(state, request)
    return state, ()


def check_smallest(state: State, heads: list[WaitingRequest], scan: Scan) -> None:
    """Record whether the smallest of several requests does not fit; then none of them does."""
    if len(heads) < 2:
        return
    smallest = min(heads, key=lambda waiting: waiting.request.memory_tokens).request
    if not scan.excludes(state, smallest) and not place(state, smallest):
        scan.record_misfit(state, smallest)


def end_team_requests(state: State, team: str) -> Step:
    """End all waiting requests of a team that the inventory no longer lists."""
    effects: tuple[Effect, ...] = ()
    for ids in state.queues[team].classes.values():
        for request_id in ids:
            state, more_effects = end_request(state, request_id, Unauthorized())
            effects += more_effects
    return return_team(remove_stale_heads(state, team), team, has_started=False), effects


def end_unservable(state: State, request: Request) -> Step:
    """End a request that did not fit if the current inventory can never serve it."""
    failure = find_unservable(state, request)
    if failure is None:
        return state, ()
    state, effects = end_request(state, request.request_id, failure)
    return remove_stale_heads(state, request.team), effects


def find_unservable(state: State, request: Request) -> Failure | None:
    """Return why the current inventory can never serve a request, or None."""
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
    """Apply the placement policy of the rules; an empty tuple means that nothing fits now."""
    assert state.inventory is not None
    return PLACEMENTS[state.inventory.rules.placement](state, request)


def start_attempt(state: State, waiting: WaitingRequest, placements: tuple[Placement, ...]) -> Step:
    """Create an attempt for a waiting request and allocate its placements."""
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
    state = dequeue(allocate(state, placements), request.request_id)
    state = add_backlog(state, attempt)
    state = update_credits(state, request, cost_ms)
    state = charge_team(remove_reservation(state, request.request_id), request.team, cost_ms)
    state = replace(
        state,
        random=draw_random(state.random, _RANDOM_RANGE)[0],
        next_attempt=state.next_attempt + 1,
        attempts=state.attempts.set(attempt_id, attempt),
        in_hand=state.in_hand.set(request.request_id, attempt_id),
        raises=schedule_raise(state, attempt),
    )
    return begin_attempt(state, attempt)


def allocate(state: State, placements: tuple[Placement, ...]) -> State:
    """Count the placements as this instance's own use of their engines."""
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
