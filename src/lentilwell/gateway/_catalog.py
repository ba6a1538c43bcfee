"""The configuration in force: routes, services, teams and limits, as frozen data with look-ups."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property


class Repeat(Enum):
    """What may be sent a second time once it may have run."""

    NEVER = "never"
    WHOLE = "whole"
    RESUME = "resume"


@dataclass(frozen=True)
class Share:
    """A service that takes part of a route's requests, by weight."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Requests of one host below one path prefix. Durations are in milliseconds.

    ``rank`` is the urgency, 0 first. ``most_upstreams`` bounds the upstreams that one attempt of a
    caller may be sent to. ``objective_ms`` is the time to a full-credit answer, ``pause_ms`` the
    longest pause between two events of a stream that is still on time.
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
    most_upstreams: int
    public: bool


@dataclass(frozen=True)
class EngineSpec:
    """How the engines of a service work.

    ``slots`` requests run at once, ``memory_tokens`` is the KV memory. A step takes ``step_ms``
    plus, for each request that writes, ``step_ms_per_writer`` and ``step_ms_per_1k_context``. A
    pass with writers runs ``pass_steps`` steps and reads up to ``chunk_tokens`` prompt tokens in
    each. ``pairs_ms_per_million`` is the attention cost of a million token pairs.
    """

    slots: int
    memory_tokens: int
    step_ms: float
    step_ms_per_writer: float
    step_ms_per_1k_context: float
    read_tokens_per_ms: float
    pairs_ms_per_million: float
    chunk_tokens: int
    pass_steps: int
    usual_prompt_tokens: int = 0
    usual_answer_tokens: int = 0


@dataclass(frozen=True)
class ServiceSpec:
    """One service; ``engine`` is None for plain services."""

    name: str
    health_path: str
    most_connections: int
    engine: EngineSpec | None


@dataclass(frozen=True)
class Team:
    """A team and its keys; ``rank`` goes before the route's, None leaves the route's."""

    name: str
    keys: tuple[str, ...]
    rank: int | None


@dataclass(frozen=True)
class Limits:
    """What callers may send and how long they may take; bytes and milliseconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True)
class Catalog:
    """One version of the configuration, whole."""

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, ServiceSpec] = field(default_factory=dict)
    teams: tuple[Team, ...] = ()
    limits: Limits = field(default_factory=Limits)

    @cached_property
    def content(self) -> int:
        """Return a hash of all but the version; it differs from process to process."""
        services = tuple(sorted(self.services.items(), key=lambda item: item[0]))
        return hash((self.routes, services, self.teams, self.limits))

    def is_same(self, other: Catalog) -> bool:
        """Tell whether both have one version and one content."""
        return self.version == other.version and self.content == other.content

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of this host with the longest prefix that begins ``path``."""
        prefixes = self._by_host.get(host.lower(), {})
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def find_team(self, key: str) -> Team | None:
        """Return the team that holds ``key``."""
        return self._by_key.get(key)

    @cached_property
    def _by_host(self) -> dict[str, dict[str, Route]]:
        found: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            found.setdefault(route.host.lower(), {})[route.prefix] = route
        return found

    @cached_property
    def _by_key(self) -> dict[str, Team]:
        return {key: team for team in self.teams for key in team.keys}


def choose_share(shares: tuple[Share, ...], point: float) -> str:
    """Return the service at ``point``, a number from 0 up to 1 over the weights laid end to end."""
    total = math.fsum(share.weight for share in shares)
    left = point * total
    for share in shares:
        left -= share.weight
        if left < 0:
            return share.service
    return shares[-1].service
