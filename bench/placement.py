"""The gateway's placement policies on modelled engines, paired by seed, with a plot by length.

The same arrivals are played against each policy: ``calm``, and ``swings`` with bursts of long and
of short prompts by turns. No processes, no wall clock: a second of load takes some milliseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from bench.results import Row, percentile
from standins.simulated_load import (
    ALTERNATING_LOAD,
    KINDS,
    STEADY_LOAD,
    ServedRequest,
    share_on_time,
    simulate,
)

POLICIES = ("least_cost", "least_work", "least_outstanding", "fixed_split")
LOADS = {"calm": STEADY_LOAD, "swings": ALTERNATING_LOAD}
# Upper ends of the length classes, in tokens.
LENGTHS = (2_000, 4_000, 8_000, 16_000, 32_000, 64_000, 128_000, 256_000, 700_000)
PERCENT = 100
SIZE_INCHES = (12, 5)
HIGH_PERCENT = 95
GOALS = {"short": "at least 0.95", "long": "at least 0.9"}


def measure_placement(seeds: Sequence[int], plot: Path) -> list[Row]:
    """Play all loads against all policies; return the figures and write the plot."""
    rows: list[Row] = []
    figure = Figure(figsize=SIZE_INCHES)
    axes = figure.subplots(1, len(LOADS), sharey=True)
    for place, (load, phases) in enumerate(LOADS.items()):
        for name in POLICIES:
            plays = [simulate(name, phases, seed) for seed in seeds]
            rows += list_rows(load, name, plays)
            draw_lengths(axes[place], name, [served for one in plays for served in one])
        axes[place].set(title=load, xscale="log", yscale="log", xlabel="prompt tokens, up to")
    axes[0].set_ylabel("first event after, ms: median, and 95 in 100 dashed")
    axes[0].legend()
    plot.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(plot)
    return rows


def list_rows(load: str, name: str, plays: Sequence[list[ServedRequest]]) -> list[Row]:
    """Return the share on time of each kind, one value a seed."""
    return [
        Row(
            measure=f"placement: {load}",
            case=name,
            figure=f"{kind.name} prompts on time",
            values=tuple(share_on_time(served, kind) for served in plays),
            target=GOALS.get(kind.name, "") if load == "calm" else "",
        )
        for kind in KINDS
    ]


def draw_lengths(axes: Axes, name: str, served: Sequence[ServedRequest]) -> None:
    """Draw the time to the first event by prompt length."""
    lengths, halves, highs = [], [], []
    shortest = 0
    for longest in LENGTHS:
        times = [
            one.first_ms
            for one in served
            if one.first_ms is not None and shortest < one.prompt_tokens <= longest
        ]
        shortest = longest
        if times:
            lengths.append(longest)
            halves.append(percentile(times, PERCENT / 2))
            highs.append(percentile(times, HIGH_PERCENT))
    [line] = axes.plot(lengths, halves, label=name)
    axes.plot(lengths, highs, linestyle="dashed", color=line.get_color())
