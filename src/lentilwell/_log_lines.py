"""Every kind of log line that a gateway writes, as frozen data; times in ms unless said otherwise.

A line's event and fields are its JSON form: programs that read logs go by this list.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import ClassVar, TypeVar

from loguru import logger


@dataclass(frozen=True)
class Line:
    """Base of all lines. ``event`` names the kind, ``level`` is the log level."""

    event: ClassVar[str] = ""
    level: ClassVar[str] = "INFO"


LINES: dict[str, type[Line]] = {}

_LineT = TypeVar("_LineT", bound=Line)


def line(event: str, level: str = "INFO") -> Callable[[type[_LineT]], type[_LineT]]:
    """Register a kind of line under the name of its event."""

    def register(kind: type[_LineT]) -> type[_LineT]:
        kind.event = event
        kind.level = level
        LINES[event] = kind
        return kind

    return register


def write_line(written: Line, error: BaseException | None = None) -> None:
    """Write a line to the log, with the exception that it tells of, if any."""
    values = {field.name: getattr(written, field.name) for field in fields(written)}
    logger.opt(exception=error).log(written.level, written.event, **values)


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


@line("configuration in force")
@dataclass(frozen=True)
class ConfigurationInForce(Line):
    """A configuration has replaced the previous one."""

    version: int
    previous: int | None
    store_version: int
    store_era: int
    routes: int
    teams: int


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


@line("request waits")
@dataclass(frozen=True)
class RequestWaits(Line):
    """No upstream wants work now: the request waits for the first that will."""

    request: str
    service: str
    opens_in_ms: int
    wait_ms: int


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


@line("peer heard")
@dataclass(frozen=True)
class PeerHeard(Line):
    """A first digest of another instance came, or one after a silence."""

    peer: str
    address: str


@line("shards dealt")
@dataclass(frozen=True)
class ShardsDealt(Line):
    """The fleet was dealt to another number of shards, by the lists known.

    ``peers`` and ``upstreams`` are those of this instance's shard, without services that all use.
    """

    shards: int
    peers: int
    upstreams: int


@line("peer silent")
@dataclass(frozen=True)
class PeerSilent(Line):
    """Another instance's work is no longer counted."""

    peer: str
    silent_ms: int


@line("instances not listed")
@dataclass(frozen=True)
class InstancesNotListed(Line):
    """The store's list of instances could not be read or written."""

    reason: str


@line("digest unreadable", "WARNING")
@dataclass(frozen=True)
class DigestUnreadable(Line):
    """A datagram held no digest."""

    sender: str
    reason: str


@line("digest too long", "WARNING")
@dataclass(frozen=True)
class DigestTooLong(Line):
    """The own work does not fit a datagram; the others count on the last one that did."""

    bytes: int


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


@line("history gone")
@dataclass(frozen=True)
class TableHistoryGone(Line):
    """The store no longer has the changes after ``version``: the table is read anew."""

    table: str
    version: int | None


@line("dependency lost", "WARNING")
@dataclass(frozen=True)
class DependencyLost(Line):
    """The store does not answer for a table."""

    table: str
    reason: str


@line("dependency still lost", "WARNING")
@dataclass(frozen=True)
class DependencyStillLost(Line):
    """A further try failed, the number ``failures`` in a row, ``took_ms`` after it was begun."""

    table: str
    reason: str
    failures: int
    took_ms: int


@line("dependency regained")
@dataclass(frozen=True)
class DependencyRegained(Line):
    """The store answers again for a table."""

    table: str
    version: int


@line("store restore seen", "WARNING")
@dataclass(frozen=True)
class StoreRestoreSeen(Line):
    """An answer to ``call`` told that the store came back from an older copy, as ``era``."""

    era: int
    previous: int
    call: str


@line("era unreadable", "WARNING")
@dataclass(frozen=True)
class EraUnreadable(Line):
    """An answer of the store told an era that is no number; the era known is assumed."""

    text: str


@line("configuration kept", "WARNING")
@dataclass(frozen=True)
class ConfigurationKept(Line):
    """Version ``found``, read in a later era than that of ``version``, is not taken.

    ``until_ms`` tells for how long, from now; None where it never is in this era.
    """

    version: int
    found: int
    era: int
    reason: str
    until_ms: int | None


@line("configuration confirmed")
@dataclass(frozen=True)
class ConfigurationConfirmed(Line):
    """The configuration in force stands in the store again, in a later era."""

    version: int
    era: int


@line("upstream kept", "WARNING")
@dataclass(frozen=True)
class UpstreamKept(Line):
    """What is known of an upstream is kept for ``until_ms`` from now against the restored list."""

    upstream: str
    reason: str
    until_ms: int | None


@line("instance listed again")
@dataclass(frozen=True)
class InstanceListedAgain(Line):
    """This instance wrote its own entry after a restore of the store."""

    address: str


@line("table checked")
@dataclass(frozen=True)
class TableChecked(Line):
    """The wait for changes was broken off to ask anew; ``version`` is the store's as known."""

    table: str
    reason: str
    version: int | None


@line("row unreadable", "WARNING")
@dataclass(frozen=True)
class RowUnreadable(Line):
    """A row of a table was left out."""

    table: str
    key: str
    reason: str


@line("started")
@dataclass(frozen=True)
class Started(Line):
    """The process listens for callers at this address."""

    callers: str


@line("stop begun")
@dataclass(frozen=True)
class StopBegun(Line):
    """A planned stop begins with so many connections of callers."""

    open_callers: int


@line("stopped")
@dataclass(frozen=True)
class Stopped(Line):
    """The process ends."""


@line("settings reloaded")
@dataclass(frozen=True)
class SettingsReloaded(Line):
    """Changed settings are in force; changed listeners are not before the next start."""

    listeners_unchanged: bool
    budget: int


@line("settings unreadable", "ERROR")
@dataclass(frozen=True)
class SettingsUnreadable(Line):
    """Changed settings could not be read: the old ones stay in force."""

    path: str
    reason: str


@line("metrics not served", "ERROR")
@dataclass(frozen=True)
class MetricsNotServed(Line):
    """The address of metrics and state cannot be listened on."""

    address: str
    reason: str


@line("exchange failed", "ERROR")
@dataclass(frozen=True)
class ExchangeFailed(Line):
    """A fault of the program ended a request."""

    target: str


@line("task failed", "ERROR")
@dataclass(frozen=True)
class TaskFailed(Line):
    """A fault of the program ended a task, which is begun anew."""

    task: str


@line("callback failed", "ERROR")
@dataclass(frozen=True)
class CallbackFailed(Line):
    """A fault of the program ended a callback of the event loop."""

    reason: str
