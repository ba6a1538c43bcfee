"""What instances tell each other of a table, and who receives its rows."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from lentilwell.gateway._ports import Listing, ValueT
from lentilwell.gateway._store_point import StorePoint


@dataclass(frozen=True)
class TableReport:
    """An instance's report of a table: the store's version of the newest row.

    ``unavailable`` is set if the store does not answer the instance.
    """

    changed: StorePoint = field(default_factory=StorePoint)
    unavailable: bool = False


@dataclass(frozen=True)
class TableState:
    """What a source tells of a table.

    ``at`` is the store's version as last read, ``changed`` that of the newest row. ``answered`` is
    set if no call of the source has failed or is overdue. ``recovered_ms`` is how long ago the
    store answered the source again after an outage, None if there was none.
    """

    at: StorePoint
    changed: StorePoint
    answered: bool
    recovered_ms: int | None = None


@dataclass(frozen=True)
class TableChange:
    """Rows that a source has read, encoded by its feed in ``raw``, which may be empty.

    They include every change of the table after version ``after`` up to ``version``.
    """

    era: int
    after: int
    version: int
    raw: bytes


@dataclass(frozen=True)
class TableStatus:
    """The status of following a table; times are in milliseconds of the clock.

    ``at`` is the store's version as last read, None before a complete listing. ``answered_at`` is
    when the store last answered, ``asked_at`` when the current call began, and ``wait_ms`` for how
    long that call lets the store wait for a change. ``failures`` counts the failed calls since the
    last answer.
    """

    name: str
    at: StorePoint | None
    answered_at: int | None
    asked_at: int
    wait_ms: int
    failures: int


class Listener(Protocol[ValueT]):
    """Receives the contents of a table and its changes."""

    def handle_listing(self, listing: Listing[ValueT]) -> None:
        """Handle a complete listing of the table."""

    def handle_changes(self, listing: Listing[ValueT]) -> None:
        """Handle changed rows."""

    def handle_store_recovery(self) -> None:
        """Handle the first answer of the store after an outage."""
