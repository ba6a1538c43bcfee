"""What callers and upstreams observed during a run; times in ms of the boot clock."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum


class Kind(Enum):
    """The kind of a call, which decides its route and its checks."""

    LOOKUP = "lookup"
    BOOKING = "booking"
    STREAM = "stream"
    LONG = "long"


@dataclass(frozen=True)
class Call:
    """A call from the view of the caller.

    ``status`` is None if no answer head arrived, ``whole`` is true if the answer reached its end.
    ``missing`` describes what is wrong with a successful answer, or is empty.
    """

    request: str
    kind: Kind
    instance: str
    sent_at: int
    ended_at: int
    deadline_ms: int
    status: int | None
    whole: bool
    retry_after: str | None = None
    missing: str = ""


@dataclass(frozen=True)
class Arrival:
    """A request as received by a faulty server.

    ``life`` is the incarnation of the upstream, ``ran`` tells whether it ran the request.
    """

    request: str
    upstream: str
    life: int
    instance: str
    at: int
    ran: bool


@dataclass(frozen=True)
class DeadlyArrival:
    """A request that ends each server that runs it, as received by a server through an instance."""

    path: str
    upstream: str
    instance: str
    at: int


@dataclass(frozen=True)
class PausedAnswer:
    """An answer in which a sound upstream is silent from ``begin`` and goes on at ``until``."""

    request: str
    upstream: str
    begin: int
    until: int


@dataclass(frozen=True)
class Announcement:
    """An upstream's answer to an instance that announces a leave or a pause up to ``until``."""

    upstream: str
    incarnation: int
    instance: str
    at: int
    leaving: bool
    until: int = 0


@dataclass(frozen=True)
class LimitNaming:
    """An upstream's answer to an instance that names a rate limit."""

    upstream: str
    incarnation: int
    instance: str
    at: int


@dataclass(frozen=True)
class LimitPeriod:
    """A period in which an upstream names one rate limit, in requests per second."""

    upstream: str
    incarnation: int
    begin: int
    end: int
    rate: float


@dataclass(frozen=True, eq=False)
class NamedLimit:
    """A rate limit that an upstream names since ``begin``; each is equal to itself only."""

    upstream: str
    incarnation: int
    begin: int
    rate: float

    def end(self, at: int) -> LimitPeriod:
        """Return the period of the limit if it ends now."""
        return LimitPeriod(self.upstream, self.incarnation, self.begin, at, self.rate)


@dataclass(frozen=True)
class RouteProbe:
    """The status of a call to the route that configuration version ``version`` added."""

    version: int
    instance: str
    incarnation: int
    sent_at: int
    status: int


@dataclass(frozen=True)
class Trouble:
    """A period in which a fault excuses violations.

    ``name`` is the affected instance or upstream; None means all. The name of an upstream stands
    for its connections: its announcements may not have reached the instances.
    """

    name: str | None
    begin: int
    end: int


@dataclass
class Observations:
    """Everything recorded during a run.

    ``version_times`` maps each configuration version to the time it was last written.
    ``unreleased_tickets`` are the leases of engine memory still in force after the run.
    ``fault_free_since`` is the start of the period after the last fault and the recovery time.
    """

    calls: list[Call] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    deadly_arrivals: list[DeadlyArrival] = field(default_factory=list)
    pauses: list[PausedAnswer] = field(default_factory=list)
    announcements: list[Announcement] = field(default_factory=list)
    namings: list[LimitNaming] = field(default_factory=list)
    limit_periods: list[LimitPeriod] = field(default_factory=list)
    probes: list[RouteProbe] = field(default_factory=list)
    troubles: list[Trouble] = field(default_factory=list)
    # Periods in which connections of an upstream, or requests of an instance, may break by design.
    breakages: list[Trouble] = field(default_factory=list)
    version_times: dict[int, int] = field(default_factory=dict)
    unreleased_tickets: tuple[str, ...] = ()
    # Ids of the requests in the instances' logs, that is, of all requests they have read.
    logged_requests: set[str] = field(default_factory=set)
    fault_free_since: int = 0

    def in_trouble(self, name: str, begin: int, end: int) -> bool:
        """Return whether a fault at an instance or upstream excuses any part of a period."""
        return any(
            trouble.name in (None, name) and trouble.begin <= end and begin <= trouble.end
            for trouble in self.troubles
        )

    def was_hit(self, name: str, begin: int, end: int) -> bool:
        """Return whether a fault of this instance or upstream itself overlaps with a period."""
        return any(
            trouble.name == name and trouble.begin <= end and begin <= trouble.end
            for trouble in self.troubles
        )

    def may_break(self, name: str, begin: int, end: int) -> bool:
        """Return whether an instance or upstream is in trouble itself or may break a connection."""
        return self.was_hit(name, begin, end) or any(
            breakage.name == name and breakage.begin <= end and begin <= breakage.end
            for breakage in self.breakages
        )

    @contextmanager
    def record_trouble(
        self, name: str | None, now: Callable[[], int], after_ms: int
    ) -> Iterator[None]:
        """Record a ``Trouble`` that lasts for the ``with`` block and ``after_ms`` longer."""
        begin = now()
        try:
            yield
        finally:
            self.troubles.append(Trouble(name, begin, now() + after_ms))
