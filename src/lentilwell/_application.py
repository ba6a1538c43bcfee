"""The application object: builds the parts of an entry instance and runs their life-cycle hooks."""

from __future__ import annotations

import json
import signal
import sys
import uuid
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from threading import Event as Flag

from loguru import logger

from lentilwell._callers import CallersApp, CallersContext
from lentilwell._claim_runner import ClaimRunner
from lentilwell._clock import Clock, SystemClock
from lentilwell._configuration import (
    CONFIGURATION_INTERVAL_MS,
    ConfigurationFollower,
    PeerSource,
)
from lentilwell._core import Core
from lentilwell._dump import dump_state
from lentilwell._effects import (
    CancelAttempt,
    CancelStream,
    ChangePriority,
    EndRequest,
    ResumeAttempt,
    StartAttempt,
)
from lentilwell._engines import HttpEngineControl, OpenStream
from lentilwell._events import (
    CacheChanged,
    CancelConfirmed,
    DrainStarted,
    LoadReported,
    LoadUnreadable,
    TickPassed,
)
from lentilwell._inventory import Engine, Inventory
from lentilwell._membership import MEMBERS_INTERVAL_MS, MembersPoller
from lentilwell._messages import Identity
from lentilwell._metrics import OUTCOME_CALLER_GONE, OUTCOME_WHOLE, Counts, Metrics
from lentilwell._operators import OperatorsApp, OperatorsContext
from lentilwell._peers import (
    REFRESH_INTERVAL_MS,
    PeerNetwork,
    PeersContext,
    register_peer_runners,
)
from lentilwell._platform import DIALECTS
from lentilwell._prefixes import last_sequence
from lentilwell._server import PooledServer
from lentilwell._service_instances import CallSlots, InstanceChooser
from lentilwell._services import ServiceGateway
from lentilwell._settings import Settings
from lentilwell._state import State
from lentilwell._streams import Exchange
from lentilwell._transfer import StreamTarget, TransferLoop

TICK_MS = 50
REPORT_INTERVAL_MS = 250
CACHE_INTERVAL_MS = 500
CLAIM_RETRY_INTERVAL_MS = 250
CLAIM_CLOSE_PATIENCE_MS = 60_000
CONTROL_WORKERS = 16
OPERATORS_WORKERS = 4
LOOP_WORKERS = 32
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
        self.core = Core(State(self.identity, random=seed))
        self.platform = DIALECTS[settings.platform.dialect](settings.platform)
        self.engines = HttpEngineControl()
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
        self._reading: dict[str, Future[None]] = {}
        self._reading_cache: dict[str, Future[None]] = {}
        self._slots = CallSlots(settings.callers.workers)
        self.claims = ClaimRunner(
            self.platform, self.clock, settings.instance.name, self._slots.limit
        )
        self.callers = self._make_callers()
        self.operators = self._make_operators()
        register_runners(self)
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
        while self.transfer.open_exchanges and self.clock.now() < give_up:
            self._stopped.wait(TICK_MS / 1_000)

    def _make_callers(self) -> PooledServer:
        callers = self.settings.callers
        chooser = InstanceChooser(self.clock, self.identity.data_centre)
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
            dump=lambda: dump_state(self.core.state),
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
            post=self.core.post,
            version=lambda: self.configuration.version,
            head=lambda: self.configuration.read_head(),
            content=lambda digest: self.configuration.read_record(digest),
            heard_version=self._hear_version,
        )
        return PeerNetwork(self.settings.peers, self.identity, self.clock, context)

    def _register_hooks(self) -> None:
        self.on_start(self.configuration.poll)
        self.on_start(lambda: _ignore(self.transfer.start()))
        self.on_stop(self.transfer.close)
        self.on_stop(self.core.close)
        self._register_peers()
        self.on_stop(self._close_claims)
        for server in (self.callers, self.operators):
            self._register_server(server)
        self.every(TICK_MS, lambda: _ignore(self.core.post(TickPassed(self.clock.now()))))
        self.every(CONFIGURATION_INTERVAL_MS, self.configuration.poll)
        self.every(REPORT_INTERVAL_MS, self._read_reports)
        self.every(CACHE_INTERVAL_MS, self._read_caches)
        self.every(CLAIM_RETRY_INTERVAL_MS, self.claims.retry_deferred)

    def _close_claims(self) -> None:
        patience_ms = min(CLAIM_CLOSE_PATIENCE_MS, self.settings.stop.patience_ms)
        self.claims.close(patience_ms)

    def _register_peers(self) -> None:
        poller = MembersPoller(self.platform, self.clock, self.core.post, self.peers.note_members)
        register_peer_runners(self.core, self.peers)
        self.on_start(lambda: _ignore(self._loops.submit(self.peers.server.serve)))
        self.on_stop(self.peers.close)
        self.every(MEMBERS_INTERVAL_MS, poller.poll)
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
        if self.configuration.hear(peer, version, told):
            self.call_later(lambda: _ignore(self.configuration.fetch(peer)))

    def _read_reports(self) -> None:
        inventory = self.core.state.inventory
        for engine in inventory.engines.values() if inventory is not None else ():
            last = self._reading.get(engine.name)
            if last is None or last.done():
                self._reading[engine.name] = self._control.submit(self._read_report, engine)

    def _read_report(self, engine: Engine) -> None:
        report = self.engines.read_load(engine.name, engine.url)
        now = self.clock.now()
        if report.is_ok():
            self.core.post(LoadReported(now, report.unwrap()))
        else:
            self.core.post(LoadUnreadable(now, engine.name))

    def _read_caches(self) -> None:
        inventory = self.core.state.inventory
        for engine in inventory.engines.values() if inventory is not None else ():
            last = self._reading_cache.get(engine.name)
            if last is None or last.done():
                task = self._control.submit(self._read_cache, engine)
                self._reading_cache[engine.name] = task

    def _read_cache(self, engine: Engine) -> None:
        after = last_sequence(self.core.state, engine.name)
        batch = self.engines.read_cache_events(engine.name, engine.url, after)
        if batch.is_ok() and batch.unwrap().events:
            found = batch.unwrap()
            now = self.clock.now()
            self.core.post(CacheChanged(now, engine.name, found.incarnation, found.events))

    def _count(self) -> Counts:
        return Counts(self.core.events, self.transfer.chunks, self.transfer.open_exchanges)

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


def register_runners(app: Application) -> None:
    """Register how each effect of the reducer is carried out."""

    @app.core.runs(StartAttempt)
    def start_attempt(state: State, effect: StartAttempt) -> None:
        inventory = state.inventory
        if inventory is None:
            return

        def make_targets(exchange: Exchange) -> list[StreamTarget]:
            return list_targets(app.identity, effect, exchange, inventory)

        app.transfer.open_attempt(effect.attempt_id, effect.request.request_id, make_targets)

    @app.core.runs(ResumeAttempt)
    def resume_attempt(_state: State, effect: ResumeAttempt) -> None:
        app.transfer.resume_attempt(effect.attempt_id)

    @app.core.runs(CancelAttempt)
    def cancel_attempt(_state: State, effect: CancelAttempt) -> None:
        app.transfer.drop_attempt(effect.attempt_id)

    @app.core.runs(EndRequest)
    def end_request(_state: State, effect: EndRequest) -> None:
        app.transfer.end_exchange(effect.request_id, effect.failure)

    @app.core.runs(CancelStream)
    def cancel_stream(state: State, effect: CancelStream) -> None:
        engine = find_engine(state, effect.engine)
        if engine is None:
            return

        def cancel() -> None:
            if app.engines.cancel_stream(engine.url, effect.stream).is_ok():
                app.core.post(CancelConfirmed(app.clock.now(), effect.engine, effect.stream))

        app.call_later(cancel)

    @app.core.runs(ChangePriority)
    def change_priority(state: State, effect: ChangePriority) -> None:
        attempt = state.attempts.get(effect.attempt_id)
        for share in attempt.placements if attempt is not None else ():
            engine = find_engine(state, share.engine)
            if engine is not None:
                app.call_later(
                    lambda url=engine.url: _ignore(  # type: ignore[misc]
                        app.engines.change_priority(url, effect.attempt_id, effect.priority)
                    )
                )


def find_engine(state: State, name: str) -> Engine | None:
    """Return an engine of the inventory in force, or one that still has streams in hand."""
    view = state.engines.get(name)
    return None if view is None else view.spec


def list_targets(
    identity: Identity, effect: StartAttempt, exchange: Exchange, inventory: Inventory
) -> list[StreamTarget]:
    """Return the streams to open for an attempt, the lead first, from what was delivered so far."""
    request = effect.request
    known = [s for s in effect.placements if s.engine in inventory.engines]
    urls = [inventory.engines[share.engine].url for share in known]
    prompt_left = request.prompt_tokens
    targets: list[StreamTarget] = []
    for position, share in enumerate(known):
        lead = position == 0
        answer_tokens = request.answer_tokens if lead else 0
        prefill = min(prompt_left, share.memory_tokens - answer_tokens)
        prompt_left -= prefill
        body = OpenStream(
            stream=effect.attempt_id,
            owner=identity.instance,
            incarnation=identity.incarnation,
            role="lead" if lead else "segment",
            model=request.model,
            prompt=exchange.prompt if lead else "",
            continued="".join(exchange.texts) if lead else "",
            first_index=exchange.next_index,
            answer_tokens=request.answer_tokens,
            prefill_tokens=prefill,
            memory_tokens=share.memory_tokens,
            priority=effect.priority,
            segments=tuple(urls[1:]) if lead else (),
            prefix=request.prefix if lead else (),
        )
        targets.append(StreamTarget(share.engine, urls[position], body))
    return targets


def _guard(task: Callable[[], None]) -> Callable[[], None]:
    def run() -> None:
        try:
            task()
        except Exception:
            logger.exception("task failed")

    return run


def _ignore(_value: object) -> None:
    """Drop a value that a hook has no use for."""
