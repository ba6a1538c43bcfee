"""Log lines about other instances of the fleet."""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell._log_lines._line import Line, line


@line("peer heard")
@dataclass(frozen=True)
class PeerHeard(Line):
    """The first digest of another instance arrived, or its first one after a period of silence."""

    peer: str
    address: str


@line("peer silent")
@dataclass(frozen=True)
class PeerSilent(Line):
    """The load of another instance is no longer counted, because its digests stopped arriving."""

    peer: str
    silent_ms: int


@line("shards dealt")
@dataclass(frozen=True)
class ShardsAssigned(Line):
    """The number of shards of the fleet changed, according to the known lists.

    ``peers`` counts the other instances in the shard of this instance. ``upstreams`` counts the
    upstreams that this instance may use: those of its shard, and those of services that are too
    small to be split among shards.
    """

    shards: int
    peers: int
    upstreams: int


@line("instances not listed")
@dataclass(frozen=True)
class InstanceListFailed(Line):
    """The list of instances in the store could not be read or written."""

    reason: str


@line("instance listed again")
@dataclass(frozen=True)
class InstanceRelisted(Line):
    """This instance wrote its own list entry again after a restore of the store."""

    address: str


@line("digest unreadable", "WARNING")
@dataclass(frozen=True)
class DigestUnreadable(Line):
    """A received datagram did not contain a valid digest."""

    sender: str
    reason: str


@line("permit message unreadable", "WARNING")
@dataclass(frozen=True)
class PermitMessageUnreadable(Line):
    """A received datagram did not contain a valid message about permits."""

    sender: str
    reason: str


@line("crash notice unreadable", "WARNING")
@dataclass(frozen=True)
class CrashNoticeUnreadable(Line):
    """A received datagram did not contain a valid notice of crashes."""

    sender: str
    reason: str


@line("permit owner silent")
@dataclass(frozen=True)
class PermitOwnerSilent(Line):
    """The instance that issues an upstream's permits did not answer within ``timeout_ms``."""

    owner: str
    timeout_ms: int


@line("digest too long", "WARNING")
@dataclass(frozen=True)
class DigestTooLong(Line):
    """The digest of this instance exceeds a datagram. Peers keep using the last one that fitted."""

    bytes: int
