"""Log lines about instances that follow the store for others."""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell._log_lines._line import Line, line


@line("store source begun")
@dataclass(frozen=True)
class StoreSourceBegun(Line):
    """This instance follows the store for ``dependents`` others of its data centre."""

    dependents: int


@line("store source ended")
@dataclass(frozen=True)
class StoreSourceEnded(Line):
    """This instance no longer follows the store for others."""

    reason: str


@line("store fed")
@dataclass(frozen=True)
class StoreFed(Line):
    """This instance relies on ``sources`` for changes and rarely calls the store."""

    sources: str


@line("store not fed")
@dataclass(frozen=True)
class StoreNotFed(Line):
    """This instance follows the store by itself."""

    reason: str


@line("relay unreadable", "WARNING")
@dataclass(frozen=True)
class RelayUnreadable(Line):
    """A message of an instance that follows the store for others is invalid and was dropped."""

    address: str
    reason: str
