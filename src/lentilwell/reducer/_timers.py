"""Timers of the reducer, kept in buckets of ``TIMER_BUCKET_MS`` and fired by the tick.

A timer cannot be cancelled: its handler ignores a timer that no longer applies. The cost of firing
depends on the number of due timers, not on the number of pending ones.
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
    """Add a timer that fires on the first tick at or after ``at``, rounded up to a full bucket."""
    bucket = max(-(-at // TIMER_BUCKET_MS), state.wheel_passed + 1)
    timers = state.wheel.get(bucket, pvector()).append(timer)
    return replace(state, wheel=state.wheel.set(bucket, timers))


def fire_due_timers(state: State) -> Step:
    """Call the handlers of all due timers, in order of their buckets."""
    effects: tuple[Effect, ...] = ()
    for bucket in _due_buckets(state):
        timers = state.wheel[bucket]
        state = replace(state, wheel=state.wheel.remove(bucket), wheel_passed=bucket)
        for timer in timers:
            state, timer_effects = _HANDLERS[type(timer)](state, timer)
            effects += timer_effects
    return replace(state, wheel_passed=state.now // TIMER_BUCKET_MS), effects


def _due_buckets(state: State) -> list[int]:
    """Return the due buckets that have timers, in ascending order.

    After a long gap between ticks it is cheaper to filter the existing buckets than to probe each
    bucket number of the gap.
    """
    first, current = state.wheel_passed + 1, state.now // TIMER_BUCKET_MS
    if current - first >= len(state.wheel):
        return sorted(bucket for bucket in state.wheel if bucket <= current)
    return [bucket for bucket in range(first, current + 1) if bucket in state.wheel]
