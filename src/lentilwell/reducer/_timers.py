"""Timers of the reducer: frozen data in buckets of time, fired by the tick.

A timer is never cancelled: one that finds nothing left to do is ignored by its handler. Firing
costs the timers that are due, not those that wait.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from pyrsistent import pvector

from lentilwell.reducer._effects import Effect
from lentilwell.reducer._records import replace
from lentilwell.reducer._reducer import Step
from lentilwell.reducer._state import State, Timer

TIMER_BUCKET_MS = 50

_TimerT = TypeVar("_TimerT", bound=Timer)
_HANDLERS: dict[type[Timer], Callable[[State, Any], Step]] = {}


def handles_timer(
    timer_type: type[_TimerT],
) -> Callable[[Callable[[State, _TimerT], Step]], Callable[[State, _TimerT], Step]]:
    """Register the decorated function as the handler of ``timer_type``."""

    def register(handler: Callable[[State, _TimerT], Step]) -> Callable[[State, _TimerT], Step]:
        _HANDLERS[timer_type] = handler
        return handler

    return register


def schedule_timer(state: State, at: int, timer: Timer) -> State:
    """Let a timer fire on the first tick at or after ``at``, rounded up to a bucket."""
    bucket = max(-(-at // TIMER_BUCKET_MS), state.wheel_passed + 1)
    timers = state.wheel.get(bucket, pvector()).append(timer)
    return replace(state, wheel=state.wheel.set(bucket, timers))


def fire_due_timers(state: State) -> Step:
    """Fire every timer that is due, in order of its bucket."""
    effects: tuple[Effect, ...] = ()
    for bucket in _due_buckets(state):
        timers = state.wheel[bucket]
        state = replace(state, wheel=state.wheel.remove(bucket), wheel_passed=bucket)
        for timer in timers:
            state, timer_effects = _HANDLERS[type(timer)](state, timer)
            effects += timer_effects
    return replace(state, wheel_passed=state.now // TIMER_BUCKET_MS), effects


def _due_buckets(state: State) -> list[int]:
    """Return the buckets due; after a long gap it is cheaper to look at those there are."""
    first, current = state.wheel_passed + 1, state.now // TIMER_BUCKET_MS
    if current - first >= len(state.wheel):
        return sorted(bucket for bucket in state.wheel if bucket <= current)
    return [bucket for bucket in range(first, current + 1) if bucket in state.wheel]
