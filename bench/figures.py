"""Computes the figures of the measures from their runs."""

from __future__ import annotations

from statistics import median

from bench.results import percentile
from bench.runner import Run
from bench.workload import SHORT_LENGTHS, TEAMS


def compare_short_requests(alone: Run, mixed: Run) -> dict[str, float]:
    """Return latency ratios of short requests with and without long ones, and missed deadlines."""
    length = SHORT_LENGTHS[0][0]
    baseline = [o for o in alone.outcomes if o.verdict == "in_time"]
    short = [o for o in mixed.outcomes if o.prompt_tokens == length]
    answered_short = [o for o in short if o.verdict == "in_time"]
    long_not_in_time = sum(
        o.prompt_tokens != length and o.verdict != "in_time" for o in mixed.outcomes
    )
    figures: dict[str, float] = {}
    for name, field_name in (("total", "total_ms"), ("first token", "first_token_ms")):
        for percent in (50, 95):
            baseline_ms = percentile([getattr(o, field_name) for o in baseline], percent)
            mixed_ms = percentile([getattr(o, field_name) for o in answered_short], percent)
            figures[f"{name} p{percent} ratio"] = mixed_ms / baseline_ms
            if percent == 95:
                figures[f"{name} p95 alone ms"] = baseline_ms
                figures[f"{name} p95 with long ms"] = mixed_ms
    figures["short not in time"] = len(short) - len(answered_short)
    figures["long not in time"] = long_not_in_time
    figures["streams left"] = alone.streams_left + mixed.streams_left
    return figures


def summarize_service(run: Run, max_in_time: int) -> dict[str, float]:
    """Return the requests answered in time relative to the upper bound, and how the rest ended."""
    in_time = [o for o in run.outcomes if o.verdict == "in_time"]
    tokens = sum(o.prompt_tokens for o in in_time)
    offered = sum(o.prompt_tokens for o in run.outcomes)
    return {
        "service over best": len(in_time) / max_in_time,
        "prompt tokens in time over offered": tokens / offered,
        "offered": len(run.outcomes),
        "best possible": max_in_time,
        "in time": len(in_time),
        "late": run.count("late"),
        "refused": run.count("refused", "unreachable"),
        "expired before the first token": run.count("expired"),
        "failed in the stream": run.count("failed"),
        "wrong, incomplete or silent": run.bad_answers,
        "streams left": run.streams_left,
    }


def summarize_equal(run: Run, idle_ms: dict[int, float]) -> dict[str, float]:
    """Return how evenly teams and prompt lengths are served.

    The slowdown of a request is its time divided by the time of that length on idle engines.
    """
    answered = [o for o in run.outcomes if o.verdict in ("in_time", "late")]
    slowdowns = {o.name: o.total_ms / idle_ms[o.prompt_tokens] for o in answered}
    team_medians = [
        median(slowdowns[o.name] for o in answered if o.team == team)
        for team in TEAMS
        if any(o.team == team for o in answered)
    ]
    answered_lengths = [
        length for length in idle_ms if any(o.prompt_tokens == length for o in answered)
    ]
    length_medians = {
        length: median(slowdowns[o.name] for o in answered if o.prompt_tokens == length)
        for length in answered_lengths
    }
    figures: dict[str, float] = {
        "worst over best team": max(team_medians) / min(team_medians),
        "worst over best length": max(length_medians.values()) / min(length_medians.values()),
        "not in time": len(run.outcomes) - run.count("in_time"),
        "wrong, incomplete or silent": run.bad_answers,
        "streams left": run.streams_left,
    }
    for length in idle_ms:
        first_token_ms = [o.first_token_ms for o in answered if o.prompt_tokens == length]
        figures[f"median slowdown {length}"] = length_medians.get(length, float("nan"))
        for percent in (50, 95, 99):
            figures[f"first token ms p{percent} {length}"] = percentile(first_token_ms, percent)
    return figures
