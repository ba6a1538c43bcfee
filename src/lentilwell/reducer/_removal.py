"""Removal of an engine that has left the inventory and has no attempts of this instance."""

from __future__ import annotations

from pyrsistent import pset

from lentilwell.reducer._records import replace
from lentilwell.reducer._state import State


def remove_engine(state: State, name: str) -> State:
    """Remove an engine's view and all other state that is kept about it."""
    view = state.engines.get(name)
    if view is None:
        return state
    ejected = state.ejected
    for model in view.spec.models:
        remaining = ejected.get(model, pset()).discard(name)
        ejected = ejected.set(model, remaining) if remaining else ejected.discard(model)
    return replace(
        state,
        engines=state.engines.remove(name),
        ejected=ejected,
        cancels=state.cancels.discard(name),
        sightings=state.sightings.discard(name),
        caches=state.caches.discard(name),
        leaving=state.leaving.discard(name),
        peer_marks=state.peer_marks.discard(name),
    )
