"""Restrictions of requests to regions. Pure logic, no I/O.

A region is a group of data centres; one without a region belongs to none. A restriction is a set of
region names, or None where all upstreams may be used, whatever their data centre.
"""

from __future__ import annotations

from collections.abc import Iterable

Restriction = frozenset[str] | None


def restrict(regions: Iterable[str]) -> Restriction:
    """Return the restriction to these regions, None if there are none."""
    return frozenset(regions) or None


def combine(first: Restriction, second: Restriction) -> Restriction:
    """Return the restriction under which both hold; it may leave no region."""
    if first is None or second is None:
        return first if second is None else second
    return first & second
