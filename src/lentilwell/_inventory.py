"""The inventory and the rules as frozen data: what operators have said there is.

Parsing and checking of the INI form live in ``_documents``; this module holds the shapes only.
Token counts are prompt plus answer tokens; memory is counted in tokens of KV cache.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from pyrsistent import PMap, pmap


@dataclass(frozen=True)
class DataCentre:
    """A data centre that engines and services stand in."""

    name: str


@dataclass(frozen=True)
class Engine:
    """One model engine: where it is, what it serves and how much it holds."""

    name: str
    url: str
    data_centre: str
    models: tuple[str, ...]
    memory_tokens: int
    slots: int
    checks_fencing: bool = False


@dataclass(frozen=True)
class Service:
    """One instance of a plain service; several instances may carry the same ``service`` name."""

    name: str
    service: str
    url: str
    data_centre: str


@dataclass(frozen=True)
class Route:
    """Which calls of a service may be repeated: method and path prefix, longest prefix wins."""

    service: str
    method: str
    path_prefix: str
    idempotent: bool
    key_required: bool = True


@dataclass(frozen=True)
class Model:
    """A model that callers may name; ``context_tokens`` bounds prompt plus answer."""

    name: str
    context_tokens: int


@dataclass(frozen=True)
class Team:
    """A team of callers: fair-share weight, SHA-256 digests of its keys, what it may use.

    ``engines`` and ``services`` name single instances; an empty tuple means every one. Teams in the
    same ``cache_group`` may share cached prefixes; by default a team shares with nobody.
    """

    name: str
    weight: int
    key_digests: tuple[str, ...]
    engines: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    cache_group: str = ""


@dataclass(frozen=True)
class Rules:
    """The rules on top of the inventory: chosen policies and deadlines in milliseconds."""

    order: str = "response_ratio"
    placement: str = "owner_share"
    default_deadline_ms: int = 60_000
    deadline_ms_per_1k_tokens: int = 1_000
    maximum_deadline_ms: int = 1_800_000
    retry_budget_percent: int = 10


@dataclass(frozen=True)
class Inventory:
    """One accepted configuration. Versions only rise."""

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
    """Return an inventory of these parts, with the default rules and no services."""
    return Inventory(
        version,
        engines=pmap({engine.name: engine for engine in engines}),
        models=pmap({model.name: model for model in models}),
        teams=pmap({team.name: team for team in teams}),
    )
