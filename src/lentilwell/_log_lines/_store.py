"""How the store is followed, and which configuration is in force."""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell._log_lines._line import Line, line


@line("configuration in force")
@dataclass(frozen=True)
class ConfigurationInForce(Line):
    """A configuration has replaced the previous one."""

    version: int
    previous: int | None
    store_version: int
    store_era: int
    routes: int
    teams: int


@line("configuration kept", "WARNING")
@dataclass(frozen=True)
class ConfigurationKept(Line):
    """Version ``found``, read in a later era than that of ``version``, is not taken.

    ``until_ms`` tells for how long, from now; None where it never is in this era.
    """

    version: int
    found: int
    era: int
    reason: str
    until_ms: int | None


@line("configuration confirmed")
@dataclass(frozen=True)
class ConfigurationConfirmed(Line):
    """The configuration in force stands in the store again, in a later era."""

    version: int
    era: int


@line("history gone")
@dataclass(frozen=True)
class TableHistoryGone(Line):
    """The store no longer has the changes after ``version``: the table is read anew."""

    table: str
    version: int | None


@line("table checked")
@dataclass(frozen=True)
class TableChecked(Line):
    """The wait for changes was broken off to ask anew; ``version`` is the store's as known."""

    table: str
    reason: str
    version: int | None


@line("row unreadable", "WARNING")
@dataclass(frozen=True)
class RowUnreadable(Line):
    """A row of a table was left out."""

    table: str
    key: str
    reason: str


@line("dependency lost", "WARNING")
@dataclass(frozen=True)
class DependencyLost(Line):
    """The store does not answer for a table."""

    table: str
    reason: str


@line("dependency still lost", "WARNING")
@dataclass(frozen=True)
class DependencyStillLost(Line):
    """A further try failed, the number ``failures`` in a row, ``took_ms`` after it was begun."""

    table: str
    reason: str
    failures: int
    took_ms: int


@line("dependency regained")
@dataclass(frozen=True)
class DependencyRegained(Line):
    """The store answers again for a table."""

    table: str
    version: int


@line("store restore seen", "WARNING")
@dataclass(frozen=True)
class StoreRestoreSeen(Line):
    """An answer to ``call`` told that the store came back from an older copy, as ``era``."""

    era: int
    previous: int
    call: str


@line("era unreadable", "WARNING")
@dataclass(frozen=True)
class EraUnreadable(Line):
    """An answer of the store told an era that is no number; the era known is assumed."""

    text: str
