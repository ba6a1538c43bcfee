"""The application object: creates the components of an entry instance and runs their hooks."""

from __future__ import annotations

import json
import signal
import sys
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from threading import Event as Flag

from loguru import logger

from lentilwell._clock import Clock, SystemClock
from lentilwell._failures import NotReady
from lentilwell._messages import Identity
from lentilwell.adapters import DIALECTS, HttpEngineControl
from lentilwell.callers import (
    CallersApp,
    CallersContext,
    CallSlots,
    InstanceChooser,
    OperatorsApp,
    OperatorsContext,
    PooledServer,
    ServiceGateway,
)
from lentilwell.configuration import (
    CONFIGURATION_INTERVAL_MS,
    ConfigurationFollower,
    PeerSource,
    Settings,
)
from lentilwell.decisions import has_pending_cancels, is_leaving
from lentilwell.forwarding import (
    CACHE_INTERVAL_MS,
    REPORT_INTERVAL_MS,
    EnginePoller,
    Exchange,
    RunnerContext,
    TransferLoop,
    register_runners,
)
from lentilwell.once_only import ClaimRunner
from lentilwell.peers import (
    MEMBERS_POLL_INTERVAL_MS,
    REFRESH_INTERVAL_MS,
    MembersPoller,
    PeerNetwork,
    PeersContext,
    register_peer_runners,
)
from lentilwell.reducer import DrainStarted, ReducerWorker, State, TickPassed, dump_state
from lentilwell.shell._metrics import OUTCOME_CALLER_GONE, OUTCOME_WHOLE, Counts, Metrics

TICK_MS = 50
CLAIM_RETRY_INTERVAL_MS = 250
CLAIM_CLOSE_TIMEOUT_MS = 60_000
CONTROL_WORKERS = 16
OPERATORS_WORKERS = 4
MAX_LOOP_TASKS = 32
# Time to send failure answers for the requests that are still open when the stop times out.
FINAL_ANSWERS_TIMEOUT_MS = 2_000
INCARNATION_LENGTH = 8

Hook = Callable[[], None]


class Application:
    """An entry instance. Start hooks run in order of registration, stop hooks in reverse order."""

    def __init__(self, settings: Settings, clock: Clock | None = None) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        incarnation = uuid.uuid4().hex[:INCARNATION_LENGTH]
        self.identity = Identity(settings.instance.name, incarnation, settings.instance.data_centre)
        seed = int(uuid.uuid4()) & ((1 << 64) - 1)
        self.reducer = ReducerWorker(State(self.identity, random=seed))
        self.platform = DIALECTS[settings.platform.dialect](settings.platform)
        self.engines = HttpEngineControl()
        self.poller = EnginePoller(self.engines, self.clock, self.reducer)
        self.transfer = TransferLoop(self.clock, self.reducer.post)
        self.peers = self._make_peers()
        self.configuration = self._make_configuration()
        self.metrics = Metrics(lambda: self.reducer.state, self._read_counts)
        self._control_executor = ThreadPoolExecutor(CONTROL_WORKERS, thread_name_prefix="control")
        self._loop_executor = ThreadPoolExecutor(MAX_LOOP_TASKS, thread_name_prefix="loop")
        self._drain_requested = Flag()
        self._stopped = Flag()
        self._start_hooks: list[Hook] = []
        self._stop_hooks: list[Hook] = []
        self._slots = CallSlots(settings.callers.workers)
        self.claims = ClaimRunner(
            self.platform, self.clock, settings.instance.name, self._slots.max_open_calls
        )
        self.callers = self._make_callers()
        self.operators = self._make_operators()
        register_runners(self._make_runner_context())
        self._register_hooks()

    def on_start(self, hook: Hook) -> Hook:
        """Register a hook that runs at the start."""
        self._start_hooks.append(hook)
        return hook

    def on_stop(self, hook: Hook) -> Hook:
        """Register a hook that runs at the stop. Hooks registered last run first."""
        self._stop_hooks.append(hook)
        return hook

    def start(self) -> None:
        """Run the start hooks in order of registration."""
        for hook in self._start_hooks:
            hook()

    def stop(self) -> None:
        """Stop the periodic tasks and run the stop hooks."""
        self._stopped.set()
        for hook in reversed(self._stop_hooks):
            hook()

    def drain(self) -> None:
        """Request a planned stop. Repeated calls have no effect."""
        self._drain_requested.set()

    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests to this instance."""
        return self.reducer.state.inventory is not None and not self._drain_requested.is_set()

    def run(self) -> None:
        """Serve requests until a planned stop is complete."""
        signal.signal(signal.SIGTERM, lambda *_: self.drain())
        signal.signal(signal.SIGINT, lambda *_: self.drain())
        self.start()
        ports = {"callers": self.callers.port, "operators": self.operators.port}
        ports["peers"] = self.peers.server.port
        sys.stdout.write(json.dumps(ports) + "\n")
        sys.stdout.flush()
        while not self._drain_requested.wait(TICK_MS / 1_000):
            pass
        self._drain()
        self.stop()

    def run_in_background(self, task: Callable[[], None]) -> None:
        """Run a blocking task on a thread of the control executor."""
        self._control_executor.submit(_log_exceptions(task))

    def run_periodically(self, interval_ms: int, task: Callable[[], None]) -> None:
        """Run a task at an interval on its own thread, from the start until the stop."""

        def loop() -> None:
            while not self._stopped.wait(interval_ms / 1_000):
                _log_exceptions(task)()

        self.on_start(lambda: self._submit_loop(loop))

    def _submit_loop(self, loop: Callable[[], None]) -> None:
        self._loop_executor.submit(loop)

    def _drain(self) -> None:
        """Accept requests until the balancer has noticed the stop, then finish the open ones."""
        stop = self.settings.stop
        accept_until = self.clock.now() + stop.balancer_lag_ms
        finish_deadline = self.clock.now() + stop.patience_ms
        while self.clock.now() < accept_until:
            self._stopped.wait(TICK_MS / 1_000)
        self.reducer.post(DrainStarted(self.clock.now()))
        while self._has_open_work() and self.clock.now() < finish_deadline:
            self._stopped.wait(TICK_MS / 1_000)
        self.transfer.fail_all(NotReady())
        answers_deadline = self.clock.now() + FINAL_ANSWERS_TIMEOUT_MS
        while self.transfer.open_exchanges and self.clock.now() < answers_deadline:
            self._stopped.wait(TICK_MS / 1_000)

    def _has_open_work(self) -> bool:
        """Return whether an answer to a caller or the cancellation of an attempt is unfinished."""
        return self.transfer.open_exchanges > 0 or has_pending_cancels(self.reducer.state)

    def _make_callers(self) -> PooledServer:
        callers = self.settings.callers
        chooser = InstanceChooser(
            self.clock,
            self.identity.data_centre,
            lambda name: is_leaving(self.reducer.state, name),
        )
        context = CallersContext(
            inventory=lambda: self.reducer.state.inventory,
            transfer=self.transfer,
            services=ServiceGateway(self.claims, chooser, self._slots, self.clock),
            post=self.reducer.post,
            on_end=self._record_end,
            on_refusal=self.metrics.count_refusal,
        )
        app = CallersApp(callers, self.clock, context)
        return PooledServer(
            callers.host, callers.port, app, callers.workers, callers.read_timeout_ms, self.clock
        )

    def _make_operators(self) -> PooledServer:
        operators = self.settings.operators
        context = OperatorsContext(
            is_ready=self.is_ready,
            dump_state=lambda: dump_state(self.reducer.state),
            drain=self.drain,
            metrics=self.metrics.registry,
        )
        app = OperatorsApp(operators.token, context)
        timeout_ms = self.settings.callers.read_timeout_ms
        return PooledServer(
            operators.host, operators.port, app, OPERATORS_WORKERS, timeout_ms, self.clock
        )

    def _make_peers(self) -> PeerNetwork:
        context = PeersContext(
            post_event=self.reducer.post,
            current_version=lambda: self.configuration.version,
            read_head=lambda: self.configuration.read_head(),
            read_content=lambda digest: self.configuration.read_record(digest),
            record_peer_version=self._handle_peer_version,
        )
        return PeerNetwork(self.settings.peers, self.identity, self.clock, context)

    def _register_hooks(self) -> None:
        self.on_start(self.configuration.poll)
        self.on_start(lambda: _discard(self.transfer.start()))
        self.on_stop(self.transfer.close)
        self.on_stop(self.reducer.close)
        self.on_stop(self.poller.close)
        self._register_peers()
        self.on_stop(self._close_claims)
        for server in (self.callers, self.operators):
            self._register_server(server)
        self.run_periodically(
            TICK_MS, lambda: _discard(self.reducer.post(TickPassed(self.clock.now())))
        )
        self.run_periodically(CONFIGURATION_INTERVAL_MS, self.configuration.poll)
        self.run_periodically(REPORT_INTERVAL_MS, self.poller.poll_reports)
        self.run_periodically(CACHE_INTERVAL_MS, self.poller.poll_caches)
        self.run_periodically(CLAIM_RETRY_INTERVAL_MS, self.claims.retry_deferred)

    def _close_claims(self) -> None:
        timeout_ms = min(CLAIM_CLOSE_TIMEOUT_MS, self.settings.stop.patience_ms)
        self.claims.close(timeout_ms)

    def _make_runner_context(self) -> RunnerContext:
        return RunnerContext(
            identity=self.identity,
            clock=self.clock,
            reducer=self.reducer,
            engines=self.engines,
            transfer=self.transfer,
            run_in_background=self.run_in_background,
        )

    def _register_peers(self) -> None:
        poller = MembersPoller(
            self.platform, self.clock, self.reducer.post, self.peers.update_members
        )
        register_peer_runners(self.reducer, self.peers)
        self.on_start(lambda: _discard(self._loop_executor.submit(self.peers.server.serve)))
        self.on_stop(self.peers.close)
        self.run_periodically(MEMBERS_POLL_INTERVAL_MS, poller.poll)
        self.run_periodically(REFRESH_INTERVAL_MS, self.peers.refresh)

    def _register_server(self, server: PooledServer) -> None:
        self.on_start(lambda: _discard(self._loop_executor.submit(server.serve_forever, 0.1)))
        self.on_stop(server.server_close)
        self.on_stop(server.shutdown)

    def _make_configuration(self) -> ConfigurationFollower:
        source = PeerSource(self.peers.fetch_head, self.peers.fetch_content)
        return ConfigurationFollower(
            self.platform, source, self.clock, lambda event: self.reducer.post(event).result()
        )

    def _handle_peer_version(self, peer: str, version: int, min_version: int) -> None:
        if self.configuration.record_offer(peer, version, min_version):
            self.run_in_background(lambda: _discard(self.configuration.fetch(peer)))

    def _read_counts(self) -> Counts:
        return Counts(
            self.reducer.event_count, self.transfer.chunk_count, self.transfer.open_exchanges
        )

    def _record_end(self, exchange: Exchange) -> None:
        request = exchange.request
        total_ms = self.clock.now() - request.arrived_at
        first_ms = None
        if exchange.first_token_at is not None:
            first_ms = exchange.first_token_at - request.arrived_at
        outcome = get_outcome(exchange)
        self.metrics.count_end(request, outcome, exchange.next_index, first_ms, total_ms)
        logger.info(
            "request ended",
            request=request.request_id,
            team=request.team,
            model=request.model,
            attempt=exchange.attempt_id or None,
            outcome=outcome,
            prompt_tokens=request.prompt_tokens,
            answer_tokens=exchange.next_index,
            first_token_ms=first_ms,
            total_ms=total_ms,
        )


def get_outcome(exchange: Exchange) -> str:
    """Return the outcome of an exchange: whole, caller gone, or the code of its failure."""
    if exchange.failure is not None:
        return exchange.failure.code
    return OUTCOME_WHOLE if exchange.closing else OUTCOME_CALLER_GONE


def _log_exceptions(task: Callable[[], None]) -> Callable[[], None]:
    def run() -> None:
        try:
            task()
        except Exception:
            logger.exception("task failed")

    return run


def _discard(_value: object) -> None:
    """Discard the return value of a call, so that a lambda can be a hook, which returns None."""
