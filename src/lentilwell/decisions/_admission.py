"""Admission of requests, cancellation by callers, drain, and changes of the configuration."""

from __future__ import annotations

from lentilwell._failures import DeadlineExceeded, Failure, NotReady, Overloaded
from lentilwell._inventory import Inventory
from lentilwell._messages import Request
from lentilwell.decisions._deadlines import advance_random, find_overload
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
    WaitingRequest,
    compute_capacities,
    handles,
    index_inventory,
    replace,
)


@handles(RequestArrived)
def admit_request(state: State, event: RequestArrived) -> Step:
    """Queue a new request or refuse it at once; ignore a request that is already known."""
    request = event.request
    if request.request_id in state.waiting or request.request_id in state.in_hand:
        return state, ()
    failure = find_refusal(state, request) or find_overload(state, request)
    if failure is not None:
        if isinstance(failure, Overloaded):
            state = advance_random(state)
        return state, (EndRequest(request.request_id, failure),)
    return enqueue(credit_retry(state, request.team), WaitingRequest(request)), ()


def find_refusal(state: State, request: Request) -> Failure | None:
    """Return the failure of a request that cannot be served at all, or None."""
    if state.inventory is None or state.draining:
        return NotReady()
    if request.deadline_at <= state.now:
        return DeadlineExceeded()
    return find_unservable(state, request)


@handles(CallerGone)
def handle_caller_gone(state: State, event: CallerGone) -> Step:
    """End a request whose caller has disconnected, and cancel its streams."""
    return end_request(state, event.request_id, None)


@handles(DrainStarted)
def start_drain(state: State, event: DrainStarted) -> Step:
    """Refuse new requests from now on; requests in progress continue."""
    return replace(state, draining=True), ()


@handles(InventoryAccepted)
def accept_inventory(state: State, event: InventoryAccepted) -> Step:
    """Apply a configuration with a higher version than the current one; ignore any other."""
    if state.inventory is not None and event.inventory.version <= state.inventory.version:
        return state, ()
    capacities = compute_capacities(event.inventory)
    state = replace(index_inventory(state, event), capacities=capacities)
    return remove_unlisted(state, event.inventory), ()


def remove_unlisted(state: State, inventory: Inventory) -> State:
    """Remove the learned rates of engines and the queues of teams that the inventory does not list.

    A team that has waiting requests keeps its queue.
    """
    queues = state.queues.evolver()
    for team, queue in state.queues.items():
        if team not in inventory.teams and not queue.indexed:
            queues.remove(team)
    rates = state.paces.evolver()
    for name in state.paces:
        if name and name not in inventory.engines:
            rates.remove(name)
    return replace(state, queues=queues.persistent(), paces=rates.persistent())
