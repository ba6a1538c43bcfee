"""Fair share between teams: start-time fair queueing in engine time, by weight.

Each team has a tag, the virtual time at which its next request starts; a request moves it on by its
engine time over the team's weight. The lowest tag is next. Virtual time follows the tags of what
starts, so an idle team comes back at the present and banks no more than the burst allowance.

Teams that wait stand in one of two heaps: ``ready``, or ``parked`` if nothing of theirs fitted when
they were last tried. Either costs O(log teams) a step.
"""

from __future__ import annotations

from lentilwell.reducer import State, TeamQueue, replace

BURST_ALLOWANCE_MS = 1_000.0


def find_weight(state: State, team: str) -> int:
    """Return a team's weight by the inventory in force, at least 1."""
    if state.inventory is None or team not in state.inventory.teams:
        return 1
    return max(1, state.inventory.teams[team].weight)


def enqueue_team(state: State, team: str) -> State:
    """Put a team that has begun to wait among the ready ones."""
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
    """Take the team with the lowest tag out of both heaps, or out of the ready one where it can.

    A team whose tag has risen since it was put there first moves to its right place. The name is
    empty where no team is left.
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
    """Return a team that was taken: to the ready ones if something of it started, else parked.

    A team with nothing left to wait for leaves.
    """
    queue = state.queues[team]
    if not queue.classes:
        return mark_team_idle(state, team)
    key = queue.tag or 0.0
    if has_started:
        return replace(state, ready=state.ready.push(key, team))
    return replace(state, parked=state.parked.push(key, team))


def mark_team_idle(state: State, team: str) -> State:
    """Note that a taken team waits no more."""
    queue = state.queues[team]
    return replace(
        state,
        queues=state.queues.set(team, replace(queue, indexed=False)),
        waiting_weight=state.waiting_weight - queue.weight,
    )


def retry_parked(state: State) -> State:
    """Once every waiting team has been tried, begin again with all of them."""
    if state.ready or not state.parked:
        return state
    return replace(state, ready=state.parked, parked=state.ready)


def charge_team(state: State, team: str, cost_ms: float) -> State:
    """Charge a team for a request that starts now; virtual time moves up to its tag."""
    queue = state.queues[team]
    tag = state.virtual_ms if queue.tag is None else queue.tag
    after = tag + cost_ms / find_weight(state, team)
    queue = replace(queue, tag=after, service_ms=queue.service_ms + cost_ms)
    virtual_ms = max(state.virtual_ms, tag)
    return replace(state, queues=state.queues.set(team, queue), virtual_ms=virtual_ms)


def correct_charge(state: State, team: str, by_ms: float) -> State:
    """Correct a team's charge once it is known what a request really used.

    A team that waits keeps its place in the heaps until it is taken next.
    """
    queue = state.queues.get(team)
    if queue is None or queue.tag is None:
        return state
    tag = queue.tag + by_ms / find_weight(state, team)
    queue = replace(queue, tag=tag, service_ms=queue.service_ms + by_ms)
    return replace(state, queues=state.queues.set(team, queue))
