"""Handling of the engines' load reports; the latest report of each engine is stored.

A report of a past incarnation is late and ignored. If several such reports come in a row without
one of the newer incarnation, the past incarnation is accepted again.
"""

from __future__ import annotations

from pyrsistent import pmap, pset

from lentilwell._messages import LoadReport, StreamReport
from lentilwell.decisions._cancellations import drop_absent_cancels
from lentilwell.decisions._health import record_readable, store_view
from lentilwell.decisions._leaving import update_report_mark
from lentilwell.decisions._orphans import cancel_orphans
from lentilwell.decisions._recovery import retry_broken_attempt
from lentilwell.reducer import Effect, EngineView, LoadReported, State, Step, handles, replace

MAX_PAST_INCARNATIONS = 4
MAX_PAST_REPORTS = 3
FRESH_ATTEMPT_MS = 1_000


@handles(LoadReported)
def record_report(state: State, event: LoadReported) -> Step:
    """Store an engine's report and update all that depends on it.

    This includes health, leaving marks, pending cancels, orphaned streams and, after a restart of
    the engine, the attempts that it has lost.
    """
    report = event.report
    view = state.engines.get(report.engine)
    if view is None:
        return state, ()
    if is_outdated(view, report):
        return store_view(state, replace(view, past_reports=view.past_reports + 1)), ()
    previous = view.report
    restarted = view.incarnation not in ("", report.incarnation)
    state = store_view(state, update_view(state, view, report))
    state = record_readable(state, report.engine)
    state = update_report_mark(state, report)
    state = drop_absent_cancels(state, report)
    state, effects = cancel_orphans(state, previous, report)
    if restarted:
        state, retries = retry_lost_attempts(state, report)
        effects += retries
    return state, effects


def is_outdated(view: EngineView, report: LoadReport) -> bool:
    """Return whether a report is older than the one stored in the view."""
    if view.report is not None and report.incarnation == view.incarnation:
        return report.sequence <= view.report.sequence
    return report.incarnation in view.past_incarnations and view.past_reports < MAX_PAST_REPORTS


def update_view(state: State, view: EngineView, report: LoadReport) -> EngineView:
    """Return the view updated by a newer report."""
    past = view.past_incarnations
    if view.incarnation not in ("", report.incarnation):
        past = tuple(incarnation for incarnation in past if incarnation != report.incarnation)
        past = (*past, view.incarnation)[-MAX_PAST_INCARNATIONS:]
    partly_prefilled = sum(
        stream.prefilled_tokens
        for stream in report.streams
        if stream.incarnation_id != state.identity.incarnation_id
        and stream.prefilled_tokens < stream.prompt_tokens
    )
    claimed = [stream for stream in report.streams if is_claimed(state, report.engine, stream)]
    claimed_memory = sum(stream.memory_tokens for stream in claimed)
    return replace(
        view,
        report=report,
        reported_at=state.now,
        incarnation=report.incarnation,
        past_incarnations=past,
        past_reports=0,
        partly_prefilled=partly_prefilled,
        unclaimed_memory=max(0, report.memory_used - claimed_memory),
        unclaimed_streams=len(report.streams) - len(claimed),
    )


def is_claimed(state: State, engine: str, stream: StreamReport) -> bool:
    """Return whether a stream is counted in this instance's own use or in a peer's digest.

    A stream that is being cancelled is not claimed, but uses memory until the engine frees it.
    """
    if stream.incarnation_id == state.identity.incarnation_id:
        return stream.stream not in state.cancels.get(engine, pmap())
    peer = state.peers.get(stream.incarnation_id)
    return peer is not None and not peer.forgotten


def retry_lost_attempts(state: State, report: LoadReport) -> Step:
    """Retry the attempts whose streams were lost in a restart of the engine.

    An attempt younger than ``FRESH_ATTEMPT_MS`` may run on the new incarnation already, so it is
    skipped; if it is lost, its connection fails.
    """
    reported_streams = {stream.stream for stream in report.streams}
    effects: tuple[Effect, ...] = ()
    for attempt_id in sorted(state.by_engine.get(report.engine, pset())):
        attempt = state.attempts.get(attempt_id)
        if attempt is None or attempt_id in reported_streams or attempt_id in state.asks:
            continue
        if state.now - attempt.started_at < FRESH_ATTEMPT_MS:
            continue
        state, retries = retry_broken_attempt(state, attempt_id)
        effects += retries
    return state, effects
