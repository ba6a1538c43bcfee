"""What callers and upstreams saw while the soak ran, as frozen data; times in ms of one clock."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum


class Kind(Enum):
    """What a call asks for."""

    LOOKUP = "lookup"
    BOOKING = "booking"
    STREAM = "stream"
    LONG = "long"


@dataclass(frozen=True)
class Call:
    """One call as its caller saw it; ``status`` is None where no answer began.

    ``missing`` names what a whole answer lacked or had too much.
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
    """A request as it reached a plain upstream, and whether that ran it."""

    request: str
    upstream: str
    life: int
    instance: str
    at: int
    ran: bool


@dataclass(frozen=True)
class Announcement:
    """An upstream told an instance that it leaves, or wants nothing until ``until``."""

    upstream: str
    incarnation: int
    instance: str
    at: int
    leaving: bool
    until: int = 0


@dataclass(frozen=True)
class RouteProbe:
    """A call to the route that version ``version`` of the configuration has added."""

    version: int
    instance: str
    incarnation: int
    sent_at: int
    status: int


@dataclass(frozen=True)
class Trouble:
    """A time in which an instance, or all, could not be held to its promises.

    An upstream's name stands for its connections: what it said may not have arrived.
    """

    name: str | None
    begin: int
    end: int


@dataclass
class Observations:
    """All that was seen."""

    calls: list[Call] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    announcements: list[Announcement] = field(default_factory=list)
    probes: list[RouteProbe] = field(default_factory=list)
    troubles: list[Trouble] = field(default_factory=list)
    version_times: dict[int, int] = field(default_factory=dict)
    unreleased_tickets: tuple[str, ...] = ()
    # Ids of the requests that instances logged: what they have read.
    logged_requests: set[str] = field(default_factory=set)
    fault_free_since: int = 0

    def in_trouble(self, name: str, begin: int, end: int) -> bool:
        """Tell whether an instance or an upstream was in trouble at any moment of a time."""
        return any(
            trouble.name in (None, name) and trouble.begin <= end and begin <= trouble.end
            for trouble in self.troubles
        )

    @contextmanager
    def record_trouble(
        self, name: str | None, now: Callable[[], int], after_ms: int
    ) -> Iterator[None]:
        """Note a trouble that lasts as long as the block, and ``after_ms`` longer."""
        begin = now()
        try:
            yield
        finally:
            self.troubles.append(Trouble(name, begin, now() + after_ms))
