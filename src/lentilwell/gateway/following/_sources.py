"""Decides which instances are sources, and whether an instance is fed. Pure logic, no I/O.

All instances of a data centre are in one order, by a hash of their names. The first ones that are
heard and whose calls to the store succeed are its sources. Instances that hear different ones
decide differently until they hear the same; then too many or too few are sources for a while.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from lentilwell.gateway._store_point import StorePoint
from lentilwell.gateway.following._tables import TableState

# One may crash or lose a datagram without any call to the store by the others.
SOURCES_PER_CENTRE = 2
# With fewer instances in contact, the calls that sources save are not worth their messages.
MIN_INSTANCES = 8
# A source that is not heard for this time feeds nobody; three messages in a row were then lost.
SILENCE_MS = 1_000
# A source that does not reach a known version for this time feeds nobody. It may be between two
# calls for ``CHANGE_BATCH_MS``, and its next message may be lost.
LAG_MS = 1_000
# An instance waits this long for each listed one before it to be heard as a source.
START_STEP_MS = 100
MAX_START_DELAY_MS = 1_000
# A source that hears enough others before it ends after this time, so that roles do not flap.
END_DELAY_MS = 2_000
# Bound on the remembered sources; more cannot be heard unless names are made up.
MAX_SOURCES = 64


@dataclass(frozen=True)
class SourceState:
    """The newest message of a source, without rows; times are in milliseconds of the clock."""

    incarnation: str
    sequence: int
    heard_at: int
    tables: tuple[TableState, ...]

    @property
    def answered(self) -> bool:
        """Tell whether the store answers the source."""
        return all(table.answered for table in self.tables)


def find_order(name: str) -> tuple[int, str]:
    """Return the place of an instance in the order of its data centre."""
    return xxh3_64_intdigest(name.encode()), name


def count_before(own: str, names: Iterable[str]) -> int:
    """Return how many of these instances are before ``own`` in the order."""
    place = find_order(own)
    return sum(find_order(name) < place for name in names)


def find_part(name: str) -> int:
    """Return which of the sources sends long rows to an instance."""
    return find_order(name)[0] % SOURCES_PER_CENTRE


class SourceRole:
    """Whether this instance is a source."""

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._due_at: int | None = None
        self.active = False

    def update(self, able: bool, sources: Iterable[str], members: Iterable[str], now: int) -> bool:
        """Return whether the role has changed.

        ``able`` is unset if this instance cannot be a source now. ``sources`` are those heard whose
        calls to the store succeed, ``members`` the other listed instances of the data centre.
        """
        wanted = able and count_before(self._instance, sources) < SOURCES_PER_CENTRE
        if wanted is self.active:
            self._due_at = None
            return False
        if not able:
            return self._switch()
        if self._due_at is None:
            delay_ms = END_DELAY_MS if self.active else self._find_start_delay_ms(members)
            self._due_at = now + delay_ms
        return self._switch() if now >= self._due_at else False

    def _find_start_delay_ms(self, members: Iterable[str]) -> int:
        before = count_before(self._instance, members)
        return min(MAX_START_DELAY_MS, START_STEP_MS * before)

    def _switch(self) -> bool:
        self.active = not self.active
        self._due_at = None
        return True


class Sources:
    """The sources that an instance hears, and the newest versions that it knows of."""

    def __init__(self, tables: int) -> None:
        self._states: dict[str, SourceState] = {}
        self._newest = [(StorePoint(), 0)] * tables

    def record(self, name: str, state: SourceState) -> bool:
        """Record a message; return False for one that is older than the last."""
        known = self._states.get(name)
        same = known is not None and known.incarnation == state.incarnation
        if known is not None and same and known.sequence >= state.sequence:
            return False
        self._states[name] = state
        if len(self._states) > MAX_SOURCES:
            del self._states[min(self._states, key=lambda one: self._states[one].heard_at)]
        return True

    def update_newest(self, own: Sequence[StorePoint], now: int) -> None:
        """Find the newest version of each table that a source or this instance knows of."""
        for index, point in enumerate(own):
            heard = (state.tables[index].changed for state in self._states.values())
            newest = max([point, *heard])
            if newest != self._newest[index][0]:
                self._newest[index] = newest, now

    def remove(self, name: str) -> None:
        """Remove an instance that is no longer a source."""
        self._states.pop(name, None)

    def remove_silent(self, now: int) -> None:
        """Remove the sources that are no longer heard."""
        for name, state in list(self._states.items()):
            if now - state.heard_at > SILENCE_MS:
                del self._states[name]

    def list_answered(self, now: int) -> list[str]:
        """Return the sources that are heard and get answers of the store."""
        return [
            name
            for name, state in self._states.items()
            if state.answered and now - state.heard_at <= SILENCE_MS
        ]

    def find_feeding(self, now: int) -> list[str]:
        """Return the sources that feed this instance."""
        return [name for name in self.list_answered(now) if not self._lags(name, now)]

    def describe_absence(self, now: int) -> str:
        """Return why no source feeds this instance."""
        if not any(now - state.heard_at <= SILENCE_MS for state in self._states.values()):
            return "no source is heard"
        if not self.list_answered(now):
            return "the store does not answer the sources"
        return "the sources are behind"

    def _lags(self, name: str, now: int) -> bool:
        tables = zip(self._states[name].tables, self._newest, strict=True)
        return any(table.at < newest and now - since > LAG_MS for table, (newest, since) in tables)
