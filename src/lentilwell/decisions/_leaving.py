"""Which upstreams are leaving, and until when that holds.

An own mark comes from a report, the platform's list or a refusal, and holds until a report or the
list shows another, newer incarnation that stays. A peer's mark holds while that peer claims it; it
becomes an own mark when it names the incarnation that this instance knows.
"""

from __future__ import annotations

from pyrsistent import pmap

from lentilwell._messages import LeavingMark, LoadReport, Member, MemberKind
from lentilwell.decisions._health import store_view
from lentilwell.reducer import LocalLeavingMark, MembersListed, State, Step, handles, replace

RECENT_REPORT_MS = 5_000
UNNAMED_MARK_MS = 10_000


def is_leaving(state: State, upstream: str) -> bool:
    """Tell whether an engine or a service instance takes no new work."""
    if upstream in state.leaving:
        return True
    view = state.engines.get(upstream)
    past = view.past_incarnations if view is not None else ()
    return any(inc not in past for inc in state.peer_marks.get(upstream, pmap()).values())


def mark_leaving(state: State, upstream: str, incarnation: str) -> State:
    """Note from own knowledge that this life of an upstream is leaving."""
    mark = state.leaving.get(upstream)
    if mark is None or mark.incarnation != incarnation:
        mark = LocalLeavingMark(incarnation, state.now)
        state = replace(state, leaving=state.leaving.set(upstream, mark))
    return refresh_view(state, upstream)


def clear_leaving(state: State, upstream: str) -> State:
    """A newer life of the upstream stays."""
    return refresh_view(replace(state, leaving=state.leaving.discard(upstream)), upstream)


def refresh_view(state: State, upstream: str) -> State:
    """Bring the engine's view into line with the marks."""
    view = state.engines.get(upstream)
    leaving = is_leaving(state, upstream)
    if view is None or view.leaving == leaving:
        return state
    return store_view(state, replace(view, leaving=leaving))


def compare_report(state: State, report: LoadReport) -> State:
    """Take a mark from an accepted report, or end one that named an older life."""
    if report.leaving:
        return mark_leaving(state, report.engine, report.incarnation)
    mark = state.leaving.get(report.engine)
    if mark is not None and _is_over(state, mark, report.incarnation):
        return clear_leaving(state, report.engine)
    return refresh_view(state, report.engine)


def compare_marks(
    state: State, life: str, before: tuple[LeavingMark, ...], now: tuple[LeavingMark, ...]
) -> State:
    """Replace the marks that a peer claimed before by those that it claims now."""
    for mark in before:
        if mark not in now:
            state = _set_peer_mark(state, life, mark.upstream, None)
    for mark in now:
        view = state.engines.get(mark.upstream)
        if view is not None and mark.incarnation and mark.incarnation == view.incarnation:
            state = mark_leaving(state, mark.upstream, mark.incarnation)
        elif _is_known(state, mark.upstream) and mark not in before:
            state = _set_peer_mark(state, life, mark.upstream, mark.incarnation)
    return state


def list_marks(state: State) -> tuple[LeavingMark, ...]:
    """Return the own marks, for the digest."""
    marks = sorted(state.leaving.items())
    return tuple(LeavingMark(name, mark.incarnation) for name, mark in marks)


@handles(MembersListed)
def compare_list(state: State, event: MembersListed) -> Step:
    """Take marks from the platform's list; a recent report knows better than the list."""
    for member in event.members:
        if member.kind is not MemberKind.ENTRY and _is_known(state, member.name):
            state = _compare_member(state, member)
    for name in state.leaving:
        if not _is_known(state, name):
            state = replace(state, leaving=state.leaving.discard(name))
    return state, ()


def _compare_member(state: State, member: Member) -> State:
    view = state.engines.get(member.name)
    if view is not None:
        recent = view.report is not None and state.now - view.reported_at < RECENT_REPORT_MS
        if member.incarnation in view.past_incarnations:
            return state
        if recent and member.incarnation != view.incarnation:
            return state
    if member.leaving:
        return mark_leaving(state, member.name, member.incarnation)
    mark = state.leaving.get(member.name)
    if mark is not None and _is_over(state, mark, member.incarnation):
        return clear_leaving(state, member.name)
    return state


def _is_over(state: State, mark: LocalLeavingMark, incarnation: str) -> bool:
    if mark.incarnation:
        return mark.incarnation != incarnation
    return state.now - mark.marked_at > UNNAMED_MARK_MS


def _is_known(state: State, upstream: str) -> bool:
    inventory = state.inventory
    if inventory is None:
        return False
    return upstream in inventory.engines or upstream in inventory.services


def _set_peer_mark(state: State, life: str, upstream: str, incarnation: str | None) -> State:
    claims = state.peer_marks.get(upstream, pmap())
    claims = claims.discard(life) if incarnation is None else claims.set(life, incarnation)
    marks = state.peer_marks
    marks = marks.set(upstream, claims) if claims else marks.discard(upstream)
    return refresh_view(replace(state, peer_marks=marks), upstream)
