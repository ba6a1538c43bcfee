"""Cancellation of engine streams, repeated until the engine has freed them.

The interval between repeats doubles up to a maximum. A pending cancel ends when the engine confirms
it, or when two load reports in a row do not list the stream. To end it too early is harmless: if
the stream appears in a report again, ``_orphans`` cancels it as unclaimed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from pyrsistent import PMap, pmap

from lentilwell._messages import LoadReport
from lentilwell.decisions._health import EJECT_AFTER_UNREADABLE
from lentilwell.reducer import (
    CancelConfirmed,
    CancelStream,
    Effect,
    PendingCancel,
    State,
    Step,
    Timer,
    handles,
    handles_timer,
    replace,
    schedule_timer,
)

FIRST_REPEAT_MS = 250
MAX_REPEAT_MS = 5_000
REPORTS_TO_CONFIRM = 2
MAX_CANCELS_PER_ENGINE = 1_024


@dataclass(frozen=True)
class CancelRepeatDue(Timer):
    """Timer for the next repeat of a pending cancel."""

    engine: str
    stream: str


def cancel_streams(state: State, engines: Iterable[str], stream: str) -> Step:
    """Cancel a stream on each engine, with repeats until each engine has freed it."""
    effects: tuple[Effect, ...] = ()
    for engine in engines:
        state, more = cancel_stream(state, engine, stream)
        effects += more
    return state, effects


def cancel_stream(state: State, engine: str, stream: str) -> Step:
    """Cancel one stream, unless a cancel of it is pending already.

    The cancel is sent but not repeated if the engine is not known or has too many pending cancels.
    """
    pending = state.cancels.get(engine, pmap())
    if stream in pending:
        return state, ()
    effects = (CancelStream(engine, stream),)
    if engine not in state.engines or len(pending) >= MAX_CANCELS_PER_ENGINE:
        return state, effects
    state = _store_cancel(state, pending, PendingCancel(engine, stream))
    return (
        schedule_timer(state, state.now + FIRST_REPEAT_MS, CancelRepeatDue(engine, stream)),
        effects,
    )


@handles_timer(CancelRepeatDue)
def repeat_cancel(state: State, timer: CancelRepeatDue) -> Step:
    """Send a pending cancel again and double the interval to the next repeat."""
    pending = state.cancels.get(timer.engine, pmap())
    cancel = pending.get(timer.stream)
    if cancel is None:
        return state, ()
    if timer.engine not in state.engines:
        return _remove_cancel(state, timer.engine, timer.stream), ()
    tries = cancel.tries + 1
    state = _store_cancel(state, pending, replace(cancel, tries=tries))
    wait_ms = min(MAX_REPEAT_MS, FIRST_REPEAT_MS << min(tries, 16))
    state = schedule_timer(state, state.now + wait_ms, timer)
    return state, (CancelStream(timer.engine, timer.stream),)


@handles(CancelConfirmed)
def confirm_cancel(state: State, event: CancelConfirmed) -> Step:
    """Remove the pending cancel of a stream that the engine has freed."""
    return _remove_cancel(state, event.engine, event.stream), ()


def has_pending_cancels(state: State) -> bool:
    """Return whether any pending cancel is on an engine whose load reports can be read.

    A stopping instance does not wait for the other cancels: the streams of an unreachable engine
    are cancelled later by the remaining instance that owns the engine.
    """
    views = (state.engines.get(name) for name in state.cancels)
    return any(view is not None and view.unreadable < EJECT_AFTER_UNREADABLE for view in views)


def drop_absent_cancels(state: State, report: LoadReport) -> State:
    """Remove the cancels of streams missing from ``REPORTS_TO_CONFIRM`` reports in a row."""
    pending = state.cancels.get(report.engine)
    if pending is None:
        return state
    reported_streams = {stream.stream for stream in report.streams}
    for stream, cancel in pending.items():
        absent = 0 if stream in reported_streams else cancel.absent_reports + 1
        if absent >= REPORTS_TO_CONFIRM:
            pending = pending.remove(stream)
        elif absent != cancel.absent_reports:
            pending = pending.set(stream, replace(cancel, absent_reports=absent))
    return _store_pending(state, report.engine, pending)


def _store_cancel(state: State, pending: PMap[str, PendingCancel], cancel: PendingCancel) -> State:
    return _store_pending(state, cancel.engine, pending.set(cancel.stream, cancel))


def _remove_cancel(state: State, engine: str, stream: str) -> State:
    return _store_pending(state, engine, state.cancels.get(engine, pmap()).discard(stream))


def _store_pending(state: State, engine: str, pending: PMap[str, PendingCancel]) -> State:
    cancels = state.cancels.set(engine, pending) if pending else state.cancels.discard(engine)
    return replace(state, cancels=cancels)
