"""The reducer: ``reduce(state, event)`` returns the next state and the effects, and does no I/O.

Handlers live in the modules of their concern and register themselves with ``handles``. A handler
changes only its own concern; afterwards ``reduce`` lets waiting requests start where there is room.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from lentilwell.reducer._effects import Effect
from lentilwell.reducer._events import Event
from lentilwell.reducer._records import replace
from lentilwell.reducer._state import State

Step = tuple[State, tuple[Effect, ...]]
_EventT = TypeVar("_EventT", bound=Event)
_HANDLERS: dict[type[Event], Callable[[State, Any], Step]] = {}
_AFTER_EVENT_STEPS: list[Callable[[State], Step]] = []


def handles(
    event_type: type[_EventT],
) -> Callable[[Callable[[State, _EventT], Step]], Callable[[State, _EventT], Step]]:
    """Register the decorated function as the handler of ``event_type``; one handler a type."""

    def register(handler: Callable[[State, _EventT], Step]) -> Callable[[State, _EventT], Step]:
        if event_type in _HANDLERS:
            raise ValueError(f"{event_type.__name__} has a handler already; extend that one")
        _HANDLERS[event_type] = handler
        return handler

    return register


def after_each_event(step: Callable[[State], Step]) -> Callable[[State], Step]:
    """Register a step that runs after every event, in the order of registration."""
    _AFTER_EVENT_STEPS.append(step)
    return step


def reduce(state: State, event: Event) -> Step:
    """Apply one event. Time never runs backwards: an event of the past happens now."""
    state = replace(state, now=max(state.now, event.at))
    handler = _HANDLERS.get(type(event))
    effects: tuple[Effect, ...] = ()
    if handler is not None:
        state, effects = handler(state, event)
    for step in _AFTER_EVENT_STEPS:
        state, step_effects = step(state)
        effects += step_effects
    return state, effects
