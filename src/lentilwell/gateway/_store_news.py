"""What instances tell each other of the store, so that one that was passed over looks again."""

from __future__ import annotations

from dataclasses import dataclass, field

from lentilwell.gateway._store_point import StorePoint


@dataclass(frozen=True)
class StoreNews:
    """Where the store stood at the last change of each followed table.

    ``away`` tells that the store does not answer the instance for one of them.
    """

    configuration: StorePoint = field(default_factory=StorePoint)
    listing: StorePoint = field(default_factory=StorePoint)
    away: bool = False


NO_NEWS = StoreNews()
