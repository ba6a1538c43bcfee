"""Repeats tests beside load and with pauses, to find what breaks them instead of waiting for it.

``python -m bench.repeat_tests TEST... [--runs N] [--busy N] [--hold-ups SHARE:MS] [--stops MS]``
runs the tests again and again. ``--busy`` processes keep the processor busy, ``--hold-ups`` holds
up the event loops of the test process in that share of their rounds, ``--stops`` suspends the
test's child processes for up to so long, one at a time. The output of each failed run stays in
``build/repeat``, with its seed. The exit code is 1 if a run failed.
"""

from __future__ import annotations

import argparse
import contextlib
import multiprocessing
import os
import random
import secrets
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path("build/repeat")
POLL_S = 0.05
MAX_PAUSE_BETWEEN_STOPS_S = 0.5
RUN_TIMEOUT_S = 600


@dataclass(frozen=True)
class Run:
    """One run of the tests: its seed, exit code and output."""

    seed: int
    code: int
    output: str


def keep_busy() -> None:
    """Use one processor until the process is ended."""
    while True:
        pass


@contextlib.contextmanager
def run_load(processes: int) -> Iterator[None]:
    """Keep so many processors busy during a ``with`` block."""
    busy = [multiprocessing.Process(target=keep_busy, daemon=True) for _ in range(processes)]
    for process in busy:
        process.start()
    try:
        yield
    finally:
        for process in busy:
            process.kill()
            process.join()


def list_children(pid: int) -> list[int]:
    """Return the processes that a process has started, directly or not."""
    found: list[int] = []
    with contextlib.suppress(OSError):
        for task in Path(f"/proc/{pid}/task").iterdir():
            for child in (task / "children").read_text().split():
                found += [int(child), *list_children(int(child))]
    return found


def stop_children(process: subprocess.Popen[str], stops_ms: int, rng: random.Random) -> None:
    """Suspend one child process after another until the test run ends."""
    while process.poll() is None:
        time.sleep(rng.random() * MAX_PAUSE_BETWEEN_STOPS_S)
        children = list_children(process.pid)
        if not children:
            continue
        child = rng.choice(children)
        with contextlib.suppress(ProcessLookupError):
            os.kill(child, signal.SIGSTOP)
            time.sleep(rng.random() * stops_ms / 1_000)
            os.kill(child, signal.SIGCONT)


def run_tests(tests: list[str], seed: int, hold_ups: str, stops_ms: int) -> Run:
    """Run the tests once; the seed decides when they are held up."""
    environment = dict(os.environ)
    if hold_ups:
        environment["LENTILWELL_HOLD_UPS"] = f"{seed}:{hold_ups}"
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", "--runxfail", *tests]
    log = FOLDER / f"{seed}.log"
    with log.open("w") as output:
        process = subprocess.Popen(
            command, env=environment, stdout=output, stderr=subprocess.STDOUT, text=True
        )
        if stops_ms:
            stop_children(process, stops_ms, random.Random(seed))
        code = process.wait(RUN_TIMEOUT_S)
    text = log.read_text()
    if code == 0:
        log.unlink()
    return Run(seed, code, text)


def main() -> int:
    """Repeat the tests and print a line for each failed run."""
    parser = argparse.ArgumentParser(prog="python -m bench.repeat_tests", description=__doc__)
    parser.add_argument("tests", nargs="+", help="tests as pytest takes them")
    parser.add_argument("--runs", type=int, default=20, help="how many runs")
    parser.add_argument("--busy", type=int, default=0, help="busy processes beside the tests")
    parser.add_argument("--hold-ups", default="", metavar="SHARE:MS", help="hold up event loops")
    parser.add_argument(
        "--stops", type=int, default=0, metavar="MS", help="suspend child processes"
    )
    parser.add_argument("--seed", type=int, help="the seed of the first run")
    options = parser.parse_args()
    FOLDER.mkdir(parents=True, exist_ok=True)
    first_seed = options.seed if options.seed is not None else secrets.randbelow(2**31)
    failed = 0
    with run_load(options.busy):
        for number in range(options.runs):
            run = run_tests(options.tests, first_seed + number, options.hold_ups, options.stops)
            if run.code:
                failed += 1
                print(f"seed {run.seed} failed: {FOLDER / f'{run.seed}.log'}", flush=True)
    print(f"{options.runs} runs from seed {first_seed}, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
