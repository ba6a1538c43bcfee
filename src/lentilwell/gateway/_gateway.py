"""The gateway process: serves callers, forwards their requests and stops in a planned way."""

from __future__ import annotations

import asyncio
import signal
import socket
import uuid
from collections.abc import Callable

from result import Err

from lentilwell._clock import MS_PER_SECOND, BootClock, Clock
from lentilwell._listening import listen_at
from lentilwell._log_lines import (
    CallerGivenUp,
    EventLoopPaused,
    ExchangeFailed,
    MetricsNotServed,
    RequestRejected,
    SettingsReloaded,
    Started,
    StopBegun,
    Stopped,
    write_line,
)
from lentilwell.gateway._addresses import split_address
from lentilwell.gateway._answer_observer import AnswerObserver
from lentilwell.gateway._answers import answer_failure
from lentilwell.gateway._background import log_unhandled, run_forever
from lentilwell.gateway._caller_connection import CallerConnection
from lentilwell.gateway._catalog import Limits
from lentilwell.gateway._connection_pool import ConnectionPool
from lentilwell.gateway._crash_watch import CrashWatch
from lentilwell.gateway._drain import IDLE_CLOSE_AFTER_MS, Drain
from lentilwell.gateway._exchange import Exchange
from lentilwell.gateway._exchange_context import ExchangeContext
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._leases import LeaseManager
from lentilwell.gateway._listeners import Listeners
from lentilwell.gateway._maintenance import run_steps
from lentilwell.gateway._messages import InboundRequest
from lentilwell.gateway._metrics import Metrics, dump_fleet
from lentilwell.gateway._peers import Member, Peers
from lentilwell.gateway._permit_owners import OwnerTable
from lentilwell.gateway._permits import Permits
from lentilwell.gateway._ports import Dialect, Feeds
from lentilwell.gateway._prober import Prober
from lentilwell.gateway._routing import (
    OTHER_INSTANCE_RETRY_MS,
    Rejection,
    route_request,
)
from lentilwell.gateway._settings import GatewaySettings
from lentilwell.gateway._shards import ShardView
from lentilwell.gateway._status import ANY_PATH, StatusAnswer, StatusHandler, StatusProtocol
from lentilwell.gateway._stopping import PlannedStop
from lentilwell.gateway._store_tables import StoreTables
from lentilwell.gateway._upstreams import Upstream
from lentilwell.gateway.caller_limits import (
    CallerLimits,
    GivenUp,
    StatusConnections,
    bound_kernel_buffers,
)
from lentilwell.gateway.tunnels import TunnelClient, TunnelServer

# Connections are accepted once the store has been read, which takes a few ms if the store answers,
# and at the latest this long after the start.
MAX_STARTUP_WAIT_MS = 500
STARTUP_POLL_MS = 2
INCARNATION_LENGTH = 8
MAINTENANCE_INTERVAL_MS = 250
# A lag of the event loop is logged from here on. Upstreams and peers become suspect by a longer
# silence.
LOGGED_LAG_MS = 200
# At the end of a planned stop, the process first waits this long to accept the connections that
# the kernel has queued, then until no caller has been busy for ``FINAL_IDLE_MS``.
FINAL_ACCEPT_MS = 20
FINAL_POLL_MS = 20
FINAL_IDLE_MS = 100
# Lets the last answers reach the kernel before their connections are aborted.
FINAL_FLUSH_MS = 50
# The ``Retry-After`` of a stopping instance if no other instance serves: about the time that the
# rest of the stop and the restart take.
RESTART_RETRY_MS = 1_500


class Gateway:
    """Serves callers and owns all parts of the process.

    ``drain`` begins a planned stop, and ``run`` returns once it is complete.
    """

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
        self.fleet.admission.enabled = settings.admission_control
        self.caller_limits = CallerLimits(settings.limits, self.clock.now)
        self.caller_limits.on_given_up = self._handle_given_up
        tunnel_client = TunnelClient(self.clock, lambda: self.peers.list_tunnel_peers())
        self.connections = ConnectionPool(
            self.clock,
            settings.limits.answer_bytes,
            settings.limits.upstream_descriptors,
            tunnel_client,
        )
        self.tunnels = TunnelServer(settings.limits.max_tunnels)
        self.permit_owners = OwnerTable(settings.instance)
        incarnation = uuid.uuid4().hex[:INCARNATION_LENGTH]
        self.peers = Peers(
            settings.instance,
            incarnation,
            Member(settings.peers_address, settings.data_centre),
            self.clock,
            self.fleet.load_tracker,
            shards,
            self.permit_owners,
        )
        self.permits = Permits(
            settings.instance,
            self.clock,
            self.fleet.rate_limits,
            self.permit_owners,
            lambda name: self.fleet.directory.listed.get(name),
        )
        self.tables = StoreTables(settings, incarnation, self.clock, self.fleet, self.peers, feeds)
        self.fleet.load_tracker.on_change = self.peers.schedule_send
        self.fleet.count_instances = lambda: self.peers.instances
        self.fleet.find_stop = self._find_stop
        self.fleet.find_digest_age = self.peers.find_oldest_digest_age
        self.fleet.on_new_report = self.peers.schedule_send
        answer_observer = AnswerObserver(self.fleet)
        self.peers.collect_reports = answer_observer.collect_reports
        self.peers.on_reports = answer_observer.update_reports
        self._connect_permits(answer_observer)
        self.crash_watch = CrashWatch(self.clock, self.fleet.crash_evidence)
        self._connect_crash_watch()
        self.leases = LeaseManager(self.connections, dialect, incarnation, settings.max_lease_ms)
        self.leases.on_send = self.permits.record_unpermitted
        self.leases.on_answer = answer_observer.handle_head
        self._connect_evacuations()
        self._connect_tunnels()
        self._callers: set[CallerConnection] = set()
        self._exchanges: set[Exchange] = set()
        self.metrics = Metrics(
            self.fleet,
            lambda: len(self._callers),
            self.tables.list_status,
            lambda: self.tables.relay.role,
        )
        self.tables.on_call = self.metrics.count_store_call
        self.tables.on_restore = self.metrics.count_restore
        tunnel_client.on_open = self.metrics.count_tunnel
        self.metrics.is_path_cut = lambda: self.connections.path_cut
        self.metrics.count_tunnels = lambda: self.tunnels.tunnels
        self.metrics.count_caller_bytes = lambda: self.caller_limits.memory.total_bytes
        self.permits.on_verdict = self.metrics.count_permit
        self._exchange_context = ExchangeContext(
            self.fleet,
            answer_observer,
            self.permits,
            self.connections,
            self.leases,
            dialect,
            self.metrics,
            self.crash_watch,
        )
        self._readiness_handlers: dict[str, StatusHandler] = {ANY_PATH: self._answer_readiness}
        self._operator_handlers: dict[str, StatusHandler] = {
            "/metrics": lambda: StatusAnswer(200, self.metrics.render()),
            "/state": self._answer_state,
        }
        self._dialect = dialect
        self._feeds = feeds
        self.planned_stop = Drain(self.clock, lambda: self.settings.max_stop_ms)
        self._tasks: list[asyncio.Task[None]] = []
        self._listeners = Listeners()
        self.read_changed_settings: Callable[[], GatewaySettings | None] = lambda: None

    @property
    def limits(self) -> Limits:
        """Return the limits for callers, from the configuration in force or by default."""
        catalog = self.fleet.catalog
        return catalog.limits if catalog is not None else Limits()

    @property
    def stopping(self) -> bool:
        """Tell whether a planned stop has begun."""
        return self.planned_stop.begun

    @property
    def ready(self) -> bool:
        """Tell whether the load balancer should send requests to this instance."""
        return self.fleet.catalog is not None and self.fleet.listing_known and not self.stopping

    async def run(self) -> None:
        """Start, serve until a planned stop is complete, and stop."""
        await self.start()
        loop = asyncio.get_running_loop()
        while not self._is_stop_complete():
            due_s = loop.time() + self._find_maintenance_wait_ms() / MS_PER_SECOND
            await asyncio.sleep(due_s - loop.time())
            self._handle_lag(round((loop.time() - due_s) * MS_PER_SECOND))
            self._run_maintenance()
        await self.finish_stop()

    def _find_maintenance_wait_ms(self) -> int:
        """Return the time to the next maintenance, or to the end of a planned stop if less."""
        if not self.stopping:
            return MAINTENANCE_INTERVAL_MS
        return min(MAINTENANCE_INTERVAL_MS, max(0, self.planned_stop.remaining_ms))

    def _handle_lag(self, late_ms: int) -> None:
        """Record how late the maintenance runs; a pause of this process is no silence of peers."""
        self.metrics.record_lag(late_ms / MS_PER_SECOND)
        if late_ms >= LOGGED_LAG_MS:
            write_line(EventLoopPaused(late_ms))
            self.peers.handle_pause(late_ms)

    async def finish_stop(self) -> None:
        """Answer the requests that arrived just before the end of a planned stop, and stop."""
        # Closing a listener resets the connections in its accept queue, so accept those first.
        await asyncio.sleep(FINAL_ACCEPT_MS / 1_000)
        self._listeners.close()
        idle_ms = 0
        while idle_ms < FINAL_IDLE_MS and self.planned_stop.remaining_ms > 0:
            await asyncio.sleep(FINAL_POLL_MS / 1_000)
            idle = not any(caller.busy for caller in self._callers)
            idle_ms = idle_ms + FINAL_POLL_MS if idle else 0
        await self.stop()

    def drain(self) -> None:
        """Begin a planned stop; further calls have no effect."""
        if self.planned_stop.begin():
            self.peers.stopping = True
            self.peers.schedule_send()
            self.fleet.admission.wake_all()
            write_line(StopBegun(len(self._callers)))

    async def serve(self, caller: CallerConnection, request: InboundRequest) -> None:
        """Serve one request: reject it if it is invalid, otherwise forward it."""
        try:
            await self._serve(caller, request)
        except Exception as error:
            write_line(ExchangeFailed(request.target.decode("latin-1")), error)
            raise

    async def _serve(self, caller: CallerConnection, request: InboundRequest) -> None:
        try:
            facts = self._dialect.read_facts(request)
        except ValueError as error:
            self._reject(caller, "", Rejection(400, str(error)))
            return
        found = route_request(self.fleet.catalog, request, facts)
        if isinstance(found, Err):
            self._reject(caller, facts.request_id, found.err_value)
            return
        routed = found.ok_value
        stop = self._find_stop()
        if stop is not None and not self.fleet.can_finish(routed):
            rejection = Rejection(503, "stopping", stop.retry_after_ms)
            self._reject(caller, facts.request_id, rejection)
            return
        self.fleet.find_budget(routed.service).record_request(self.clock.now())
        exchange = Exchange(self._exchange_context, routed, caller)
        self._exchanges.add(exchange)
        try:
            await exchange.run()
        finally:
            self._exchanges.discard(exchange)

    def register(self, caller: CallerConnection) -> None:
        """Add an open connection of a caller."""
        self._callers.add(caller)

    def unregister(self, caller: CallerConnection) -> None:
        """Remove a closed connection of a caller."""
        self._callers.discard(caller)

    def record_rejection(self, status: int, reason: str) -> None:
        """Log and count a malformed or oversized request."""
        self.metrics.count_rejection(status)
        write_line(RequestRejected(status, reason))

    def _handle_given_up(self, given_up: GivenUp) -> None:
        """Log and count a connection that was given up to keep the limits of the process."""
        self.metrics.count_given_up(given_up.reason)
        line = CallerGivenUp(
            given_up.reason, given_up.held_bytes, given_up.total_bytes, given_up.connections
        )
        write_line(line)

    def _reject(self, caller: CallerConnection, request_id: str, rejection: Rejection) -> None:
        catalog = self.fleet.catalog
        self.metrics.count_rejection(rejection.status)
        version = catalog.version if catalog is not None else None
        write_line(RequestRejected(rejection.status, rejection.reason, request_id, version))
        answer_failure(caller, rejection.status, rejection.reason, rejection.retry_after_ms)

    @property
    def callers_port(self) -> int:
        """Return the port on which callers are served; valid after ``start``."""
        assert self._listener is not None
        port: int = self._listener.getsockname()[1]
        return port

    async def start(self) -> None:
        """Open the listeners and start the background tasks."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(log_unhandled)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.drain)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        probes = StatusConnections()
        await self._listeners.listen(
            self.settings.ready_address, lambda: StatusProtocol(self._readiness_handlers, probes)
        )
        await self._listen_for_operators()
        self._listener = self._listener or listen_at(self.settings.callers_address)
        host, port = split_address(self.settings.peers_address)
        await loop.create_datagram_endpoint(lambda: self.peers, (host, port))
        await self._listeners.listen(self.settings.peers_address, self.tunnels.make_protocol)
        background_tasks = {
            **self.tables.background_tasks,
            "instances": lambda: self.peers.run_membership(self._feeds.membership),
            "probes": Prober(self.fleet, self.connections).run,
        }
        self._tasks = [
            loop.create_task(run_forever(name, run)) for name, run in background_tasks.items()
        ]
        self._tasks.append(loop.create_task(self._accept_when_ready(self._listener)))
        write_line(Started(self.settings.callers_address))

    def _connect_permits(self, answer_observer: AnswerObserver) -> None:
        """Let the permits use the datagrams of the peers and the knowledge of the fleet."""
        self.permits.send = self.peers.send_to
        self.permits.reply = self.peers.reply_to
        self.permits.on_report = answer_observer.update_limit
        self.peers.on_permit_message = self.permits.handle_datagram
        self.fleet.find_permit_wait_ms = self.permits.estimate_wait_ms
        self.fleet.on_limit_change = self.permits.tell_owners
        self.fleet.cold_watch.cold_upstreams.bounds = self.settings.cold
        self.fleet.cold_watch.on_cold = self._handle_cold

    def _handle_cold(self, upstream: Upstream, own_answer: bool) -> None:
        """Count the sends to an upstream from before it was known to be cold, and tell of it."""
        load = self.fleet.load_tracker.measure_load(upstream.name, self.clock.now())
        since = self.clock.now() - MS_PER_SECOND
        sends = sum(job.begun_at > since for job in load.jobs)
        self.permits.count_earlier_sends(upstream, sends - int(self.settings.cold.slack))
        if own_answer:
            self.fleet.on_new_report()
            self.fleet.on_limit_change(upstream)

    def _connect_crash_watch(self) -> None:
        """Let the crash watch use the listing and the datagrams of the peers."""
        self.crash_watch.is_listed = self.tables.is_listed_now
        self.crash_watch.send = self.peers.send_to
        self.crash_watch.list_peers = self.peers.list_known
        self.crash_watch.find_rank = lambda: self.peers.rank.rank
        self.peers.on_crash_notice = self.crash_watch.handle_datagram
        self.peers.on_new_peer = self.crash_watch.greet

    def _connect_evacuations(self) -> None:
        """Let evacuations reach the requests, the leases, the permits and the prober."""
        self.fleet.zones = self.settings.zones
        self.tables.catalog_listener.list_regions = lambda: self.fleet.zones.values()
        evacuations = self.fleet.evacuations
        evacuations.is_known = self.fleet.knows_data_centre
        evacuations.on_begin = self._handle_evacuation
        evacuations.on_end = self._handle_evacuation_end
        self.fleet.on_evacuation_end = self._handle_return
        self.leases.may_reserve = lambda upstream: not self.fleet.is_evacuated(upstream)
        self.permits.is_evacuated = self.fleet.is_evacuated

    def _connect_tunnels(self) -> None:
        """Let other instances reach the listed upstreams while this one does."""
        self.tunnels.is_listed = self.fleet.is_listed_address
        self.tunnels.may_open = lambda: not self.connections.path_cut and not self.stopping
        self.tunnels.on_unreachable = self.connections.record_unreachable

    def _handle_evacuation(self, data_centre: str) -> None:
        """Place the requests again at once that wait for an upstream of this data centre."""
        for exchange in self._exchanges:
            exchange.handle_evacuation(data_centre)
        self.fleet.admission.wake_all()

    def _handle_return(self, data_centre: str, _now: int) -> None:
        """Count the upstreams of a data centre as cold: they may have restarted meanwhile."""
        self.fleet.cold_watch.mark_cold(data_centre)

    def _handle_evacuation_end(self, data_centre: str) -> None:
        self.fleet.on_evacuation_end(data_centre, self.clock.now())
        self.fleet.ejection.on_unreachable()  # probes may be due that were left out

    async def _accept_when_ready(self, listener: socket.socket) -> None:
        """Accept connections once the instance is ready, or after ``MAX_STARTUP_WAIT_MS``.

        Requests that arrive while it is still not ready are answered with an error.
        """
        until = self.clock.now() + MAX_STARTUP_WAIT_MS
        while not self.ready and not self.stopping and self.clock.now() < until:
            await asyncio.sleep(STARTUP_POLL_MS / 1_000)
        bound_kernel_buffers(listener)
        await self._listeners.accept(listener, lambda: CallerConnection(self.clock, self))

    async def _listen_for_operators(self) -> None:
        """Serve metrics and state; if the address is in use, callers are still served."""
        address = self.settings.metrics_address
        operators = StatusConnections()
        try:
            await self._listeners.listen(
                address, lambda: StatusProtocol(self._operator_handlers, operators)
            )
        except OSError as error:
            write_line(MetricsNotServed(address, str(error)))

    def _answer_state(self) -> StatusAnswer:
        return StatusAnswer(
            200, dump_fleet(self.fleet, self.tables.list_status()), b"application/json"
        )

    def _answer_readiness(self) -> StatusAnswer:
        return StatusAnswer(200 if self.ready else 503)

    def reload(self) -> None:
        """Apply changed settings, except addresses, which are used from the next start on."""
        settings = self.read_changed_settings()
        if settings is None or settings == self.settings:
            return
        addresses = (settings.callers_address, settings.ready_address, settings.peers_address)
        previous = self.settings
        listeners_unchanged = addresses == (
            previous.callers_address,
            previous.ready_address,
            previous.peers_address,
        )
        write_line(SettingsReloaded(listeners_unchanged, settings.budget.extra))
        self.settings = settings
        self.fleet.change_budget(settings.budget)
        self.fleet.zones = settings.zones
        self.fleet.cold_watch.cold_upstreams.bounds = settings.cold
        self.caller_limits.change(settings.limits)
        self.fleet.admission.enabled = settings.admission_control

    def _run_maintenance(self) -> None:
        steps: dict[str, Callable[[], None]] = {
            "settings": self.reload,
            "peers": self.peers.run_maintenance,
            "crashes": self.crash_watch.run_maintenance,
            "configuration": self.tables.catalog_listener.apply_pending,
            "evacuations": self.fleet.evacuations.end_kept,
            "upstreams": self.fleet.remove_unlisted,
            "permits": lambda: self.permits.keep_only(self.fleet.is_listed),
            "cold upstreams": self.fleet.cold_watch.log_warm,
            "shards": self.fleet.update_shards,
            "connections": self._prune_connections,
            "callers": self._close_idle_callers,
            "unsent answers": self._refresh_unsent,
        }
        run_steps(steps)

    def _prune_connections(self) -> None:
        self.connections.prune(
            upstream.address for upstream in self.fleet.directory.listed.values()
        )

    def _close_idle_callers(self) -> None:
        if self.planned_stop.closes_idle:
            for caller in list(self._callers):
                caller.close_idle(IDLE_CLOSE_AFTER_MS)

    def _refresh_unsent(self) -> None:
        for caller in list(self._callers):
            caller.refresh_unsent()

    def _is_stop_complete(self) -> bool:
        return self.planned_stop.is_complete(any(caller.busy for caller in self._callers))

    def _find_stop(self) -> PlannedStop | None:
        return self.planned_stop.describe(self._find_retry_after_ms())

    def _find_retry_after_ms(self) -> int:
        """Return when a caller that this instance refuses because it stops should retry."""
        return OTHER_INSTANCE_RETRY_MS if self.peers.others_serve else RESTART_RETRY_MS

    async def stop(self) -> None:
        """End the remaining requests, abort their connections and release all resources."""
        self._listeners.close()
        if any(caller.busy for caller in self._callers):
            for exchange in self._exchanges:
                exchange.expire()
            for caller in list(self._callers):
                caller.refuse_unfinished(self._find_retry_after_ms())
            await asyncio.sleep(FINAL_FLUSH_MS / 1_000)
        for task in self._tasks:
            task.cancel()
        for caller in list(self._callers):
            caller.abort()
        await self.leases.wait_for_releases()
        self.connections.close()
        self.tunnels.close()
        self.crash_watch.close()
        self.tables.relay.close()
        self.peers.close()
        write_line(Stopped())
