"""Log lines about the tables of the store, the configuration in force and evacuations."""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell._log_lines._line import Line, line


@line("configuration in force")
@dataclass(frozen=True)
class ConfigurationInForce(Line):
    """A new configuration replaced the previous one."""

    version: int
    previous: int | None
    store_version: int
    store_era: int
    routes: int
    teams: int


@line("configuration kept", "WARNING")
@dataclass(frozen=True)
class ConfigurationKept(Line):
    """Version ``found`` of the configuration was not applied; ``version`` stays in force.

    ``found`` was read in a later era of the store than ``version``. It is not applied for the next
    ``until_ms``, or for the rest of this era if ``until_ms`` is None.
    """

    version: int
    found: int
    era: int
    reason: str
    until_ms: int | None


@line("regions unknown", "WARNING")
@dataclass(frozen=True)
class RegionsUnknown(Line):
    """Routes or teams of a configuration are restricted to regions that the settings don't name.

    ``count`` is the number of such regions, ``regions`` the names of the first ones.
    """

    version: int
    count: int
    regions: str


@line("configuration confirmed")
@dataclass(frozen=True)
class ConfigurationConfirmed(Line):
    """The configuration in force was read from the store again, in a later era."""

    version: int
    era: int


@line("history gone")
@dataclass(frozen=True)
class TableHistoryUnavailable(Line):
    """The store no longer has the changes after ``version``; the whole table is read again."""

    table: str
    version: int | None


@line("changes too long")
@dataclass(frozen=True)
class TableChangesTooLong(Line):
    """The changes after ``version`` did not arrive in time; the whole table is read instead."""

    table: str
    reason: str
    version: int | None


@line("table checked")
@dataclass(frozen=True)
class TableRechecked(Line):
    """The wait for changes was interrupted to check the store; ``version`` is the known version."""

    table: str
    reason: str
    version: int | None


@line("row unreadable", "WARNING")
@dataclass(frozen=True)
class RowUnreadable(Line):
    """A row of a table could not be parsed and was skipped."""

    table: str
    key: str
    reason: str


@line("dependency lost", "WARNING")
@dataclass(frozen=True)
class DependencyLost(Line):
    """The store stopped answering requests for a table."""

    table: str
    reason: str


@line("dependency still lost", "WARNING")
@dataclass(frozen=True)
class DependencyStillLost(Line):
    """A further attempt failed after ``took_ms``; ``failures`` counts the failures in a row."""

    table: str
    reason: str
    failures: int
    took_ms: int


@line("dependency regained")
@dataclass(frozen=True)
class DependencyRecovered(Line):
    """The store answers requests for a table again."""

    table: str
    version: int


@line("store restore seen", "WARNING")
@dataclass(frozen=True)
class StoreRestoreSeen(Line):
    """An answer to ``call`` shows that the store was restored from an older copy.

    ``era`` is the new era of the store, ``previous`` the one before the restore.
    """

    era: int
    previous: int
    call: str


@line("era unreadable", "WARNING")
@dataclass(frozen=True)
class EraUnreadable(Line):
    """The era in an answer of the store is not a number; the known era is assumed."""

    text: str


@line("evacuation begun", "WARNING")
@dataclass(frozen=True)
class EvacuationBegun(Line):
    """A data centre is evacuated from now on: nothing new is sent to its upstreams.

    ``known`` is false if neither the settings nor a listed upstream name the data centre.
    """

    data_centre: str
    known: bool
    store_version: int | None


@line("evacuation ended", "WARNING")
@dataclass(frozen=True)
class EvacuationEnded(Line):
    """The upstreams of a data centre may be used again.

    ``store_version`` is None if the evacuation was missing from a restored copy of the store and
    was not requested again.
    """

    data_centre: str
    store_version: int | None


@line("evacuation kept", "WARNING")
@dataclass(frozen=True)
class EvacuationKept(Line):
    """The evacuation of a data centre stays in force although the restored store lacks its row."""

    data_centre: str
    era: int
