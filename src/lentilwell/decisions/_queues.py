"""The queues of waiting requests: per team and length class, with totals of the time they need."""

from __future__ import annotations

from pyrsistent import pmap

from lentilwell.decisions._backlogs import ClassTotals, add_total
from lentilwell.decisions._estimates import estimate_cost_ms, estimate_service_ms, length_class
from lentilwell.decisions._fairness import enqueue_team
from lentilwell.decisions._reservations import forget_reservation
from lentilwell.reducer import Fifo, State, TeamQueue, Waiting, make_fifo, replace

MAX_STALE_IDS = 64


def adjust_queued(state: State, waiting: Waiting, sign: int) -> State:
    """Add a request to the totals of its model and team, or take it off."""
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


def enqueue(state: State, waiting: Waiting, at_front: bool = False) -> State:
    """Put a request into its team's queue; one that is resumed goes to the front of its class.

    The head that it displaces is not tried any more, so no engine is kept for that one.
    """
    request = waiting.request
    waiting = replace(waiting, cost_ms=estimate_cost_ms(state, request, waiting.tokens))
    queue = state.queues.get(request.team, TeamQueue())
    prompt_class = length_class(request.prompt_tokens)
    ids = queue.classes.get(prompt_class, Fifo())
    if at_front and ids:
        state = forget_reservation(state, ids.first)
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


def latest_start_at(state: State, waiting: Waiting) -> int:
    """Return the last time at which the request can start and still end by its deadline."""
    request = waiting.request
    return request.deadline_at - int(estimate_service_ms(state, request, waiting.tokens))


def dequeue(state: State, request_id: str) -> State:
    """Take the head of a class out of the queue, since it starts."""
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
    state = adjust_queued(state, waiting, -1)
    return (
        remove_stale_ids(state, team)
        if queue.stale >= MAX_STALE_IDS
        else remove_stale_heads(state, team)
    )


def set_class(queue: TeamQueue, prompt_class: int, ids: Fifo) -> TeamQueue:
    """Return the queue with the ids of one class replaced; an empty class goes, with its credit."""
    if ids:
        return replace(queue, classes=queue.classes.set(prompt_class, ids))
    return replace(
        queue,
        classes=queue.classes.discard(prompt_class),
        credits=queue.credits.discard(prompt_class),
    )


def remove_stale_heads(state: State, team: str) -> State:
    """Remove stale ids from the heads of a team's classes."""
    queue = state.queues[team]
    if not queue.stale:
        return state
    for prompt_class, ids in queue.classes.items():
        kept = ids
        while kept and kept.first not in state.waiting:
            kept = kept.pop()
        if kept is not ids:
            removed = len(ids) - len(kept)
            queue = replace(set_class(queue, prompt_class, kept), stale=queue.stale - removed)
    return replace(state, queues=state.queues.set(team, queue))


def remove_stale_ids(state: State, team: str) -> State:
    """Remove all stale ids of a team once there are many, so that they cannot pile up."""
    queue = state.queues[team]
    length = sum(len(ids) for ids in queue.classes.values())
    if 2 * queue.stale < length:
        return remove_stale_heads(state, team)
    for prompt_class, ids in queue.classes.items():
        queue = set_class(
            queue, prompt_class, make_fifo(name for name in ids if name in state.waiting)
        )
    return replace(state, queues=state.queues.set(team, replace(queue, stale=0)))
