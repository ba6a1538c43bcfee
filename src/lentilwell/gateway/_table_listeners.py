"""What becomes of the store's tables when they are read: configuration and upstreams."""

from __future__ import annotations

from lentilwell._clock import Clock
from lentilwell._log_lines import (
    ConfigurationConfirmed,
    ConfigurationInForce,
    ConfigurationKept,
    UpstreamChanged,
    UpstreamKept,
    UpstreamsListed,
    write_line,
)
from lentilwell.gateway._catalog import Catalog
from lentilwell.gateway._configuration_choice import (
    ConfigurationChoice,
    Found,
    Judgement,
    Verdict,
)
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._ports import Listing
from lentilwell.gateway._upstreams import (
    Change,
    Directory,
    Upstream,
    begin_era,
    list_still_leaving,
    note_regained,
    take_changes,
    take_listing,
)


class CatalogListener:
    """Takes newer configurations into force; none that is older than the one in force ever is."""

    def __init__(self, choice: ConfigurationChoice, clock: Clock) -> None:
        self._choice = choice
        self._clock = clock
        self._era: int | None = None
        self._waiting: Found | None = None
        self._due_at = 0

    def take_all(self, listing: Listing[Catalog]) -> None:
        """Take the configuration of a whole reading."""
        restored = self._era is not None and listing.era > self._era
        self._era = listing.era
        self._take(listing, restored)

    def take_changes(self, listing: Listing[Catalog]) -> None:
        """Take a changed configuration."""
        self._take(listing, restored=False)

    def note_regained(self) -> None:
        """Nothing lapses from a configuration."""

    def settle(self) -> None:
        """Take what was read a while ago and has stood since, where that was waited for."""
        if self._waiting is not None and self._clock.now() >= self._due_at:
            found, self._waiting = self._waiting, None
            self._put_into_force(found)

    def _take(self, listing: Listing[Catalog], restored: bool) -> None:
        for entry in listing.entries:
            if entry.value is not None:
                self._take_found(Found(entry.value, listing.at, restored))

    def _take_found(self, found: Found) -> None:
        judgement = self._choice.judge(found)
        if self._waiting is not None and self._waiting.catalog.is_same(found.catalog):
            self._due_at = min(self._due_at, self._clock.now() + judgement.wait_ms)
            return
        self._drop_waiting()
        if judgement.verdict is Verdict.TAKE:
            self._put_into_force(found)
        elif judgement.verdict is Verdict.CONFIRM:
            self._choice.take(found)
            write_line(ConfigurationConfirmed(found.catalog.version, found.at.era))
        elif judgement.verdict is Verdict.WAIT:
            self._wait(found, judgement)
        else:
            self._keep(found, judgement)

    def _drop_waiting(self) -> None:
        if self._waiting is not None:
            self._choice.note_seen(self._waiting.catalog)
            self._waiting = None

    def _wait(self, found: Found, judgement: Judgement) -> None:
        self._waiting = found
        self._due_at = self._clock.now() + judgement.wait_ms
        self._log_kept(found, judgement, judgement.wait_ms)

    def _keep(self, found: Found, judgement: Judgement) -> None:
        self._choice.note_seen(found.catalog)
        if judgement.reason:
            self._log_kept(found, judgement, None)

    def _log_kept(self, found: Found, judgement: Judgement, until_ms: int | None) -> None:
        known = self._choice.in_force
        assert known is not None
        kept = ConfigurationKept(
            known.version, found.catalog.version, found.at.era, judgement.reason, until_ms
        )
        write_line(kept)

    def _put_into_force(self, found: Found) -> None:
        known = self._choice.in_force
        self._choice.take(found)
        in_force = ConfigurationInForce(
            version=found.catalog.version,
            previous=known.version if known is not None else None,
            store_version=found.at.version,
            store_era=found.at.era,
            routes=len(found.catalog.routes),
            teams=len(found.catalog.teams),
        )
        write_line(in_force)


class UpstreamListener:
    """Keeps the directory of upstreams."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def take_all(self, listing: Listing[Upstream]) -> None:
        """Take a whole listing."""
        now = self._fleet.clock.now()
        found = [entry.value for entry in listing.entries if entry.value is not None]
        restored = self._fleet.listed and listing.era > self._fleet.directory.era
        directory = begin_era(self._fleet.directory, listing.era)
        if restored:
            directory = note_regained(directory, now)
        self._fleet.directory = take_listing(directory, found, now)
        self._fleet.listed = True
        self._fleet.listing_at = listing.at
        write_line(UpstreamsListed(len(found), listing.version, listing.era))
        if restored:
            _log_kept(self._fleet.directory, now)

    def take_changes(self, listing: Listing[Upstream]) -> None:
        """Take changed entries."""
        now = self._fleet.clock.now()
        changes = [Change(entry.key, entry.value, entry.removed) for entry in listing.entries]
        self._fleet.directory = take_changes(self._fleet.directory, changes, now)
        self._fleet.listing_at = listing.at
        for change in changes:
            _log_change(change, listing.version)

    def note_regained(self) -> None:
        """Entries may have lapsed while the store was away."""
        now = self._fleet.clock.now()
        self._fleet.directory = note_regained(self._fleet.directory, now)


def _log_kept(directory: Directory, now: int) -> None:
    for name, until in directory.missing.items():
        write_line(UpstreamKept(name, "missing from the restored list", until - now))
    for name, until in directory.doubted.items():
        write_line(UpstreamKept(name, "had been removed before the restore", until - now))
    for name in list_still_leaving(directory):
        write_line(UpstreamKept(name, "had been leaving before the restore", None))


def _log_change(change: Change, store_version: int) -> None:
    state = "removed" if change.removed else "unreadable"
    if change.upstream is not None:
        state = "leaving" if change.upstream.leaving else "listed"
    write_line(UpstreamChanged(change.name, state, store_version))
