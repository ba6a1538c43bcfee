"""Tracks the evacuated data centres of one instance, and reports where an evacuation changes."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from lentilwell._clock import Clock
from lentilwell._log_lines import EvacuationBegun, EvacuationEnded, EvacuationKept, write_line
from lentilwell.gateway._store_point import StorePoint
from lentilwell.gateway.evacuation._evacuations import (
    EvacuationChange,
    Evacuations,
    apply_changes,
    apply_listing,
    end_kept,
)


class EvacuationTracker:
    """Holds the evacuations; ``evacuated`` are the names of the evacuated data centres.

    ``on_begin`` is called with a data centre once it counts as evacuated, ``on_end`` just before it
    no longer does. ``is_known`` tells whether a data centre is one that the instance knows.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._evacuations = Evacuations()
        self.evacuated: frozenset[str] = frozenset()
        self.on_begin: Callable[[str], None] = lambda data_centre: None
        self.on_end: Callable[[str], None] = lambda data_centre: None
        self.is_known: Callable[[str], bool] = lambda data_centre: True

    def handle_listing(self, data_centres: Iterable[str], at: StorePoint, rewritten: bool) -> None:
        """Handle the evacuated data centres of a complete listing.

        ``rewritten`` tells that the listing shows an unknown change of the table in its era.
        """
        previous = self._evacuations
        current = apply_listing(previous, data_centres, at.era, rewritten, self._clock.now())
        for name in sorted(current.kept.keys() - previous.kept.keys()):
            write_line(EvacuationKept(name, at.era))
        self._update(current, at)

    def handle_changes(self, changes: Sequence[EvacuationChange], at: StorePoint) -> None:
        """Handle a change of the table, with those of its rows that evacuate a data centre."""
        self._update(apply_changes(self._evacuations, changes, self._clock.now()), at)

    def end_kept(self) -> None:
        """End the evacuations that the operator has not requested again after a restore."""
        if self._evacuations.kept:
            self._update(end_kept(self._evacuations, self._clock.now()), None)

    def _update(self, current: Evacuations, at: StorePoint | None) -> None:
        previous, evacuated = self.evacuated, current.data_centres
        self._evacuations = current
        for name in sorted(previous - evacuated):
            write_line(EvacuationEnded(name, at.version if at is not None else None))
            self.on_end(name)
        self.evacuated = evacuated
        for name in sorted(evacuated - previous):
            known = self.is_known(name)
            write_line(EvacuationBegun(name, known, at.version if at is not None else None))
            self.on_begin(name)
