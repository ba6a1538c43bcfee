"""Total capacity of the engines per team and model, computed once per inventory version."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from pyrsistent import PMap, pmap

from lentilwell._inventory import Engine, Inventory

# The key under which all teams without a list of allowed engines share one entry.
UNRESTRICTED_TEAMS = ""


@dataclass(frozen=True)
class Capacity:
    """Combined capacity of the engines of one model that a team may use.

    ``limit_tokens`` is the largest total engine memory in any one data centre, because a span never
    crosses data centres. ``largest_tokens`` is the memory of the largest single engine.
    """

    limit_tokens: int
    largest_tokens: int
    engines: int
    slots: int


Capacities = PMap[str, PMap[str, Capacity]]


def compute_capacities(inventory: Inventory) -> Capacities:
    """Return the capacities by team and model.

    All teams that may use every engine share the entry ``UNRESTRICTED_TEAMS``.
    """
    capacities = {UNRESTRICTED_TEAMS: compute_capacities_by_model(inventory.engines.values())}
    for team in inventory.teams.values():
        if team.engines:
            allowed = (inventory.engines[n] for n in team.engines if n in inventory.engines)
            capacities[team.name] = compute_capacities_by_model(allowed)
    return pmap(capacities)


def compute_capacities_by_model(engines: Iterable[Engine]) -> PMap[str, Capacity]:
    """Return the combined capacity of the given engines by model."""
    by_model: dict[str, list[Engine]] = {}
    for engine in engines:
        for model in engine.models:
            by_model.setdefault(model, []).append(engine)
    return pmap({model: compute_model_capacity(served) for model, served in by_model.items()})


def compute_model_capacity(engines: list[Engine]) -> Capacity:
    """Return the combined capacity of the engines of one model; the list must not be empty."""
    memory_by_centre: dict[str, int] = {}
    for engine in engines:
        summed_tokens = memory_by_centre.get(engine.data_centre, 0)
        memory_by_centre[engine.data_centre] = summed_tokens + engine.memory_tokens
    return Capacity(
        limit_tokens=max(memory_by_centre.values()),
        largest_tokens=max(engine.memory_tokens for engine in engines),
        engines=len(engines),
        slots=sum(engine.slots for engine in engines),
    )


def find_capacity(capacities: Capacities, team: str, model: str) -> Capacity | None:
    """Return the capacity of a model for a team, or None if no allowed engine serves the model."""
    by_model = capacities.get(team)
    if by_model is None:
        by_model = capacities.get(UNRESTRICTED_TEAMS)
    return None if by_model is None else by_model.get(model)
