"""Starting waiting requests where there is room: fair between teams, by policy within a team."""

from __future__ import annotations

from lentilwell._effects import Effect
from lentilwell._estimates import estimate_service_ms
from lentilwell._grants import begin_attempt
from lentilwell._messages import Placement, Request
from lentilwell._order import ORDERS, Candidate
from lentilwell._placement import PLACEMENTS
from lentilwell._records import replace
from lentilwell._reducer import Step, follows
from lentilwell._state import Attempt, State, TeamQueue, Waiting, draw

STARTS_PER_EVENT = 16
_WHOLE_RANGE = 1 << 32


@follows
def dispatch(state: State) -> Step:
    """Start requests until nothing fits or the bound per event is reached."""
    if state.inventory is None or not state.waiting:
        return state, ()
    effects: list[Effect] = []
    for _ in range(STARTS_PER_EVENT):
        state, started = start_one(state)
        if not started:
            break
        effects.extend(started)
    return state, tuple(effects)


def start_one(state: State) -> Step:
    """Start the best request of the first team, by service so far over weight, that has one."""
    assert state.inventory is not None
    teams = state.inventory.teams
    state = drop_stale_heads(state)
    by_share = sorted(
        (name for name, queue in state.queues.items() if queue.classes and name in teams),
        key=lambda name: state.queues[name].service_ms / teams[name].weight,
    )
    for team in by_share:
        for waiting in ranked_heads(state, state.queues[team]):
            placements = place(state, waiting.request)
            if placements:
                return start(state, waiting, placements)
    return state, ()


def place(state: State, request: Request) -> tuple[Placement, ...]:
    """Ask the rules' placement policy; an empty tuple means that there is no room now."""
    assert state.inventory is not None
    return PLACEMENTS[state.inventory.rules.placement](state, request)


def drop_stale_heads(state: State) -> State:
    """Remove ids at the heads of classes whose request no longer waits."""
    queues = state.queues
    for team, queue in state.queues.items():
        classes = queue.classes
        for kind, ids in queue.classes.items():
            kept = ids
            while kept and kept.left not in state.waiting:
                kept = kept.popleft()
            if kept is not ids:
                classes = classes.set(kind, kept) if kept else classes.remove(kind)
        if classes is not queue.classes:
            queues = queues.set(team, replace(queue, classes=classes))
    return state if queues is state.queues else replace(state, queues=queues)


def ranked_heads(state: State, queue: TeamQueue) -> list[Waiting]:
    """Return the head of each class, best first by the rules' order policy."""
    assert state.inventory is not None
    score = ORDERS[state.inventory.rules.order]
    heads = [state.waiting[ids.left] for ids in queue.classes.values()]
    return sorted(
        heads,
        key=lambda w: score(Candidate(w.request, state.now, estimate_service_ms(w.request))),
    )


def start(state: State, waiting: Waiting, placements: tuple[Placement, ...]) -> Step:
    """Book the placements and make the attempt."""
    request = waiting.request
    identity = state.identity
    attempt_id = f"{identity.instance}.{identity.incarnation}.{state.next_attempt}"
    priority = int(estimate_service_ms(request))
    attempt = Attempt(
        attempt_id=attempt_id,
        request=request,
        placements=placements,
        started_at=state.now,
        priority=priority,
        first_index=waiting.tokens,
        tokens=waiting.tokens,
        failures=waiting.failures,
    )
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
    queue = state.queues[request.team]
    queue = replace(queue, service_ms=queue.service_ms + estimate_service_ms(request))
    state = replace(
        state,
        random=draw(state.random, _WHOLE_RANGE)[0],
        next_attempt=state.next_attempt + 1,
        waiting=state.waiting.remove(request.request_id),
        queues=state.queues.set(request.team, queue),
        attempts=state.attempts.set(attempt_id, attempt),
        in_hand=state.in_hand.set(request.request_id, attempt_id),
        engines=engines,
    )
    return begin_attempt(state, attempt)
