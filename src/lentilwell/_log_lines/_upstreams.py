"""Log lines about the state of upstreams, from the upstream list, their answers and probes."""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell._log_lines._line import Line, line


@line("upstreams listed")
@dataclass(frozen=True)
class UpstreamsListed(Line):
    """The complete list of upstreams was read."""

    count: int
    store_version: int
    store_era: int


@line("upstream changed")
@dataclass(frozen=True)
class UpstreamChanged(Line):
    """The list entry of an upstream changed.

    ``state`` is ``listed``, ``leaving``, ``removed`` or ``unreadable``.
    """

    upstream: str
    state: str
    store_version: int


@line("upstream gone")
@dataclass(frozen=True)
class UpstreamRemoved(Line):
    """This instance removed an upstream from its directory without a change in the store's list."""

    upstream: str
    reason: str


@line("upstream kept", "WARNING")
@dataclass(frozen=True)
class UpstreamKept(Line):
    """The known state of an upstream overrides the restored list for the next ``until_ms``.

    ``until_ms`` is None if there is no time limit.
    """

    upstream: str
    reason: str
    until_ms: int | None


@line("upstream leaving")
@dataclass(frozen=True)
class UpstreamLeaving(Line):
    """An upstream announced in an answer that it drains; this incarnation gets no new requests."""

    upstream: str
    born_ms: int
    status: int
    listing: int


@line("upstream closed")
@dataclass(frozen=True)
class UpstreamBackoffStarted(Line):
    """An upstream refused work and requested a backoff of ``for_ms``."""

    upstream: str
    status: int
    for_ms: int


@line("retry-after ignored")
@dataclass(frozen=True)
class RetryAfterIgnored(Line):
    """The ``Retry-After`` value of an upstream is not a number of seconds."""

    upstream: str
    status: int
    text: str


@line("upstream limit")
@dataclass(frozen=True)
class UpstreamLimitChanged(Line):
    """The rate limit of an upstream was named, changed or ended, as ``change`` says.

    ``rate`` is in requests per second from all instances together, None after the end of the limit.
    ``source`` is ``answer``, or the peer that reported it.
    """

    upstream: str
    born_ms: int
    change: str
    rate: float | None
    source: str


@line("upstream limit ignored")
@dataclass(frozen=True)
class UpstreamLimitIgnored(Line):
    """The rate limit that an upstream names is not a number of requests per second."""

    upstream: str
    text: str


@line("upstream cold")
@dataclass(frozen=True)
class UpstreamCold(Line):
    """An upstream is cold for the next ``for_ms``; until then it gets ``rate`` requests a second.

    ``source`` is ``entry``, ``answer``, ``probe`` after a restart, or the peer that reported it.
    """

    upstream: str
    born_ms: int
    for_ms: int
    rate: float
    source: str


@line("upstream warm")
@dataclass(frozen=True)
class UpstreamWarm(Line):
    """The cold time of an upstream has ended."""

    upstream: str
    born_ms: int


@line("data centre cold")
@dataclass(frozen=True)
class DataCentreCold(Line):
    """All upstreams of a data centre whose service has cold starts count as cold from now on."""

    data_centre: str


@line("cold figure ignored")
@dataclass(frozen=True)
class ColdFigureIgnored(Line):
    """A figure about cold starts is invalid and counts as 0.

    ``name`` is an upstream or a service, ``source`` is ``entry``, ``answer`` or ``configuration``.
    """

    name: str
    source: str
    text: str


@line("upstream ejected")
@dataclass(frozen=True)
class UpstreamEjected(Line):
    """A failing upstream gets no requests until its ejection expires."""

    upstream: str
    reason: str


@line("upstream unreachable")
@dataclass(frozen=True)
class UpstreamUnreachable(Line):
    """An unreachable upstream gets no requests until a probe connects to it."""

    upstream: str
    reason: str


@line("upstream reached")
@dataclass(frozen=True)
class UpstreamReached(Line):
    """A probe connected to an upstream."""

    upstream: str
    address: str


@line("upstream path cut")
@dataclass(frozen=True)
class UpstreamPathCut(Line):
    """Another instance reaches an upstream that this one does not; connections go through others.

    ``address`` is that of the upstream.
    """

    address: str


@line("upstream path restored")
@dataclass(frozen=True)
class UpstreamPathRestored(Line):
    """This instance has connected to an upstream itself; connections are direct again."""

    address: str


@line("tunnel failed")
@dataclass(frozen=True)
class TunnelFailed(Line):
    """Another instance opened no tunnel to an upstream, and is not asked for some time."""

    peer: str
    address: str
    reason: str


@line("upstream not crashed")
@dataclass(frozen=True)
class UpstreamNotCrashed(Line):
    """An upstream answers that was taken to have crashed.

    ``proof`` tells how the incarnation is known: by a ``connection`` that was opened before, or by
    the ``listing``, which shows no later start.
    """

    upstream: str
    born_ms: int
    proof: str


@line("parts condemned", "WARNING")
@dataclass(frozen=True)
class PartsCondemned(Line):
    """Requests whose prompts have all of these parts are not sent: they crash upstreams.

    ``source`` is ``own`` or the address of the instance whose evidence was decisive.
    """

    parts: str
    source: str


@line("requests condemned", "WARNING")
@dataclass(frozen=True)
class RequestsCondemned(Line):
    """Requests with this fingerprint are not sent: they crash upstreams.

    ``source`` is ``own`` or the address of the instance whose evidence was decisive.
    """

    fingerprint: str
    source: str


@line("requests cleared")
@dataclass(frozen=True)
class RequestsCleared(Line):
    """Requests with this fingerprint are sent again."""

    fingerprint: str
    source: str


@line("parts cleared")
@dataclass(frozen=True)
class PartsCleared(Line):
    """Requests whose prompts have all of these parts are sent again."""

    parts: str
    source: str
