"""Immutable classes for the inventory and the rules that operators have accepted.

Parsing and validation of the INI form are in ``configuration``. Token counts include the prompt
and the answer; engine memory is measured in tokens of KV cache.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from pyrsistent import PMap, pmap


@dataclass(frozen=True)
class DataCentre:
    """A data centre that hosts engines and services."""

    name: str


@dataclass(frozen=True)
class Engine:
    """A model engine: its URL, data centre, models and capacity.

    ``memory_tokens`` is the size of its KV cache, ``slots`` the number of concurrent streams.
    """

    name: str
    url: str
    data_centre: str
    models: tuple[str, ...]
    memory_tokens: int
    slots: int
    checks_fencing: bool = False


@dataclass(frozen=True)
class Service:
    """An instance of a plain service; several instances may have the same ``service`` name."""

    name: str
    service: str
    url: str
    data_centre: str


@dataclass(frozen=True)
class Route:
    """The retry rule for calls of a service with this method and path prefix.

    Calls of an ``idempotent`` route may be repeated; other calls need an idempotency key if
    ``key_required``. If several routes match, the one with the longest prefix applies.
    """

    service: str
    method: str
    path_prefix: str
    idempotent: bool
    key_required: bool = True


@dataclass(frozen=True)
class Model:
    """A model that callers can request; ``context_tokens`` limits prompt plus answer."""

    name: str
    context_tokens: int


@dataclass(frozen=True)
class Team:
    """A team of callers: its fair-share weight, SHA-256 digests of its API keys, and its access.

    ``engines`` and ``services`` are the names of the allowed instances; an empty tuple allows all.
    Teams with the same ``cache_group`` may share cached prefixes; by default a team shares none.
    """

    name: str
    weight: int
    key_digests: tuple[str, ...]
    engines: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    cache_group: str = ""


@dataclass(frozen=True)
class Rules:
    """Rules for all requests: queueing and placement policies, deadlines (ms) and retry budget."""

    order: str = "response_ratio"
    placement: str = "owner_share"
    default_deadline_ms: int = 60_000
    deadline_ms_per_1k_tokens: int = 1_000
    maximum_deadline_ms: int = 1_800_000
    retry_budget_percent: int = 10


@dataclass(frozen=True)
class Inventory:
    """The inventory and rules of an accepted version; versions only increase."""

    version: int
    engines: PMap[str, Engine] = field(default_factory=pmap)
    services: PMap[str, Service] = field(default_factory=pmap)
    routes: tuple[Route, ...] = ()
    models: PMap[str, Model] = field(default_factory=pmap)
    teams: PMap[str, Team] = field(default_factory=pmap)
    rules: Rules = field(default_factory=Rules)
    data_centres: PMap[str, DataCentre] = field(default_factory=pmap)


def make_inventory(
    version: int, engines: Iterable[Engine], models: Iterable[Model], teams: Iterable[Team]
) -> Inventory:
    """Return an inventory with these parts, the default rules and no services."""
    return Inventory(
        version,
        engines=pmap({engine.name: engine for engine in engines}),
        models=pmap({model.name: model for model in models}),
        teams=pmap({team.name: team for team in teams}),
    )
