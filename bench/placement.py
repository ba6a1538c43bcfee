"""Compares the gateway's placement policies on modelled engines and plots latency by length.

Each policy serves the same arrivals for each seed. The load ``calm`` is steady; ``swings``
alternates between bursts of long and of short prompts. The simulation uses neither processes nor
the wall clock: one second of load takes a few milliseconds.
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
# Upper bounds of the prompt length classes, in tokens.
LENGTH_CLASSES = (2_000, 4_000, 8_000, 16_000, 32_000, 64_000, 128_000, 256_000, 700_000)
PERCENT = 100
FIGURE_SIZE_INCHES = (12, 5)
HIGH_PERCENT = 95
TARGETS = {"short": "at least 0.95", "long": "at least 0.9"}


def measure_placement(seeds: Sequence[int], plot: Path) -> list[Row]:
    """Simulate all loads with all policies; return the figures and write the plot."""
    rows: list[Row] = []
    figure = Figure(figsize=FIGURE_SIZE_INCHES)
    axes = figure.subplots(1, len(LOADS), sharey=True)
    for position, (load, phases) in enumerate(LOADS.items()):
        for name in POLICIES:
            plays = [simulate(name, phases, seed) for seed in seeds]
            rows += build_rows(load, name, plays)
            draw_lengths(axes[position], name, [served for one in plays for served in one])
        axes[position].set(title=load, xscale="log", yscale="log", xlabel="prompt tokens, up to")
    axes[0].set_ylabel("first event after, ms: median, and 95 in 100 dashed")
    axes[0].legend()
    plot.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(plot)
    return rows


def build_rows(load: str, name: str, plays: Sequence[list[ServedRequest]]) -> list[Row]:
    """Return the share of requests on time by kind of request, with one value for each seed."""
    return [
        Row(
            measure=f"placement: {load}",
            case=name,
            figure=f"{kind.name} prompts on time",
            values=tuple(share_on_time(served, kind) for served in plays),
            target=TARGETS.get(kind.name, "") if load == "calm" else "",
        )
        for kind in KINDS
    ]


def draw_lengths(axes: Axes, name: str, served: Sequence[ServedRequest]) -> None:
    """Plot the median and 95th percentile of the time to the first event by prompt length."""
    lengths, medians, high_percentiles = [], [], []
    lower = 0
    for upper in LENGTH_CLASSES:
        times = [
            one.first_ms
            for one in served
            if one.first_ms is not None and lower < one.prompt_tokens <= upper
        ]
        lower = upper
        if times:
            lengths.append(upper)
            medians.append(percentile(times, PERCENT / 2))
            high_percentiles.append(percentile(times, HIGH_PERCENT))
    [line] = axes.plot(lengths, medians, label=name)
    axes.plot(lengths, high_percentiles, linestyle="dashed", color=line.get_color())
