"""What instances tell each other of the store, so that one that was passed over looks again."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class StoreNews:
    """The store's versions at the last change of each followed table, 0 for none.

    ``away`` tells that the store does not answer the instance for one of them.
    """

    configuration: int = 0
    listing: int = 0
    away: bool = False


NO_NEWS = StoreNews()
