"""Arrival and departure of requests, and the configuration that they are served by."""

from __future__ import annotations

from lentilwell._failures import DeadlineExceeded, Failure, NotReady, Overloaded
from lentilwell._inventory import Inventory
from lentilwell._messages import Request
from lentilwell.decisions._deadlines import find_overload, skip_draw
from lentilwell.decisions._dispatch import find_unservable
from lentilwell.decisions._queues import enqueue
from lentilwell.decisions._retry_budget import credit_retry
from lentilwell.decisions._termination import end_request
from lentilwell.reducer import (
    CallerGone,
    DrainStarted,
    EndRequest,
    InventoryAccepted,
    RequestArrived,
    State,
    Step,
    Waiting,
    handles,
    index_inventory,
    measure_capacities,
    replace,
)


@handles(RequestArrived)
def admit(state: State, event: RequestArrived) -> Step:
    """Queue a request, or refuse it at once; one that is known already changes nothing."""
    request = event.request
    if request.request_id in state.waiting or request.request_id in state.in_hand:
        return state, ()
    failure = find_refusal(state, request) or find_overload(state, request)
    if failure is not None:
        if isinstance(failure, Overloaded):
            state = skip_draw(state)
        return state, (EndRequest(request.request_id, failure),)
    return enqueue(credit_retry(state, request.team), Waiting(request)), ()


def find_refusal(state: State, request: Request) -> Failure | None:
    """Return why a request cannot be served at all, or None."""
    if state.inventory is None or state.draining:
        return NotReady()
    if request.deadline_at <= state.now:
        return DeadlineExceeded()
    return find_unservable(state, request)


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
    capacities = measure_capacities(event.inventory)
    state = replace(index_inventory(state, event), capacities=capacities)
    return forget_removed(state, event.inventory), ()


def forget_removed(state: State, inventory: Inventory) -> State:
    """Forget the paces of engines and the queues of teams that are gone and hold nothing."""
    queues = state.queues.evolver()
    for team, queue in state.queues.items():
        if team not in inventory.teams and not queue.indexed:
            queues.remove(team)
    paces = state.paces.evolver()
    for name in state.paces:
        if name and name not in inventory.engines:
            paces.remove(name)
    return replace(state, queues=queues.persistent(), paces=paces.persistent())
