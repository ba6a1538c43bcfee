"""Measures of scheduling decisions under load; each runs all policies on the same arrivals."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from statistics import median

from bench.figures import compare_short_requests, summarize_equal, summarize_service
from bench.results import Row, percentile, write_line
from bench.runner import Policies, Run, activate_policies, build_fleet, run_workload
from bench.upper_bound import count_max_in_time
from bench.workload import (
    ANSWER_TOKENS,
    LONG_LENGTHS,
    MIXED_LENGTHS,
    SHORT_LENGTHS,
    TEAMS,
    Arrival,
    draw_arrivals,
    make_peak_rate,
    mean_prompt_tokens,
    merge_arrivals,
    rename_arrivals,
)
from standins.deployment import Deployment, start_engine

SHORT_REQUESTS_PER_S = 60.0
LONG_CAPACITY_SHARE = 0.85
STEADY_CAPACITY_SHARE = 0.7
BASE_CAPACITY_SHARE = 0.8
PEAK_FACTOR = 3
PEAK_START_MS = 2_000
PEAK_RISE_MS = 2_000
PEAK_PLATEAU_MS = 4_000
PEAK_TAIL_MS = 2_000
DURATION_MS = 6_000
QUICK_DURATION_FACTOR = 0.5
LOSS_DELAY_MS = 1_000
IDLE_REPEATS = 5
LONG_PROMPTS = ((0.1, 1_000_000), (0.2, 256_000), (0.5, 1_000_000), (0.6, 256_000))


@dataclass
class Bench:
    """The deployment under measurement, the policies and seeds to run, and the runs so far."""

    deployment: Deployment
    policies: Sequence[Policies]
    seeds: Sequence[int]
    quick: bool = False
    runs: list[tuple[str, Run]] = field(default_factory=list)
    run_count: int = 0

    @property
    def scale(self) -> float:
        """Return the factor for the durations of the measures; quick runs have a smaller one."""
        return QUICK_DURATION_FACTOR if self.quick else 1.0

    def run(
        self,
        label: str,
        policies: Policies,
        seed: int,
        arrivals: Sequence[Arrival],
        action: Callable[[], None] | None = None,
        action_ms: float = 0.0,
    ) -> Run:
        """Run a workload under new request names, and record and print its results."""
        self.run_count += 1
        renamed = rename_arrivals(arrivals, f"{self.run_count}")
        run = run_workload(self.deployment, policies, seed, renamed, action, action_ms)
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


def register_measure(name: str) -> Callable[[Measure], Measure]:
    """Register a measure under its name on the command line."""

    def register(function: Measure) -> Measure:
        MEASURES[name] = function
        return function

    return register


def measure_cases(
    bench: Bench, function: Callable[[Policies, int], dict[str, float]]
) -> dict[Policies, list[dict[str, float]]]:
    """Call the function for every policy (outer loop) and seed (inner loop)."""
    cases: dict[Policies, list[dict[str, float]]] = {}
    for policies in bench.policies:
        activate_policies(bench.deployment, policies)
        cases[policies] = [function(policies, seed) for seed in bench.seeds]
    return cases


def build_rows(
    name: str, cases: dict[Policies, list[dict[str, float]]], targets: dict[str, str]
) -> list[Row]:
    """Return one row for each figure of each policy."""
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


@register_measure("slowdown")
def measure_slowdown(bench: Bench) -> list[Row]:
    """Compare short requests while long prompts are prefilled with the same short load alone."""
    fleet = build_fleet(bench.deployment.plan)
    long_rate = LONG_CAPACITY_SHARE * fleet.capacity(mean_prompt_tokens(LONG_LENGTHS))
    duration = DURATION_MS * bench.scale

    def run_pair(policies: Policies, seed: int) -> dict[str, float]:
        short = draw_arrivals(
            seed, fleet, SHORT_LENGTHS, lambda _: SHORT_REQUESTS_PER_S, duration, "short"
        )
        long = draw_arrivals(seed, fleet, LONG_LENGTHS, lambda _: long_rate, duration, "long")
        alone = bench.run("short alone", policies, seed, short)
        mixed = bench.run("short with long", policies, seed, merge_arrivals(short, long))
        return compare_short_requests(alone, mixed)

    targets = {
        "total p95 ratio": "<= 1.25",
        "first token p95 ratio": "<= 1.25",
        "long not in time": "0",
        "short not in time": "0",
        "streams left": "0",
    }
    return build_rows("slowdown", measure_cases(bench, run_pair), targets)


def draw_peak(bench: Bench, seed: int) -> list[Arrival]:
    """Draw arrivals whose rate triples within two seconds, beyond the engines' prefill capacity."""
    fleet = build_fleet(bench.deployment.plan)
    base_rate = BASE_CAPACITY_SHARE * fleet.capacity(mean_prompt_tokens(MIXED_LENGTHS))
    plateau_ms = PEAK_PLATEAU_MS * bench.scale
    rate = make_peak_rate(
        base_rate, PEAK_FACTOR * base_rate, PEAK_START_MS, PEAK_RISE_MS, plateau_ms
    )
    duration = PEAK_START_MS + PEAK_RISE_MS + plateau_ms + PEAK_TAIL_MS
    return draw_arrivals(seed, fleet, MIXED_LENGTHS, rate, duration, "crest")


@register_measure("crest")
def measure_peak(bench: Bench) -> list[Row]:
    """Measure the answers in time relative to the upper bound while the arrival rate triples."""
    fleet = build_fleet(bench.deployment.plan)

    def run_peak(policies: Policies, seed: int) -> dict[str, float]:
        arrivals = draw_peak(bench, seed)
        run = bench.run("crest", policies, seed, arrivals)
        return summarize_service(run, count_max_in_time(arrivals, fleet))

    targets = {
        "service over best": ">= 0.9",
        "wrong, incomplete or silent": "0",
        "streams left": "0",
    }
    return build_rows("crest", measure_cases(bench, run_peak), targets)


@register_measure("crest_loss")
def measure_peak_loss(bench: Bench) -> list[Row]:
    """Measure the same peak with one engine killed at its height.

    The upper bound still counts all engines.
    """
    fleet = build_fleet(bench.deployment.plan)
    loss_ms = PEAK_START_MS + PEAK_RISE_MS + LOSS_DELAY_MS * bench.scale

    def run_loss(policies: Policies, seed: int) -> dict[str, float]:
        arrivals = draw_peak(bench, seed)
        position = seed % len(bench.deployment.engines)
        killed_engine = bench.deployment.engines[position]
        kill = killed_engine.popen.kill
        run = bench.run("crest, one engine lost", policies, seed, arrivals, kill, loss_ms)
        killed_engine.popen.wait()
        bench.deployment.engines[position] = start_engine(
            bench.deployment, killed_engine.name, killed_engine.ports["port"]
        )
        return summarize_service(run, count_max_in_time(arrivals, fleet))

    targets = {
        "service over best": ">= 0.75",
        "wrong, incomplete or silent": "0",
        "streams left": "0",
    }
    return build_rows("crest_loss", measure_cases(bench, run_loss), targets)


@register_measure("equal")
def measure_equal_service(bench: Bench) -> list[Row]:
    """Measure slowdowns by team and by length, and the time to first token, under a steady load."""
    fleet = build_fleet(bench.deployment.plan)
    rate = STEADY_CAPACITY_SHARE * fleet.capacity(mean_prompt_tokens(MIXED_LENGTHS))
    idle_ms = measure_idle_times(bench, [length for length, _ in (*MIXED_LENGTHS, *LONG_LENGTHS)])

    def run_mix(policies: Policies, seed: int) -> dict[str, float]:
        duration = DURATION_MS * bench.scale
        mixed = draw_arrivals(seed, fleet, MIXED_LENGTHS, lambda _: rate, duration, "mix")
        run = bench.run(
            "steady mix", policies, seed, merge_arrivals(mixed, list_long_prompts(duration))
        )
        return summarize_equal(run, idle_ms)

    targets = {
        "worst over best team": "<= 1.5",
        "worst over best length": "<= 1.5",
        "not in time": "0",
        "streams left": "0",
    }
    return build_rows("equal", measure_cases(bench, run_mix), targets)


def list_long_prompts(duration_ms: float) -> list[Arrival]:
    """Return arrivals of the longest prompts at fixed times.

    Random arrivals of these lengths would be too rare for a short run.
    """
    return [
        Arrival(
            f"reading-{share}", share * duration_ms, TEAMS[position], length, ANSWER_TOKENS, 60_000
        )
        for position, (share, length) in enumerate(LONG_PROMPTS)
    ]


def measure_idle_times(bench: Bench, lengths: Sequence[int]) -> dict[int, float]:
    """Return the median time of a single request on idle engines in ms, by prompt length."""
    fleet = build_fleet(bench.deployment.plan)
    arrivals: list[Arrival] = []
    at_ms = 0.0
    for length in lengths:
        repeats = IDLE_REPEATS if length < max(MIXED_LENGTHS)[0] else 1
        for number in range(repeats):
            name = f"idle-{length}-{number}"
            arrivals.append(Arrival(name, at_ms, TEAMS[0], length, ANSWER_TOKENS, 60_000))
            at_ms += fleet.service_ms(length, ANSWER_TOKENS) * 1.1 + 150
    policies = bench.policies[0]
    activate_policies(bench.deployment, policies)
    run = bench.run("one at a time", policies, 0, arrivals)
    return {
        length: median(o.total_ms for o in run.outcomes if o.prompt_tokens == length)
        for length in lengths
    }
