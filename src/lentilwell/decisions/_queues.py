"""Queues of waiting requests per team and length class, with totals of their engine time."""

from __future__ import annotations

from pyrsistent import pmap

from lentilwell.decisions._backlogs import ClassTotals, add_total
from lentilwell.decisions._estimates import estimate_cost_ms, estimate_service_ms, length_class
from lentilwell.decisions._fairness import enqueue_team
from lentilwell.decisions._reservations import remove_reservation
from lentilwell.reducer import Fifo, State, TeamQueue, WaitingRequest, make_fifo, replace

MAX_STALE_IDS = 64


def adjust_queued(state: State, waiting: WaitingRequest, sign: int) -> State:
    """Add a request to the totals of its model and team (sign 1), or subtract it (sign -1)."""
    request = waiting.request
    prompt_class = length_class(request.prompt_tokens)
    by_ms = sign * waiting.cost_ms
    queue = state.queues[request.team]
    queue = replace(queue, queued_ms=add_total(queue.queued_ms, prompt_class, by_ms))
    model_totals: ClassTotals = state.queued_ms.get(request.model, pmap())
    model_totals = add_total(model_totals, prompt_class, by_ms)
    return replace(
        state,
        queues=state.queues.set(request.team, queue),
        queued_ms=state.queued_ms.set(request.model, model_totals),
    )


def enqueue(state: State, waiting: WaitingRequest, at_front: bool = False) -> State:
    """Add a request to its team's queue, as the last or (``at_front``) the first of its class.

    The request that was first before loses its reservation, because only the first request of a
    class is tried.
    """
    request = waiting.request
    waiting = replace(waiting, cost_ms=estimate_cost_ms(state, request, waiting.tokens))
    queue = state.queues.get(request.team, TeamQueue())
    prompt_class = length_class(request.prompt_tokens)
    ids = queue.classes.get(prompt_class, Fifo())
    if at_front and ids:
        state = remove_reservation(state, ids.first)
    ids = ids.prepend(request.request_id) if at_front else ids.append(request.request_id)
    queue = replace(queue, classes=queue.classes.set(prompt_class, ids))
    state = replace(
        state,
        queues=state.queues.set(request.team, queue),
        waiting=state.waiting.set(request.request_id, waiting),
        timers=state.timers.push(latest_start_at(state, waiting), request.request_id),
        untried=request.request_id,
    )
    return enqueue_team(adjust_queued(state, waiting, 1), request.team)


def latest_start_at(state: State, waiting: WaitingRequest) -> int:
    """Return the latest time at which a request can start and still meet its deadline."""
    request = waiting.request
    return request.deadline_at - int(estimate_service_ms(state, request, waiting.tokens))


def dequeue(state: State, request_id: str) -> State:
    """Remove a request that starts; it is usually the first of its class."""
    waiting = state.waiting[request_id]
    request = waiting.request
    queue = state.queues[request.team]
    prompt_class = length_class(request.prompt_tokens)
    ids = queue.classes[prompt_class]
    if ids.first != request_id:
        return remove_waiting(state, request_id)
    queue = set_class(queue, prompt_class, ids.pop())
    state = replace(
        state,
        queues=state.queues.set(request.team, queue),
        waiting=state.waiting.remove(request_id),
    )
    return adjust_queued(state, waiting, -1)


def remove_waiting(state: State, request_id: str) -> State:
    """Remove a request from any position; its id stays in the queue as stale for a while."""
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
    state = adjust_queued(state, waiting, -1)
    return (
        remove_stale_ids(state, team)
        if queue.stale >= MAX_STALE_IDS
        else remove_stale_heads(state, team)
    )


def set_class(queue: TeamQueue, prompt_class: int, ids: Fifo) -> TeamQueue:
    """Replace the ids of one class; an empty class is removed together with its credit."""
    if ids:
        return replace(queue, classes=queue.classes.set(prompt_class, ids))
    return replace(
        queue,
        classes=queue.classes.discard(prompt_class),
        credits=queue.credits.discard(prompt_class),
    )


def remove_stale_heads(state: State, team: str) -> State:
    """Remove the stale ids at the front of a team's classes."""
    queue = state.queues[team]
    if not queue.stale:
        return state
    for prompt_class, ids in queue.classes.items():
        remaining = ids
        while remaining and remaining.first not in state.waiting:
            remaining = remaining.pop()
        if remaining is not ids:
            removed = len(ids) - len(remaining)
            queue = replace(set_class(queue, prompt_class, remaining), stale=queue.stale - removed)
    return replace(state, queues=state.queues.set(team, queue))


def remove_stale_ids(state: State, team: str) -> State:
    """Remove all stale ids of a team if they are at least half of its ids, else the leading ones.

    This bounds the number of stale ids in a queue.
    """
    queue = state.queues[team]
    length = sum(len(ids) for ids in queue.classes.values())
    if 2 * queue.stale < length:
        return remove_stale_heads(state, team)
    for prompt_class, ids in queue.classes.items():
        queue = set_class(
            queue, prompt_class, make_fifo(item for item in ids if item in state.waiting)
        )
    return replace(state, queues=state.queues.set(team, replace(queue, stale=0)))
