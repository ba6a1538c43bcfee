"""The order in which held requests of one service are released. Pure.

Requests that can still be on time go before late ones. Among each, the least loss decides: rank,
then fairness between teams, then little work before much, then age. None is passed by more than
``MAX_PASSES`` later ones of its group.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

# A request that this many later ones have passed is released next.
MAX_PASSES = 8


@dataclass
class HeldRequest:
    """A request that is held; ``arrived_at`` is in ms by the instance's clock.

    ``rank`` is its priority, 0 being the highest, ``work_ms`` how long it occupies an upstream.
    It can be on time if it is sent before ``late_from``. ``passes`` counts the later arrivals that
    were released before it.
    """

    name: str
    rank: int
    team: str
    work_ms: float
    arrived_at: int
    late_from: int
    passes: int = 0


class HoldQueue:
    """The held requests of one service."""

    def __init__(self) -> None:
        self._held: dict[str, HeldRequest] = {}
        # The releases of each team, with a common start for teams that come later. They are
        # forgotten when no request is held.
        self._releases: dict[str, int] = {}
        self._least_releases = 0

    def __len__(self) -> int:
        return len(self._held)

    def __contains__(self, name: str) -> bool:
        return name in self._held

    def __iter__(self) -> Iterator[HeldRequest]:
        return iter(self._held.values())

    def add(self, held: HeldRequest) -> None:
        """Add a request."""
        self._held[held.name] = held

    def remove(self, name: str) -> None:
        """Remove a request that was not released: its caller left, or it is refused."""
        self._held.pop(name, None)
        self._forget_releases()

    def release(self, name: str, now: int) -> None:
        """Remove a request that is sent, and count it for its team and for those it passes."""
        released = self._held.pop(name, None)
        if released is None:
            return
        counted = self._count_releases(released.team)
        self._least_releases = max(self._least_releases, counted)
        self._releases[released.team] = counted + 1
        for other in self._held.values():
            same_group = is_late(other, now) == is_late(released, now)
            if same_group and other.arrived_at < released.arrived_at:
                other.passes += 1
        self._forget_releases()

    def find_next(self, late: bool, now: int) -> HeldRequest | None:
        """Return the request to release next, among the late ones or those that can be on time."""
        group = (held for held in self._held.values() if is_late(held, now) == late)
        return min(group, key=self._find_order, default=None)

    def has_more_urgent(self, rank: int) -> bool:
        """Tell whether a request with a higher priority than ``rank`` is held."""
        return any(held.rank < rank for held in self._held.values())

    def count_ahead(self, rank: int, late: bool, now: int) -> int:
        """Return how many requests of a group would be released before a new one of this rank."""
        return sum(held.rank <= rank and is_late(held, now) == late for held in self)

    def _find_order(self, held: HeldRequest) -> tuple[float, ...]:
        if held.passes >= MAX_PASSES:
            return (0, held.arrived_at)
        work = round(math.log2(max(1.0, held.work_ms)))
        return (1, held.rank, self._count_releases(held.team), work, held.arrived_at)

    def _count_releases(self, team: str) -> int:
        return max(self._least_releases, self._releases.get(team, 0))

    def _forget_releases(self) -> None:
        if not self._held:
            self._releases.clear()
            self._least_releases = 0


def is_late(held: HeldRequest, now: int) -> bool:
    """Tell whether a request can no longer be on time."""
    return now >= held.late_from
