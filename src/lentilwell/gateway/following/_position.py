"""The position of an instance in a table of the store. Pure logic, no I/O.

Rows come from the store's answers and from other instances. What other instances send moves the
position, but the store is always asked from its own last answer on, so that a call repairs whatever
another instance has got wrong.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Generic

from lentilwell.gateway._failures import HistoryGone
from lentilwell.gateway._ports import Entry, Listing, ValueT
from lentilwell.gateway._store_point import StorePoint

# Bound on the remembered rows of other instances; without them a call repeats rows, no more.
MAX_RELAYED_ROWS = 4_096


class Position(Generic[ValueT]):
    """What is known of a table.

    ``at`` is the store's version as last known, None before a complete listing. ``confirmed`` is
    the version of the store's last answer to this instance. ``changed`` is the version of the
    newest row, and ``complete_from`` the version from which on the rows of the next answer include
    every change.
    """

    def __init__(self) -> None:
        self.at: StorePoint | None = None
        self.confirmed: StorePoint | None = None
        self.changed = StorePoint()
        self._base = StorePoint()
        self._keys: set[str] = set()
        self._relayed: dict[str, Entry[ValueT]] = {}

    @property
    def complete_from(self) -> int:
        """Return the version after which the rows of the store's next answer are complete."""
        assert self.confirmed is not None
        if self._base.era != self.confirmed.era:
            return self.confirmed.version
        return min(self._base.version, self.confirmed.version)

    def clear(self) -> None:
        """Forget the position, so that the table is read completely."""
        self.at = self.confirmed = None
        self._relayed.clear()

    def is_behind(self, point: StorePoint) -> bool:
        """Tell whether rows up to ``point`` may be missing."""
        return self.at is not None and self.at < point

    def is_outdated(self, listing: Listing[ValueT], asked_at: StorePoint) -> bool:
        """Tell whether a complete listing misses changes that have become known during the call.

        ``asked_at`` is ``at`` when the call began. Raise ``HistoryGone`` like ``select_new``.
        """
        assert self.at is not None and self.confirmed is not None
        self._check_known(listing, asked_at)
        return listing.at < self.at

    def apply_complete(self, listing: Listing[ValueT]) -> None:
        """Move to a complete listing.

        No row of it tells of rows that were removed. These count as changed at its version.
        """
        keys = {one.key for one in listing.entries}
        known = self.at is not None and self.at.era == listing.era
        newest = listing.newest if listing.entries else self.changed
        if known:
            newest = listing.at if self._keys - keys else max(self.changed, newest)
        self.at = self.confirmed = self._base = listing.at
        self.changed = newest
        self._keys = keys
        self._relayed.clear()

    def select_new(self, listing: Listing[ValueT], asked_at: StorePoint) -> Listing[ValueT] | None:
        """Return an answer with those of its rows that are new, None if newer rows are known.

        ``asked_at`` is ``at`` when the call began. Raise ``HistoryGone`` if the store does not have
        that version although another instance named it: then the position cannot be trusted.
        """
        assert self.at is not None
        self._check_known(listing, asked_at)
        if self.at != asked_at and listing.at < self.at:
            return None  # rows of another instance arrived during the call
        new = self._drop_relayed(listing.entries)
        return listing if len(new) == len(listing.entries) else replace(listing, entries=new)

    def _drop_relayed(self, entries: tuple[Entry[ValueT], ...]) -> tuple[Entry[ValueT], ...]:
        """Return the entries without those up to the relayed one of the same row.

        An answer has every version of a row, in order.
        """
        known: dict[str, int] = {}
        for index, entry in enumerate(entries):
            if self._relayed.get(entry.key) == entry:
                known[entry.key] = index
        return tuple(
            entry for index, entry in enumerate(entries) if index > known.get(entry.key, -1)
        )

    def apply_answer(self, new: Listing[ValueT]) -> None:
        """Move to an answer of ``select_new``."""
        self.at = self.confirmed = new.at
        self._relayed.clear()
        self._record_keys(new)
        if new.entries:
            self._record_change(new.newest)

    def accepts(self, era: int, after: int, version: int) -> bool:
        """Tell whether rows that are complete from ``after`` to ``version`` can be applied."""
        return self.at is not None and self.at.era == era and after <= self.at.version < version

    def apply_relayed(self, listing: Listing[ValueT]) -> None:
        """Move to changes that ``accepts`` has accepted."""
        self.at = listing.at
        self._record_change(listing.at)
        self._record_keys(listing)
        self._relayed.update((one.key, one) for one in listing.entries)
        if len(self._relayed) > MAX_RELAYED_ROWS:
            self._relayed.clear()

    def _check_known(self, listing: Listing[ValueT], asked_at: StorePoint) -> None:
        assert self.confirmed is not None
        if self.confirmed < asked_at and listing.at < asked_at:
            raise HistoryGone(f"version {asked_at.version} of another instance is not known")

    def _record_keys(self, changes: Listing[ValueT]) -> None:
        for one in changes.entries:
            if one.removed:
                self._keys.discard(one.key)
            else:
                self._keys.add(one.key)

    def _record_change(self, newest: StorePoint) -> None:
        self.changed = max(self.changed, newest)
        self._base = max(self._base, newest)
