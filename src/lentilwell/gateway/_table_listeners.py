"""Listeners for the store's tables: the configuration, evacuations and the upstreams."""

from __future__ import annotations

from collections.abc import Callable, Collection

from lentilwell._clock import Clock
from lentilwell._log_lines import (
    ConfigurationConfirmed,
    ConfigurationInForce,
    ConfigurationKept,
    RegionsUnknown,
    UpstreamChanged,
    UpstreamKept,
    UpstreamsListed,
    write_line,
)
from lentilwell.gateway._catalog import Catalog
from lentilwell.gateway._configuration_choice import (
    ConfigurationAction,
    ConfigurationChoice,
    Decision,
    ReadConfiguration,
)
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._ports import Listing, OperatorRow
from lentilwell.gateway._upstreams import (
    Directory,
    ListingChange,
    Upstream,
    apply_changes,
    apply_listing,
    begin_era,
    list_still_leaving,
    record_store_recovery,
)
from lentilwell.gateway.evacuation import EvacuationChange, EvacuationTracker

# Bound on the names in one log line.
MAX_LOGGED_REGIONS = 20


class OperatorListener:
    """Passes the operator's table on: first its evacuations, then the configuration."""

    def __init__(self, evacuations: EvacuationListener, catalog: CatalogListener) -> None:
        self._evacuations = evacuations
        self._catalog = catalog

    def handle_listing(self, listing: Listing[OperatorRow]) -> None:
        """Handle a complete listing of the table."""
        self._evacuations.handle_listing(listing)
        self._catalog.handle_listing(listing)

    def handle_changes(self, listing: Listing[OperatorRow]) -> None:
        """Handle changed rows."""
        self._evacuations.handle_changes(listing)
        self._catalog.handle_changes(listing)

    def handle_store_recovery(self) -> None:
        """Do nothing: neither evacuations nor a configuration expire in an outage of the store."""


class EvacuationListener:
    """Recognizes the rows that evacuate data centres by their keys, whatever their values.

    ``find_data_centre`` returns the data centre for a key, None for the keys of other rows.
    """

    def __init__(
        self, tracker: EvacuationTracker, find_data_centre: Callable[[str], str | None]
    ) -> None:
        self._tracker = tracker
        self._find_data_centre = find_data_centre
        self._era: int | None = None
        self._rows: dict[str, OperatorRow | None] = {}
        self._newest_version = 0

    def handle_listing(self, listing: Listing[OperatorRow]) -> None:
        """Handle a complete listing.

        One of the same era may differ if the history is gone. In a new era, only a configuration
        that is newer than all known ones shows a change: an older copy can't hold it.
        """
        rows = {entry.key: entry.value for entry in listing.entries}
        newer = self._record_version(listing)
        rewritten = rows != self._rows if listing.era == self._era else newer
        self._era, self._rows = listing.era, rows
        found = map(self._find_data_centre, rows)
        data_centres = [name for name in found if name is not None]
        self._tracker.handle_listing(data_centres, listing.at, rewritten)

    def handle_changes(self, listing: Listing[OperatorRow]) -> None:
        """Handle changed rows."""
        self._record_version(listing)
        changes: list[EvacuationChange] = []
        for entry in listing.entries:
            self._rows[entry.key] = entry.value
            if entry.removed:
                del self._rows[entry.key]
            data_centre = self._find_data_centre(entry.key)
            if data_centre is not None:
                changes.append(EvacuationChange(data_centre, entry.removed))
        if listing.entries:
            self._tracker.handle_changes(changes, listing.at)

    def _record_version(self, listing: Listing[OperatorRow]) -> bool:
        """Record the version of the configuration; tell whether it is newer than all before."""
        values = [entry.value for entry in listing.entries]
        newest = max((one.version for one in values if isinstance(one, Catalog)), default=0)
        newer = newest > self._newest_version
        self._newest_version = max(self._newest_version, newest)
        return newer


class CatalogListener:
    """Puts those configurations in force that ``ConfigurationChoice`` accepts as newer.

    ``list_regions`` returns the regions that the settings name.
    """

    def __init__(self, choice: ConfigurationChoice, clock: Clock) -> None:
        self._choice = choice
        self._clock = clock
        self._era: int | None = None
        self._pending: ReadConfiguration | None = None
        self._due_at = 0
        self.list_regions: Callable[[], Collection[str]] = lambda: ()

    def handle_listing(self, listing: Listing[OperatorRow]) -> None:
        """Handle the configuration of a complete listing."""
        restored = self._era is not None and listing.era > self._era
        self._era = listing.era
        self._handle(listing, restored)

    def handle_changes(self, listing: Listing[OperatorRow]) -> None:
        """Handle a changed configuration."""
        self._handle(listing, restored=False)

    def handle_store_recovery(self) -> None:
        """Do nothing: a configuration does not expire in an outage of the store."""

    def apply_pending(self) -> None:
        """Put the pending configuration in force once it was unchanged for the required time."""
        if self._pending is not None and self._clock.now() >= self._due_at:
            candidate, self._pending = self._pending, None
            self._put_in_force(candidate)

    def _handle(self, listing: Listing[OperatorRow], restored: bool) -> None:
        for entry in listing.entries:
            if isinstance(entry.value, Catalog):
                self._handle_configuration(ReadConfiguration(entry.value, listing.at, restored))

    def _handle_configuration(self, candidate: ReadConfiguration) -> None:
        decision = self._choice.decide(candidate)
        if self._pending is not None and self._pending.catalog.is_same(candidate.catalog):
            self._due_at = min(self._due_at, self._clock.now() + decision.wait_ms)
            return
        self._drop_pending()
        if decision.action is ConfigurationAction.APPLY:
            self._put_in_force(candidate)
        elif decision.action is ConfigurationAction.CONFIRM:
            self._choice.put_in_force(candidate)
            write_line(ConfigurationConfirmed(candidate.catalog.version, candidate.at.era))
        elif decision.action is ConfigurationAction.WAIT:
            self._postpone(candidate, decision)
        else:
            self._keep_in_force(candidate, decision)

    def _drop_pending(self) -> None:
        if self._pending is not None:
            self._choice.record_seen(self._pending.catalog)
            self._pending = None

    def _postpone(self, candidate: ReadConfiguration, decision: Decision) -> None:
        self._pending = candidate
        self._due_at = self._clock.now() + decision.wait_ms
        self._log_kept(candidate, decision, decision.wait_ms)

    def _keep_in_force(self, candidate: ReadConfiguration, decision: Decision) -> None:
        self._choice.record_seen(candidate.catalog)
        if decision.reason:
            self._log_kept(candidate, decision, None)

    def _log_kept(
        self, candidate: ReadConfiguration, decision: Decision, until_ms: int | None
    ) -> None:
        current = self._choice.in_force
        assert current is not None
        kept = ConfigurationKept(
            current.version, candidate.catalog.version, candidate.at.era, decision.reason, until_ms
        )
        write_line(kept)

    def _put_in_force(self, candidate: ReadConfiguration) -> None:
        current = self._choice.in_force
        self._choice.put_in_force(candidate)
        in_force = ConfigurationInForce(
            version=candidate.catalog.version,
            previous=current.version if current is not None else None,
            store_version=candidate.at.version,
            store_era=candidate.at.era,
            routes=len(candidate.catalog.routes),
            teams=len(candidate.catalog.teams),
        )
        write_line(in_force)
        unknown = candidate.catalog.list_regions().difference(self.list_regions())
        if unknown:
            names = " ".join(sorted(unknown)[:MAX_LOGGED_REGIONS])
            write_line(RegionsUnknown(candidate.catalog.version, len(unknown), names))


class UpstreamListener:
    """Updates the directory of upstreams from the store's listing."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def handle_listing(self, listing: Listing[Upstream]) -> None:
        """Replace the entries of the directory by a complete listing."""
        now = self._fleet.clock.now()
        upstreams = [entry.value for entry in listing.entries if entry.value is not None]
        is_first = not self._fleet.listing_known
        restored = self._fleet.listing_known and listing.era > self._fleet.directory.era
        directory = begin_era(self._fleet.directory, listing.era)
        if restored:
            directory = record_store_recovery(directory, now)
        self._fleet.directory = apply_listing(directory, upstreams, now)
        self._fleet.listing_known = True
        self._fleet.listing_point = listing.at
        self._fleet.cold_watch.handle_entries(upstreams, is_first)
        write_line(UpstreamsListed(len(upstreams), listing.version, listing.era))
        # The instances to exchange news with are known from here on, also at the start.
        self._fleet.update_shards()
        self._fleet.on_new_report()
        if restored:
            _log_kept(self._fleet.directory, now)

    def handle_changes(self, listing: Listing[Upstream]) -> None:
        """Apply changed entries of the listing to the directory."""
        now = self._fleet.clock.now()
        changes = [
            ListingChange(entry.key, entry.value, entry.removed) for entry in listing.entries
        ]
        self._fleet.directory = apply_changes(self._fleet.directory, changes, now)
        self._fleet.listing_point = listing.at
        listed = [change.upstream for change in changes if change.upstream is not None]
        self._fleet.cold_watch.handle_entries(listed, is_first_listing=False)
        for change in changes:
            _log_change(change, listing.version)

    def handle_store_recovery(self) -> None:
        """Record that entries may have expired during an outage of the store."""
        now = self._fleet.clock.now()
        self._fleet.directory = record_store_recovery(self._fleet.directory, now)


def _log_kept(directory: Directory, now: int) -> None:
    for name, until in directory.missing.items():
        write_line(UpstreamKept(name, "missing from the restored list", until - now))
    for name, until in directory.quarantined.items():
        write_line(UpstreamKept(name, "had been removed before the restore", until - now))
    for name in list_still_leaving(directory):
        write_line(UpstreamKept(name, "had been leaving before the restore", None))


def _log_change(change: ListingChange, store_version: int) -> None:
    state = "removed" if change.removed else "unreadable"
    if change.upstream is not None:
        state = "leaving" if change.upstream.leaving else "listed"
    write_line(UpstreamChanged(change.name, state, store_version))
