"""What is believed of upstreams, by the list and by their answers."""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell._log_lines._line import Line, line


@line("upstreams listed")
@dataclass(frozen=True)
class UpstreamsListed(Line):
    """The whole list of upstreams was read."""

    count: int
    store_version: int
    store_era: int


@line("upstream changed")
@dataclass(frozen=True)
class UpstreamChanged(Line):
    """An entry of the list changed; ``state`` is listed, leaving, removed or unreadable."""

    upstream: str
    state: str
    store_version: int


@line("upstream gone")
@dataclass(frozen=True)
class UpstreamGone(Line):
    """An upstream was taken off the list by this instance itself."""

    upstream: str
    reason: str


@line("upstream kept", "WARNING")
@dataclass(frozen=True)
class UpstreamKept(Line):
    """What is known of an upstream is kept for ``until_ms`` from now against the restored list."""

    upstream: str
    reason: str
    until_ms: int | None


@line("upstream leaving")
@dataclass(frozen=True)
class UpstreamLeaving(Line):
    """An upstream said in an answer that it leaves; it gets nothing new in this life."""

    upstream: str
    born_ms: int
    status: int
    listing: int


@line("upstream closed")
@dataclass(frozen=True)
class UpstreamClosed(Line):
    """An upstream turned work away and wants nothing for ``for_ms``."""

    upstream: str
    status: int
    for_ms: int


@line("retry-after ignored")
@dataclass(frozen=True)
class RetryAfterIgnored(Line):
    """An upstream named a time to come back that is no number of seconds."""

    upstream: str
    status: int
    text: str


@line("upstream ejected")
@dataclass(frozen=True)
class UpstreamEjected(Line):
    """An upstream that fails takes no requests for a while."""

    upstream: str
    reason: str


@line("upstream unreachable")
@dataclass(frozen=True)
class UpstreamUnreachable(Line):
    """An upstream takes no requests until a probe reaches it."""

    upstream: str
    reason: str


@line("upstream reached")
@dataclass(frozen=True)
class UpstreamReached(Line):
    """A probe reached an upstream."""

    upstream: str
    address: str
