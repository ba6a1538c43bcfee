"""Simulates a load of prompts on modelled engines with the gateway's placement policies.

One instance places all requests, and its load tracker knows all jobs.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from dataclasses import dataclass, field
from typing import Any

from lentilwell.gateway._deferral import find_deferral_ms
from lentilwell.gateway._load_tracker import LoadTracker
from lentilwell.gateway._messages import Prompt
from lentilwell.gateway._placement_policies import POLICIES, Candidate, PlacementRequest, build_jobs
from lentilwell.gateway._upstreams import Upstream
from standins.batch import ENGINE, Batch, BatchJob, PassResult


@dataclass(frozen=True)
class RequestKind:
    """A kind of request: its arrival rate, lengths and targets.

    Prompt lengths are log-normal with mean ``prompt_tokens`` and standard deviation
    ``prompt_sigma`` of the logarithm, and at most ``max_tokens``. A request is on time if its first
    event comes within ``objective_ms`` and no pause between events is longer than ``pause_ms``.
    """

    name: str
    rate_per_s: float
    prompt_tokens: int
    prompt_sigma: float
    max_tokens: int
    answer_events: int
    objective_ms: int
    pause_ms: int


SHORT = RequestKind("short", 12.5, 4_960, 0.9, 23_800, 33, 300, 250)
MIDDLE = RequestKind("middle", 0.635, 45_000, 0.5, 110_000, 20, 1_500, 600)
LONG = RequestKind("long", 0.384, 154_000, 0.55, 700_000, 16, 3_000, 1_000)
KINDS = (SHORT, MIDDLE, LONG)


@dataclass
class ServedRequest:
    """A placed request and its progress.

    ``engines`` are the indexes of its engines, the primary first, and ``unread_by`` those that have
    not prefilled their part yet. ``first_ms`` is the time from arrival to the first event,
    ``pause_ms`` the longest pause between events so far. ``local`` is true if the primary is in the
    caller's data centre.
    """

    kind: RequestKind
    prompt_tokens: int
    arrived_at: float
    engines: tuple[int, ...] = ()
    unread_by: set[int] = field(default_factory=set)
    first_ms: float | None = None
    last_event_at: float = 0.0
    pause_ms: float = 0.0
    local: bool = True

    @property
    def on_time(self) -> bool:
        """Return whether the first event and every pause were on time."""
        if self.first_ms is None:
            return False
        return self.first_ms <= self.kind.objective_ms and self.pause_ms <= self.kind.pause_ms


@dataclass(frozen=True)
class Phase:
    """A period of the load with a factor for the arrival rate of each kind of request."""

    length_s: float
    short: float
    middle: float
    long: float

    def find_factor(self, kind: RequestKind) -> float:
        """Return the arrival rate factor of a kind of request."""
        return {"short": self.short, "middle": self.middle, "long": self.long}[kind.name]


# The usual rates of all kinds.
STEADY_LOAD = (Phase(30, 1.0, 1.0, 1.0),)
# Bursts of long, then short, then long prompts.
ALTERNATING_LOAD = (
    Phase(9.5, 0.32, 1.3, 2.8),
    Phase(9.5, 2.5, 0.5, 0.05),
    Phase(9.5, 0.36, 1.3, 2.7),
)


# Two bursts with five times the usual rate of long prompts.
LONG_PROMPT_BURSTS = (
    Phase(6, 0.5, 1.0, 5.0),
    Phase(6, 1.0, 1.0, 0.5),
    Phase(6, 0.5, 1.0, 5.0),
)


def draw_arrivals(phases: tuple[Phase, ...], seed: int) -> list[tuple[float, RequestKind, int]]:
    """Return random arrivals by time, each with its time in ms, kind and prompt tokens."""
    rng = random.Random(seed)
    arrivals: list[tuple[float, RequestKind, int]] = []
    begin_s = 0.0
    for phase in phases:
        for kind in KINDS:
            at = begin_s
            while True:
                at += rng.expovariate(kind.rate_per_s * phase.find_factor(kind))
                if at >= begin_s + phase.length_s:
                    break
                log_mean = math.log(kind.prompt_tokens) - kind.prompt_sigma**2 / 2
                tokens = int(min(kind.max_tokens, rng.lognormvariate(log_mean, kind.prompt_sigma)))
                arrivals.append((at * 1_000, kind, max(100, tokens)))
        begin_s += phase.length_s
    return sorted(arrivals, key=lambda arrival: arrival[0])


class Simulation:
    """A discrete-event simulation of engines, one policy and the load tracker of an instance."""

    def __init__(
        self, policy: str, engines: int, seed: int, data_centres: int = 1, defers: bool = True
    ) -> None:
        self.defers = defers
        self.policy = POLICIES[policy]
        self.data_centres = [f"dc{index}" for index in range(data_centres)]
        self.load_tracker = LoadTracker()
        self.batches = [Batch() for _ in range(engines)]
        self.upstreams = [
            Upstream(
                name=f"u{index}",
                service="engines",
                address=f"127.0.0.1:{index + 1}",
                data_centre=self.data_centres[index % data_centres],
                slots=ENGINE.slots,
                leaving=False,
            )
            for index in range(engines)
        ]
        self.served: dict[str, ServedRequest] = {}
        self.busy: set[int] = set()
        self.rng = random.Random(seed)
        self.event_numbers = itertools.count()
        self.event_queue: list[tuple[float, int, str, Any]] = []

    def run(self, arrivals: list[tuple[float, RequestKind, int]]) -> list[ServedRequest]:
        """Simulate all arrivals until every request has finished."""
        for at, kind, tokens in arrivals:
            self._schedule(at, "arrive", (kind, tokens))
        while self.event_queue:
            now, _, event_type, data = heapq.heappop(self.event_queue)
            getattr(self, f"_{event_type}")(now, data)
        return list(self.served.values())

    def _schedule(self, at: float, event_type: str, data: Any) -> None:
        heapq.heappush(self.event_queue, (at, next(self.event_numbers), event_type, data))

    def _arrive(self, now: float, data: tuple[RequestKind, int]) -> None:
        self._place(now, (now, *data))

    def _place(self, now: float, data: tuple[float, RequestKind, int]) -> None:
        arrived_at, kind, tokens = data
        name = f"r{len(self.served)}"
        prompt = Prompt(tokens, kind.answer_events * ENGINE.steps_per_pass)
        request = PlacementRequest(
            prompt=prompt,
            engine=ENGINE,
            objective_ms=kind.objective_ms,
            pause_ms=kind.pause_ms,
            waited_ms=int(now - arrived_at),
            now=int(now),
            random_point=self.rng.random(),
        )
        data_centre = self.rng.choice(self.data_centres)
        candidates = [
            Candidate(
                upstream,
                self.load_tracker.measure_load(upstream.name, int(now)),
                upstream.data_centre == data_centre,
            )
            for upstream in self.upstreams
        ]
        choice = self.policy(request, candidates)
        assert choice is not None
        upstream_names = choice.upstream_names
        engine_indexes = tuple(int(upstream_name[1:]) for upstream_name in upstream_names)
        prefill_ahead_ms = max(
            candidates[engine_index].load.spread_backlog_ms for engine_index in engine_indexes
        )
        deferral_ms = find_deferral_ms(
            choice, kind.objective_ms, prefill_ahead_ms, int(now - arrived_at)
        )
        if self.defers and deferral_ms:
            self._schedule(now + deferral_ms, "place", data)
            return
        self.served[name] = ServedRequest(
            kind, tokens, arrived_at, engine_indexes, set(engine_indexes), last_event_at=now
        )
        self.served[name].local = choice.upstream.data_centre == data_centre
        due_at = int(arrived_at) + kind.objective_ms
        for gateway_job in build_jobs(
            choice, name, prompt.memory_tokens, int(now), due_at, kind.pause_ms
        ):
            self.load_tracker.add(gateway_job)
        for engine_index in engine_indexes:
            is_primary = engine_index == engine_indexes[0]
            job = BatchJob(name, tokens, kind.answer_events, len(engine_indexes), is_primary)
            job.may_decode = len(engine_indexes) == 1
            self.batches[engine_index].add(job)
            self._start(now, engine_index)

    def _start(self, now: float, engine_index: int) -> None:
        if engine_index in self.busy:
            return
        result = self.batches[engine_index].run_pass()
        if result is not None:
            self.busy.add(engine_index)
            self._schedule(now + result.duration_ms, "end_pass", (engine_index, result))

    def _end_pass(self, now: float, data: tuple[int, PassResult]) -> None:
        engine_index, result = data
        self.busy.discard(engine_index)
        for name in result.prefilled:
            self._record_prefilled(now, name, engine_index)
        for name in result.decoded:
            self._record_event(now, name)
        for name in result.finished:
            if self.served[name].engines[0] == engine_index:
                self.load_tracker.remove(name, [f"u{index}" for index in self.served[name].engines])
        self._start(now, engine_index)

    def _record_prefilled(self, now: float, name: str, engine_index: int) -> None:
        served = self.served[name]
        served.unread_by.discard(engine_index)
        if served.unread_by:
            return
        primary = served.engines[0]
        for job in self.batches[primary].jobs:
            if job.name == name:
                job.may_decode = True
        self._start(now, primary)

    def _record_event(self, now: float, name: str) -> None:
        served = self.served[name]
        if served.first_ms is None:
            served.first_ms = now - served.arrived_at
            names = [f"u{index}" for index in served.engines]
            self.load_tracker.record_first_event(name, names, int(now))
        else:
            served.pause_ms = max(served.pause_ms, now - served.last_event_at)
        served.last_event_at = now


def share_on_time(served: list[ServedRequest], kind: RequestKind) -> float:
    """Return the fraction of the requests of a kind that were on time."""
    of_kind = [request for request in served if request.kind is kind]
    return sum(request.on_time for request in of_kind) / max(1, len(of_kind))


def simulate(
    policy: str,
    phases: tuple[Phase, ...],
    seed: int,
    engines: int = 14,
    data_centres: int = 1,
    defers: bool = True,
) -> list[ServedRequest]:
    """Simulate phases of load once.

    ``defers`` lets long prompts wait for prompts that are being prefilled.
    """
    return Simulation(policy, engines, seed, data_centres, defers).run(draw_arrivals(phases, seed))
