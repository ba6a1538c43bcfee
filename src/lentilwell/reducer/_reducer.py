"""The pure function ``reduce``, which applies one event to the state, and its handler registry.

Handlers register themselves with ``handles`` and change only the part of the state that their
module is responsible for. After the handler of an event, ``reduce`` runs the steps registered with
``after_each_event``, such as starting the waiting requests that fit on the engines.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from lentilwell.reducer._effects import Effect
from lentilwell.reducer._events import Event
from lentilwell.reducer._records import replace
from lentilwell.reducer._state import State

# The new state, and the effects to execute in order.
Step = tuple[State, tuple[Effect, ...]]
_EventT = TypeVar("_EventT", bound=Event)
_HANDLERS: dict[type[Event], Callable[[State, Any], Step]] = {}
_AFTER_EVENT_STEPS: list[Callable[[State], Step]] = []


def handles(
    event_type: type[_EventT],
) -> Callable[[Callable[[State, _EventT], Step]], Callable[[State, _EventT], Step]]:
    """Register the decorated function as the only handler of ``event_type``."""

    def register(handler: Callable[[State, _EventT], Step]) -> Callable[[State, _EventT], Step]:
        if event_type in _HANDLERS:
            raise ValueError(
                f"{event_type.__name__} already has a handler; extend that handler instead"
            )
        _HANDLERS[event_type] = handler
        return handler

    return register


def after_each_event(step: Callable[[State], Step]) -> Callable[[State], Step]:
    """Register a function to run after every event; they run in order of registration."""
    _AFTER_EVENT_STEPS.append(step)
    return step


def reduce(state: State, event: Event) -> Step:
    """Return the state after an event, and the effects to execute; does no I/O.

    The state's time never decreases: an event with an earlier time is applied at the current time.
    """
    state = replace(state, now=max(state.now, event.at))
    handler = _HANDLERS.get(type(event))
    effects: tuple[Effect, ...] = ()
    if handler is not None:
        state, effects = handler(state, event)
    for step in _AFTER_EVENT_STEPS:
        state, step_effects = step(state)
        effects += step_effects
    return state, effects
