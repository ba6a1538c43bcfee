"""How long an instance asks the store to wait for a change. Pure.

Load that this answers: an outage during which the store takes calls and answers none. A wait that
it swallows is found only when it ends, by one instance for all; so some wait of some instance has
to end soon, also right after a change, which ends the waits of all together.
"""

from __future__ import annotations

from dataclasses import dataclass

# An instance that hears no other finds an outage within this time and the store's time-out.
ALONE_WAIT_MS = 1_000
# Each instance heard adds this much: their waits end at different moments.
WAIT_PER_INSTANCE_MS = 500
LONGEST_WAIT_MS = 12_000


@dataclass(frozen=True)
class Place:
    """Which of the instances that hear each other this one is: ``rank`` from 0 up to ``of``."""

    rank: int = 0
    of: int = 1


def find_wait_ms(instances: int, point: float) -> int:
    """Return how long to wait for a change, where this many instances hear each other.

    ``point`` is a random number from 0 up to 1, so that the waits of several do not end together.
    """
    return round(_find_longest_ms(instances) * (1 + point) / 2)


def find_first_wait_ms(place: Place, point: float) -> int:
    """Return how long to wait where all instances begin to wait at about the same moment.

    Each ends its wait in a part of the time that is its own, so that one soon finds an outage.
    """
    return round(_find_longest_ms(place.of) * (place.rank + point) / place.of)


def _find_longest_ms(instances: int) -> int:
    return min(LONGEST_WAIT_MS, max(ALONE_WAIT_MS, instances * WAIT_PER_INSTANCE_MS))
