"""Which upstreams there are, by the listing that the store holds. Pure.

A listing that lapsed while the store was away proves nothing: upstreams that vanish from it right
after the store's return stay in use until they have had time to list themselves again.

A store that comes back from an older copy begins an era. Its list may hold upstreams that have left
since: a life that was leaving stays so, and one that was removed is used again only once its entry
has changed, or has stood for longer than the entry of a dead one does.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

# Upstreams that live list themselves again within about this time of the store's return.
RELIST_MS = 2_000
# The platform drops the entry of a silent upstream after three heartbeats, some 4 s.
RETURN_DOUBT_MS = 6_000
# Beyond them the departures that were seen first are forgotten.
MOST_DEPARTURES = 4_096


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
class Departure:
    """That a life was seen leaving, or else removed from the list, in an era of the store."""

    leaving: bool
    era: int


@dataclass(frozen=True)
class Directory:
    """The upstreams by name, and those missing since the store's return with their last moment.

    ``regained_at`` is when the store answered again after an outage; times in ms of the clock.
    ``era`` is the store's, ``departed`` the lives that left, ``doubted`` the names of those that a
    restored list holds all the same, with the moment from which on they are believed.
    """

    listed: Mapping[str, Upstream] = field(default_factory=dict)
    missing: Mapping[str, int] = field(default_factory=dict)
    regained_at: int | None = None
    era: int = 0
    departed: Mapping[Life, Departure] = field(default_factory=dict)
    doubted: Mapping[str, int] = field(default_factory=dict)

    def find_usable(self, service: str, now: int) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that may take new requests."""
        return tuple(
            upstream
            for upstream in self.listed.values()
            if upstream.service == service
            and not upstream.leaving
            and self.missing.get(upstream.name, now + 1) > now
            and self.doubted.get(upstream.name, now) <= now
        )


def note_regained(directory: Directory, now: int) -> Directory:
    """The store answers again after an outage: entries may have lapsed meanwhile."""
    return replace(directory, regained_at=now)


def begin_era(directory: Directory, era: int) -> Directory:
    """The lists that are taken from now on are of this era of the store."""
    return replace(directory, era=era)


def take_listing(directory: Directory, found: Iterable[Upstream], now: int) -> Directory:
    """Replace the listing by a whole one."""
    listed = {upstream.name: upstream for upstream in found}
    gone = [Change(name, None, removed=True) for name in directory.listed if name not in listed]
    doubted = {
        name: directory.doubted.get(name, now + RETURN_DOUBT_MS)
        for name, upstream in listed.items()
        if _is_doubtful(directory, upstream)
    }
    here = [Change(name, upstream) for name, upstream in listed.items()]
    changed = take_changes(directory, [*here, *gone], now)
    return replace(changed, doubted=doubted)


def take_changes(directory: Directory, changes: Iterable[Change], now: int) -> Directory:
    """Apply changed entries in order."""
    listed, missing = dict(directory.listed), dict(directory.missing)
    departed, doubted = dict(directory.departed), dict(directory.doubted)
    for change in changes:
        before = listed.get(change.name)
        doubted.pop(change.name, None)
        if change.upstream is not None:
            upstream = _keep_leaving(directory, change.upstream)
            listed[change.name] = upstream
            missing.pop(change.name, None)
            if upstream.leaving:
                departed.setdefault(upstream.life, Departure(True, directory.era))
            else:
                departed.pop(upstream.life, None)
        elif change.removed and before is not None and _may_return(directory, now):
            missing.setdefault(change.name, (directory.regained_at or 0) + RELIST_MS)
        else:
            listed.pop(change.name, None)
            missing.pop(change.name, None)
            if before is not None:
                departed.setdefault(before.life, Departure(False, directory.era))
    while len(departed) > MOST_DEPARTURES:
        del departed[next(iter(departed))]
    return replace(directory, listed=listed, missing=missing, departed=departed, doubted=doubted)


def list_still_leaving(directory: Directory) -> list[str]:
    """Return the listed upstreams that were seen leaving before the store was restored."""
    return [
        upstream.name
        for upstream in directory.listed.values()
        if upstream.leaving and _was_leaving(directory, upstream)
    ]


def drop_missing(directory: Directory, now: int) -> Directory:
    """Forget upstreams that did not list themselves again in time."""
    over = {name for name, until in directory.missing.items() if until <= now}
    if not over:
        return directory
    return take_changes(directory, [Change(name, None) for name in over], now)


def _keep_leaving(directory: Directory, upstream: Upstream) -> Upstream:
    if _was_leaving(directory, upstream):
        return replace(upstream, leaving=True)
    return upstream


def _was_leaving(directory: Directory, upstream: Upstream) -> bool:
    departure = _find_departure(directory, upstream)
    return departure is not None and departure.leaving and upstream.born_ms > 0


def _is_doubtful(directory: Directory, upstream: Upstream) -> bool:
    """Tell whether a whole list names a life that had been removed, and nothing of it since."""
    known = directory.listed.get(upstream.name)
    if upstream.name in directory.doubted:
        return known is not None and known.life == upstream.life
    departed = _find_departure(directory, upstream) is not None
    return departed and not _was_leaving(directory, upstream)


def _find_departure(directory: Directory, upstream: Upstream) -> Departure | None:
    """Return the departure of this life that a restored list may have forgotten."""
    departure = directory.departed.get(upstream.life)
    return departure if departure is not None and departure.era < directory.era else None


def _may_return(directory: Directory, now: int) -> bool:
    return directory.regained_at is not None and now < directory.regained_at + RELIST_MS
