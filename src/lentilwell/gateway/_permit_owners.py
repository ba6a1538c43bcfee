"""Chooses the instances that issue the permits of a rate-limited upstream. Pure logic, no I/O.

Every limited upstream has one primary owner among the listed instances, found by rendezvous
hashing, and one stand-in for requests that cannot reach the primary. Both stand in the data centre
of the upstream if it has instances: whoever reaches the upstream then mostly reaches its owner too,
also while data centres are cut off from each other.

Both may issue at the same time without knowing of each other, and so may the owners by an older
list of instances. The shares of the limit that they issue leave room for that.
"""

from __future__ import annotations

import heapq
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from xxhash import xxh3_64_intdigest

from lentilwell.gateway._upstreams import Incarnation, Upstream

# The shares of a named limit that an owner issues. An upstream gets at most the sum of one primary
# owner, one stand-in and two settling owners, which stays below one and a half times its limit.
PRIMARY_SHARE = 1.0
STAND_IN_SHARE = 1 / 4
SETTLING_SHARE = 1 / 12
# Bound on the cached owners; the oldest entries are dropped first.
MAX_CACHED = 4_096


class OwnerRole(Enum):
    """The two owners of an upstream's permits; the values are those of the wire format."""

    PRIMARY = 1
    STAND_IN = 2


@dataclass(frozen=True)
class Owners:
    """The owners of one upstream's permits, by name; None if there are too few instances."""

    primary: str | None
    stand_in: str | None

    def find(self, role: OwnerRole) -> str | None:
        """Return the name of the owner with this role."""
        return self.primary if role is OwnerRole.PRIMARY else self.stand_in


def rank_owners(upstream: Upstream, members: Mapping[str, str]) -> Owners:
    """Return the owners of an upstream; ``members`` maps the instances to their data centres."""
    incarnation = upstream.incarnation

    def find_rank(member: str) -> tuple[bool, int]:
        return members[member] != upstream.data_centre, _hash(incarnation, member)

    first = heapq.nsmallest(2, members, key=find_rank)
    return Owners(first[0] if first else None, first[1] if len(first) > 1 else None)


def _hash(incarnation: Incarnation, member: str) -> int:
    return xxh3_64_intdigest(f"{incarnation.name}/{incarnation.born_ms}/{member}".encode())


class OwnerTable:
    """The owners of upstreams' permits, by the list of instances that this instance read last.

    An instance that becomes an owner by a change of the list settles for some time, until the
    others have read the list too. Until then they may ask the owner by the earlier list. An ask
    from an instance whose list has not changed for that time shows that the others have read it:
    so a restarted owner serves at once.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._members: Mapping[str, str] = {}
        self._settled_members: Mapping[str, str] = {}
        self._owners: dict[Incarnation, Owners] = {}
        self._changed_at = 0
        self._settle_ms = 0

    @property
    def instances(self) -> int:
        """Return the number of listed instances."""
        return len(self._members)

    def update_members(self, members: Mapping[str, str], now: int, settle_ms: int) -> None:
        """Replace the list of instances, this one included; the same list changes nothing.

        ``settle_ms`` is the time within which the others read a changed list.
        """
        if members == self._members:
            return
        if self.is_settled(now):
            self._settled_members = self._members
        self._members = dict(members)
        self._owners.clear()
        self._changed_at = now
        self._settle_ms = settle_ms

    def find(self, upstream: Upstream) -> Owners:
        """Return the owners of an upstream; there are none before the list has been read."""
        owners = self._owners.get(upstream.incarnation)
        if owners is None:
            owners = self._owners[upstream.incarnation] = rank_owners(upstream, self._members)
            if len(self._owners) > MAX_CACHED:
                del self._owners[next(iter(self._owners))]
        return owners

    def is_settled(self, now: int) -> bool:
        """Tell whether the list has not changed for as long as the others take to read it."""
        return now - self._changed_at >= self._settle_ms

    def find_share(
        self, upstream: Upstream, role: OwnerRole, asker_settled: bool, now: int
    ) -> float:
        """Return the share of a limit that this instance issues now as an owner with this role.

        ``asker_settled`` is true if the list of the instance that asks is settled.
        """
        if not asker_settled and self._is_settling(upstream, role, now):
            return SETTLING_SHARE
        return PRIMARY_SHARE if role is OwnerRole.PRIMARY else STAND_IN_SHARE

    def _is_settling(self, upstream: Upstream, role: OwnerRole, now: int) -> bool:
        if self.is_settled(now) or len(self._members) == 1:
            return False
        return rank_owners(upstream, self._settled_members).find(role) != self._instance
