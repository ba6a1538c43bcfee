"""Tries order policies on a simulated pool of engines: a trial for choosing, not a measurement.

``python -m bench.order_trial [--orders A,B] [--seeds N]`` prints one line a policy and load.
"""

from __future__ import annotations

import argparse
import random
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from statistics import median

from pyrsistent import pmap

from lentilwell import Identity, Request, State, reduce
from lentilwell._inventory import Engine, Inventory, Model, Rules, Team
from lentilwell._messages import Cause, LoadReport, StreamReport
from lentilwell.reducer import (
    AttemptFailed,
    AttemptFinished,
    CancelStream,
    ChangePriority,
    Effect,
    EndRequest,
    Event,
    FirstTokenSeen,
    InventoryAccepted,
    LoadReported,
    RequestArrived,
    StartAttempt,
    TickPassed,
)

STEP_MS = 10
TICK_PERIOD_MS = 50
REPORT_PERIOD_MS = 250
PREFILL_TOKENS_PER_MS = 20.0
DECODE_MS = 20.0
MEMORY_TOKENS = 450_000
SLOTS = 64
ENGINES = 14
ANSWER_TOKENS = 50
SHORT_TOKENS = 16_000
LENGTHS = (1_000, 4_000, 16_000, 64_000, 256_000, 1_000_000)
FULL_MIX = (0.5, 0.3, 0.13, 0.05, 0.016, 0.004)
SHORT_MIX = (0.62, 0.38, 0.0, 0.0, 0.0, 0.0)
TEAM_SHARES = (0.3, 0.25, 0.1, 0.07, 0.07, 0.07, 0.05, 0.04, 0.03, 0.02)
BASE_DEADLINE_MS = 10_000
DEADLINE_MS_PER_1K = 100


@dataclass
class SimulatedStream:
    """One stream of a simulated engine.

    ``prompt_left`` and ``answer_left`` are the tokens still to prefill and to decode. A prompt
    split over several engines has a stream on each; only the primary one decodes.
    """

    stream: str
    memory_tokens: int
    prompt_left: float
    answer_left: float
    priority: int
    open_order: int
    is_primary: bool


@dataclass
class SimulatedEngine:
    """A simulated engine that prefills by priority and decodes all ready streams at once."""

    name: str
    streams: dict[str, SimulatedStream] = field(default_factory=dict)
    busy_ms: float = 0.0

    def used_tokens(self) -> int:
        """Return the memory in use in tokens."""
        return sum(stream.memory_tokens for stream in self.streams.values())

    def advance(self) -> tuple[list[str], list[str]]:
        """Advance by one step; return the primary streams that ended prefill or finished."""
        token_budget = PREFILL_TOKENS_PER_MS * STEP_MS
        prefilled: list[str] = []
        finished: list[str] = []
        ready = [s for s in self.streams.values() if s.prompt_left <= 0 and s.is_primary]
        waiting = [s for s in self.streams.values() if s.prompt_left > 0]
        for stream in sorted(waiting, key=lambda s: (s.priority, s.open_order)):
            prefilled_tokens = min(token_budget, stream.prompt_left)
            stream.prompt_left -= prefilled_tokens
            token_budget -= prefilled_tokens
            if stream.prompt_left <= 0 and stream.is_primary:
                prefilled.append(stream.stream)
            if token_budget <= 0:
                break
        self.busy_ms += STEP_MS - token_budget / PREFILL_TOKENS_PER_MS
        for stream in ready:
            stream.answer_left -= STEP_MS / DECODE_MS
            if stream.answer_left <= 0:
                finished.append(stream.stream)
                del self.streams[stream.stream]
        return prefilled, finished

    def report(self, sequence: int) -> LoadReport:
        """Return a load report of the engine."""
        streams = tuple(
            StreamReport(s.stream, "i", "1", s.memory_tokens, 0, 0, 0)
            for s in self.streams.values()
        )
        return LoadReport(
            self.name,
            "1",
            sequence,
            False,
            MEMORY_TOKENS,
            self.used_tokens(),
            SLOTS,
            streams,
            ("m",),
        )


@dataclass
class Outcome:
    """The times of one request to the first token and to the end in ms, or its failure code."""

    request: Request
    first_ms: int | None = None
    total_ms: int | None = None
    failure: str = ""


@dataclass
class Pool:
    """The simulated engines and the reducer's state."""

    state: State
    engines: dict[str, SimulatedEngine]
    outcomes: dict[str, Outcome] = field(default_factory=dict)
    by_attempt: dict[str, str] = field(default_factory=dict)
    streams_opened: int = 0

    def apply(self, event: Event) -> None:
        """Apply an event and execute its effects, which may apply further events."""
        self.state, effects = reduce(self.state, event)
        for effect in effects:
            self.execute(effect)

    def execute(self, effect: Effect) -> None:
        """Execute one effect."""
        if isinstance(effect, StartAttempt):
            self.open_streams(effect)
        elif isinstance(effect, CancelStream):
            self.engines[effect.engine].streams.pop(effect.stream, None)
        elif isinstance(effect, ChangePriority):
            for engine in self.engines.values():
                if effect.attempt_id in engine.streams:
                    engine.streams[effect.attempt_id].priority = effect.priority
        elif isinstance(effect, EndRequest):
            self.outcomes[effect.request_id].failure = effect.failure.code

    def open_streams(self, effect: StartAttempt) -> None:
        """Open the streams of an attempt; fail the attempt if one of its engines is full."""
        self.by_attempt[effect.attempt_id] = effect.request.request_id
        remaining_tokens = effect.request.prompt_tokens
        for position, share in enumerate(effect.placements):
            engine = self.engines[share.engine]
            full = engine.used_tokens() + share.memory_tokens > MEMORY_TOKENS
            if full or len(engine.streams) >= SLOTS:
                failed = AttemptFailed(
                    self.state.now, effect.attempt_id, share.engine, Cause.REFUSED, 0
                )
                self.apply(failed)
                return
            prompt_left = min(remaining_tokens, share.memory_tokens)
            remaining_tokens -= prompt_left
            self.streams_opened += 1
            engine.streams[effect.attempt_id] = SimulatedStream(
                effect.attempt_id,
                share.memory_tokens,
                prompt_left,
                effect.request.answer_tokens,
                effect.priority,
                self.streams_opened,
                position == 0,
            )

    def advance(self, now: int) -> None:
        """Advance all engines by one step and apply the resulting events.

        Ticks and load reports follow at their own periods.
        """
        for engine in self.engines.values():
            prefilled, finished = engine.advance()
            for stream in prefilled:
                outcome = self.outcomes[self.by_attempt[stream]]
                outcome.first_ms = now - outcome.request.arrived_at
                self.apply(FirstTokenSeen(now, stream))
            for stream in finished:
                outcome = self.outcomes[self.by_attempt[stream]]
                outcome.total_ms = now - outcome.request.arrived_at
                self.apply(AttemptFinished(now, stream, ANSWER_TOKENS))
        if now % TICK_PERIOD_MS == 0:
            self.apply(TickPassed(now))
        if now % REPORT_PERIOD_MS == 0:
            for engine in self.engines.values():
                self.apply(LoadReported(now, engine.report(now)))


@dataclass(frozen=True)
class Load:
    """A load of requests.

    ``rates`` lists the requests per second for each second of the run, ``mix`` the share of each
    prompt length, and ``long_arrivals`` the time in ms and the prompt tokens of further requests.
    """

    rates: tuple[float, ...]
    mix: tuple[float, ...]
    long_arrivals: tuple[tuple[int, int], ...] = ()


def make_requests(load: Load, seed: int) -> list[Request]:
    """Return the requests of a load; ``long_arrivals`` does not change the random requests."""
    rng = random.Random(seed)
    requests: list[Request] = []
    for second, rate in enumerate(load.rates):
        at_ms = second * 1_000 + rng.expovariate(rate) * 1_000 if rate else 1e9
        while at_ms < (second + 1) * 1_000:
            tokens = rng.choices(LENGTHS, load.mix)[0]
            team = f"team-{rng.choices(range(len(TEAM_SHARES)), TEAM_SHARES)[0]}"
            requests.append(make_request(f"r{len(requests)}", team, tokens, int(at_ms)))
            at_ms += rng.expovariate(rate) * 1_000
    for index, (arrived_ms, tokens) in enumerate(load.long_arrivals):
        requests.append(make_request(f"long{index}", "team-1", tokens, arrived_ms))
    return sorted(requests, key=lambda r: (r.arrived_at, r.request_id))


def make_request(name: str, team: str, tokens: int, at_ms: int) -> Request:
    """Return a request with a deadline that depends on its length."""
    deadline_at = at_ms + BASE_DEADLINE_MS + tokens * DEADLINE_MS_PER_1K // 1_000
    return Request(name, team, "m", tokens, ANSWER_TOKENS, at_ms, deadline_at)


def make_pool(order: str) -> Pool:
    """Return a pool of idle engines and a state without requests."""
    specs = {
        f"engine-{n}": Engine(f"engine-{n}", "", f"dc-{n % 3}", ("m",), MEMORY_TOKENS, SLOTS)
        for n in range(ENGINES)
    }
    teams = {f"team-{n}": Team(f"team-{n}", 1, ()) for n in range(len(TEAM_SHARES))}
    rules = replace(Rules(), order=order, placement="owner_share")
    models = pmap({"m": Model("m", 1_100_000)})
    inventory = Inventory(1, pmap(specs), models=models, teams=pmap(teams), rules=rules)
    state = reduce(State(Identity("i", "1", "dc-0"), random=7), InventoryAccepted(0, inventory))[0]
    return Pool(state, {name: SimulatedEngine(name) for name in specs})


def run_load(order: str, load: Load, seed: int) -> tuple[Pool, list[Outcome]]:
    """Run a load until all its requests have ended."""
    pool = make_pool(order)
    arrivals = make_requests(load, seed)
    position = 0
    now = 0
    while position < len(arrivals) or pool.state.waiting or pool.state.attempts:
        now += STEP_MS
        while position < len(arrivals) and arrivals[position].arrived_at <= now:
            request = arrivals[position]
            pool.outcomes[request.request_id] = Outcome(request)
            pool.apply(RequestArrived(now, request))
            position += 1
        pool.advance(now)
    return pool, list(pool.outcomes.values())


def percentile(values: Iterable[float], share: float) -> float:
    """Return a percentile of the values, or 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def compute_slowdown(outcome: Outcome) -> float:
    """Return the total time of a request divided by its time on idle engines."""
    request = outcome.request
    span = -(-request.memory_tokens // MEMORY_TOKENS)
    alone = request.prompt_tokens / span / PREFILL_TOKENS_PER_MS + ANSWER_TOKENS * DECODE_MS
    return (outcome.total_ms or 0) / alone


def is_short(outcome: Outcome) -> bool:
    """Return whether a request counts as short."""
    return outcome.request.prompt_tokens <= SHORT_TOKENS


def compare_short_requests(order: str, seed: int) -> str:
    """Compare the short requests of a load alone and with additional long requests."""
    rates = (45.0,) * 40
    long_arrivals = tuple((3_000 + 4_000 * n, (256_000, 1_000_000)[n % 4 == 0]) for n in range(9))
    alone = run_load(order, Load(rates, SHORT_MIX), seed)[1]
    mixed = run_load(order, Load(rates, SHORT_MIX, long_arrivals), seed)[1]
    short_outcomes = [o for o in mixed if is_short(o)]
    long_outcomes = [o for o in mixed if not is_short(o)]
    parts = []
    for name, values in (("first", "first_ms"), ("whole", "total_ms")):
        before = percentile([getattr(o, values) or 1e9 for o in alone], 0.95)
        after = percentile([getattr(o, values) or 1e9 for o in short_outcomes], 0.95)
        parts.append(f"{name} {before:.0f} -> {after:.0f} ms ({after / before:.2f})")
    unfinished = sum(o.total_ms is None for o in long_outcomes)
    return f"shorts p95 {', '.join(parts)}; readings not whole {unfinished} of {len(long_outcomes)}"


def measure_peak(order: str, seed: int) -> str:
    """Run a load that triples within two seconds; return the finished share and the slowdowns."""
    rates = (12.0,) * 10 + (24.0, 36.0) + (36.0,) * 20 + (12.0,) * 10
    pool, outcomes = run_load(order, Load(rates, FULL_MIX), seed)
    finished = [o for o in outcomes if o.total_ms is not None]
    finished_tokens = sum(o.request.prompt_tokens for o in finished)
    offered_tokens = sum(o.request.prompt_tokens for o in outcomes)
    busy_tokens = sum(engine.busy_ms for engine in pool.engines.values()) * PREFILL_TOKENS_PER_MS
    by_class = median_slowdowns(finished, lambda o: str(o.request.prompt_tokens))
    by_team = median_slowdowns(finished, lambda o: o.request.team)
    wasted = 1 - finished_tokens / busy_tokens
    refused = len(outcomes) - len(finished)
    return (
        f"whole {len(finished) / len(outcomes):.3f} of {len(outcomes)}, {refused} not, "
        f"tokens {finished_tokens / offered_tokens:.2f}, wasted {wasted:.3f}, "
        f"median slowdown worst/best: "
        f"classes {worst_over_best(by_class):.2f} teams {worst_over_best(by_team):.2f} | "
        + " ".join(f"{k}:{v:.2f}" for k, v in sorted(by_class.items(), key=lambda i: int(i[0])))
    )


def median_slowdowns(outcomes: list[Outcome], key: object) -> dict[str, float]:
    """Return the median slowdown of each group of outcomes."""
    groups: dict[str, list[float]] = {}
    for outcome in outcomes:
        assert callable(key)
        groups.setdefault(key(outcome), []).append(compute_slowdown(outcome))
    return {name: median(values) for name, values in groups.items()}


def worst_over_best(values: dict[str, float]) -> float:
    """Return the ratio of the worst to the best value."""
    return max(values.values()) / min(values.values())


def main() -> int:
    """Run the selected trials and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--orders", default="response_ratio")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--loads", default="shorts,crest")
    options = parser.parse_args()
    trials = {"shorts": compare_short_requests, "crest": measure_peak}
    for load in options.loads.split(","):
        for order in options.orders.split(","):
            for seed in range(1, options.seeds + 1):
                print(f"{load} {order} {seed}: {trials[load](order, seed)}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
