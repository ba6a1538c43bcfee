"""Reservations: memory kept for a long reading that waits, so that short ones cannot starve it.

The engines with the earliest estimated drain are kept, whole or not at all, and never for two
readings at once. Others use them only where their estimate ends before the reading's start, or
where enough memory is left beside it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lentilwell._messages import Placement, Request
from lentilwell.decisions._backlogs import estimate_engine_wait_ms
from lentilwell.decisions._health import is_usable
from lentilwell.reducer import Capacity, EngineView, Reservation, State, draw_random, replace

LARGE_DIVISOR = 4
RESERVED_AT_ONCE = 8
REFRESH_MS = 250
SAMPLE_ENGINES = 16
UNKNOWN_DRAIN_MS = 5_000
BACKLOG_LIMIT_MS = 400.0


@dataclass(frozen=True)
class Plan:
    """Which memory to keep where, and when all of it is expected to be free."""

    until_at: int
    shares: tuple[Placement, ...]


def is_large(request: Request, capacity: Capacity | None) -> bool:
    """Tell whether a request needs so much memory that short ones could keep it out for good."""
    return capacity is not None and request.memory_tokens * LARGE_DIVISOR > capacity.largest_tokens


def reserve(state: State, request: Request) -> State:
    """Keep memory for a request that does not fit now, or renew what is kept for it."""
    kept = state.reserved.get(request.request_id)
    if kept is not None:
        return renew(state, request, kept)
    if len(state.reserved) >= RESERVED_AT_ONCE:
        return state
    views = candidate_engines(state, request)
    free = [view for view in views if view.spec.name not in state.reservations]
    plan = plan_engine(state, request, free) or plan_span(state, request, free)
    return state if plan is None else keep(state, request, plan)


def candidate_engines(state: State, request: Request) -> Iterable[EngineView]:
    """Yield up to ``SAMPLE_ENGINES`` engines that may take the request once they have room."""
    names = state.by_model.get(request.model, ())
    if state.inventory is None or not names:
        return
    allowed = state.inventory.teams[request.team].engines
    _, start = draw_random(state.random, len(names))
    for offset in range(min(SAMPLE_ENGINES, len(names))):
        view = state.engines[names[(start + offset) % len(names)]]
        if allowed and view.spec.name not in allowed:
            continue
        if is_usable(view, state.now):
            yield view


def renew(state: State, request: Request, kept: tuple[str, ...]) -> State:
    """Estimate again when the kept engines drain; if one cannot be used now, keep none."""
    first = state.reservations[kept[0]]
    if state.now < first.set_at + REFRESH_MS:
        return state
    until_at = state.now
    for name in kept:
        view = state.engines.get(name)
        if view is None or not is_usable(view, state.now):
            return forget_reservation(state, request.request_id)
        needed = state.reservations[name].memory_tokens
        until_at = max(until_at, estimate_drain(state, view, needed))
    reservations = state.reservations
    for name in kept:
        renewed = replace(reservations[name], until_at=until_at, set_at=state.now)
        reservations = reservations.set(name, renewed)
    return replace(state, reservations=reservations)


def keep(state: State, request: Request, plan: Plan) -> State:
    """Record a plan."""
    reservations = state.reservations
    for share in plan.shares:
        kept = Reservation(plan.until_at, request.request_id, share.memory_tokens, state.now)
        reservations = reservations.set(share.engine, kept)
    names = tuple(share.engine for share in plan.shares)
    return replace(
        state,
        reservations=reservations,
        reserved=state.reserved.set(request.request_id, names),
    )


def plan_engine(state: State, request: Request, views: list[EngineView]) -> Plan | None:
    """Return the plan for the single engine that drains first, or None where none is so large."""
    needed = request.memory_tokens
    fits = [view for view in views if view.spec.memory_tokens >= needed]
    if not fits:
        return None
    ends = [(estimate_drain(state, view, needed), view.spec.name) for view in fits]
    until_at, name = min(ends)
    return Plan(until_at, (Placement(name, needed),))


def plan_span(state: State, request: Request, views: list[EngineView]) -> Plan | None:
    """Return the plan for a whole span of the data centre whose engines drain first, or None."""
    centres: dict[str, list[tuple[int, str, int]]] = {}
    for view in views:
        size = view.spec.memory_tokens
        drained = (estimate_drain(state, view, size), view.spec.name, size)
        centres.setdefault(view.spec.data_centre, []).append(drained)
    plans = [plan_centre(request, drained) for drained in centres.values()]
    found = [plan for plan in plans if plan is not None]
    return min(found, key=lambda plan: plan.until_at) if found else None


def plan_centre(request: Request, drained: list[tuple[int, str, int]]) -> Plan | None:
    """Return the plan for a span of one data centre, or None where its engines are too few."""
    missing = request.memory_tokens
    shares: list[Placement] = []
    for until_at, name, size in sorted(drained):
        share = min(missing, size)
        shares.append(Placement(name, share))
        missing -= share
        if missing == 0:
            return Plan(until_at, tuple(shares))
    return None


def estimate_drain(state: State, view: EngineView, needed: int) -> int:
    """Estimate when an engine has ``needed`` tokens of memory free, by its last report.

    Streams of this instance end by their own estimates, those of others after a set time.
    """
    if view.report is None:
        return state.now + (UNKNOWN_DRAIN_MS if view.own_streams else 0)
    free = view.spec.memory_tokens - view.report.memory_used
    if free >= needed:
        return state.now
    ends: list[tuple[int, int]] = []
    for stream in view.report.streams:
        attempt = state.attempts.get(stream.stream)
        known = attempt is not None and attempt.ends_at > state.now
        end_at = attempt.ends_at if attempt and known else state.now + UNKNOWN_DRAIN_MS
        ends.append((end_at, stream.memory_tokens))
    for end_at, memory_tokens in sorted(ends):
        free += memory_tokens
        if free >= needed:
            return end_at
    return state.now + UNKNOWN_DRAIN_MS


def may_use(state: State, view: EngineView, request: Request, estimate_ms: float) -> bool:
    """Tell whether a request may take this engine now.

    It may where the engine is kept for it. It may not where this instance has given the engine
    enough to prefill before it already: the order between requests is better kept in the queues
    than inside engines. And it may not spoil a reservation that the engine carries for another.
    """
    kept = state.reservations.get(view.spec.name)
    if kept is not None and kept.request_id == request.request_id:
        return True
    if estimate_engine_wait_ms(state, view.spec.name, request) >= BACKLOG_LIMIT_MS:
        return False
    if kept is None or state.now + estimate_ms <= kept.until_at:
        return True
    free = view.spec.memory_tokens - view.own_memory
    if view.report is not None:
        free = min(free, view.spec.memory_tokens - view.report.memory_used)
    return free - request.memory_tokens >= kept.memory_tokens


def forget_reservation(state: State, request_id: str) -> State:
    """Drop what is kept for a request that has started or ended."""
    engines = state.reserved.get(request_id)
    if engines is None:
        return state
    reservations = state.reservations
    for name in engines:
        reservations = reservations.discard(name)
    return replace(state, reservations=reservations, reserved=state.reserved.remove(request_id))
