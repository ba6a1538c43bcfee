"""Fair sharing of engine time between teams by weight: start-time fair queueing.

Each team has a tag: the virtual time at which its next request starts. A request advances the tag
by its engine time divided by the team's weight, and the team with the lowest tag is served next.
Virtual time follows the tags of the requests that start. So a team that was idle resumes near the
current virtual time, with a credit of at most the burst allowance.

Waiting teams are in one of two heaps: ``ready``, or ``parked`` if none of their requests fitted
when they were last tried. Each operation costs O(log teams).
"""

from __future__ import annotations

from lentilwell.reducer import State, TeamQueue, replace

BURST_ALLOWANCE_MS = 1_000.0


def find_weight(state: State, team: str) -> int:
    """Return a team's weight in the current inventory, at least 1."""
    if state.inventory is None or team not in state.inventory.teams:
        return 1
    return max(1, state.inventory.teams[team].weight)


def enqueue_team(state: State, team: str) -> State:
    """Add a team with a waiting request to the ready heap, unless it is in a heap already."""
    queue = state.queues.get(team, TeamQueue())
    if queue.indexed:
        return state
    weight = find_weight(state, team)
    floor = state.virtual_ms - BURST_ALLOWANCE_MS / weight
    tag = state.virtual_ms if queue.tag is None else max(queue.tag, floor)
    queue = replace(queue, tag=tag, indexed=True, weight=weight)
    return replace(
        state,
        queues=state.queues.set(team, queue),
        ready=state.ready.push(tag, team),
        waiting_weight=state.waiting_weight + weight,
    )


def pop_team(state: State, from_ready: bool) -> tuple[State, str]:
    """Remove and return the team with the lowest tag of both heaps; empty if no team waits.

    With ``from_ready`` the ready heap is preferred. A team whose tag has risen since it was added
    is first moved to its new position.
    """
    while state.ready or state.parked:
        ready = bool(state.ready) and (from_ready or state.ready.key <= state.parked.key)
        key = state.ready.key if ready else state.parked.key
        team, rest = (state.ready if ready else state.parked).pop()
        tag = state.queues[team].tag or 0.0
        state = replace(state, ready=rest) if ready else replace(state, parked=rest)
        if tag <= key:
            return state, team
        state = return_team(state, team, has_started=ready)
    return state, ""


def return_team(state: State, team: str, has_started: bool) -> State:
    """Put a popped team back: into the ready heap if a request of it has started, else parked.

    A team without waiting requests is not put back.
    """
    queue = state.queues[team]
    if not queue.classes:
        return mark_team_idle(state, team)
    key = queue.tag or 0.0
    if has_started:
        return replace(state, ready=state.ready.push(key, team))
    return replace(state, parked=state.parked.push(key, team))


def mark_team_idle(state: State, team: str) -> State:
    """Record that a popped team has no waiting requests."""
    queue = state.queues[team]
    return replace(
        state,
        queues=state.queues.set(team, replace(queue, indexed=False)),
        waiting_weight=state.waiting_weight - queue.weight,
    )


def retry_parked(state: State) -> State:
    """Move the parked teams to the ready heap once no ready team is left."""
    if state.ready or not state.parked:
        return state
    return replace(state, ready=state.parked, parked=state.ready)


def charge_team(state: State, team: str, cost_ms: float) -> State:
    """Charge a team for a request that starts, and advance virtual time to the team's tag."""
    queue = state.queues[team]
    tag = state.virtual_ms if queue.tag is None else queue.tag
    after = tag + cost_ms / find_weight(state, team)
    queue = replace(queue, tag=after, service_ms=queue.service_ms + cost_ms)
    virtual_ms = max(state.virtual_ms, tag)
    return replace(state, queues=state.queues.set(team, queue), virtual_ms=virtual_ms)


def correct_charge(state: State, team: str, by_ms: float) -> State:
    """Correct a team's charge once the engine time that a request really used is known.

    A team in a heap keeps its position there until it is popped.
    """
    queue = state.queues.get(team)
    if queue is None or queue.tag is None:
        return state
    tag = queue.tag + by_ms / find_weight(state, team)
    queue = replace(queue, tag=tag, service_ms=queue.service_ms + by_ms)
    return replace(state, queues=state.queues.set(team, queue))
