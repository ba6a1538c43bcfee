"""Runs the soak from the command line: fresh seeds, or one seed again."""

from __future__ import annotations

import argparse
import secrets
import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

from soak.deployment import INSTANCES
from soak.run import Result, run_seed

DEFAULT_SEEDS = 5
DEFAULT_LENGTH_S = 8
SEED_LIMIT = 2**31


def main() -> int:
    """Run all seeds and print their results; return 1 if any run violated a check, else 0."""
    arguments = build_parser().parse_args()
    seeds = arguments.seed or [secrets.randbelow(SEED_LIMIT) for _ in range(arguments.seeds)]
    run_one = partial(
        run_seed,
        length_ms=arguments.seconds * 1_000,
        instances=arguments.instances,
        deadly=arguments.deadly,
    )
    failed = 0
    with ProcessPoolExecutor(arguments.jobs) as pool:
        for result in pool.map(run_one, seeds):
            failed += bool(result.violations)
            print_result(result, arguments.logs)
    print(f"{len(seeds)} seeds, {failed} failed")
    return 1 if failed else 0


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seed", type=int, action="append", help="play this seed (repeatable)")
    parser.add_argument("--seeds", type=int, default=DEFAULT_SEEDS, help="number of fresh seeds")
    parser.add_argument("--seconds", type=int, default=DEFAULT_LENGTH_S, help="faults last so long")
    parser.add_argument("--instances", type=int, default=INSTANCES, help="gateway processes a run")
    parser.add_argument(
        "--deadly",
        action=argparse.BooleanOptionalAction,
        default=True,
        help="also send a request that ends servers",
    )
    parser.add_argument("--jobs", type=int, default=1, help="runs at once")
    parser.add_argument("--logs", type=Path, help="folder for the logs of seeds that failed")
    return parser


def print_result(result: Result, folder: Path | None) -> None:
    """Print the summary and violations of a seed; save the logs of a failed one to ``folder``."""
    calls = result.observations.calls
    served = sum(call.status == 200 and call.whole for call in calls)
    print(f"seed {result.seed}: {len(calls)} calls, {served} whole, {len(result.plan)} faults")
    for violation in result.violations:
        print(f"  {violation}")
    if not result.violations or folder is None:
        return
    folder.mkdir(parents=True, exist_ok=True)
    for name, lines in result.logs.items():
        (folder / f"{result.seed}-{name}.jsonl").write_bytes(b"".join(lines))
    report = "\n".join(
        map(
            str,
            (*result.plan, *result.observations.troubles, *calls, *result.observations.arrivals),
        )
    )
    (folder / f"{result.seed}.txt").write_text(report + "\n")


if __name__ == "__main__":
    sys.exit(main())
