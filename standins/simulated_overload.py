"""Simulates more requests than engines can serve on time, with the gateway's admission control.

Every instance has its own callers and runs the gateway's own ``Fleet``, ``Placer`` and
``AdmissionControl``; engines, callers and the datagrams between instances are simulated, in
simulated time.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, cast

from lentilwell._clock import MS_PER_SECOND
from lentilwell.gateway import BudgetRules, EngineSpec, Upstream
from lentilwell.gateway._accounting import Accounting
from lentilwell.gateway._attempt import MAX_PLACE_TRIES
from lentilwell.gateway._catalog import Catalog, Repeat, Route, ServiceSpec, Team
from lentilwell.gateway._engine_timing import estimate_write_ms
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._messages import InboundRequest, Prompt, RequestFacts
from lentilwell.gateway._placement_policies import Choice
from lentilwell.gateway._placer import Placer
from lentilwell.gateway._routing import RoutedRequest
from lentilwell.gateway._shards import ShardView
from lentilwell.gateway._upstreams import Directory
from lentilwell.gateway.overload import (
    Hold,
    Refuse,
    Send,
    check_admission,
    find_caller_silence_timeout_ms,
    find_late_rank,
)
from standins.batch import Batch, BatchJob, PassResult
from standins.simulated_time import LoopClock, run_in_simulated_time

SERVICE = "engines"
ENGINE = EngineSpec(
    slots=6,
    memory_tokens=315_000,
    step_ms=0.85,
    step_ms_per_decoding_request=0.0085,
    step_ms_per_1k_context=0.00285,
    prefill_tokens_per_ms=250.0,
    pairs_ms_per_million=0.184,
    chunk_tokens=2_048,
    steps_per_pass=52,
    typical_prompt_tokens=4_960,
    typical_answer_tokens=1_716,
)
# How long a digest takes to its receivers, and the delays of reports that are urgent or not.
NETWORK_MS = 1
URGENT_MS = 4
DEFER_MS_PER_PEER = 8
MAX_DEFER_MS = 800
LINK_MS = 2


@dataclass(frozen=True)
class Load:
    """One kind of request; ``times_capacity`` is its rate as a multiple of what the slots serve.

    ``burst_s`` are the begin and the end of its arrivals in seconds. ``answer_sigma`` is the
    standard deviation of the logarithm of the length of its answers. A refused caller returns
    once, after its Retry-After, or after ``retries_ms`` as often as it likes if that is given.
    """

    name: str
    times_capacity: float
    burst_s: tuple[float, float]
    rank: int = 0
    team: str = ""
    prompt_tokens: int = 4_960
    answer_events: int = 33
    answer_sigma: float = 0.3
    objective_ms: int = 300
    pause_ms: int = 250
    timeout_ms: int = 12_000
    retries_ms: int | None = None

    def make_route(self) -> Route:
        """Return the route of these requests."""
        return Route(
            name=self.name,
            host="h",
            prefix=f"/{self.name}/",
            shares=(),
            repeat=Repeat.RESUME,
            streams=True,
            timeout_ms=self.timeout_ms,
            objective_ms=self.objective_ms,
            pause_ms=self.pause_ms,
            rank=self.rank,
            max_upstreams=2,
            public=False,
        )


@dataclass(frozen=True)
class Site:
    """The simulated engines and instances."""

    engines: int = 15
    instances: int = 11
    admission_control: bool = True
    seed: int = 1


@dataclass
class CallerResult:
    """What became of one caller; times are from its first arrival, in ms.

    ``first_ms`` is the time to the first event, None if there was none. ``refusals_ms`` holds how
    long each refusal took. ``held_ms`` is how long its requests were held.
    """

    load: Load
    arrived_s: float
    first_ms: float | None = None
    refusals_ms: list[float] = field(default_factory=list)
    held_ms: float = 0.0

    @property
    def on_time(self) -> bool:
        """Return whether the first event came within the objective."""
        return self.first_ms is not None and self.first_ms <= self.load.objective_ms


class SimulatedEngine:
    """One engine; requests are cancelled when their callers leave."""

    def __init__(self) -> None:
        self.batch = Batch(ENGINE)
        self._events: dict[str, asyncio.Queue[bool]] = {}
        self._busy = False

    def submit(self, job: BatchJob) -> asyncio.Queue[bool]:
        """Add a job; the queue gets False for each event and True for the last one."""
        self.batch.add(job)
        events = self._events[job.name] = asyncio.Queue()
        self._start()
        return events

    def cancel(self, name: str) -> None:
        """Remove a job whose caller has left."""
        self.batch.remove(name)
        self._events.pop(name, None)

    def _start(self) -> None:
        if self._busy or (result := self.batch.run_pass()) is None:
            return
        self._busy = True
        loop = asyncio.get_running_loop()
        loop.call_later(result.duration_ms / MS_PER_SECOND, self._end_pass, result)

    def _end_pass(self, result: PassResult) -> None:
        self._busy = False
        for name in result.decoded:
            if name in self._events:
                self._events[name].put_nowait(name in result.finished)
        for name in result.finished:
            self._events.pop(name, None)
        self._start()


class SilentRecorder:
    """Takes the place of the request recorder; it only adds up how long the request was held."""

    def __init__(self) -> None:
        self.held_ms = 0.0

    def record_hold(self, choice: Choice, reason: str) -> None:
        """Do nothing."""

    def record_hold_end(self, outcome: str, held_ms: int) -> None:
        """Add the time that the request was held."""
        self.held_ms += held_ms

    def record_deferral(self, choice: Choice, prefill_ahead_ms: float, deferral_ms: int) -> None:
        """Do nothing."""


class SimulatedInstance:
    """One instance with its own fleet; ``peers`` learn of its jobs late."""

    def __init__(self, name: str, site: Site, catalog: Catalog, upstreams: list[Upstream]) -> None:
        self.name = name
        self.fleet = Fleet(
            LoopClock(), "dc", BudgetRules(0.2, 100, 10_000), "least_cost", ShardView(name, "dc")
        )
        self.fleet.configuration_choice.in_force = catalog
        self.fleet.directory = Directory(listed={one.name: one for one in upstreams})
        self.fleet.random.seed(f"{site.seed}/{name}")
        self.fleet.count_instances = lambda: site.instances
        self.fleet.admission.enabled = site.admission_control
        self.fleet.load_tracker.on_change = self._schedule_report
        self.peers: list[SimulatedInstance] = []
        self._report: asyncio.TimerHandle | None = None

    def _schedule_report(self, urgent: bool) -> None:
        delay_ms = URGENT_MS if urgent else min(MAX_DEFER_MS, DEFER_MS_PER_PEER * len(self.peers))
        loop = asyncio.get_running_loop()
        due_at = loop.time() + delay_ms / MS_PER_SECOND
        if self._report is not None:
            if self._report.when() <= due_at:
                return
            self._report.cancel()
        self._report = loop.call_at(due_at, self._send_report)

    def _send_report(self) -> None:
        self._report = None
        jobs = self.fleet.load_tracker.list_own_jobs()
        asyncio.get_running_loop().call_later(NETWORK_MS / MS_PER_SECOND, self._deliver, jobs)

    def _deliver(self, jobs: Any) -> None:
        for peer in self.peers:
            peer.fleet.load_tracker.update_peer(self.name, jobs)


class OverloadSimulation:
    """Runs loads on one site."""

    def __init__(self, site: Site, loads: Iterable[Load]) -> None:
        self.site = site
        self.loads = tuple(loads)
        self.rng = random.Random(site.seed)
        upstreams = [
            Upstream(f"u{index}", SERVICE, f"127.0.0.1:{index + 1}", "dc", ENGINE.slots, False)
            for index in range(site.engines)
        ]
        service = ServiceSpec(SERVICE, "/", 0, ENGINE)
        catalog = Catalog(1, services={SERVICE: service})
        self.engines = {upstream.name: SimulatedEngine() for upstream in upstreams}
        self.instances = [
            SimulatedInstance(f"i{index}", site, catalog, upstreams)
            for index in range(site.instances)
        ]
        for instance in self.instances:
            instance.peers = [peer for peer in self.instances if peer is not instance]
        self.results: list[CallerResult] = []
        self._requests = 0

    async def run(self) -> list[CallerResult]:
        """Serve all callers and return what became of them."""
        tasks = [asyncio.ensure_future(self._generate(load)) for load in self.loads]
        await asyncio.gather(*tasks)
        return self.results

    async def _generate(self, load: Load) -> None:
        rate = load.times_capacity * find_capacity_per_s(self.site)
        callers: list[asyncio.Task[None]] = []
        await asyncio.sleep(load.burst_s[0])
        loop = asyncio.get_running_loop()
        while rate > 0:
            await asyncio.sleep(self.rng.expovariate(rate))
            if loop.time() >= load.burst_s[1]:
                break
            callers.append(loop.create_task(self._call(load)))
        await asyncio.gather(*callers)

    async def _call(self, load: Load) -> None:
        """Send a request, and again after a refusal."""
        loop = asyncio.get_running_loop()
        arrived_at = loop.time()
        result = CallerResult(load, arrived_at)
        self.results.append(result)
        spread = self.rng.lognormvariate(-(load.answer_sigma**2) / 2, load.answer_sigma)
        events = max(1, round(load.answer_events * spread))
        tries = 2 if load.retries_ms is None else 1_000
        for _ in range(tries):
            left_ms = load.timeout_ms - (loop.time() - arrived_at) * MS_PER_SECOND
            if left_ms <= load.objective_ms:
                return
            sent_at = loop.time()
            retry_ms = await self._serve(load, events, int(left_ms), result)
            if retry_ms is None:
                return
            result.refusals_ms.append((loop.time() - sent_at) * MS_PER_SECOND)
            await asyncio.sleep((load.retries_ms or retry_ms) / MS_PER_SECOND)

    async def _serve(
        self, load: Load, events: int, left_ms: int, result: CallerResult
    ) -> int | None:
        """Serve a request at a random instance; return the Retry-After of a refusal, else None."""
        fleet = self.rng.choice(self.instances).fleet
        now, name = fleet.clock.now(), f"r{self._requests}"
        self._requests += 1
        routed = make_request(load, events, name, now, left_ms)
        recorder = SilentRecorder()
        placer = Placer(fleet, cast(Any, None), routed, cast(Any, recorder))
        accounting = Accounting(fleet, routed)
        for tries_left in reversed(range(MAX_PLACE_TRIES)):
            choice, verdict = await self._place(fleet, routed, placer)
            if isinstance(verdict, Refuse):
                return verdict.retry_after_ms
            late = verdict.late
            accounting.add_jobs(choice, late)
            if not tries_left or late:
                break
            if await placer.admission.keeps_place(choice, accounting.job_name):
                break
            accounting.remove_jobs(choice)
        result.held_ms += recorder.held_ms
        await self._relay(accounting, fleet, routed, choice, late, events, result)
        return None

    async def _place(
        self, fleet: Fleet, routed: RoutedRequest, placer: Placer
    ) -> tuple[Choice, Send | Refuse]:
        """Place a request until it is sent or refused, as an attempt does."""
        admission = placer.admission
        while True:
            placement = await placer.place(frozenset(), False, False)
            assert placement is not None
            choice, verdict = placement.choice, admission.judge(placement.choice)
            remaining_ms = routed.deadline_at - fleet.clock.now()
            too_late = check_admission(routed.route, choice, remaining_ms)
            if too_late is not None:
                verdict = Refuse(too_late.retry_after_ms, 0)
            if not isinstance(verdict, Hold):
                admission.end_hold("sent", sent=isinstance(verdict, Send))
                return choice, verdict
            while not await admission.hold(choice, verdict.reason):
                pass

    async def _relay(
        self,
        accounting: Accounting,
        fleet: Fleet,
        routed: RoutedRequest,
        choice: Choice,
        late: bool,
        events: int,
        result: CallerResult,
    ) -> None:
        await asyncio.sleep(LINK_MS / MS_PER_SECOND)
        accounting.record_sent()
        rank = find_late_rank(routed.rank) if late else routed.rank
        name = routed.facts.request_id
        assert routed.facts.prompt is not None
        engine = self.engines[choice.upstream.name]
        job = BatchJob(name, routed.facts.prompt.prompt_tokens, events, rank=rank)
        stream = engine.submit(job)
        loop = asyncio.get_running_loop()
        waited_ms = fleet.clock.now() - routed.request.arrived_at
        patience_ms = find_caller_silence_timeout_ms(routed.route) - waited_ms
        try:
            async with asyncio.timeout(patience_ms / MS_PER_SECOND):
                ended = await stream.get()
            accounting.record_event(choice)
            result.first_ms = (loop.time() - result.arrived_s) * MS_PER_SECOND
            while not ended:
                ended = await stream.get()
        except TimeoutError:
            engine.cancel(name)
        accounting.remove_jobs(choice)


def make_request(
    load: Load, events: int, name: str, arrived_at: int, left_ms: int
) -> RoutedRequest:
    """Return a routed request of a load."""
    return RoutedRequest(
        request=InboundRequest(b"POST", b"/", (), arrived_at),
        facts=RequestFacts(
            name,
            "",
            left_ms,
            Prompt(load.prompt_tokens, events * ENGINE.steps_per_pass),
            None,
        ),
        route=load.make_route(),
        team=Team(load.team, (), None) if load.team else None,
        service=SERVICE,
        engine=ENGINE,
        catalog_version=1,
        deadline_at=arrived_at + left_ms,
    )


def find_capacity_per_s(site: Site) -> float:
    """Return how many typical requests a second the slots of a site serve."""
    return site.engines * ENGINE.slots / estimate_write_ms(ENGINE) * MS_PER_SECOND


def simulate_overload(site: Site, loads: Iterable[Load]) -> list[CallerResult]:
    """Run loads on a site in simulated time."""

    async def run() -> list[CallerResult]:
        return await OverloadSimulation(site, loads).run()

    return run_in_simulated_time(run())


@dataclass(frozen=True)
class Summary:
    """Counts of one load's callers; ``value`` counts a late answer as ``LATE_VALUE``."""

    callers: int
    on_time: int
    late: int
    lost: int
    refusals: int
    slowest_refusal_ms: float
    held: int


def summarise(
    results: Iterable[CallerResult], begin_s: float = 0.0, end_s: float = math.inf
) -> Summary:
    """Return the counts of callers that arrived within a time."""
    chosen = [one for one in results if begin_s <= one.arrived_s < end_s]
    refusals = [took_ms for one in chosen for took_ms in one.refusals_ms]
    on_time = sum(one.on_time for one in chosen)
    answered = sum(one.first_ms is not None for one in chosen)
    return Summary(
        callers=len(chosen),
        on_time=on_time,
        late=answered - on_time,
        lost=len(chosen) - answered,
        refusals=len(refusals),
        slowest_refusal_ms=max(refusals, default=0.0),
        held=sum(one.held_ms > 0 for one in chosen),
    )
