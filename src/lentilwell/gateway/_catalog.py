"""A version of the configuration: immutable routes, services, teams and limits with look-ups."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property

from lentilwell.gateway.cold_start import NEVER_COLD, ColdRules
from lentilwell.gateway.evacuation import Restriction


class Repeat(Enum):
    """When a request may be sent again after an attempt that may have run.

    ``NEVER`` forbids it. ``WHOLE`` allows it until an answer has started, ``RESUME`` also in the
    middle of a stream.
    """

    NEVER = "never"
    WHOLE = "whole"
    RESUME = "resume"


@dataclass(frozen=True)
class Share:
    """A service that gets a part of a route's requests, proportional to its weight."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """The rules for requests with one host and path prefix. Durations are in milliseconds.

    ``streams`` is true if answers are event streams. ``objective_ms`` is the time limit for an
    answer that counts as on time, ``pause_ms`` the same for the pause between two events of a
    stream. ``rank`` is the priority, 0 being the highest. ``max_upstreams`` limits the upstreams
    that one attempt of a caller may be sent to. ``public`` routes need no key.
    ``restriction`` names the regions whose upstreams may be used, None for all upstreams.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[Share, ...]
    repeat: Repeat
    streams: bool
    timeout_ms: int
    objective_ms: int
    pause_ms: int
    rank: int
    max_upstreams: int
    public: bool
    restriction: Restriction = None


@dataclass(frozen=True)
class EngineSpec:
    """The capacity and timing of the engines of a service.

    An engine runs ``slots`` requests at once and has KV memory for ``memory_tokens``. A step takes
    ``step_ms``, plus ``step_ms_per_decoding_request`` for each request that is being decoded, plus
    ``step_ms_per_1k_context`` for each 1,000 tokens of their context. A pass with such requests
    runs ``steps_per_pass`` steps and reads up to ``chunk_tokens`` prompt tokens in each.
    ``pairs_ms_per_million`` is the attention cost of a million token pairs.
    """

    slots: int
    memory_tokens: int
    step_ms: float
    step_ms_per_decoding_request: float
    step_ms_per_1k_context: float
    prefill_tokens_per_ms: float
    pairs_ms_per_million: float
    chunk_tokens: int
    steps_per_pass: int
    typical_prompt_tokens: int = 0
    typical_answer_tokens: int = 0


@dataclass(frozen=True)
class ServiceSpec:
    """One service; ``engine`` is None for a plain service.

    ``cold`` is what its upstreams tolerate while they are cold.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None
    cold: ColdRules = NEVER_COLD


@dataclass(frozen=True)
class Team:
    """A team and its keys; ``rank`` overrides the rank of a route unless it is None.

    ``restriction`` names the regions whose upstreams may be used, None for all upstreams.
    """

    name: str
    keys: tuple[str, ...]
    rank: int | None
    restriction: Restriction = None


@dataclass(frozen=True)
class Limits:
    """Limits on the requests of callers, in bytes and milliseconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True)
class Catalog:
    """One complete version of the configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, ServiceSpec] = field(default_factory=dict)
    teams: tuple[Team, ...] = ()
    limits: Limits = field(default_factory=Limits)

    @cached_property
    def content_hash(self) -> int:
        """Return a hash of everything except the version; it differs between processes."""
        services = tuple(sorted(self.services.items(), key=lambda item: item[0]))
        return hash((self.routes, services, self.teams, self.limits))

    def is_same(self, other: Catalog) -> bool:
        """Return whether both have the same version and the same content."""
        return self.version == other.version and self.content_hash == other.content_hash

    def list_regions(self) -> frozenset[str]:
        """Return the names of all regions that routes and teams are restricted to."""
        restrictions = [route.restriction for route in self.routes]
        restrictions += [team.restriction for team in self.teams]
        return frozenset().union(*(one for one in restrictions if one is not None))

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of this host with the longest prefix of ``path``."""
        routes = self._routes_by_host.get(host.lower(), {})
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def find_team(self, key: str) -> Team | None:
        """Return the team that ``key`` belongs to."""
        return self._teams_by_key.get(key)

    def find_engine(self, service: str) -> EngineSpec | None:
        """Return the engine specification of a service, None for a plain or unknown service."""
        spec = self.services.get(service)
        return spec.engine if spec is not None else None

    @cached_property
    def _routes_by_host(self) -> dict[str, dict[str, Route]]:
        routes: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            routes.setdefault(route.host.lower(), {})[route.prefix] = route
        return routes

    @cached_property
    def _teams_by_key(self) -> dict[str, Team]:
        return {key: team for team in self.teams for key in team.keys}


def choose_share(shares: tuple[Share, ...], position: float) -> str:
    """Return the service whose interval contains ``position``, a number from 0 up to 1.

    The services divide this range into intervals in proportion to their weights.
    """
    total = math.fsum(share.weight for share in shares)
    remaining = position * total
    for share in shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return shares[-1].service
