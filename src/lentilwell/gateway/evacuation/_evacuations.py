"""The evacuated data centres, from rows of the store's table. Pure logic, no I/O.

Within one era of the store, a data centre is evacuated while its row exists. A store that is
restored from an older copy may lack the row although the operator has not removed it: then the
evacuation is kept until the operator has changed the table in the new era.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

# Operators write rows that a restore has lost again one after another, each within this time of the
# one before. A configuration that is written again is waited for as long.
REWRITE_MS = 1_000


@dataclass(frozen=True)
class EvacuationOrder:
    """A row by which the operator evacuates a data centre."""

    data_centre: str


@dataclass(frozen=True)
class EvacuationChange:
    """A changed row that evacuates a data centre; ``removed`` is set if the row was removed."""

    data_centre: str
    removed: bool = False


@dataclass(frozen=True)
class Evacuations:
    """The evacuated data centres, by name; times are in milliseconds of the clock.

    ``listed`` are those with a row in the store. ``kept`` maps those that a restored copy lacks to
    the time when their evacuation ends, None as long as the operator has not changed the table
    since the restore. ``era`` is the era of the store, None before the first listing.
    """

    listed: frozenset[str] = frozenset()
    kept: Mapping[str, int | None] = field(default_factory=dict)
    era: int | None = None

    @property
    def data_centres(self) -> frozenset[str]:
        """Return all evacuated data centres."""
        return self.listed.union(self.kept)


def apply_listing(
    evacuations: Evacuations, data_centres: Iterable[str], era: int, rewritten: bool, now: int
) -> Evacuations:
    """Return the evacuations after a complete listing with rows for these data centres.

    ``rewritten`` tells that the listing shows a change of the table in this era that was not known.
    """
    listed = frozenset(data_centres)
    kept = {name: until for name, until in evacuations.kept.items() if name not in listed}
    if evacuations.era is not None and era > evacuations.era:
        kept = dict.fromkeys(evacuations.data_centres - listed)
    if rewritten:
        kept = _end_soon(kept, now)
    return Evacuations(listed, kept, era)


def apply_changes(
    evacuations: Evacuations, changes: Iterable[EvacuationChange], now: int
) -> Evacuations:
    """Return the evacuations after rows of the table were changed, which are applied in order.

    Rows that evacuate nothing are not among ``changes``, which is therefore empty for some changes
    of the table.
    """
    listed, kept = set(evacuations.listed), dict(evacuations.kept)
    for change in changes:
        kept.pop(change.data_centre, None)
        if change.removed:
            listed.discard(change.data_centre)
        else:
            listed.add(change.data_centre)
    return Evacuations(frozenset(listed), _end_soon(kept, now), evacuations.era)


def end_kept(evacuations: Evacuations, now: int) -> Evacuations:
    """Return the evacuations without the kept ones that have ended by now."""
    kept = {name: until for name, until in evacuations.kept.items() if until is None or until > now}
    if len(kept) == len(evacuations.kept):
        return evacuations
    return Evacuations(evacuations.listed, kept, evacuations.era)


def _end_soon(kept: Mapping[str, int | None], now: int) -> dict[str, int | None]:
    """Return kept evacuations with the end that follows from a change of the table now.

    The row of a kept evacuation may follow the changed one.
    """
    return dict.fromkeys(kept, now + REWRITE_MS)
