"""The version of the store together with its era, which orders versions across restores."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class StorePoint:
    """A version of the store within one of its eras, in chronological order.

    A restore of the store from an older backup begins a new era, in which version numbers go back
    and are used again. A later point does not imply that it includes the changes of an earlier one.
    """

    era: int = 0
    version: int = 0
