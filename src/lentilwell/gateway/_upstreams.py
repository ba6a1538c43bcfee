"""The directory of upstreams, built from the store's listing. Pure logic, no I/O.

Entries of the listing can expire during a store outage although their upstreams are healthy.
Upstreams that disappear right after an outage therefore stay in use until they have had time to
register again.

A store that is restored from an older backup begins a new era. The restored listing can contain
upstreams that have left since the backup: an incarnation that was draining stays so, and one that
was removed is used again only once its entry has changed or has outlived the entry timeout of a
dead upstream.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

# Healthy upstreams register again within about this time after the store recovers.
RELIST_MS = 2_000
# The platform removes the entry of a dead upstream after three missed heartbeats, about 4 s. A
# restored entry that outlives this time belongs to a running upstream.
QUARANTINE_MS = 6_000
# Bound on the remembered departures; the oldest entries are dropped first.
MAX_DEPARTURES = 4_096


@dataclass(frozen=True)
class Incarnation:
    """Identifies one start of an upstream: its name and the Unix time of the start in ms.

    ``born_ms`` is 0 if the upstream does not publish its start time.
    """

    name: str
    born_ms: int


@dataclass(frozen=True)
class Upstream:
    """One listed incarnation of an upstream; ``address`` is host:port.

    ``born_ms`` is the Unix time of its start in milliseconds, 0 if it is not published. ``cold_ms``
    is how long it remained cold when the entry was written; ``odd_cold`` is the text of an invalid
    remaining time, which counts as 0.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    born_ms: int = 0
    cold_ms: int = field(default=0, compare=False)
    odd_cold: str | None = field(default=None, compare=False)

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation of this entry."""
        return Incarnation(self.name, self.born_ms)


@dataclass(frozen=True)
class ListingChange:
    """A changed entry of the listing.

    ``upstream`` is None if the entry was removed or is unreadable; ``removed`` is set only if it
    was removed.
    """

    name: str
    upstream: Upstream | None
    removed: bool = False


@dataclass(frozen=True)
class Departure:
    """An incarnation that began to drain or was removed, with the era of the store at that time.

    ``leaving`` is set if it was draining, and unset if its entry was removed without a drain.
    """

    leaving: bool
    era: int


@dataclass(frozen=True)
class Directory:
    """The known upstreams by name; times are in milliseconds of the clock.

    ``missing`` maps upstreams that disappeared after a store outage to the time until which they
    stay in use. ``quarantined`` maps upstreams that a restored listing contains although they had
    been removed to the time from which they are used. ``store_recovered_at`` is when the store
    answered again after an outage, ``era`` its current era.
    """

    listed: Mapping[str, Upstream] = field(default_factory=dict)
    missing: Mapping[str, int] = field(default_factory=dict)
    store_recovered_at: int | None = None
    era: int = 0
    departures: Mapping[Incarnation, Departure] = field(default_factory=dict)
    quarantined: Mapping[str, int] = field(default_factory=dict)

    def find_usable(self, service: str, now: int) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that may get new requests."""
        return tuple(
            upstream
            for upstream in self.listed.values()
            if upstream.service == service
            and not upstream.leaving
            and self.missing.get(upstream.name, now + 1) > now
            and self.quarantined.get(upstream.name, now) <= now
        )


def record_store_recovery(directory: Directory, now: int) -> Directory:
    """Return the directory after the end of a store outage, in which entries may have expired."""
    return replace(directory, store_recovered_at=now)


def begin_era(directory: Directory, era: int) -> Directory:
    """Return the directory with the era of the store to which later listings and changes belong."""
    return replace(directory, era=era)


def apply_listing(directory: Directory, upstreams: Iterable[Upstream], now: int) -> Directory:
    """Return the directory with its entries replaced by a complete listing."""
    listed = {upstream.name: upstream for upstream in upstreams}
    removed = [
        ListingChange(name, None, removed=True) for name in directory.listed if name not in listed
    ]
    quarantined = {
        name: directory.quarantined.get(name, now + QUARANTINE_MS)
        for name, upstream in listed.items()
        if _needs_quarantine(directory, upstream)
    }
    present = [ListingChange(name, upstream) for name, upstream in listed.items()]
    changed = apply_changes(directory, [*present, *removed], now)
    return replace(changed, quarantined=quarantined)


def apply_changes(directory: Directory, changes: Iterable[ListingChange], now: int) -> Directory:
    """Return the directory after changed entries of the listing, which are applied in order."""
    listed, missing = dict(directory.listed), dict(directory.missing)
    departures, quarantined = dict(directory.departures), dict(directory.quarantined)
    for change in changes:
        before = listed.get(change.name)
        quarantined.pop(change.name, None)
        if change.upstream is not None:
            upstream = _restore_leaving(directory, change.upstream)
            listed[change.name] = upstream
            missing.pop(change.name, None)
            if upstream.leaving:
                departures.setdefault(upstream.incarnation, Departure(True, directory.era))
            else:
                departures.pop(upstream.incarnation, None)
        elif change.removed and before is not None and _may_be_relisted(directory, now):
            missing.setdefault(change.name, (directory.store_recovered_at or 0) + RELIST_MS)
        else:
            listed.pop(change.name, None)
            missing.pop(change.name, None)
            if before is not None:
                departures.setdefault(before.incarnation, Departure(False, directory.era))
    while len(departures) > MAX_DEPARTURES:
        del departures[next(iter(departures))]
    return replace(
        directory, listed=listed, missing=missing, departures=departures, quarantined=quarantined
    )


def list_still_leaving(directory: Directory) -> list[str]:
    """Return the listed upstreams that were already draining before the store was restored."""
    return [
        upstream.name
        for upstream in directory.listed.values()
        if upstream.leaving and _was_leaving(directory, upstream)
    ]


def drop_missing(directory: Directory, now: int) -> Directory:
    """Return the directory without the missing upstreams that did not register again in time."""
    expired = {name for name, until in directory.missing.items() if until <= now}
    if not expired:
        return directory
    return apply_changes(directory, [ListingChange(name, None) for name in expired], now)


def _restore_leaving(directory: Directory, upstream: Upstream) -> Upstream:
    if _was_leaving(directory, upstream):
        return replace(upstream, leaving=True)
    return upstream


def _was_leaving(directory: Directory, upstream: Upstream) -> bool:
    departure = _find_departure(directory, upstream)
    return departure is not None and departure.leaving and upstream.born_ms > 0


def _needs_quarantine(directory: Directory, upstream: Upstream) -> bool:
    """Tell whether a complete listing contains an upstream that had been removed before."""
    known = directory.listed.get(upstream.name)
    if upstream.name in directory.quarantined:
        return known is not None and known.incarnation == upstream.incarnation
    has_departed = _find_departure(directory, upstream) is not None
    return has_departed and not _was_leaving(directory, upstream)


def _find_departure(directory: Directory, upstream: Upstream) -> Departure | None:
    """Return the departure of this incarnation, if it belongs to an earlier era of the store."""
    departure = directory.departures.get(upstream.incarnation)
    return departure if departure is not None and departure.era < directory.era else None


def _may_be_relisted(directory: Directory, now: int) -> bool:
    return (
        directory.store_recovered_at is not None and now < directory.store_recovered_at + RELIST_MS
    )
