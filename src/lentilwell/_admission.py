"""Arrival, deadlines and departure of requests."""

from __future__ import annotations

from lentilwell._attempts import stop_attempt
from lentilwell._effects import Effect, EndRequest
from lentilwell._errors import DeadlineExceeded, Failure, NotReady
from lentilwell._events import CallerGone, DrainStarted, InventoryAccepted, RequestArrived
from lentilwell._inventory_index import index_inventory
from lentilwell._order import length_class
from lentilwell._records import replace
from lentilwell._reducer import Step, follows, handles
from lentilwell._state import State, TeamQueue, Waiting, empty_ids, empty_queue

DEADLINE_BUCKET_MS = 50


def enqueue(state: State, waiting: Waiting, at_front: bool = False) -> State:
    """Put a request into its team's queue; one that is resumed goes to the front of its class."""
    request = waiting.request
    queue = state.queues.get(request.team, TeamQueue())
    kind = length_class(request.prompt_tokens)
    ids = queue.classes.get(kind, empty_queue())
    ids = ids.appendleft(request.request_id) if at_front else ids.append(request.request_id)
    queue = replace(queue, classes=queue.classes.set(kind, ids))
    return replace(
        state,
        queues=state.queues.set(request.team, queue),
        waiting=state.waiting.set(request.request_id, waiting),
    )


def end_request(state: State, request_id: str, failure: Failure | None) -> Step:
    """End a request wherever it is; with a failure, the caller is answered at once."""
    effects: list[Effect] = []
    known = request_id in state.waiting or request_id in state.in_hand
    attempt_id = state.in_hand.get(request_id)
    if attempt_id is not None:
        state, stopped = stop_attempt(state, attempt_id)
        effects.extend(stopped)
    state = replace(state, waiting=state.waiting.discard(request_id))
    if known and failure is not None:
        effects.append(EndRequest(request_id, failure))
    return state, tuple(effects)


@handles(RequestArrived)
def admit(state: State, event: RequestArrived) -> Step:
    """Queue a request, or refuse it at once."""
    request = event.request
    if state.inventory is None or state.draining:
        return state, (EndRequest(request.request_id, NotReady()),)
    if request.deadline_at <= state.now:
        return state, (EndRequest(request.request_id, DeadlineExceeded()),)
    bucket = request.deadline_at // DEADLINE_BUCKET_MS
    due = state.deadlines.get(bucket, empty_ids()).append(request.request_id)
    state = replace(state, deadlines=state.deadlines.set(bucket, due))
    return enqueue(state, Waiting(request)), ()


@handles(CallerGone)
def forget_caller(state: State, event: CallerGone) -> Step:
    """Drop the request and cancel its streams at once."""
    return end_request(state, event.request_id, None)


@handles(DrainStarted)
def start_drain(state: State, event: DrainStarted) -> Step:
    """Take no new requests; those in hand go on."""
    return replace(state, draining=True), ()


@handles(InventoryAccepted)
def accept_inventory(state: State, event: InventoryAccepted) -> Step:
    """Take a configuration of a higher version; a lower or equal one changes nothing."""
    if state.inventory is not None and event.inventory.version <= state.inventory.version:
        return state, ()
    return index_inventory(state, event), ()


@follows
def expire(state: State) -> Step:
    """End every request whose deadline has passed."""
    effects: tuple[Effect, ...] = ()
    current = state.now // DEADLINE_BUCKET_MS
    due = [bucket for bucket in state.deadlines if bucket < current]
    for bucket in due:
        for request_id in state.deadlines[bucket]:
            state, more = end_request(state, request_id, DeadlineExceeded())
            effects += more
        state = replace(state, deadlines=state.deadlines.remove(bucket))
    return state, effects
