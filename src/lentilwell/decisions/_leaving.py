"""Marks of upstreams that are leaving, that is, draining before a stop.

An own mark is set by a load report, the platform's list or a refusal. It is valid until a report or
the list shows a newer incarnation that is not leaving. An own mark without an incarnation is valid
for at least ``MARK_WITHOUT_INCARNATION_VALID_MS``; after that, any report or list that does not
show the upstream as leaving removes the mark.

A mark reported by a peer is valid while the peer's digests contain it. It becomes an own mark if it
names the incarnation that this instance knows.
"""

from __future__ import annotations

from pyrsistent import pmap

from lentilwell._messages import LeavingMark, LoadReport, Member, MemberKind
from lentilwell.decisions._health import store_view
from lentilwell.reducer import MembersListed, OwnLeavingMark, State, Step, handles, replace

RECENT_REPORT_MS = 5_000
MARK_WITHOUT_INCARNATION_VALID_MS = 10_000


def is_leaving(state: State, upstream: str) -> bool:
    """Return whether an engine or a service instance is leaving and gets no new work."""
    if upstream in state.leaving:
        return True
    view = state.engines.get(upstream)
    past = view.past_incarnations if view is not None else ()
    return any(
        incarnation not in past for incarnation in state.peer_marks.get(upstream, pmap()).values()
    )


def mark_leaving(state: State, upstream: str, incarnation: str) -> State:
    """Set this instance's own mark that an incarnation of an upstream is leaving."""
    mark = state.leaving.get(upstream)
    if mark is None or mark.incarnation != incarnation:
        mark = OwnLeavingMark(incarnation, state.now)
        state = replace(state, leaving=state.leaving.set(upstream, mark))
    return refresh_leaving(state, upstream)


def clear_leaving(state: State, upstream: str) -> State:
    """Remove the own mark of an upstream."""
    return refresh_leaving(replace(state, leaving=state.leaving.discard(upstream)), upstream)


def refresh_leaving(state: State, upstream: str) -> State:
    """Update ``leaving`` in an engine's view from the marks."""
    view = state.engines.get(upstream)
    leaving = is_leaving(state, upstream)
    if view is None or view.leaving == leaving:
        return state
    return store_view(state, replace(view, leaving=leaving))


def update_report_mark(state: State, report: LoadReport) -> State:
    """Set the own mark from an accepted report, or remove a mark of an older incarnation."""
    if report.leaving:
        return mark_leaving(state, report.engine, report.incarnation)
    mark = state.leaving.get(report.engine)
    if mark is not None and _is_outdated(state, mark, report.incarnation):
        return clear_leaving(state, report.engine)
    return refresh_leaving(state, report.engine)


def update_peer_marks(
    state: State, incarnation_id: str, before: tuple[LeavingMark, ...], now: tuple[LeavingMark, ...]
) -> State:
    """Replace the marks of a peer's previous digest with those of its new digest.

    ``incarnation_id`` identifies the incarnation of the peer.
    """
    for mark in before:
        if mark not in now:
            state = _set_peer_mark(state, incarnation_id, mark.upstream, None)
    for mark in now:
        view = state.engines.get(mark.upstream)
        if view is not None and mark.incarnation and mark.incarnation == view.incarnation:
            state = mark_leaving(state, mark.upstream, mark.incarnation)
        elif _is_known(state, mark.upstream) and mark not in before:
            state = _set_peer_mark(state, incarnation_id, mark.upstream, mark.incarnation)
    return state


def list_leaving_marks(state: State) -> tuple[LeavingMark, ...]:
    """Return this instance's own marks for its digest."""
    marks = sorted(state.leaving.items())
    return tuple(LeavingMark(name, mark.incarnation) for name, mark in marks)


@handles(MembersListed)
def update_listed_marks(state: State, event: MembersListed) -> Step:
    """Update the own marks from the platform's list, and remove those of unknown upstreams.

    A recent load report takes precedence over the list.
    """
    for member in event.members:
        if member.kind is not MemberKind.ENTRY and _is_known(state, member.name):
            state = _update_listed_mark(state, member)
    for name in state.leaving:
        if not _is_known(state, name):
            state = replace(state, leaving=state.leaving.discard(name))
    return state, ()


def _update_listed_mark(state: State, member: Member) -> State:
    view = state.engines.get(member.name)
    if view is not None:
        is_recent = view.report is not None and state.now - view.reported_at < RECENT_REPORT_MS
        if member.incarnation in view.past_incarnations:
            return state
        if is_recent and member.incarnation != view.incarnation:
            return state
    if member.leaving:
        return mark_leaving(state, member.name, member.incarnation)
    mark = state.leaving.get(member.name)
    if mark is not None and _is_outdated(state, mark, member.incarnation):
        return clear_leaving(state, member.name)
    return state


def _is_outdated(state: State, mark: OwnLeavingMark, incarnation: str) -> bool:
    """Return whether a mark names another incarnation, or names none and has expired."""
    if mark.incarnation:
        return mark.incarnation != incarnation
    return state.now - mark.marked_at > MARK_WITHOUT_INCARNATION_VALID_MS


def _is_known(state: State, upstream: str) -> bool:
    inventory = state.inventory
    if inventory is None:
        return False
    return upstream in inventory.engines or upstream in inventory.services


def _set_peer_mark(
    state: State, incarnation_id: str, upstream: str, incarnation: str | None
) -> State:
    marks_by_peer = state.peer_marks.get(upstream, pmap())
    marks_by_peer = (
        marks_by_peer.discard(incarnation_id)
        if incarnation is None
        else marks_by_peer.set(incarnation_id, incarnation)
    )
    marks = state.peer_marks
    marks = marks.set(upstream, marks_by_peer) if marks_by_peer else marks.discard(upstream)
    return refresh_leaving(replace(state, peer_marks=marks), upstream)
