"""What befalls requests and orders: where they go, who refuses them, how they end."""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell._log_lines._line import Line, line


@line("request placed")
@dataclass(frozen=True)
class RequestPlaced(Line):
    """An upstream was chosen.

    ``configuration`` and ``listing`` are the versions known, ``helpers`` names those that read a
    part. The load is the chosen upstream's, by all instances; ``oldest_digest_ms`` is the age of
    the oldest digest that it counts on, ``upstream_pace`` how slow it is, 1 as specified.
    ``expected_first_ms`` counts from now; ``excluded`` is the number of upstreams left out for this
    request.
    """

    request: str
    service: str
    configuration: int
    listing: int
    upstream: str
    helpers: str
    expected_first_ms: int
    upstream_jobs: int
    upstream_backlog_ms: int
    upstream_pace: float
    oldest_digest_ms: int | None
    excluded: int


@line("request held")
@dataclass(frozen=True)
class RequestHeld(Line):
    """A long prompt waits ``hold_ms`` for what the chosen upstreams read; then it is placed anew.

    ``reading_ahead_ms`` is the most that is left of parts at one of them.
    """

    request: str
    upstream: str
    helpers: str
    reading_ahead_ms: int
    oldest_digest_ms: int | None
    hold_ms: int


@line("request waits")
@dataclass(frozen=True)
class RequestWaits(Line):
    """No upstream wants work now: the request waits for the first that will."""

    request: str
    service: str
    opens_in_ms: int
    wait_ms: int


@line("upstream refused")
@dataclass(frozen=True)
class UpstreamRefused(Line):
    """An upstream said that it did not run the request; ``at_fault`` names who is the cause."""

    request: str
    upstream: str
    status: int
    at_fault: str


@line("refusal body dropped", "DEBUG")
@dataclass(frozen=True)
class RefusalBodyDropped(Line):
    """The body of a refusal did not end in time; the refusal counts, its connection is closed."""

    request: str
    reason: str


@line("attempt ended")
@dataclass(frozen=True)
class AttemptEnded(Line):
    """An attempt came to nothing; ``next`` is ``place`` for another one, or the outcome."""

    request: str
    upstream: str
    reason: str
    sends: int
    next: str


@line("request ended")
@dataclass(frozen=True)
class RequestEnded(Line):
    """The end of a request. ``first_ms`` and ``expected_first_ms`` count from its arrival."""

    request: str
    route: str
    configuration: int
    upstream: str
    outcome: str
    team: str | None
    service: str
    sends: int
    first_ms: int | None
    expected_first_ms: int
    longest_pause_ms: int
    helpers: int
    tokens: int | None
    total_ms: int


@line("request rejected")
@dataclass(frozen=True)
class RequestRejected(Line):
    """A request was answered without being forwarded; ``configuration`` is the version in force."""

    status: int
    reason: str
    request: str = ""
    configuration: int | None = None


@line("lease not renewed")
@dataclass(frozen=True)
class LeaseNotRenewed(Line):
    """Memory set aside may come free before its request ends."""

    ticket: str
    reason: str


@line("lease not released")
@dataclass(frozen=True)
class LeaseNotReleased(Line):
    """Memory set aside comes free only when its lease runs out."""

    ticket: str
    reason: str
