"""What the reducer derives from an inventory: views of the engines and the index by model."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from pyrsistent import pmap, pvector

from lentilwell._events import InventoryAccepted
from lentilwell._inventory import Engine
from lentilwell._state import EngineView, State


def index_inventory(state: State, event: InventoryAccepted) -> State:
    """Bring views and index to the event's inventory.

    Costs O(changed engines) where the event names the engines that changed since the version in
    force, else O(engines).
    """
    previous = state.inventory
    state = replace(state, inventory=event.inventory)
    known = previous is not None and event.base == previous.version
    if known and event.changed_engines is not None:
        return index_engines(state, event.changed_engines)
    return index_engines(state, sorted({*state.engines, *event.inventory.engines}))


def index_engines(state: State, names: Iterable[str]) -> State:
    """Bring the views and the index of the named engines to the inventory in force."""
    assert state.inventory is not None
    engines = state.engines.evolver()
    index = _ModelIndex(state)
    for name in names:
        view = state.engines.get(name)
        spec = state.inventory.engines.get(name)
        index.move(name, view.spec if view is not None else None, spec)
        if spec is None:
            if view is not None:
                engines.remove(name)
        elif view is None:
            engines[name] = add_engine(state, spec)
        elif view.spec != spec:
            engines[name] = replace(view, spec=spec)
    return index.apply(replace(state, engines=engines.persistent()))


def add_engine(state: State, spec: Engine) -> EngineView:
    """Return the view of a new engine; one that was in use before it left counts that again."""
    view = EngineView(spec)
    for attempt in state.attempts.values():
        for share in attempt.placements:
            if share.engine == spec.name:
                prefilled = attempt.first_token_at is not None
                view = replace(
                    view,
                    own_streams=view.own_streams + 1,
                    own_memory=view.own_memory + share.memory_tokens,
                    own_backlog=view.own_backlog + (0 if prefilled else share.memory_tokens),
                )
    return view


class _ModelIndex:
    """Changes the names by model; a removed name's place is taken by the last one."""

    def __init__(self, state: State) -> None:
        self._names = state.by_model
        self._places = state.model_places

    def move(self, name: str, before: Engine | None, after: Engine | None) -> None:
        """Take an engine out of the models it had and put it into those it has."""
        old = dict.fromkeys(before.models if before is not None else ())
        new = dict.fromkeys(after.models if after is not None else ())
        for model in old:
            if model not in new:
                self._remove(model, name)
        for model in new:
            if model not in old:
                self._add(model, name)

    def apply(self, state: State) -> State:
        """Return the state with the changed index."""
        return replace(state, by_model=self._names, model_places=self._places)

    def _add(self, model: str, name: str) -> None:
        names = self._names.get(model, pvector())
        places = self._places.get(model, pmap())
        self._places = self._places.set(model, places.set(name, len(names)))
        self._names = self._names.set(model, names.append(name))

    def _remove(self, model: str, name: str) -> None:
        names, places = self._names[model], self._places[model]
        place, last = places[name], names[-1]
        names, places = names.set(place, last).delete(len(names) - 1), places.set(last, place)
        if not names:
            self._names, self._places = self._names.remove(model), self._places.remove(model)
            return
        self._names = self._names.set(model, names)
        self._places = self._places.set(model, places.remove(name))
