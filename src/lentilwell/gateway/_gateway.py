"""The gateway: the application object of a process that forwards requests to upstreams."""

from __future__ import annotations

import asyncio
import signal
import socket
import uuid
from collections.abc import Callable, Coroutine
from typing import Any

from result import Err

from lentilwell._clock import BootClock, Clock
from lentilwell._listening import listen_at
from lentilwell._log_lines import (
    CallbackFailed,
    ExchangeFailed,
    MetricsNotServed,
    RequestRejected,
    SettingsReloaded,
    Started,
    StopBegun,
    Stopped,
    TaskFailed,
    write_line,
)
from lentilwell.gateway._answer_observer import AnswerObserver
from lentilwell.gateway._answers import answer_failure
from lentilwell.gateway._caller import Caller
from lentilwell.gateway._catalog import Limits
from lentilwell.gateway._exchange import Exchange, Tools
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._follower import Follower, Listener, TableReport, TableStatus
from lentilwell.gateway._leases import Leases
from lentilwell.gateway._link import split_address
from lentilwell.gateway._links import Links
from lentilwell.gateway._messages import InboundRequest
from lentilwell.gateway._metrics import Metrics, dump_fleet
from lentilwell.gateway._peers import Member, Peers
from lentilwell.gateway._ports import Dialect, Feed, Feeds, ValueT
from lentilwell.gateway._prober import Prober
from lentilwell.gateway._routing import ELSEWHERE_RETRY_MS, Rejection, Subject, find_subject
from lentilwell.gateway._settings import GatewaySettings
from lentilwell.gateway._shards import ShardView
from lentilwell.gateway._status import ANY_PATH, Question, StatusAnswer, StatusProtocol
from lentilwell.gateway._stopping import can_finish
from lentilwell.gateway._store_report import StoreReport
from lentilwell.gateway._table_listeners import CatalogListener, UpstreamListener

# Callers wait for the first reading of the store, a few ms where it answers.
LONGEST_START_MS = 500
START_LOOK_MS = 2
LIFE_LENGTH = 8
HOUSEKEEPING_MS = 250
# The balancer asks once a second and takes an instance out after two refusals.
LEAST_STOP_MS = 3_200
# Between the last answer and the kill: time to release leases and to write the logs.
STOP_MARGIN_MS = 300
# After them no connection waits to be accepted, and none has bytes that were not read.
LAST_ACCEPT_MS = 20
LAST_LOOK_MS = 20
LAST_QUIET_MS = 100
# The last answers reach the kernel before their connections are cut.
LAST_ANSWERS_MS = 50
# Callers on idle connections get a chance to be told by an answer first.
IDLE_CLOSE_AFTER_MS = 1_000
# About the rest of a stop and a start.
RESTART_RETRY_MS = 1_500
TASK_RESTART_MS = 500


class Gateway:
    """One process between callers and upstreams. ``run`` serves until a planned stop is over."""

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        feeds: Feeds,
        listener: socket.socket | None = None,
    ) -> None:
        self.settings = settings
        self._listener = listener
        self.clock: Clock = BootClock()
        shards = ShardView(settings.instance, settings.data_centre)
        self.fleet = Fleet(
            self.clock, settings.data_centre, settings.budget, settings.policy, shards
        )
        self.links = Links(self.clock)
        life = uuid.uuid4().hex[:LIFE_LENGTH]
        self.peers = Peers(
            settings.instance,
            life,
            Member(settings.peers_address, settings.data_centre),
            self.clock,
            self.fleet.load_tracker,
            shards,
        )
        self._catalog_listener = CatalogListener(self.fleet.configurations, self.clock)
        self._catalog_follower = self._follow(
            "configuration", feeds.catalog, self._catalog_listener
        )
        self._upstreams_follower = self._follow(
            "upstreams", feeds.upstreams, UpstreamListener(self.fleet)
        )
        feeds.eras.on_new_era = self._note_restore
        self.peers.find_store_report = self._tell_news
        self.peers.on_store_report = self._hear_news
        self.peers.on_silence = self._check_store
        self.fleet.load_tracker.on_change = self.peers.schedule_send
        self.fleet.count_instances = lambda: self.peers.instances
        self.fleet.find_digest_age = self.peers.find_oldest_digest_age
        self.fleet.on_report = self.peers.schedule_send
        evidence = AnswerObserver(self.fleet)
        self.peers.find_reports = evidence.find_reports
        self.peers.on_reports = evidence.update_reports
        self.leases = Leases(self.links, dialect, life, settings.longest_hold_ms)
        self.leases.on_answer = evidence.handle_head
        self._callers: set[Caller] = set()
        self._exchanges: set[Exchange] = set()
        self.metrics = Metrics(self.fleet, lambda: len(self._callers), self._list_tables)
        self._tools = Tools(self.fleet, evidence, self.links, self.leases, dialect, self.metrics)
        self._readiness: dict[str, Question] = {ANY_PATH: self._answer_readiness}
        self._status: dict[str, Question] = {
            "/metrics": lambda: StatusAnswer(200, self.metrics.render()),
            "/state": self._answer_state,
        }
        self._dialect = dialect
        self._feeds = feeds
        self._stopping_since: int | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._servers: list[asyncio.Server] = []
        self.read_changed_settings: Callable[[], GatewaySettings | None] = lambda: None

    @property
    def limits(self) -> Limits:
        """Return the limits in force for callers."""
        catalog = self.fleet.catalog
        return catalog.limits if catalog is not None else Limits()

    @property
    def stopping(self) -> bool:
        """Tell whether a planned stop has begun."""
        return self._stopping_since is not None

    @property
    def ready(self) -> bool:
        """Tell whether new callers are welcome."""
        return self.fleet.catalog is not None and self.fleet.listing_known and not self.stopping

    async def run(self) -> None:
        """Start, serve until a planned stop is over, and stop."""
        await self.start()
        loop = asyncio.get_running_loop()
        while not self._may_end():
            due_s = loop.time() + HOUSEKEEPING_MS / 1_000
            await asyncio.sleep(due_s - loop.time())
            self.metrics.note_lag(loop.time() - due_s)
            self._keep_house()
        await self.run_to_end()

    async def run_to_end(self) -> None:
        """Answer what came just before the end of a planned stop, and stop."""
        # Connections that the kernel has accepted are taken before the listeners close.
        await asyncio.sleep(LAST_ACCEPT_MS / 1_000)
        self._close_listeners()
        quiet_ms = 0
        while quiet_ms < LAST_QUIET_MS and self._stopping_for() < self._longest_stop_ms:
            await asyncio.sleep(LAST_LOOK_MS / 1_000)
            quiet = not any(caller.busy for caller in self._callers)
            quiet_ms = quiet_ms + LAST_LOOK_MS if quiet else 0
        await self.stop()

    def drain(self) -> None:
        """Begin a planned stop; a second call changes nothing."""
        if self._stopping_since is None:
            self._stopping_since = self.clock.now()
            self.peers.stopping = True
            self.peers.schedule_send()
            write_line(StopBegun(len(self._callers)))

    async def serve(self, caller: Caller, request: InboundRequest) -> None:
        """Answer one request: reject what is wrong at once, forward the rest."""
        try:
            await self._serve(caller, request)
        except Exception as error:
            write_line(ExchangeFailed(request.target.decode("latin-1")), error)
            raise

    async def _serve(self, caller: Caller, request: InboundRequest) -> None:
        try:
            facts = self._dialect.read_facts(request)
        except ValueError as error:
            self._reject(caller, "", Rejection(400, str(error)))
            return
        found = find_subject(self.fleet.catalog, request, facts)
        if isinstance(found, Err):
            self._reject(caller, facts.request_id, found.err_value)
            return
        subject = found.ok_value
        if self.stopping and not self._can_finish(subject):
            retry_ms = ELSEWHERE_RETRY_MS if self.peers.others_serve else RESTART_RETRY_MS
            self._reject(caller, facts.request_id, Rejection(503, "stopping", retry_ms))
            return
        self.fleet.find_budget(subject.service).note_request(self.clock.now())
        exchange = Exchange(self._tools, subject, caller)
        self._exchanges.add(exchange)
        try:
            await exchange.run()
        finally:
            self._exchanges.discard(exchange)

    def note_open(self, caller: Caller) -> None:
        """Remember an open connection."""
        self._callers.add(caller)

    def note_closed(self, caller: Caller) -> None:
        """Forget a connection."""
        self._callers.discard(caller)

    def note_rejected(self, status: int, reason: str) -> None:
        """Log what was no proper request."""
        self.metrics.count_rejection(status)
        write_line(RequestRejected(status, reason))

    def _reject(self, caller: Caller, request_id: str, rejection: Rejection) -> None:
        catalog = self.fleet.catalog
        self.metrics.count_rejection(rejection.status)
        version = catalog.version if catalog is not None else None
        write_line(RequestRejected(rejection.status, rejection.reason, request_id, version))
        answer_failure(caller, rejection.status, rejection.reason, rejection.retry_after_ms)

    @property
    def callers_port(self) -> int:
        """Return the port on which callers are served, once started."""
        assert self._listener is not None
        port: int = self._listener.getsockname()[1]
        return port

    async def start(self) -> None:
        """Listen, and begin to follow the store."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(_log_unhandled)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.drain)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self._listen(self.settings.ready_address, lambda: StatusProtocol(self._readiness))
        await self._listen_for_operators()
        self._listener = self._listener or listen_at(self.settings.callers_address)
        host, port = split_address(self.settings.peers_address)
        await loop.create_datagram_endpoint(lambda: self.peers, (host, port))
        runs = {
            "configuration": self._catalog_follower.run,
            "upstreams": self._upstreams_follower.run,
            "instances": lambda: self.peers.run_membership(self._feeds.membership),
            "probes": Prober(self.fleet, self.links).run,
        }
        self._tasks = [loop.create_task(_run_for_good(name, run)) for name, run in runs.items()]
        self._tasks.append(loop.create_task(self._accept_once_ready(self._listener)))
        write_line(Started(self.settings.callers_address))

    def _follow(
        self, name: str, feed: Feed[ValueT], listener: Listener[ValueT]
    ) -> Follower[ValueT]:
        return Follower(name, feed, listener, self.clock, lambda: self.peers.rank)

    def _tell_news(self) -> StoreReport:
        configuration, listing = self._catalog_follower.report, self._upstreams_follower.report
        return StoreReport(
            configuration.changed,
            listing.changed,
            configuration.unavailable or listing.unavailable,
        )

    def _hear_news(self, news: StoreReport) -> None:
        self._catalog_follower.handle_report(TableReport(news.configuration, news.unavailable))
        self._upstreams_follower.handle_report(TableReport(news.listing, news.unavailable))

    def _note_restore(self, era: int) -> None:
        """The store came back from an older copy: read it anew, and write what it may have lost."""
        self.metrics.count_restore()
        self._catalog_follower.handle_era(era)
        self._upstreams_follower.handle_era(era)
        self.peers.handle_store_restored()
        self.peers.schedule_send()

    def _check_store(self, silent_peer: str) -> None:
        """A peer has fallen silent: what cut it off may have cut off the store."""
        for follower in (self._catalog_follower, self._upstreams_follower):
            follower.check(f"{silent_peer} has fallen silent")

    async def _accept_once_ready(self, listener: socket.socket) -> None:
        """Take callers once they can be served; after a while all the same, to tell them so."""
        loop = asyncio.get_running_loop()
        until = self.clock.now() + LONGEST_START_MS
        while not self.ready and not self.stopping and self.clock.now() < until:
            await asyncio.sleep(START_LOOK_MS / 1_000)
        server = await loop.create_server(lambda: Caller(self.clock, self), sock=listener)
        self._servers.append(server)

    async def _listen(self, address: str, make: Callable[[], asyncio.BaseProtocol]) -> None:
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        self._servers.append(await loop.create_server(make, host, port))

    async def _listen_for_operators(self) -> None:
        """Serve metrics and state; callers are served without them too."""
        address = self.settings.metrics_address
        try:
            await self._listen(address, lambda: StatusProtocol(self._status))
        except OSError as error:
            write_line(MetricsNotServed(address, str(error)))

    def _list_tables(self) -> tuple[TableStatus, ...]:
        return self._catalog_follower.status, self._upstreams_follower.status

    def _answer_state(self) -> StatusAnswer:
        return StatusAnswer(200, dump_fleet(self.fleet, self._list_tables()), b"application/json")

    def _answer_readiness(self) -> StatusAnswer:
        return StatusAnswer(200 if self.ready else 503)

    def reload(self) -> None:
        """Take changed settings into force; listeners stay as they are until the next start."""
        settings = self.read_changed_settings()
        if settings is None or settings == self.settings:
            return
        listening = (settings.callers_address, settings.ready_address, settings.peers_address)
        old = self.settings
        same = listening == (old.callers_address, old.ready_address, old.peers_address)
        write_line(SettingsReloaded(same, settings.budget.extra))
        self.settings = settings
        self.fleet.change_budget(settings.budget)

    def _keep_house(self) -> None:
        self.reload()
        self.peers.run_maintenance()
        self._catalog_listener.apply_pending()
        self.fleet.remove_unlisted()
        self.fleet.update_shards()
        self.links.keep_only(upstream.address for upstream in self.fleet.directory.listed.values())
        if self._stopping_for() >= IDLE_CLOSE_AFTER_MS:
            for caller in list(self._callers):
                caller.close_idle()

    def _may_end(self) -> bool:
        if not self.stopping:
            return False
        stopping_ms = self._stopping_for()
        if stopping_ms >= self._longest_stop_ms:
            return True
        return stopping_ms >= LEAST_STOP_MS and not any(caller.busy for caller in self._callers)

    def _can_finish(self, subject: Subject) -> bool:
        left_ms = self._longest_stop_ms - self._stopping_for()
        return can_finish(subject, self.fleet.find_engine(subject.service), left_ms)

    @property
    def _longest_stop_ms(self) -> int:
        return self.settings.stop_patience_ms - STOP_MARGIN_MS

    def _stopping_for(self) -> int:
        return 0 if self._stopping_since is None else self.clock.now() - self._stopping_since

    def _close_listeners(self) -> None:
        for server in self._servers:
            server.close()

    async def stop(self) -> None:
        """Answer or cut what is left, and give back what is held."""
        self._close_listeners()
        if self._exchanges:
            for exchange in self._exchanges:
                exchange.end_now()
            await asyncio.sleep(LAST_ANSWERS_MS / 1_000)
        for task in self._tasks:
            task.cancel()
        for caller in list(self._callers):
            caller.abort()
        await self.leases.settle()
        self.links.close()
        self.peers.close()
        write_line(Stopped())


async def _run_for_good(name: str, run: Callable[[], Coroutine[None, None, None]]) -> None:
    """Run a task, and run it anew after a fault of our own: callers are served meanwhile."""
    while True:
        try:
            await run()
        except Exception as error:
            write_line(TaskFailed(name), error)
        await asyncio.sleep(TASK_RESTART_MS / 1_000)


def _log_unhandled(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    error = context.get("exception")
    write_line(CallbackFailed(str(context.get("message"))), error)
