"""The application object: builds the parts of an entry instance and runs their life-cycle hooks."""

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
from lentilwell.decisions import has_open_cancels, is_leaving
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
CLAIM_CLOSE_PATIENCE_MS = 60_000
CONTROL_WORKERS = 16
OPERATORS_WORKERS = 4
LOOP_WORKERS = 32
LAST_WORDS_MS = 2_000
INCARNATION_LENGTH = 8

Hook = Callable[[], None]


class Application:
    """One entry instance. Hooks run in order at the start and in reverse at the stop."""

    def __init__(self, settings: Settings, clock: Clock | None = None) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        incarnation = uuid.uuid4().hex[:INCARNATION_LENGTH]
        self.identity = Identity(settings.instance.name, incarnation, settings.instance.data_centre)
        seed = int(uuid.uuid4()) & ((1 << 64) - 1)
        self.core = ReducerWorker(State(self.identity, random=seed))
        self.platform = DIALECTS[settings.platform.dialect](settings.platform)
        self.engines = HttpEngineControl()
        self.poller = EnginePoller(self.engines, self.clock, self.core)
        self.transfer = TransferLoop(self.clock, self.core.post)
        self.peers = self._make_peers()
        self.configuration = self._make_configuration()
        self.metrics = Metrics(lambda: self.core.state, self._count)
        self._control = ThreadPoolExecutor(CONTROL_WORKERS, thread_name_prefix="control")
        self._loops = ThreadPoolExecutor(LOOP_WORKERS, thread_name_prefix="loop")
        self._stopping = Flag()
        self._stopped = Flag()
        self._on_start: list[Hook] = []
        self._on_stop: list[Hook] = []
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
        self._on_start.append(hook)
        return hook

    def on_stop(self, hook: Hook) -> Hook:
        """Register a hook that runs at the stop, the last registered first."""
        self._on_stop.append(hook)
        return hook

    def start(self) -> None:
        """Run the start hooks."""
        for hook in self._on_start:
            hook()

    def stop(self) -> None:
        """Run the stop hooks."""
        self._stopped.set()
        for hook in reversed(self._on_stop):
            hook()

    def drain(self) -> None:
        """Begin a planned stop; it may be called again without effect."""
        self._stopping.set()

    def is_ready(self) -> bool:
        """Tell whether the balancer may send callers here."""
        return self.core.state.inventory is not None and not self._stopping.is_set()

    def run(self) -> None:
        """Serve until a planned stop is over."""
        signal.signal(signal.SIGTERM, lambda *_: self.drain())
        signal.signal(signal.SIGINT, lambda *_: self.drain())
        self.start()
        ports = {"callers": self.callers.port, "operators": self.operators.port}
        ports["peers"] = self.peers.server.port
        sys.stdout.write(json.dumps(ports) + "\n")
        sys.stdout.flush()
        while not self._stopping.wait(TICK_MS / 1_000):
            pass
        self._drain_out()
        self.stop()

    def call_later(self, task: Callable[[], None]) -> None:
        """Run a blocking task on the control workers."""
        self._control.submit(_guard(task))

    def every(self, interval_ms: int, task: Callable[[], None]) -> None:
        """Run a task again and again on a thread of its own until the stop."""

        def loop() -> None:
            while not self._stopped.wait(interval_ms / 1_000):
                _guard(task)()

        self.on_start(lambda: self._submit_loop(loop))

    def _submit_loop(self, loop: Callable[[], None]) -> None:
        self._loops.submit(loop)

    def _drain_out(self) -> None:
        """Accept until the balancer's lag is over, then finish what is in hand."""
        stop = self.settings.stop
        lag_over = self.clock.now() + stop.balancer_lag_ms
        give_up = self.clock.now() + stop.patience_ms
        while self.clock.now() < lag_over:
            self._stopped.wait(TICK_MS / 1_000)
        self.core.post(DrainStarted(self.clock.now()))
        while self._has_work() and self.clock.now() < give_up:
            self._stopped.wait(TICK_MS / 1_000)
        self.transfer.fail_all(NotReady())
        cut_off = self.clock.now() + LAST_WORDS_MS
        while self.transfer.open_exchanges and self.clock.now() < cut_off:
            self._stopped.wait(TICK_MS / 1_000)

    def _has_work(self) -> bool:
        """Tell whether a caller waits for the rest of an answer, or an engine for a cancel."""
        return self.transfer.open_exchanges > 0 or has_open_cancels(self.core.state)

    def _make_callers(self) -> PooledServer:
        callers = self.settings.callers
        chooser = InstanceChooser(
            self.clock,
            self.identity.data_centre,
            lambda name: is_leaving(self.core.state, name),
        )
        context = CallersContext(
            inventory=lambda: self.core.state.inventory,
            transfer=self.transfer,
            services=ServiceGateway(self.claims, chooser, self._slots, self.clock),
            post=self.core.post,
            on_end=self._log_end,
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
            dump_state=lambda: dump_state(self.core.state),
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
            post_event=self.core.post,
            current_version=lambda: self.configuration.version,
            read_head=lambda: self.configuration.read_head(),
            read_content=lambda digest: self.configuration.read_record(digest),
            record_peer_version=self._hear_version,
        )
        return PeerNetwork(self.settings.peers, self.identity, self.clock, context)

    def _register_hooks(self) -> None:
        self.on_start(self.configuration.poll)
        self.on_start(lambda: _ignore(self.transfer.start()))
        self.on_stop(self.transfer.close)
        self.on_stop(self.core.close)
        self.on_stop(self.poller.close)
        self._register_peers()
        self.on_stop(self._close_claims)
        for server in (self.callers, self.operators):
            self._register_server(server)
        self.every(TICK_MS, lambda: _ignore(self.core.post(TickPassed(self.clock.now()))))
        self.every(CONFIGURATION_INTERVAL_MS, self.configuration.poll)
        self.every(REPORT_INTERVAL_MS, self.poller.poll_reports)
        self.every(CACHE_INTERVAL_MS, self.poller.poll_caches)
        self.every(CLAIM_RETRY_INTERVAL_MS, self.claims.retry_deferred)

    def _close_claims(self) -> None:
        patience_ms = min(CLAIM_CLOSE_PATIENCE_MS, self.settings.stop.patience_ms)
        self.claims.close(patience_ms)

    def _make_runner_context(self) -> RunnerContext:
        return RunnerContext(
            identity=self.identity,
            clock=self.clock,
            reducer=self.core,
            engines=self.engines,
            transfer=self.transfer,
            run_in_background=self.call_later,
        )

    def _register_peers(self) -> None:
        poller = MembersPoller(self.platform, self.clock, self.core.post, self.peers.update_members)
        register_peer_runners(self.core, self.peers)
        self.on_start(lambda: _ignore(self._loops.submit(self.peers.server.serve)))
        self.on_stop(self.peers.close)
        self.every(MEMBERS_POLL_INTERVAL_MS, poller.poll)
        self.every(REFRESH_INTERVAL_MS, self.peers.refresh)

    def _register_server(self, server: PooledServer) -> None:
        self.on_start(lambda: _ignore(self._loops.submit(server.serve_forever, 0.1)))
        self.on_stop(server.server_close)
        self.on_stop(server.shutdown)

    def _make_configuration(self) -> ConfigurationFollower:
        source = PeerSource(self.peers.fetch_head, self.peers.fetch_content)
        return ConfigurationFollower(
            self.platform, source, self.clock, lambda event: self.core.post(event).result()
        )

    def _hear_version(self, peer: str, version: int, told: int) -> None:
        if self.configuration.record_offer(peer, version, told):
            self.call_later(lambda: _ignore(self.configuration.fetch(peer)))

    def _count(self) -> Counts:
        return Counts(
            self.core.event_count, self.transfer.chunk_count, self.transfer.open_exchanges
        )

    def _log_end(self, exchange: Exchange) -> None:
        request = exchange.request
        total_ms = self.clock.now() - request.arrived_at
        first_ms = None
        if exchange.first_token_at is not None:
            first_ms = exchange.first_token_at - request.arrived_at
        outcome = judge_outcome(exchange)
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


def judge_outcome(exchange: Exchange) -> str:
    """Return how an exchange ended: whole, the code of its failure, or the caller gone."""
    if exchange.failure is not None:
        return exchange.failure.code
    return OUTCOME_WHOLE if exchange.closing else OUTCOME_CALLER_GONE


def _guard(task: Callable[[], None]) -> Callable[[], None]:
    def run() -> None:
        try:
            task()
        except Exception:
            logger.exception("task failed")

    return run


def _ignore(_value: object) -> None:
    """Drop a value that a hook has no use for."""
