"""What instances know of each other."""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell._log_lines._line import Line, line


@line("peer heard")
@dataclass(frozen=True)
class PeerHeard(Line):
    """A first digest of another instance came, or one after a silence."""

    peer: str
    address: str


@line("peer silent")
@dataclass(frozen=True)
class PeerSilent(Line):
    """Another instance's work is no longer counted."""

    peer: str
    silent_ms: int


@line("shards dealt")
@dataclass(frozen=True)
class ShardsDealt(Line):
    """The fleet was dealt to another number of shards, by the lists known.

    ``peers`` and ``upstreams`` are those of this instance's shard, without services that all use.
    """

    shards: int
    peers: int
    upstreams: int


@line("instances not listed")
@dataclass(frozen=True)
class InstancesNotListed(Line):
    """The store's list of instances could not be read or written."""

    reason: str


@line("instance listed again")
@dataclass(frozen=True)
class InstanceListedAgain(Line):
    """This instance wrote its own entry after a restore of the store."""

    address: str


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
