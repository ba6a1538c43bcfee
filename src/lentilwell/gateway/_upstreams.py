"""Which upstreams there are, by the listing that the store holds. Pure.

A listing that lapsed while the store was away proves nothing: upstreams that vanish from it right
after the store's return stay in use until they have had time to list themselves again.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import TypeVar

# Upstreams that live list themselves again within about this time of the store's return.
RELIST_MS = 2_000

_T = TypeVar("_T")


@dataclass(frozen=True)
class Life:
    """One start of an upstream: what it says of itself holds until it starts again."""

    name: str
    born_ms: int


@dataclass(frozen=True)
class Upstream:
    """One listed life of an upstream. ``address`` is host:port, ``born_ms`` the start of the life.

    ``born_ms`` is the Unix time in milliseconds of that start, 0 where it is not told.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    born_ms: int = 0

    @property
    def life(self) -> Life:
        """Return which start of the upstream this is."""
        return Life(self.name, self.born_ms)


@dataclass(frozen=True)
class Change:
    """A changed entry of the listing; ``upstream`` is None when it was removed or is unreadable.

    ``removed`` tells the two apart.
    """

    name: str
    upstream: Upstream | None
    removed: bool = False


@dataclass(frozen=True)
class Directory:
    """The upstreams by name, and those missing since the store's return with their last moment.

    ``regained_at`` is when the store answered again after an outage; times in ms of the clock.
    """

    listed: Mapping[str, Upstream] = field(default_factory=dict)
    missing: Mapping[str, int] = field(default_factory=dict)
    regained_at: int | None = None

    def find_usable(self, service: str, now: int) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that may take new requests."""
        return tuple(
            upstream
            for upstream in self.listed.values()
            if upstream.service == service
            and not upstream.leaving
            and self.missing.get(upstream.name, now + 1) > now
        )


def note_regained(directory: Directory, now: int) -> Directory:
    """The store answers again after an outage: entries may have lapsed meanwhile."""
    return replace(directory, regained_at=now)


def take_listing(directory: Directory, found: Iterable[Upstream], now: int) -> Directory:
    """Replace the listing by a whole one."""
    listed = {upstream.name: upstream for upstream in found}
    gone = [Change(name, None, removed=True) for name in directory.listed if name not in listed]
    merged = replace(directory, listed={**directory.listed, **listed})
    merged = replace(merged, missing=_without(merged.missing, listed))
    return take_changes(merged, gone, now)


def take_changes(directory: Directory, changes: Iterable[Change], now: int) -> Directory:
    """Apply changed entries in order."""
    listed, missing = dict(directory.listed), dict(directory.missing)
    for change in changes:
        if change.upstream is not None:
            listed[change.name] = change.upstream
            missing.pop(change.name, None)
        elif change.removed and change.name in listed and _may_return(directory, now):
            missing.setdefault(change.name, (directory.regained_at or 0) + RELIST_MS)
        else:
            listed.pop(change.name, None)
            missing.pop(change.name, None)
    return replace(directory, listed=listed, missing=missing)


def drop_missing(directory: Directory, now: int) -> Directory:
    """Forget upstreams that did not list themselves again in time."""
    over = {name for name, until in directory.missing.items() if until <= now}
    if not over:
        return directory
    return replace(
        directory,
        listed=_without(directory.listed, over),
        missing=_without(directory.missing, over),
    )


def _may_return(directory: Directory, now: int) -> bool:
    return directory.regained_at is not None and now < directory.regained_at + RELIST_MS


def _without(entries: Mapping[str, _T], names: Iterable[str]) -> dict[str, _T]:
    dropped = set(names)
    return {name: entry for name, entry in entries.items() if name not in dropped}
