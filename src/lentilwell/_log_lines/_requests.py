"""Log lines about a request: its placement, refusals, attempts and outcome, and its leases."""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell._log_lines._line import Line, line


@line("request placed")
@dataclass(frozen=True)
class RequestPlaced(Line):
    """An upstream was chosen for a request.

    ``configuration`` and ``listing`` are the known versions of the configuration and of the
    upstream list. ``helpers`` names the upstreams that read parts of the prompt. ``upstream_jobs``
    and ``upstream_backlog_ms`` are the load of the chosen upstream from all instances, and
    ``oldest_digest_ms`` is the age of the oldest digest that the load is based on.
    ``upstream_pace`` is the latency of the upstream relative to its specification; 1 means as
    specified. ``expected_first_ms`` is the expected time from this line to the first event.
    ``excluded`` counts the upstreams that were excluded for this request.
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
class RequestDeferred(Line):
    """A long prompt is deferred for ``hold_ms`` before it is placed again.

    The chosen upstreams still read other prompts. ``reading_ahead_ms`` is the longest remaining
    read time of those prompts at any one of the upstreams.
    """

    request: str
    upstream: str
    helpers: str
    reading_ahead_ms: int
    oldest_digest_ms: int | None
    hold_ms: int


@line("request held for room")
@dataclass(frozen=True)
class RequestHeld(Line):
    """A request is held at this instance: sent now, it would be late and might delay others.

    ``expected_first_ms`` is the expected time to its first event if it were sent now,
    ``slot_wait_ms`` the part of that spent waiting for a slot, ``free_slots`` the free slots known.
    """

    request: str
    service: str
    rank: int
    reason: str
    expected_first_ms: int
    slot_wait_ms: int
    free_slots: int
    waited_ms: int


@line("request released")
@dataclass(frozen=True)
class RequestReleased(Line):
    """A held request is held no more, after ``held_ms``; ``outcome`` tells whether it is sent."""

    request: str
    service: str
    outcome: str
    held_ms: int


@line("request refused under overload")
@dataclass(frozen=True)
class OverloadRefused(Line):
    """A request is refused: its first event is expected after its caller has left."""

    request: str
    service: str
    rank: int
    expected_first_ms: int
    free_slots: int
    waited_ms: int
    retry_after_ms: int


@line("request waits")
@dataclass(frozen=True)
class RequestWaiting(Line):
    """No upstream accepts work now; the request waits for the first one that does."""

    request: str
    service: str
    opens_in_ms: int
    wait_ms: int


@line("upstream refused")
@dataclass(frozen=True)
class UpstreamRefused(Line):
    """An upstream reported that it did not run the request; ``at_fault`` names the cause."""

    request: str
    upstream: str
    status: int
    at_fault: str


@line("request cut")
@dataclass(frozen=True)
class RequestCut(Line):
    """An upstream ended the connection of a request after ``events`` events of its answer.

    ``parts`` are the ids of the parts of the prompt that other prompts may have too;
    ``fingerprint`` is the same for the same request sent again under another id.
    """

    request: str
    upstream: str
    born_ms: int
    events: int
    parts: str
    fingerprint: str = ""


@line("request refused")
@dataclass(frozen=True)
class RequestRefused(Line):
    """A request was not sent because it crashes upstreams.

    Either its prompt has ``parts``, or the same request with its ``fingerprint`` did so before.
    """

    request: str
    parts: str
    retry_after_ms: int
    fingerprint: str = ""


@line("refusal body dropped", "DEBUG")
@dataclass(frozen=True)
class RefusalBodyDropped(Line):
    """The body of a refusal did not end in time. The refusal is valid, the connection is closed."""

    request: str
    reason: str


@line("attempt ended")
@dataclass(frozen=True)
class AttemptEnded(Line):
    """An attempt failed.

    ``next`` is ``place`` if another one follows, ``wait`` if an open one is waited for, else the
    outcome.
    """

    request: str
    upstream: str
    reason: str
    sends: int
    next: str


@line("attempt silent")
@dataclass(frozen=True)
class AttemptSilent(Line):
    """An upstream has made no progress for ``silent_ms``; its attempt stays open.

    ``next`` is ``place`` if another upstream is tried beside it, else ``wait``.
    """

    request: str
    upstream: str
    silent_ms: int
    sends: int
    next: str


@line("attempt cancelled")
@dataclass(frozen=True)
class AttemptCancelled(Line):
    """An attempt was cancelled, because the upstream ``answering`` serves the request.

    ``upstream`` is empty if none had been chosen yet.
    """

    request: str
    upstream: str
    answering: str


@line("request ended")
@dataclass(frozen=True)
class RequestEnded(Line):
    """A request ended. ``first_ms`` and ``expected_first_ms`` are measured from its arrival."""

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
    """A request was answered without being forwarded. ``configuration`` is the version in force."""

    status: int
    reason: str
    request: str = ""
    configuration: int | None = None


@line("lease not renewed")
@dataclass(frozen=True)
class LeaseNotRenewed(Line):
    """A memory lease was not renewed; the reserved memory may be freed before the request ends."""

    ticket: str
    reason: str


@line("lease not released")
@dataclass(frozen=True)
class LeaseNotReleased(Line):
    """A memory lease was not released; the reserved memory stays in use until the lease expires."""

    ticket: str
    reason: str
