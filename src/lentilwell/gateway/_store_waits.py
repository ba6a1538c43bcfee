"""Chooses how long a call to the store waits for a change (long polling). Pure logic, no I/O.

In some outages the store accepts calls but never answers. An instance detects this only when its
wait should have ended, and then informs the others. Some instance's wait must therefore end soon at
any time, also right after a change, which ends the waits of all instances together.
"""

from __future__ import annotations

from dataclasses import dataclass

# An instance without peers detects an outage within this time plus the store's call timeout.
SINGLE_INSTANCE_WAIT_MS = 1_000
# Added per instance in contact: their waits end at different times, so each one can be longer.
WAIT_PER_INSTANCE_MS = 500
MAX_WAIT_MS = 12_000


@dataclass(frozen=True)
class InstanceRank:
    """The rank of an instance among all ``instances`` in contact, from 0 up."""

    rank: int = 0
    instances: int = 1


# What a source of changes passes for its rank. Of its two tables, each one is polled with short
# waits by one of the two sources, so that a source notices within 1.5 s that the store is silent.
SHORT_WAITS = InstanceRank(1, 3)
LONG_WAITS = InstanceRank(5, 8)


def find_wait_ms(instances: int, random_point: float) -> int:
    """Return the wait for a change in ms, with this many instances in contact.

    ``random_point`` is a random number from 0 up to 1, which makes the waits of several instances
    end at different times.
    """
    return round(_find_max_wait_ms(instances) * (1 + random_point) / 2)


def find_first_wait_ms(instance_rank: InstanceRank, random_point: float) -> int:
    """Return the wait for a change in ms, if all instances begin to wait at about the same time.

    Each instance's wait ends in a time slot of its own, so that one of them soon detects an outage.
    ``random_point`` is a random number from 0 up to 1.
    """
    return round(
        _find_max_wait_ms(instance_rank.instances)
        * (instance_rank.rank + random_point)
        / instance_rank.instances
    )


def _find_max_wait_ms(instances: int) -> int:
    return min(MAX_WAIT_MS, max(SINGLE_INSTANCE_WAIT_MS, instances * WAIT_PER_INSTANCE_MS))
