"""Engine views and indexes of engine names, updated for each new inventory.

Engines are indexed by model, and by model and data centre.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Generic, TypeVar

from pyrsistent import PMap, PVector, pmap, pvector

from lentilwell._inventory import Engine, Inventory
from lentilwell.reducer._events import InventoryAccepted
from lentilwell.reducer._records import replace
from lentilwell.reducer._removal import remove_engine
from lentilwell.reducer._state import EngineView, State

_KeyT = TypeVar("_KeyT")


def index_inventory(state: State, event: InventoryAccepted) -> State:
    """Replace the inventory, and update the engine views and indexes.

    Costs O(changed engines) if the event lists the engines that changed since the current version,
    else O(engines).
    """
    previous = state.inventory
    state = replace(state, inventory=event.inventory)
    base_matches = previous is not None and event.base == previous.version
    if base_matches and event.changed_engines is not None:
        return index_engines(state, previous, event.changed_engines)
    all_names = {*state.engines, *event.inventory.engines}
    return index_engines(state, previous, sorted(all_names))


def index_engines(state: State, previous: Inventory | None, names: Iterable[str]) -> State:
    """Update the views and indexes of the given engines to the current inventory.

    An engine that was removed from the inventory keeps its view while this instance has attempts on
    it.
    """
    assert state.inventory is not None
    engines = state.engines.evolver()
    removed: list[str] = []
    model_index = _NameIndex(state.by_model, state.model_places)
    centre_index = _NameIndex(state.by_place, state.place_places)
    for name in names:
        view = state.engines.get(name)
        previous_spec = previous.engines.get(name) if previous is not None else None
        spec = state.inventory.engines.get(name)
        model_index.update_keys(name, _list_models(previous_spec), _list_models(spec))
        centre_index.update_keys(
            name, _list_model_centres(previous_spec), _list_model_centres(spec)
        )
        if spec is None:
            if name not in state.by_engine:
                removed.append(name)
        elif view is None:
            engines[name] = EngineView(spec)
        elif view.spec != spec:
            engines[name] = replace(view, spec=spec)
    state = replace(
        state,
        engines=engines.persistent(),
        by_model=model_index.names,
        model_places=model_index.positions,
        by_place=centre_index.names,
        place_places=centre_index.positions,
    )
    for name in removed:
        state = remove_engine(state, name)
    return state


def _list_models(engine: Engine | None) -> list[str]:
    return [] if engine is None else list(engine.models)


def _list_model_centres(engine: Engine | None) -> list[tuple[str, str]]:
    return [] if engine is None else [(model, engine.data_centre) for model in engine.models]


class _NameIndex(Generic[_KeyT]):
    """Index of names by key, with the position of each name in the vector of its key.

    The last name of the vector moves to the position of a removed one, so removal needs no search.
    """

    def __init__(
        self, names: PMap[_KeyT, PVector[str]], positions: PMap[_KeyT, PMap[str, int]]
    ) -> None:
        self.names = names
        self.positions = positions

    def update_keys(self, name: str, before: Iterable[_KeyT], after: Iterable[_KeyT]) -> None:
        """Remove a name from the keys in ``before`` only, and add it to those in ``after`` only."""
        old, new = dict.fromkeys(before), dict.fromkeys(after)
        for key in old:
            if key not in new:
                self._remove(key, name)
        for key in new:
            if key not in old:
                self._add(key, name)

    def _add(self, key: _KeyT, name: str) -> None:
        names = self.names.get(key, pvector())
        positions = self.positions.get(key, pmap())
        self.positions = self.positions.set(key, positions.set(name, len(names)))
        self.names = self.names.set(key, names.append(name))

    def _remove(self, key: _KeyT, name: str) -> None:
        names, positions = self.names[key], self.positions[key]
        position, last = positions[name], names[-1]
        names, positions = names.set(position, last).delete(len(names) - 1), positions.set(
            last, position
        )
        if not names:
            self.names, self.positions = self.names.remove(key), self.positions.remove(key)
            return
        self.names = self.names.set(key, names)
        self.positions = self.positions.set(key, positions.remove(name))
