"""The figures that a measure draws from its runs."""

from __future__ import annotations

from statistics import median

from bench.demand import SHORT, TEAMS
from bench.results import percentile
from bench.running import Run


def compare_short(alone: Run, mixed: Run) -> dict[str, float]:
    """Return the ratios of short requests' percentiles, and who was not answered in time."""
    length = SHORT[0][0]
    before = [o for o in alone.outcomes if o.verdict == "in_time"]
    short = [o for o in mixed.outcomes if o.prompt_tokens == length]
    after = [o for o in short if o.verdict == "in_time"]
    late_long = sum(o.prompt_tokens != length and o.verdict != "in_time" for o in mixed.outcomes)
    figures: dict[str, float] = {}
    for name, field_name in (("total", "total_ms"), ("first token", "first_token_ms")):
        for percent in (50, 95):
            base = percentile([getattr(o, field_name) for o in before], percent)
            loaded = percentile([getattr(o, field_name) for o in after], percent)
            figures[f"{name} p{percent} ratio"] = loaded / base
            if percent == 95:
                figures[f"{name} p95 alone ms"] = base
                figures[f"{name} p95 with long ms"] = loaded
    figures["short not in time"] = len(short) - len(after)
    figures["long not in time"] = late_long
    figures["streams left"] = alone.streams_left + mixed.streams_left
    return figures


def summarize_service(run: Run, best: int) -> dict[str, float]:
    """Return what was answered in time over the best possible, and how the rest ended."""
    in_time = [o for o in run.outcomes if o.verdict == "in_time"]
    tokens = sum(o.prompt_tokens for o in in_time)
    offered = sum(o.prompt_tokens for o in run.outcomes)
    return {
        "service over best": len(in_time) / best,
        "prompt tokens in time over offered": tokens / offered,
        "offered": len(run.outcomes),
        "best possible": best,
        "in time": len(in_time),
        "late": run.count("late"),
        "refused": run.count("refused", "unreachable"),
        "expired before the first token": run.count("expired"),
        "failed in the stream": run.count("failed"),
        "wrong, incomplete or silent": run.bad_answers,
        "streams left": run.streams_left,
    }


def summarize_equal(run: Run, idle: dict[int, float]) -> dict[str, float]:
    """Return ratios of median slowdowns, and percentiles of the time to first token."""
    answered = [o for o in run.outcomes if o.verdict in ("in_time", "late")]
    slowdowns = {o.name: o.total_ms / idle[o.prompt_tokens] for o in answered}
    teams = [
        median(slowdowns[o.name] for o in answered if o.team == team)
        for team in TEAMS
        if any(o.team == team for o in answered)
    ]
    present = [length for length in idle if any(o.prompt_tokens == length for o in answered)]
    lengths = {
        length: median(slowdowns[o.name] for o in answered if o.prompt_tokens == length)
        for length in present
    }
    figures: dict[str, float] = {
        "worst over best team": max(teams) / min(teams),
        "worst over best length": max(lengths.values()) / min(lengths.values()),
        "not in time": len(run.outcomes) - run.count("in_time"),
        "wrong, incomplete or silent": run.bad_answers,
        "streams left": run.streams_left,
    }
    for length in idle:
        firsts = [o.first_token_ms for o in answered if o.prompt_tokens == length]
        figures[f"median slowdown {length}"] = lengths.get(length, float("nan"))
        for percent in (50, 95, 99):
            figures[f"first token ms p{percent} {length}"] = percentile(firsts, percent)
    return figures
