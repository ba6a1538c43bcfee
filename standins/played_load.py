"""Plays a load of prompts against placement policies on modelled engines, in simulated time."""

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
class Kind:
    """A kind of request: rate, length of prompt and answer, and what is on time."""

    name: str
    per_s: float
    prompt_tokens: int
    spread: float
    most_tokens: int
    events: int
    objective_ms: int
    pause_ms: int


SHORT = Kind("short", 12.5, 4_960, 0.9, 23_800, 33, 300, 250)
MIDDLE = Kind("middle", 0.635, 45_000, 0.5, 110_000, 20, 1_500, 600)
LONG = Kind("long", 0.384, 154_000, 0.55, 700_000, 16, 3_000, 1_000)
KINDS = (SHORT, MIDDLE, LONG)


@dataclass
class Served:
    """How one request was served; ``first_ms`` from its arrival, ``pause_ms`` the longest.

    ``near`` tells whether the engine that wrote the answer stands in the caller's data centre.
    """

    kind: Kind
    prompt_tokens: int
    arrived_at: float
    engines: tuple[int, ...] = ()
    unread: set[int] = field(default_factory=set)
    first_ms: float | None = None
    last_at: float = 0.0
    pause_ms: float = 0.0
    near: bool = True

    @property
    def on_time(self) -> bool:
        """Tell whether the first event and every pause were on time."""
        if self.first_ms is None:
            return False
        return self.first_ms <= self.kind.objective_ms and self.pause_ms <= self.kind.pause_ms


@dataclass(frozen=True)
class Phase:
    """A stretch of the load, each kind's rate multiplied."""

    length_s: float
    short: float
    middle: float
    long: float

    def find_factor(self, kind: Kind) -> float:
        """Return the factor of a kind."""
        return {"short": self.short, "middle": self.middle, "long": self.long}[kind.name]


CALM = (Phase(30, 1.0, 1.0, 1.0),)
SWINGS = (
    Phase(9.5, 0.32, 1.3, 2.8),
    Phase(9.5, 2.5, 0.5, 0.05),
    Phase(9.5, 0.36, 1.3, 2.7),
)


FLOOD = (
    Phase(6, 0.5, 1.0, 5.0),
    Phase(6, 1.0, 1.0, 0.5),
    Phase(6, 0.5, 1.0, 5.0),
)


def draw_arrivals(phases: tuple[Phase, ...], seed: int) -> list[tuple[float, Kind, int]]:
    """Return arrivals in order: moment in ms, kind, prompt tokens."""
    rng = random.Random(seed)
    arrivals: list[tuple[float, Kind, int]] = []
    begin_s = 0.0
    for phase in phases:
        for kind in KINDS:
            at = begin_s
            while True:
                at += rng.expovariate(kind.per_s * phase.find_factor(kind))
                if at >= begin_s + phase.length_s:
                    break
                mu = math.log(kind.prompt_tokens) - kind.spread**2 / 2
                tokens = int(min(kind.most_tokens, rng.lognormvariate(mu, kind.spread)))
                arrivals.append((at * 1_000, kind, max(100, tokens)))
        begin_s += phase.length_s
    return sorted(arrivals, key=lambda arrival: arrival[0])


class Play:
    """One play: engines, one instance's books, a policy."""

    def __init__(
        self, policy: str, engines: int, seed: int, centres: int = 1, holds: bool = True
    ) -> None:
        self.holds = holds
        self.policy = POLICIES[policy]
        self.centres = [f"dc{at}" for at in range(centres)]
        self.load_tracker = LoadTracker()
        self.batches = [Batch() for _ in range(engines)]
        self.upstreams = [
            Upstream(
                name=f"u{at}",
                service="engines",
                address=f"127.0.0.1:{at + 1}",
                data_centre=self.centres[at % centres],
                slots=ENGINE.slots,
                leaving=False,
            )
            for at in range(engines)
        ]
        self.served: dict[str, Served] = {}
        self.busy: set[int] = set()
        self.rng = random.Random(seed)
        self.order = itertools.count()
        self.queue: list[tuple[float, int, str, Any]] = []

    def run(self, arrivals: list[tuple[float, Kind, int]]) -> list[Served]:
        """Play all arrivals to their ends."""
        for at, kind, tokens in arrivals:
            self._push(at, "arrive", (kind, tokens))
        while self.queue:
            now, _, what, data = heapq.heappop(self.queue)
            getattr(self, f"_{what}")(now, data)
        return list(self.served.values())

    def _push(self, at: float, what: str, data: Any) -> None:
        heapq.heappush(self.queue, (at, next(self.order), what, data))

    def _arrive(self, now: float, data: tuple[Kind, int]) -> None:
        self._place(now, (now, *data))

    def _place(self, now: float, data: tuple[float, Kind, int]) -> None:
        arrived_at, kind, tokens = data
        name = f"r{len(self.served)}"
        prompt = Prompt(tokens, kind.events * ENGINE.steps_per_pass)
        request = PlacementRequest(
            prompt=prompt,
            engine=ENGINE,
            objective_ms=kind.objective_ms,
            pause_ms=kind.pause_ms,
            waited_ms=int(now - arrived_at),
            now=int(now),
            random_point=self.rng.random(),
        )
        centre = self.rng.choice(self.centres)
        candidates = [
            Candidate(
                up, self.load_tracker.measure_load(up.name, int(now)), up.data_centre == centre
            )
            for up in self.upstreams
        ]
        choice = self.policy(request, candidates)
        assert choice is not None
        names = choice.upstream_names
        places = tuple(int(up[1:]) for up in names)
        ahead_ms = max(candidates[place].load.spread_backlog_ms for place in places)
        hold_ms = find_deferral_ms(choice, kind.objective_ms, ahead_ms, int(now - arrived_at))
        if self.holds and hold_ms:
            self._push(now + hold_ms, "place", data)
            return
        self.served[name] = Served(kind, tokens, arrived_at, places, set(places), last_at=now)
        self.served[name].near = choice.upstream.data_centre == centre
        due_at = int(arrived_at) + kind.objective_ms
        for booked in build_jobs(
            choice, name, prompt.memory_tokens, int(now), due_at, kind.pause_ms
        ):
            self.load_tracker.add(booked)
        for place in places:
            lead = place == places[0]
            job = BatchJob(name, tokens, kind.events, len(places), lead)
            job.released = len(places) == 1
            self.batches[place].add(job)
            self._start(now, place)

    def _start(self, now: float, place: int) -> None:
        if place in self.busy:
            return
        result = self.batches[place].run_pass()
        if result is not None:
            self.busy.add(place)
            self._push(now + result.length_ms, "end_pass", (place, result))

    def _end_pass(self, now: float, data: tuple[int, PassResult]) -> None:
        place, result = data
        self.busy.discard(place)
        for name in result.read:
            self._note_read(now, name, place)
        for name in result.wrote:
            self._note_event(now, name)
        for name in result.ended:
            if self.served[name].engines[0] == place:
                self.load_tracker.remove(name, [f"u{at}" for at in self.served[name].engines])
        self._start(now, place)

    def _note_read(self, now: float, name: str, place: int) -> None:
        served = self.served[name]
        served.unread.discard(place)
        if served.unread:
            return
        lead = served.engines[0]
        for job in self.batches[lead].jobs:
            if job.name == name:
                job.released = True
        self._start(now, lead)

    def _note_event(self, now: float, name: str) -> None:
        served = self.served[name]
        if served.first_ms is None:
            served.first_ms = now - served.arrived_at
            self.load_tracker.record_first_event(name, [f"u{at}" for at in served.engines])
        else:
            served.pause_ms = max(served.pause_ms, now - served.last_at)
        served.last_at = now


def share_on_time(served: list[Served], kind: Kind) -> float:
    """Return the share of a kind's requests that came on time."""
    of_kind = [one for one in served if one.kind is kind]
    return sum(one.on_time for one in of_kind) / max(1, len(of_kind))


def play(
    policy: str,
    phases: tuple[Phase, ...],
    seed: int,
    engines: int = 14,
    centres: int = 1,
    holds: bool = True,
) -> list[Served]:
    """Play phases of load once; ``holds`` lets long prompts wait for those being read."""
    return Play(policy, engines, seed, centres, holds).run(draw_arrivals(phases, seed))
