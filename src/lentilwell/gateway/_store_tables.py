"""The tables of the store as one instance follows them, alone or through other instances."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from lentilwell._clock import Clock
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._peers import Peers
from lentilwell.gateway._ports import Feed, Feeds, ValueT
from lentilwell.gateway._settings import GatewaySettings
from lentilwell.gateway._store_report import StoreReport
from lentilwell.gateway._table_listeners import (
    CatalogListener,
    EvacuationListener,
    OperatorListener,
    UpstreamListener,
)
from lentilwell.gateway._upstreams import Incarnation
from lentilwell.gateway.following import (
    SOURCE_MESSAGE_PREFIX,
    CallReason,
    Follower,
    Listener,
    Relay,
    TableReport,
    TableStatus,
)


class StoreTables:
    """The followers of the configuration and of the upstreams, and the relay between instances.

    ``on_restore`` is called when the store was restored from an older copy, ``on_call`` with the
    table and the reason of each call to the store.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        incarnation: str,
        clock: Clock,
        fleet: Fleet,
        peers: Peers,
        feeds: Feeds,
    ) -> None:
        self._clock = clock
        self._fleet = fleet
        self._peers = peers
        self.on_restore: Callable[[], None] = lambda: None
        self.on_call: Callable[[str, CallReason], None] = lambda table, reason: None
        self.catalog_listener = CatalogListener(fleet.configuration_choice, clock)
        evacuation_listener = EvacuationListener(fleet.evacuations, feeds.find_evacuated)
        self.catalog = self._make_follower(
            0,
            "configuration",
            feeds.catalog,
            OperatorListener(evacuation_listener, self.catalog_listener),
        )
        self.upstreams = self._make_follower(
            1, "upstreams", feeds.upstreams, UpstreamListener(fleet)
        )
        followers = (self.catalog, self.upstreams)
        self.relay = Relay(settings.instance, incarnation, settings.data_centre, clock, followers)
        self._connect_relay()
        feeds.eras.on_new_era = self._handle_restore
        peers.collect_store_report = self._collect_report
        peers.on_store_report = self._handle_report
        peers.on_silence = self._check

    @property
    def background_tasks(self) -> dict[str, Callable[[], Coroutine[Any, Any, None]]]:
        """Return what runs as long as the process, by name."""
        return {
            "configuration": self.catalog.run,
            "upstreams": self.upstreams.run,
            "relay": self.relay.run,
        }

    def list_status(self) -> tuple[TableStatus, ...]:
        """Return the status of following each table."""
        return self.catalog.status, self.upstreams.status

    def is_listed_now(self, incarnation: Incarnation) -> bool:
        """Tell whether the store, which answers, lists an incarnation."""
        unavailable = self.upstreams.report.unavailable
        missing = incarnation.name in self._fleet.directory.missing
        return self._fleet.is_listed(incarnation) and not unavailable and not missing

    def _make_follower(
        self, index: int, name: str, feed: Feed[ValueT], listener: Listener[ValueT]
    ) -> Follower[ValueT]:
        follower = Follower(
            name,
            feed,
            listener,
            self._clock,
            lambda: self.relay.find_rank(index, self._peers.rank),
        )
        follower.on_call = lambda table, reason: self.on_call(table, reason)
        return follower

    def _connect_relay(self) -> None:
        """Let the relay use the datagrams of the peers and the list of instances."""
        self.relay.list_members = lambda: self._peers.neighbours
        self.relay.count_instances = lambda: self._peers.in_contact
        self.relay.is_stopping = lambda: self._peers.stopping
        self.relay.send = self._peers.send_to
        self._peers.source_message_prefix = SOURCE_MESSAGE_PREFIX
        self._peers.on_source_message = self.relay.handle_datagram

    def _collect_report(self) -> StoreReport:
        configuration, listing = self.catalog.report, self.upstreams.report
        return StoreReport(
            configuration.changed,
            listing.changed,
            configuration.unavailable or listing.unavailable,
        )

    def _handle_report(self, report: StoreReport) -> None:
        self.catalog.handle_report(TableReport(report.configuration, report.unavailable))
        self.upstreams.handle_report(TableReport(report.listing, report.unavailable))

    def _handle_restore(self, era: int) -> None:
        """Read the tables of a restored store again, and write the entry of this instance again."""
        self.on_restore()
        self.catalog.handle_era(era)
        self.upstreams.handle_era(era)
        self._peers.handle_store_restored()
        self._peers.schedule_send()

    def _check(self, silent_peer: str) -> None:
        """Check the store after a peer has gone silent: one network fault may affect both."""
        for follower in (self.catalog, self.upstreams):
            follower.check(f"{silent_peer} has gone silent")
