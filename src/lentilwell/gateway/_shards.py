"""Which instances and upstreams belong together where not everybody can know everything. Pure.

Load that this answers: hundreds of instances before as many upstreams. If each told its work to all
others, messages would grow with the square of their number, and a choice with the whole fleet. So
instances and upstreams are dealt to shards: an instance places in its own shard, and tells its work
to the instances of that shard, which are all that place there. Every data centre is dealt evenly to
all shards, so that a shard can lose one as the whole fleet can.

Instances that know other lists for a moment may deal differently. They then know less of each
other's work until they have read the same list; nothing else depends on it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from xxhash import xxh3_64_intdigest

from lentilwell.gateway._upstreams import Upstream

# What an instance hears grows with the one, what a choice costs with the other.
INSTANCES_PER_SHARD = 22
MOST_UPSTREAMS_PER_SHARD = 120
# Fewer could not even out what the balancer sends to each.
LEAST_INSTANCES_PER_SHARD = 4
# Fewer could not read a long prompt together beside others.
LEAST_UPSTREAMS_PER_SHARD = 14


def count_shards(upstreams: int, instances: int) -> int:
    """Return how many shards a fleet of this size is dealt to.

    It follows the instances, which stay listed through crashes, rather than the upstreams, which do
    not: a number that changed with each crash would deal all anew when it is least wanted.
    """
    wanted = max(instances // INSTANCES_PER_SHARD, upstreams // MOST_UPSTREAMS_PER_SHARD)
    most = min(instances // LEAST_INSTANCES_PER_SHARD, upstreams // LEAST_UPSTREAMS_PER_SHARD)
    return max(1, min(wanted, most))


def deal(members: Mapping[str, str], shards: int) -> dict[str, int]:
    """Return the shard of each member; ``members`` are names with their data centres.

    Rendezvous hashing with bounded loads: the shards' parts of a data centre differ by one at most,
    and a member that comes or goes moves few others.
    """
    if shards == 1:
        return dict.fromkeys(members, 0)
    by_centre: dict[str, list[str]] = {}
    for name, centre in members.items():
        by_centre.setdefault(centre, []).append(name)
    dealt: dict[str, int] = {}
    for names in by_centre.values():
        dealt.update(_deal_evenly(names, shards))
    return dealt


def _deal_evenly(names: Iterable[str], shards: int) -> dict[str, int]:
    ordered = sorted(names, key=_hash)
    part, larger_parts = divmod(len(ordered), shards)
    taken = [0] * shards
    dealt: dict[str, int] = {}
    for name in ordered:
        for shard in _rank_shards(name, shards):
            if taken[shard] < part:
                break
            if taken[shard] == part and larger_parts:
                larger_parts -= 1
                break
        taken[shard] += 1
        dealt[name] = shard
    return dealt


def _hash(text: str) -> int:
    return xxh3_64_intdigest(text.encode())


def _rank_shards(name: str, shards: int) -> Sequence[int]:
    return sorted(range(shards), key=lambda shard: _hash(f"{name}/{shard}"))


class ShardView:
    """The shard of one instance, by the lists of instances and upstreams that it knows."""

    def __init__(self, instance: str, data_centre: str) -> None:
        self._instance = instance
        self._members: Mapping[str, str] = {instance: data_centre}
        self._listed: Mapping[str, Upstream] | None = None
        self._own: dict[str, frozenset[str]] = {}
        self.shards = 1
        self.peers: frozenset[str] = frozenset()

    def take_members(self, members: Mapping[str, str]) -> None:
        """Take the list of all instances with their data centres."""
        own = {self._instance: self._members[self._instance]}
        self._members = {**members, **own}
        self._deal()

    def take_upstreams(self, listed: Mapping[str, Upstream]) -> None:
        """Take the list of all upstreams; the same list again costs nothing."""
        if listed is not self._listed:
            self._listed = listed
            self._deal()

    def covers(self, upstream: Upstream) -> bool:
        """Tell whether this instance places on an upstream before it looks elsewhere."""
        own = self._own.get(upstream.service)
        return own is None or upstream.name in own

    def _deal(self) -> None:
        if self._listed is None:
            return  # how many shards there are is not known yet
        services: dict[str, dict[str, str]] = {}
        for upstream in self._listed.values():
            services.setdefault(upstream.service, {})[upstream.name] = upstream.data_centre
        largest = max((len(names) for names in services.values()), default=0)
        self.shards = count_shards(largest, len(self._members))
        dealt = deal(self._members, self.shards)
        mine = dealt[self._instance]
        self.peers = frozenset(name for name, shard in dealt.items() if shard == mine)
        self.peers -= {self._instance}
        self._own = {
            service: _select(deal(names, self.shards), mine)
            for service, names in services.items()
            if self.shards > 1 and len(names) >= self.shards * LEAST_UPSTREAMS_PER_SHARD
        }


def _select(dealt: Mapping[str, int], shard: int) -> frozenset[str]:
    return frozenset(name for name, one in dealt.items() if one == shard)
