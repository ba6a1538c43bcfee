"""Reservations: engine memory reserved for large waiting requests, to prevent their starvation.

The engines expected to have enough free memory first are reserved. An engine is reserved for one
request at a time, and a request gets all the memory that it needs reserved or none. Other requests
may use a reserved engine only if they are estimated to end before the large request starts, or if
enough memory for it remains free.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lentilwell._messages import Placement, Request
from lentilwell.decisions._backlogs import estimate_engine_wait_ms
from lentilwell.decisions._health import is_usable
from lentilwell.reducer import Capacity, EngineView, Reservation, State, draw_random, replace

LARGE_REQUEST_DIVISOR = 4
MAX_RESERVED_REQUESTS = 8
REFRESH_MS = 250
MAX_CANDIDATES = 16
ASSUMED_REMAINING_MS = 5_000
MAX_ENGINE_BACKLOG_MS = 400.0


@dataclass(frozen=True)
class ReservationPlan:
    """The memory to reserve on each engine, and the time at which all of it should be free."""

    start_at: int
    shares: tuple[Placement, ...]


def is_large(request: Request, capacity: Capacity | None) -> bool:
    """Return whether a request needs so much memory that smaller requests could starve it."""
    return (
        capacity is not None
        and request.memory_tokens * LARGE_REQUEST_DIVISOR > capacity.largest_tokens
    )


def reserve_memory(state: State, request: Request) -> State:
    """Reserve memory for a request that does not fit now, or renew its reservation."""
    reserved_engines = state.reserved.get(request.request_id)
    if reserved_engines is not None:
        return renew_reservation(state, request, reserved_engines)
    if len(state.reserved) >= MAX_RESERVED_REQUESTS:
        return state
    views = candidate_engines(state, request)
    free = [view for view in views if view.spec.name not in state.reservations]
    plan = plan_engine(state, request, free) or plan_span(state, request, free)
    return state if plan is None else store_plan(state, request, plan)


def candidate_engines(state: State, request: Request) -> Iterable[EngineView]:
    """Yield up to ``MAX_CANDIDATES`` engines that may run the request once they have capacity."""
    names = state.by_model.get(request.model, ())
    if state.inventory is None or not names:
        return
    allowed = state.inventory.teams[request.team].engines
    _, start = draw_random(state.random, len(names))
    for offset in range(min(MAX_CANDIDATES, len(names))):
        view = state.engines[names[(start + offset) % len(names)]]
        if allowed and view.spec.name not in allowed:
            continue
        if is_usable(view, state.now):
            yield view


def renew_reservation(state: State, request: Request, reserved_engines: tuple[str, ...]) -> State:
    """Update the estimated start of a request with reserved engines, once per ``REFRESH_MS``.

    If one of the engines cannot be used now, the whole reservation is dropped.
    """
    first = state.reservations[reserved_engines[0]]
    if state.now < first.set_at + REFRESH_MS:
        return state
    start_at = state.now
    for name in reserved_engines:
        view = state.engines.get(name)
        if view is None or not is_usable(view, state.now):
            return remove_reservation(state, request.request_id)
        needed = state.reservations[name].memory_tokens
        start_at = max(start_at, estimate_free_at(state, view, needed))
    reservations = state.reservations
    for name in reserved_engines:
        renewed = replace(reservations[name], until_at=start_at, set_at=state.now)
        reservations = reservations.set(name, renewed)
    return replace(state, reservations=reservations)


def store_plan(state: State, request: Request, plan: ReservationPlan) -> State:
    """Store the reservations of a plan."""
    reservations = state.reservations
    for share in plan.shares:
        reservation = Reservation(plan.start_at, request.request_id, share.memory_tokens, state.now)
        reservations = reservations.set(share.engine, reservation)
    names = tuple(share.engine for share in plan.shares)
    return replace(
        state,
        reservations=reservations,
        reserved=state.reserved.set(request.request_id, names),
    )


def plan_engine(state: State, request: Request, views: list[EngineView]) -> ReservationPlan | None:
    """Return the plan for the single engine that has the memory free first.

    Return None if no engine is large enough.
    """
    needed = request.memory_tokens
    large_enough = [view for view in views if view.spec.memory_tokens >= needed]
    if not large_enough:
        return None
    ends = [(estimate_free_at(state, view, needed), view.spec.name) for view in large_enough]
    start_at, name = min(ends)
    return ReservationPlan(start_at, (Placement(name, needed),))


def plan_span(state: State, request: Request, views: list[EngineView]) -> ReservationPlan | None:
    """Return the plan for a span in the data centre whose engines are free first.

    Return None if no data centre has enough engines.
    """
    by_data_centre: dict[str, list[tuple[int, str, int]]] = {}
    for view in views:
        size = view.spec.memory_tokens
        candidate = (estimate_free_at(state, view, size), view.spec.name, size)
        by_data_centre.setdefault(view.spec.data_centre, []).append(candidate)
    plans = [plan_data_centre(request, candidates) for candidates in by_data_centre.values()]
    found = [plan for plan in plans if plan is not None]
    return min(found, key=lambda plan: plan.start_at) if found else None


def plan_data_centre(
    request: Request, candidates: list[tuple[int, str, int]]
) -> ReservationPlan | None:
    """Return the plan for a span in one data centre, or None if its engines are too few.

    ``candidates`` has, for each engine, the time at which all its memory is free, its name and its
    memory in tokens.
    """
    missing = request.memory_tokens
    shares: list[Placement] = []
    for start_at, name, size in sorted(candidates):
        share = min(missing, size)
        shares.append(Placement(name, share))
        missing -= share
        if missing == 0:
            return ReservationPlan(start_at, tuple(shares))
    return None


def estimate_free_at(state: State, view: EngineView, needed: int) -> int:
    """Estimate when an engine will have ``needed`` tokens of memory free, from its last report.

    The streams of this instance end at their own estimates. For the streams of other instances,
    a remaining time of ``ASSUMED_REMAINING_MS`` is assumed.
    """
    if view.report is None:
        return state.now + (ASSUMED_REMAINING_MS if view.own_streams else 0)
    free = view.spec.memory_tokens - view.report.memory_used
    if free >= needed:
        return state.now
    ends: list[tuple[int, int]] = []
    for stream in view.report.streams:
        attempt = state.attempts.get(stream.stream)
        known = attempt is not None and attempt.ends_at > state.now
        end_at = attempt.ends_at if attempt and known else state.now + ASSUMED_REMAINING_MS
        ends.append((end_at, stream.memory_tokens))
    for end_at, memory_tokens in sorted(ends):
        free += memory_tokens
        if free >= needed:
            return end_at
    return state.now + ASSUMED_REMAINING_MS


def may_use(state: State, view: EngineView, request: Request, estimate_ms: float) -> bool:
    """Return whether a request may be placed on this engine now.

    It may if the engine is reserved for it. Otherwise it may not if this instance's prefill backlog
    on the engine ahead of the request is too long, since requests are ordered better in the queues
    than inside an engine. It also may not delay another request that the engine is reserved for.
    """
    reservation = state.reservations.get(view.spec.name)
    if reservation is not None and reservation.request_id == request.request_id:
        return True
    if estimate_engine_wait_ms(state, view.spec.name, request) >= MAX_ENGINE_BACKLOG_MS:
        return False
    if reservation is None or state.now + estimate_ms <= reservation.until_at:
        return True
    free = view.spec.memory_tokens - view.own_memory
    if view.report is not None:
        free = min(free, view.spec.memory_tokens - view.report.memory_used)
    return free - request.memory_tokens >= reservation.memory_tokens


def remove_reservation(state: State, request_id: str) -> State:
    """Remove the reservation of a request, if there is one."""
    engines = state.reserved.get(request_id)
    if engines is None:
        return state
    reservations = state.reservations
    for name in engines:
        reservations = reservations.discard(name)
    return replace(state, reservations=reservations, reserved=state.reserved.remove(request_id))
