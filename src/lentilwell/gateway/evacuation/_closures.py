"""Why no upstream of a service may be used although some are listed as ready. Pure logic."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from lentilwell.gateway.evacuation._regions import Restriction

# The ``Retry-After`` of a request whose upstreams are all evacuated or in other regions. Both last
# for minutes; callers wait for up to a third of their remaining time, which is about this long.
CLOSED_RETRY_MS = 1_000


class ClosureReason(Enum):
    """The kinds of reasons, as named in metrics."""

    EVACUATED = "evacuated"
    REGIONS = "regions"


@dataclass(frozen=True)
class Closure:
    """A reason, with the names of the evacuated data centres or of the allowed regions."""

    reason: ClosureReason
    names: tuple[str, ...]

    def __str__(self) -> str:
        names = " ".join(self.names)
        if self.reason is ClosureReason.EVACUATED:
            return f"all upstreams are in evacuated data centres: {names}"
        return f"no upstream in the allowed regions: {names}"


def explain_closure(
    data_centres: Iterable[str], restriction: Restriction, find_region: Callable[[str], str | None]
) -> Closure:
    """Return why upstreams in these data centres may not be used, none of which may be.

    If some are in the allowed regions, they are evacuated. ``find_region`` returns the region of a
    data centre, None if it has none.
    """
    allowed = {
        name for name in data_centres if restriction is None or find_region(name) in restriction
    }
    if allowed or restriction is None:
        return Closure(ClosureReason.EVACUATED, tuple(sorted(allowed)))
    return Closure(ClosureReason.REGIONS, tuple(sorted(restriction)))
