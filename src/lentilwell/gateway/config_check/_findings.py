"""Finds contradictions in a configuration, and entries that can never have an effect. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from lentilwell.gateway._catalog import Catalog, Route
from lentilwell.gateway._permit_issuer import MIN_RATE

# Upstreams read the priority of a request as a digit, 0 being the highest.
LOWEST_RANK = 9


@dataclass(frozen=True)
class Finding:
    """What is wrong with one entry; ``rule`` names the rule, ``location`` the entry."""

    rule: str
    location: str
    text: str


Rule = Callable[[Catalog], Iterator[tuple[str, str]]]
RULES: dict[str, Rule] = {}


def rule(name: str) -> Callable[[Rule], Rule]:
    """Return a decorator that registers a rule; it yields locations with what is wrong there."""

    def register(check: Rule) -> Rule:
        RULES[name] = check
        return check

    return register


def find_contradictions(catalog: Catalog) -> list[Finding]:
    """Return all findings about a configuration, in the order of the rules."""
    return [
        Finding(name, location, text)
        for name, check in RULES.items()
        for location, text in check(catalog)
    ]


def _list_routes(catalog: Catalog) -> Iterator[tuple[str, Route]]:
    for index, route in enumerate(catalog.routes):
        yield f"routes[{index}] {route.name}", route


@rule("unknown service")
def find_unknown_services(catalog: Catalog) -> Iterator[tuple[str, str]]:
    """Find routes to services that do not exist: their requests are rejected."""
    for location, route in _list_routes(catalog):
        for share in route.shares:
            if share.service not in catalog.services:
                yield location, f"the service {share.service!r} does not exist"


@rule("unused service")
def find_unused_services(catalog: Catalog) -> Iterator[tuple[str, str]]:
    """Find services that no route names."""
    used = {share.service for route in catalog.routes for share in route.shares}
    for name in sorted(catalog.services.keys() - used):
        yield f"services {name}", "no route leads to it"


@rule("weight")
def find_useless_weights(catalog: Catalog) -> Iterator[tuple[str, str]]:
    """Find shares that get no requests."""
    for location, route in _list_routes(catalog):
        if not any(share.weight > 0 for share in route.shares):
            yield location, "no service has a weight above 0"
            continue
        for share in route.shares:
            if not share.weight > 0:
                yield location, f"{share.service} gets no requests with weight {share.weight:g}"


@rule("never matches")
def find_unmatched_routes(catalog: Catalog) -> Iterator[tuple[str, str]]:
    """Find routes that no request can match, by their own form or because of a later route."""
    last = {
        (route.host.lower(), route.prefix): location for location, route in _list_routes(catalog)
    }
    for location, route in _list_routes(catalog):
        if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
            yield location, f"the prefix {route.prefix!r} must begin and end with a slash"
        if not route.host or ":" in route.host:
            yield location, f"the host {route.host!r} must be a name without a port"
        other = last[route.host.lower(), route.prefix]
        if other != location:
            yield location, f"{other} has the same host and prefix"


@rule("limits of a route")
def find_route_contradictions(catalog: Catalog) -> Iterator[tuple[str, str]]:
    """Find routes whose limits contradict each other."""
    for location, route in _list_routes(catalog):
        if route.timeout_ms <= 0:
            yield location, f"the timeout of {route.timeout_ms} ms leaves no time for an answer"
        if route.objective_ms > route.timeout_ms:
            yield location, (
                f"the objective of {route.objective_ms} ms is longer than the timeout of"
                f" {route.timeout_ms} ms"
            )
        if route.streams and route.pause_ms > route.timeout_ms:
            yield location, (
                f"the pause of {route.pause_ms} ms is longer than the timeout of"
                f" {route.timeout_ms} ms"
            )
        if route.max_upstreams < 1:
            yield location, f"{route.max_upstreams} attempts send no request"
        if not 0 <= route.rank <= LOWEST_RANK:
            yield location, f"the priority {route.rank} is not within 0 and {LOWEST_RANK}"


@rule("keys")
def find_key_contradictions(catalog: Catalog) -> Iterator[tuple[str, str]]:
    """Find teams that cannot call, and keys that belong to several teams; keys are not shown."""
    owners: dict[str, str] = {}
    for index, team in enumerate(catalog.teams):
        location = f"tenants[{index}] {team.name}"
        if not team.keys:
            yield location, "it has no key"
        for number, key in enumerate(team.keys):
            other = owners.setdefault(key, location)
            if other != location:
                yield location, f"key {number} belongs to {other} too"
    if not owners and any(not route.public for route in catalog.routes):
        yield "tenants", "routes that are not public need a key, and there is none"


@rule("cold upstreams")
def find_cold_contradictions(catalog: Catalog) -> Iterator[tuple[str, str]]:
    """Find figures about cold upstreams that have no effect or cannot be kept."""
    for name, service in catalog.services.items():
        start_ms, per_s = service.cold.start_ms, service.cold.per_s
        if start_ms and not per_s:
            yield f"services {name}", "cold_start_s has no effect without cold_per_s"
        if per_s and not start_ms:
            yield f"services {name}", "cold_per_s without cold_start_s counts no start as cold"
        if 0 < per_s < MIN_RATE:
            yield f"services {name}", f"a cold upstream gets {MIN_RATE} requests a second at least"


@rule("engines")
def find_engine_contradictions(catalog: Catalog) -> Iterator[tuple[str, str]]:
    """Find engines that cannot run a request of typical length."""
    for name, service in catalog.services.items():
        engine = service.engine
        if engine is None:
            continue
        typical = engine.typical_prompt_tokens + engine.typical_answer_tokens
        if engine.slots < 1:
            yield f"services {name}", f"{engine.slots} slots run no request"
        if typical > engine.memory_tokens:
            yield f"services {name}", (
                f"a typical request of {typical} tokens exceeds the memory of"
                f" {engine.memory_tokens} tokens"
            )


@rule("limits of callers")
def find_caller_limits(catalog: Catalog) -> Iterator[tuple[str, str]]:
    """Find limits that reject every request."""
    limits = catalog.limits
    figures = {
        "max_header_bytes": limits.header_bytes,
        "max_body_bytes": limits.body_bytes,
        "header_timeout_ms": limits.header_timeout_ms,
        "idle_timeout_ms": limits.idle_timeout_ms,
    }
    for name, figure in figures.items():
        if figure <= 0:
            yield f"limits {name}", f"{figure} rejects every request"
