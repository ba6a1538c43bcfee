"""Compares two configurations by what callers notice. Pure logic, no I/O."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import asdict, dataclass

from lentilwell.gateway._catalog import Catalog, Route, ServiceSpec


@dataclass(frozen=True)
class Change:
    """A difference of one entry; ``location`` names it."""

    location: str
    text: str


def list_changes(before: Catalog, after: Catalog) -> list[Change]:
    """Return what changes if ``after`` comes in force in place of ``before``."""
    return [
        *_compare_versions(before, after),
        *_compare_routes(before, after),
        *_compare_services(before, after),
        *_compare_teams(before, after),
        *_compare_fields("limits", asdict(before.limits), asdict(after.limits)),
    ]


def _compare_versions(before: Catalog, after: Catalog) -> Iterator[Change]:
    if after.version <= before.version:
        text = f"{after.version} does not follow {before.version}: it would not come in force"
        yield Change("version", text)


def _compare_routes(before: Catalog, after: Catalog) -> Iterator[Change]:
    """Compare routes by host and prefix, which callers see, not by name."""
    old = {(route.host.lower(), route.prefix): route for route in before.routes}
    new = {(route.host.lower(), route.prefix): route for route in after.routes}
    for place in sorted(old.keys() | new.keys()):
        location = f"route {place[0]}{place[1]}"
        if place not in new:
            yield Change(location, _describe_removed(place, after))
        elif place not in old:
            yield Change(location, f"added, to {_describe_shares(new[place])}")
        else:
            yield from _compare_route(location, old[place], new[place])


def _describe_removed(place: tuple[str, str], after: Catalog) -> str:
    route = after.find_route(*place)
    if route is None:
        return "removed: its requests are rejected"
    return f"removed: its requests go to {_describe_shares(route)} by {route.host}{route.prefix}"


def _describe_shares(route: Route) -> str:
    if len(route.shares) == 1:
        return route.shares[0].service
    return ", ".join(f"{share.service} ({share.weight:g})" for share in route.shares)


def _compare_route(location: str, old: Route, new: Route) -> Iterator[Change]:
    before, after = _describe_shares(old), _describe_shares(new)
    if before != after:
        yield Change(location, f"moved from {before} to {after}")
    if old.public != new.public:
        yield Change(location, "callers need no key" if new.public else "callers need a key")
    if old.repeat is not new.repeat:
        yield Change(location, f"repeats after a failure: {old.repeat.value} to {new.repeat.value}")
    fields = ("timeout_ms", "objective_ms", "pause_ms", "rank", "max_upstreams")
    yield from _compare_fields(
        location,
        {field: getattr(old, field) for field in fields},
        {field: getattr(new, field) for field in fields},
    )


def _compare_services(before: Catalog, after: Catalog) -> Iterator[Change]:
    for name in sorted(before.services.keys() | after.services.keys()):
        location = f"service {name}"
        if name not in after.services:
            yield Change(location, "removed: its upstreams get no requests")
        elif name not in before.services:
            yield Change(location, "added")
        else:
            old, new = before.services[name], after.services[name]
            yield from _compare_fields(location, _list_figures(old), _list_figures(new))


def _list_figures(service: ServiceSpec) -> dict[str, object]:
    engine = asdict(service.engine) if service.engine is not None else {}
    return {
        "health_path": service.health_path,
        "max_connections": service.max_connections,
        **{f"engine {name}": value for name, value in engine.items()},
        "cold_start_ms": service.cold.start_ms,
        "cold_per_s": service.cold.per_s,
    }


def _compare_teams(before: Catalog, after: Catalog) -> Iterator[Change]:
    """Compare teams and the number of their keys; the keys themselves are not shown."""
    old = {team.name: team for team in before.teams}
    new = {team.name: team for team in after.teams}
    for name in sorted(old.keys() | new.keys()):
        location = f"team {name}"
        old_keys = set(old[name].keys) if name in old else set()
        new_keys = set(new[name].keys) if name in new else set()
        if name not in new:
            yield Change(location, "removed")
        elif name not in old:
            yield Change(location, "added")
        elif old[name].rank != new[name].rank:
            yield Change(location, f"rank changed from {old[name].rank} to {new[name].rank}")
        gone = [key for key in old_keys - new_keys if after.find_team(key) is None]
        moved = len(old_keys - new_keys) - len(gone)
        if gone:
            yield Change(location, f"keys removed: {len(gone)}; their callers are rejected")
        if moved:
            yield Change(location, f"keys that belong to another team now: {moved}")
        if name in old and new_keys - old_keys:
            yield Change(location, f"keys added: {len(new_keys - old_keys)}")


def _compare_fields(
    location: str, before: dict[str, object], after: dict[str, object]
) -> Iterator[Change]:
    for name in dict.fromkeys((*before, *after)):
        old, new = before.get(name), after.get(name)
        if old != new:
            yield Change(location, f"{name} {_describe_direction(old, new)} from {old} to {new}")


def _describe_direction(old: object, new: object) -> str:
    if isinstance(old, (int, float)) and isinstance(new, (int, float)):
        return "raised" if new > old else "lowered"
    return "changed"
