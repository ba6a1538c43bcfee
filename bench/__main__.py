"""``python -m bench``: measures the deployment and writes a table and a data file.

Exit code 1 says that an answer was wrong, incomplete or never came, that an engine's invariant was
broken, or that a stream stayed on one; missing a target does not change it, that is in the table.
"""

from __future__ import annotations

import argparse
import shlex
import sys
import time
from dataclasses import asdict
from pathlib import Path

from bench.data_path import measure_data_path
from bench.measures import MEASURES, Bench
from bench.placement import measure_placement
from bench.results import Row, read_commit, write_data, write_line, write_table
from bench.runner import BENCH_PLAN, Policies
from standins.deployment import deploy

DEFAULT_POLICIES = "response_ratio/owner_share,first_come/least_loaded"
DATA_PATH = "path"
PLACEMENT = "placement"


def parse_options() -> argparse.Namespace:
    """Parse the command-line options."""
    parser = argparse.ArgumentParser(prog="python -m bench", description=__doc__)
    names = [*MEASURES, DATA_PATH, PLACEMENT]
    parser.add_argument("--measure", nargs="+", choices=names, default=names)
    parser.add_argument("--seeds", type=int, default=3, help="how many seeds")
    parser.add_argument("--quick", action="store_true", help="shorter runs")
    parser.add_argument(
        "--policies", default=DEFAULT_POLICIES, help="ORDER/PLACEMENT, comma-separated"
    )
    parser.add_argument("--output", type=Path, default=Path("bench/results/bench.json"))
    return parser.parse_args()


def main() -> int:
    """Run the selected measures and return the exit code."""
    options = parse_options()
    started = time.monotonic()
    commit = read_commit()
    policies = [Policies(*text.split("/")) for text in options.policies.split(",")]
    seeds = range(1, options.seeds + 1)
    rows: list[Row] = []
    fault_count = 0
    details: list[object] = []
    selected = [name for name in options.measure if name in MEASURES]
    if selected:
        with deploy(BENCH_PLAN) as deployment:
            bench = Bench(deployment, policies, seeds, options.quick)
            for name in selected:
                rows += MEASURES[name](bench)
        fault_count = sum(run.fault_count for _, run in bench.runs)
        details = [
            {
                "label": label,
                "policies": run.policies.label,
                "seed": run.seed,
                "streams_left": run.streams_left,
                "entry_share": round(run.entry_share, 3),
                "machine_share": round(run.machine_share, 3),
                "bad": [asdict(o) for o in run.outcomes if o.verdict != "in_time"],
            }
            for label, run in bench.runs
        ]
    if DATA_PATH in options.measure:
        rows += measure_data_path(options.quick)
    if PLACEMENT in options.measure:
        plot = options.output.with_name("placement.png")
        rows += measure_placement(seeds, plot)
        write_line(f"# time to first event by prompt length: {plot}")
    write_table(rows)
    command = "python -m bench " + shlex.join(sys.argv[1:])
    write_data(options.output, command.strip(), commit, rows, details)
    write_line(f"# {time.monotonic() - started:.0f} s; data in {options.output}")
    return 1 if fault_count else 0


if __name__ == "__main__":
    sys.exit(main())
