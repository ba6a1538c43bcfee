"""Checks across the sections of an inventory.

Every reference must exist, API keys must not be shared, and teams and models need an engine.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator

from lentilwell._inventory import Inventory
from lentilwell.configuration._problems import (
    DanglingReference,
    NoEngines,
    Problem,
    SharedKeyDigest,
)

FindLine = Callable[[str, str], int]


def check_references(inventory: Inventory, find_line: FindLine) -> list[Problem]:
    """Return every problem across sections.

    ``find_line`` takes a section title and a key, and returns the line number of the key.
    """
    checks = (_check_upstreams, _check_routes, _check_teams, _check_keys, _check_models)
    return [problem for check in checks for problem in check(inventory, find_line)]


def _find_dangling_references(
    section: str,
    key: str,
    kind: str,
    names: tuple[str, ...],
    known_names: Collection[str],
    find_line: FindLine,
) -> Iterator[Problem]:
    for name in names:
        if name not in known_names:
            yield DanglingReference(section, key, find_line(section, key), kind, name)


def _check_upstreams(inventory: Inventory, find_line: FindLine) -> Iterator[Problem]:
    known_data_centres = inventory.data_centres
    for engine in inventory.engines.values():
        title, models = f"engine {engine.name}", inventory.models
        data_centre_names = (engine.data_centre,)
        yield from _find_dangling_references(
            title, "models", "model", engine.models, models, find_line
        )
        yield from _find_dangling_references(
            title, "data_centre", "data_centre", data_centre_names, known_data_centres, find_line
        )
    for service in inventory.services.values():
        title, data_centre_names = f"service {service.name}", (service.data_centre,)
        yield from _find_dangling_references(
            title, "data_centre", "data_centre", data_centre_names, known_data_centres, find_line
        )


def _check_routes(inventory: Inventory, find_line: FindLine) -> Iterator[Problem]:
    known_names = {service.service for service in inventory.services.values()}
    for route in inventory.routes:
        title = f"route {route.service} {route.method} {route.path_prefix}"
        yield from _find_dangling_references(
            title, "", "service", (route.service,), known_names, find_line
        )


def _check_teams(inventory: Inventory, find_line: FindLine) -> Iterator[Problem]:
    for team in inventory.teams.values():
        title = f"team {team.name}"
        for key, kind, names, known_names in (
            ("engines", "engine", team.engines, inventory.engines),
            ("services", "service", team.services, inventory.services),
        ):
            yield from _find_dangling_references(title, key, kind, names, known_names, find_line)
        has_usable_engine = any(name in inventory.engines for name in team.engines)
        if not (has_usable_engine if team.engines else inventory.engines):
            yield NoEngines(title, "engines", find_line(title, "engines"))


def _check_keys(inventory: Inventory, find_line: FindLine) -> Iterator[Problem]:
    team_by_digest: dict[str, str] = {}
    for name in sorted(inventory.teams):
        title = f"team {name}"
        for digest in inventory.teams[name].key_digests:
            first_team = team_by_digest.setdefault(digest, name)
            if first_team != name:
                line = find_line(title, "key_sha256")
                yield SharedKeyDigest(title, "key_sha256", line, first_team)


def _check_models(inventory: Inventory, find_line: FindLine) -> Iterator[Problem]:
    served = {model for engine in inventory.engines.values() for model in engine.models}
    for name in inventory.models:
        if name not in served:
            yield NoEngines(f"model {name}", "", find_line(f"model {name}", ""))
