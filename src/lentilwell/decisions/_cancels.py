"""Streams that are being cancelled until their engine is known to have freed them.

A pending cancel is repeated with growing intervals. It ends when the engine confirms, or when two
newer reports no longer show the stream. Forgetting one too early is harmless: a stream that turns
up in a report again without an owner is cancelled anew (see ``_orphans``).
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
LONGEST_REPEAT_MS = 5_000
REPORTS_WITHOUT = 2
MAXIMUM_CANCELS_PER_ENGINE = 1_024


@dataclass(frozen=True)
class CancelDue(Timer):
    """The next repeat of a cancel."""

    engine: str
    stream: str


def cancel_streams(state: State, engines: Iterable[str], stream: str) -> Step:
    """Cancel a stream on each engine now, and again until each is known to have freed it."""
    effects: tuple[Effect, ...] = ()
    for engine in engines:
        state, more = cancel_stream(state, engine, stream)
        effects += more
    return state, effects


def cancel_stream(state: State, engine: str, stream: str) -> Step:
    """Cancel one stream, unless that is under way already."""
    pending = state.cancels.get(engine, pmap())
    if stream in pending:
        return state, ()
    effects = (CancelStream(engine, stream),)
    if engine not in state.engines or len(pending) >= MAXIMUM_CANCELS_PER_ENGINE:
        return state, effects
    state = _keep(state, pending, PendingCancel(engine, stream))
    return schedule_timer(state, state.now + FIRST_REPEAT_MS, CancelDue(engine, stream)), effects


@handles_timer(CancelDue)
def repeat_cancel(state: State, timer: CancelDue) -> Step:
    """Cancel again, and wait twice as long for the next time."""
    pending = state.cancels.get(timer.engine, pmap())
    cancel = pending.get(timer.stream)
    if cancel is None:
        return state, ()
    if timer.engine not in state.engines:
        return _drop(state, timer.engine, timer.stream), ()
    tries = cancel.tries + 1
    state = _keep(state, pending, replace(cancel, tries=tries))
    wait_ms = min(LONGEST_REPEAT_MS, FIRST_REPEAT_MS << min(tries, 16))
    state = schedule_timer(state, state.now + wait_ms, timer)
    return state, (CancelStream(timer.engine, timer.stream),)


@handles(CancelConfirmed)
def confirm_cancel(state: State, event: CancelConfirmed) -> Step:
    """The stream is freed."""
    return _drop(state, event.engine, event.stream), ()


def has_open_cancels(state: State) -> bool:
    """Tell whether a cancel may still be confirmed: its engine's reports can be read.

    What an unreachable engine holds is left to its owner among the instances that stay.
    """
    views = (state.engines.get(name) for name in state.cancels)
    return any(view is not None and view.unreadable < EJECT_AFTER_UNREADABLE for view in views)


def compare_cancels(state: State, report: LoadReport) -> State:
    """Drop the cancels whose streams the engine has not shown in enough newer reports."""
    pending = state.cancels.get(report.engine)
    if pending is None:
        return state
    shown = {stream.stream for stream in report.streams}
    for stream, cancel in pending.items():
        absent = 0 if stream in shown else cancel.absent_reports + 1
        if absent >= REPORTS_WITHOUT:
            pending = pending.remove(stream)
        elif absent != cancel.absent_reports:
            pending = pending.set(stream, replace(cancel, absent_reports=absent))
    return _store(state, report.engine, pending)


def _keep(state: State, pending: PMap[str, PendingCancel], cancel: PendingCancel) -> State:
    return _store(state, cancel.engine, pending.set(cancel.stream, cancel))


def _drop(state: State, engine: str, stream: str) -> State:
    return _store(state, engine, state.cancels.get(engine, pmap()).discard(stream))


def _store(state: State, engine: str, pending: PMap[str, PendingCancel]) -> State:
    cancels = state.cancels.set(engine, pending) if pending else state.cancels.discard(engine)
    return replace(state, cancels=cancels)
