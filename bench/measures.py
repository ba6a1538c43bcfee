"""The measures of decisions under load: each one pairs the policies on the same demand."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from statistics import median

from bench.best import count_best
from bench.demand import (
    ANSWER_TOKENS,
    LONG,
    MIXED,
    SHORT,
    TEAMS,
    Arrival,
    crest,
    draw_arrivals,
    mean_tokens,
    merge,
    rename,
)
from bench.figures import compare_short, summarize_equal, summarize_service
from bench.results import Row, percentile, write_line
from bench.running import Policies, Run, fleet_of, run_demand, set_policies
from standins.deployment import Deployment, start_engine

SHORT_RATE = 60.0
LONG_SHARE = 0.85
EQUAL_SHARE = 0.7
CREST_LOW = 0.8
CREST_FACTOR = 3
CREST_START_MS = 2_000
CREST_RISE_MS = 2_000
CREST_HOLD_MS = 4_000
CREST_TAIL_MS = 2_000
DURATION_MS = 6_000
QUICK_FACTOR = 0.5
LOSS_AFTER_MS = 1_000
IDLE_REPEATS = 5
READINGS = ((0.1, 1_000_000), (0.2, 256_000), (0.5, 1_000_000), (0.6, 256_000))


@dataclass
class Bench:
    """A deployment under measurement, what to vary, and the runs so far."""

    deployment: Deployment
    policies: Sequence[Policies]
    seeds: Sequence[int]
    quick: bool = False
    runs: list[tuple[str, Run]] = field(default_factory=list)
    made: int = 0

    @property
    def scale(self) -> float:
        """Return the factor on durations."""
        return QUICK_FACTOR if self.quick else 1.0

    def run(
        self,
        label: str,
        policies: Policies,
        seed: int,
        arrivals: Sequence[Arrival],
        during: Callable[[], None] | None = None,
        during_ms: float = 0.0,
    ) -> Run:
        """Run a demand under fresh names, and keep what came of it."""
        self.made += 1
        named = rename(arrivals, f"{self.made}")
        run = run_demand(self.deployment, policies, seed, named, during, during_ms)
        self.runs.append((label, run))
        verdicts = {o.verdict for o in run.outcomes}
        counts = ", ".join(f"{verdict} {run.count(verdict)}" for verdict in sorted(verdicts))
        lag = percentile([o.lag_ms for o in run.outcomes], 99)
        write_line(
            f"# {label} {policies.label} seed {seed}: {counts}; "
            f"send lag p99 {lag:.1f} ms; streams left {run.streams_left}; "
            f"busiest entry {run.entry_share:.0%} of a core; machine {run.machine_share:.0%} busy"
        )
        return run


Measure = Callable[[Bench], list[Row]]
MEASURES: dict[str, Measure] = {}


def measure(name: str) -> Callable[[Measure], Measure]:
    """Register a measure under the name that the command line uses."""

    def register(function: Measure) -> Measure:
        MEASURES[name] = function
        return function

    return register


def each_case(
    bench: Bench, function: Callable[[Policies, int], dict[str, float]]
) -> dict[Policies, list[dict[str, float]]]:
    """Call the function for every policy and seed; policies change outside, seeds inside."""
    found: dict[Policies, list[dict[str, float]]] = {}
    for policies in bench.policies:
        set_policies(bench.deployment, policies)
        found[policies] = [function(policies, seed) for seed in bench.seeds]
    return found


def make_rows(
    name: str, cases: dict[Policies, list[dict[str, float]]], targets: dict[str, str]
) -> list[Row]:
    """Return one row for each figure of each case."""
    return [
        Row(
            name,
            policies.label,
            figure,
            tuple(values[figure] for values in by_seed),
            targets.get(figure, ""),
        )
        for policies, by_seed in cases.items()
        for figure in by_seed[0]
    ]


@measure("slowdown")
def measure_slowdown(bench: Bench) -> list[Row]:
    """Short requests with long readings running, over the same short load alone."""
    fleet = fleet_of(bench.deployment.plan)
    long_rate = LONG_SHARE * fleet.capacity(mean_tokens(LONG))
    duration = DURATION_MS * bench.scale

    def run_pair(policies: Policies, seed: int) -> dict[str, float]:
        short = draw_arrivals(seed, fleet, SHORT, lambda _: SHORT_RATE, duration, "short")
        long = draw_arrivals(seed, fleet, LONG, lambda _: long_rate, duration, "long")
        alone = bench.run("short alone", policies, seed, short)
        mixed = bench.run("short with long", policies, seed, merge(short, long))
        return compare_short(alone, mixed)

    targets = {
        "total p95 ratio": "<= 1.25",
        "first token p95 ratio": "<= 1.25",
        "long not in time": "0",
        "short not in time": "0",
        "streams left": "0",
    }
    return make_rows("slowdown", each_case(bench, run_pair), targets)


def draw_crest(bench: Bench, seed: int) -> list[Arrival]:
    """Return a demand that triples within two seconds, to above what the engines can read."""
    fleet = fleet_of(bench.deployment.plan)
    low = CREST_LOW * fleet.capacity(mean_tokens(MIXED))
    hold = CREST_HOLD_MS * bench.scale
    rate = crest(low, CREST_FACTOR * low, CREST_START_MS, CREST_RISE_MS, hold)
    duration = CREST_START_MS + CREST_RISE_MS + hold + CREST_TAIL_MS
    return draw_arrivals(seed, fleet, MIXED, rate, duration, "crest")


@measure("crest")
def measure_crest(bench: Bench) -> list[Row]:
    """Answers within their deadline over the best possible, when demand triples."""
    fleet = fleet_of(bench.deployment.plan)

    def run_crest(policies: Policies, seed: int) -> dict[str, float]:
        arrivals = draw_crest(bench, seed)
        run = bench.run("crest", policies, seed, arrivals)
        return summarize_service(run, count_best(arrivals, fleet))

    targets = {
        "service over best": ">= 0.9",
        "wrong, incomplete or silent": "0",
        "streams left": "0",
    }
    return make_rows("crest", each_case(bench, run_crest), targets)


@measure("crest_loss")
def measure_crest_loss(bench: Bench) -> list[Row]:
    """The same crest with one engine killed at its height; the best is that of all engines."""
    fleet = fleet_of(bench.deployment.plan)
    loss_ms = CREST_START_MS + CREST_RISE_MS + LOSS_AFTER_MS * bench.scale

    def run_loss(policies: Policies, seed: int) -> dict[str, float]:
        arrivals = draw_crest(bench, seed)
        place = seed % len(bench.deployment.engines)
        lost = bench.deployment.engines[place]
        kill = lost.popen.kill
        run = bench.run("crest, one engine lost", policies, seed, arrivals, kill, loss_ms)
        lost.popen.wait()
        bench.deployment.engines[place] = start_engine(
            bench.deployment, lost.name, lost.ports["port"]
        )
        return summarize_service(run, count_best(arrivals, fleet))

    targets = {
        "service over best": ">= 0.75",
        "wrong, incomplete or silent": "0",
        "streams left": "0",
    }
    return make_rows("crest_loss", each_case(bench, run_loss), targets)


@measure("equal")
def measure_equal(bench: Bench) -> list[Row]:
    """Median slowdown by team and by length, and time to first token, under a steady mix."""
    fleet = fleet_of(bench.deployment.plan)
    rate = EQUAL_SHARE * fleet.capacity(mean_tokens(MIXED))
    idle = measure_idle(bench, [length for length, _ in (*MIXED, *LONG)])

    def run_mix(policies: Policies, seed: int) -> dict[str, float]:
        duration = DURATION_MS * bench.scale
        mixed = draw_arrivals(seed, fleet, MIXED, lambda _: rate, duration, "mix")
        run = bench.run("steady mix", policies, seed, merge(mixed, list_readings(duration)))
        return summarize_equal(run, idle)

    targets = {
        "worst over best team": "<= 1.5",
        "worst over best length": "<= 1.5",
        "not in time": "0",
        "streams left": "0",
    }
    return make_rows("equal", each_case(bench, run_mix), targets)


def list_readings(duration_ms: float) -> list[Arrival]:
    """Return the longest readings, which are too rare to be left to chance in a short run."""
    return [
        Arrival(
            f"reading-{share}", share * duration_ms, TEAMS[place], length, ANSWER_TOKENS, 60_000
        )
        for place, (share, length) in enumerate(READINGS)
    ]


def measure_idle(bench: Bench, lengths: Sequence[int]) -> dict[int, float]:
    """Return the median time of a request by length when it is the only one."""
    fleet = fleet_of(bench.deployment.plan)
    arrivals: list[Arrival] = []
    at = 0.0
    for length in lengths:
        repeats = IDLE_REPEATS if length < max(MIXED)[0] else 1
        for number in range(repeats):
            name = f"idle-{length}-{number}"
            arrivals.append(Arrival(name, at, TEAMS[0], length, ANSWER_TOKENS, 60_000))
            at += fleet.service_ms(length, ANSWER_TOKENS) * 1.1 + 150
    policies = bench.policies[0]
    set_policies(bench.deployment, policies)
    run = bench.run("one at a time", policies, 0, arrivals)
    return {
        length: median(o.total_ms for o in run.outcomes if o.prompt_tokens == length)
        for length in lengths
    }
