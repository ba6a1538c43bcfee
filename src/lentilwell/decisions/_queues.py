"""The queues of waiting requests: per team and length class, with totals of the time they need."""

from __future__ import annotations

from pyrsistent import pmap

from lentilwell.decisions._backlogs import Totals, add_total
from lentilwell.decisions._estimates import estimate_cost_ms, estimate_service_ms, length_class
from lentilwell.decisions._fairness import join
from lentilwell.decisions._reservations import remove_reservation
from lentilwell.reducer import Fifo, State, TeamQueue, Waiting, make_fifo, replace

STALE_LIMIT = 64


def count_queued(state: State, waiting: Waiting, sign: int) -> State:
    """Add a request to the totals of its model and team, or take it off."""
    request = waiting.request
    kind = length_class(request.prompt_tokens)
    by_ms = sign * waiting.cost_ms
    queue = state.queues[request.team]
    queue = replace(queue, queued_ms=add_total(queue.queued_ms, kind, by_ms))
    of_model: Totals = state.queued_ms.get(request.model, pmap())
    of_model = add_total(of_model, kind, by_ms)
    return replace(
        state,
        queues=state.queues.set(request.team, queue),
        queued_ms=state.queued_ms.set(request.model, of_model),
    )


def enqueue(state: State, waiting: Waiting, at_front: bool = False) -> State:
    """Put a request into its team's queue; one that is resumed goes to the front of its class.

    The head that it displaces is not tried any more, so no engine is kept for that one.
    """
    request = waiting.request
    waiting = replace(waiting, cost_ms=estimate_cost_ms(state, request, waiting.tokens))
    queue = state.queues.get(request.team, TeamQueue())
    kind = length_class(request.prompt_tokens)
    ids = queue.classes.get(kind, Fifo())
    if at_front and ids:
        state = remove_reservation(state, ids.first)
    ids = ids.prepend(request.request_id) if at_front else ids.append(request.request_id)
    queue = replace(queue, classes=queue.classes.set(kind, ids))
    state = replace(
        state,
        queues=state.queues.set(request.team, queue),
        waiting=state.waiting.set(request.request_id, waiting),
        timers=state.timers.push(latest_start(state, waiting), request.request_id),
        untried=request.request_id,
    )
    return join(count_queued(state, waiting, 1), request.team)


def latest_start(state: State, waiting: Waiting) -> int:
    """Return the last time at which the request can start and still end by its deadline."""
    request = waiting.request
    return request.deadline_at - int(estimate_service_ms(state, request, waiting.tokens))


def take_waiting(state: State, request_id: str) -> State:
    """Take the head of a class out of the queue, since it starts."""
    waiting = state.waiting[request_id]
    request = waiting.request
    queue = state.queues[request.team]
    kind = length_class(request.prompt_tokens)
    ids = queue.classes[kind]
    if ids.first != request_id:
        return drop_waiting(state, request_id)
    queue = set_class(queue, kind, ids.pop())
    state = replace(
        state,
        queues=state.queues.set(request.team, queue),
        waiting=state.waiting.remove(request_id),
    )
    return count_queued(state, waiting, -1)


def drop_waiting(state: State, request_id: str) -> State:
    """Take a request out wherever it stands; its id stays behind as stale for a while."""
    waiting = state.waiting.get(request_id)
    if waiting is None:
        return state
    team = waiting.request.team
    queue = state.queues[team]
    state = replace(
        state,
        queues=state.queues.set(team, replace(queue, stale=queue.stale + 1)),
        waiting=state.waiting.remove(request_id),
    )
    state = count_queued(state, waiting, -1)
    return sweep(state, team) if queue.stale >= STALE_LIMIT else trim(state, team)


def set_class(queue: TeamQueue, kind: int, ids: Fifo) -> TeamQueue:
    """Return the queue with the ids of one class replaced; an empty class goes, with its credit."""
    if ids:
        return replace(queue, classes=queue.classes.set(kind, ids))
    return replace(queue, classes=queue.classes.discard(kind), credits=queue.credits.discard(kind))


def trim(state: State, team: str) -> State:
    """Remove stale ids from the heads of a team's classes."""
    queue = state.queues[team]
    if not queue.stale:
        return state
    for kind, ids in queue.classes.items():
        kept = ids
        while kept and kept.first not in state.waiting:
            kept = kept.pop()
        if kept is not ids:
            gone = len(ids) - len(kept)
            queue = replace(set_class(queue, kind, kept), stale=queue.stale - gone)
    return replace(state, queues=state.queues.set(team, queue))


def sweep(state: State, team: str) -> State:
    """Remove all stale ids of a team once there are many, so that they cannot pile up."""
    queue = state.queues[team]
    length = sum(len(ids) for ids in queue.classes.values())
    if 2 * queue.stale < length:
        return trim(state, team)
    for kind, ids in queue.classes.items():
        queue = set_class(queue, kind, make_fifo(name for name in ids if name in state.waiting))
    return replace(state, queues=state.queues.set(team, replace(queue, stale=0)))
