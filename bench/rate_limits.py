"""Compares ways to share an upstream's rate limit between instances, in simulated time.

``python -m bench.rate_limits [--seeds N]`` prints a table: the largest number of requests in 4 s,
what is allowed, the share of the named rate that is used while four times as much is asked for,
waits of the requests that are sent, and the datagrams and bytes for permits.
"""

from __future__ import annotations

import argparse
from collections.abc import Sequence
from statistics import median

from loguru import logger

from standins.limit_rule import find_allowed
from standins.simulated_limits import (
    OWNER_PERMITS,
    WAYS,
    LimitLoad,
    LimitResult,
    play_limits,
)

SIZES = (3, 12, 24, 78, 340)
RATES = (0.25, 1.0, 5.0, 40.0)
SECONDS = 24.0
# The demand, as a multiple of the rate, and its least value in calls a second.
DEMAND = 4.0
MIN_CALLS_PER_S = 8.0
HEADER = (
    "| instances | rate | way | worst window | allowed | used | wait, p50 / p95 ms | datagrams/s |"
)


def format_row(load: LimitLoad, way_name: str, results: Sequence[LimitResult]) -> str:
    """Return the table row of one way on one load, from several seeds."""
    waits = sorted(wait_ms for result in results for wait_ms in result.waits_ms) or [0]
    busiest = max(max(result.datagrams.values(), default=0) for result in results) / load.seconds
    cells = (
        load.instances,
        load.rate,
        way_name,
        max(result.worst_window for result in results),
        find_allowed(load.rate),
        f"{median(result.used for result in results):.2f}",
        f"{waits[len(waits) // 2]} / {waits[int(len(waits) * 0.95)]}",
        f"{busiest:.1f}",
    )
    return f"| {' | '.join(map(str, cells))} |"


def main() -> None:
    """Play all ways on all loads and print the table."""
    parser = argparse.ArgumentParser(prog="python -m bench.rate_limits", description=__doc__)
    parser.add_argument("--seeds", type=int, default=3, help="how many seeds")
    seeds = range(1, parser.parse_args().seeds + 1)
    logger.remove()
    print(HEADER)
    print("|---" * HEADER.count(" | ") + "|---|")
    for instances in SIZES:
        for rate in RATES:
            calls_per_s = max(DEMAND * rate, MIN_CALLS_PER_S)
            for way_name in (OWNER_PERMITS, *WAYS):
                loads = [
                    LimitLoad(instances, rate, calls_per_s, SECONDS, seed=seed) for seed in seeds
                ]
                results = [play_limits(load, way_name) for load in loads]
                print(format_row(loads[0], way_name, results), flush=True)


if __name__ == "__main__":
    main()
