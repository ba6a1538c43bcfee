"""The state of the store as instances report it to each other.

An instance whose data is older than that of a peer reads the store again.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from lentilwell.gateway._store_point import StorePoint


@dataclass(frozen=True)
class StoreReport:
    """The store's version at the last change of each followed table.

    ``unavailable`` is set if the store does not answer the instance's calls for one of the tables.
    """

    configuration: StorePoint = field(default_factory=StorePoint)
    listing: StorePoint = field(default_factory=StorePoint)
    unavailable: bool = False


NO_STORE_REPORT = StoreReport()
