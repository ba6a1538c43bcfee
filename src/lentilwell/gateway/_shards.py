"""Assigns instances and upstreams to shards. Pure logic, no I/O.

With hundreds of instances and upstreams, messages would grow with the square of the number of
instances if each one reported its jobs to all others, and the cost of a choice would grow with the
number of upstreams. An instance therefore places requests in its own shard, and reports its jobs to
the instances of that shard only, since no others place requests there. Every data centre is split
evenly over all shards, so that a shard tolerates the loss of a data centre as the whole fleet does.

Instances that have read different lists can compute different shards. Until they read the same list
they know less about each other's jobs; nothing else depends on it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from xxhash import xxh3_64_intdigest

from lentilwell.gateway._upstreams import Upstream

# The number of digests that an instance receives grows with the number of instances in its shard,
# the cost of a choice with the number of upstreams there.
INSTANCES_PER_SHARD = 22
MAX_UPSTREAMS_PER_SHARD = 120
# Fewer instances could not even out the differences in the traffic from the load balancer.
MIN_INSTANCES_PER_SHARD = 4
# Fewer upstreams could not share the prefill of a long prompt beside other requests.
MIN_UPSTREAMS_PER_SHARD = 14


def count_shards(upstreams: int, instances: int) -> int:
    """Return the number of shards for a fleet of this size.

    It depends mainly on the instances, which stay listed when they crash, rather than on the
    upstreams, which do not. Otherwise a crash of upstreams could reassign the whole fleet.
    """
    desired = max(instances // INSTANCES_PER_SHARD, upstreams // MAX_UPSTREAMS_PER_SHARD)
    max_shards = min(instances // MIN_INSTANCES_PER_SHARD, upstreams // MIN_UPSTREAMS_PER_SHARD)
    return max(1, min(desired, max_shards))


def assign_shards(members: Mapping[str, str], shards: int) -> dict[str, int]:
    """Return the shard of each member; ``members`` maps names to data centres.

    This is rendezvous hashing with bounded loads: the shards' members in a data centre differ by at
    most one, and few members are reassigned when one joins or leaves.
    """
    if shards == 1:
        return dict.fromkeys(members, 0)
    by_centre: dict[str, list[str]] = {}
    for name, centre in members.items():
        by_centre.setdefault(centre, []).append(name)
    assigned: dict[str, int] = {}
    for names in by_centre.values():
        assigned.update(_assign_evenly(names, shards))
    return assigned


def _assign_evenly(names: Iterable[str], shards: int) -> dict[str, int]:
    ordered = sorted(names, key=_hash)
    shard_size, larger_shards = divmod(len(ordered), shards)
    sizes = [0] * shards
    assigned: dict[str, int] = {}
    for name in ordered:
        for shard in _rank_shards(name, shards):
            if sizes[shard] < shard_size:
                break
            if sizes[shard] == shard_size and larger_shards:
                larger_shards -= 1
                break
        sizes[shard] += 1
        assigned[name] = shard
    return assigned


def _hash(text: str) -> int:
    return xxh3_64_intdigest(text.encode())


def _rank_shards(name: str, shards: int) -> Sequence[int]:
    return sorted(range(shards), key=lambda shard: _hash(f"{name}/{shard}"))


class ShardView:
    """The shard of one instance, computed from the lists of instances and upstreams it has read."""

    def __init__(self, instance: str, data_centre: str) -> None:
        self._instance = instance
        self._members: Mapping[str, str] = {instance: data_centre}
        self._listed: Mapping[str, Upstream] | None = None
        self._own: dict[str, frozenset[str]] = {}
        self.shards = 1
        self.peers: frozenset[str] = frozenset()

    def update_members(self, members: Mapping[str, str]) -> None:
        """Replace the list of all instances; ``members`` maps names to data centres."""
        own = {self._instance: self._members[self._instance]}
        self._members = {**members, **own}
        self._assign()

    def update_upstreams(self, listed: Mapping[str, Upstream]) -> None:
        """Replace the list of all upstreams; passing the same object again does nothing."""
        if listed is not self._listed:
            self._listed = listed
            self._assign()

    def covers(self, upstream: Upstream) -> bool:
        """Tell whether an upstream belongs to the shard of this instance."""
        own = self._own.get(upstream.service)
        return own is None or upstream.name in own

    def count_sharing(self, service: str, instances: int) -> int:
        """Return how many of all instances place requests at the same upstreams as this one."""
        return max(1, instances // self.shards) if service in self._own else instances

    def _assign(self) -> None:
        if self._listed is None:
            return  # the number of shards depends on the upstreams
        services: dict[str, dict[str, str]] = {}
        for upstream in self._listed.values():
            services.setdefault(upstream.service, {})[upstream.name] = upstream.data_centre
        largest = max((len(names) for names in services.values()), default=0)
        self.shards = count_shards(largest, len(self._members))
        assigned = assign_shards(self._members, self.shards)
        own_shard = assigned[self._instance]
        self.peers = frozenset(name for name, shard in assigned.items() if shard == own_shard)
        self.peers -= {self._instance}
        self._own = {
            service: _select_shard(assign_shards(names, self.shards), own_shard)
            for service, names in services.items()
            if self.shards > 1 and len(names) >= self.shards * MIN_UPSTREAMS_PER_SHARD
        }


def _select_shard(assigned: Mapping[str, int], shard: int) -> frozenset[str]:
    return frozenset(name for name, one in assigned.items() if one == shard)
