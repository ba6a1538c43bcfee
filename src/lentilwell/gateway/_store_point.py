"""A moment in the life of the store, by which two pieces of knowledge compare. Pure."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class StorePoint:
    """The store's version within one of its eras; the order is that in which they came about.

    A restore of the store from an older copy begins an era: versions go back and are given out
    again. That one point is later than another says nothing of what was lost between them.
    """

    era: int = 0
    version: int = 0
