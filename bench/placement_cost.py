"""Measures the time of one placement decision by the number of engines.

python -m bench.placement_cost
"""

from __future__ import annotations

import sys
import time

from lentilwell.gateway._load_tracker import Job, LoadTracker
from lentilwell.gateway._messages import Prompt
from lentilwell.gateway._placement_policies import POLICIES, Candidate, PlacementRequest
from lentilwell.gateway._upstreams import Upstream
from standins.batch import ENGINE

ENGINE_COUNTS = (14, 100, 1_000)
PROMPTS = ((5_000, 300), (154_000, 3_000))
ROUNDS = 10


def measure_placement(engines: int, prompt_tokens: int, objective_ms: int) -> float:
    """Return the time of one placement in ms.

    Every engine has two jobs, one in prefill and one in decode.
    """
    load_tracker = LoadTracker()
    upstreams = [
        Upstream(f"u{index}", "s", f"127.0.0.1:{index}", "dc", ENGINE.slots, False)
        for index in range(engines)
    ]
    for upstream in upstreams:
        for index in range(2):
            job_id = f"{upstream.name}/{index}"
            job = Job(job_id, upstream.name, 0, 30.0, 5_000, reading=index == 0, pause_ms=250)
            load_tracker.add(job)
    request = PlacementRequest(Prompt(prompt_tokens, 1_000), ENGINE, objective_ms, 250, 0, 10, 0.5)
    started_at = time.perf_counter()
    for _ in range(ROUNDS):
        candidates = [
            Candidate(one, load_tracker.measure_load(one.name, 10), True) for one in upstreams
        ]
        POLICIES["least_cost"](request, candidates)
    return (time.perf_counter() - started_at) / ROUNDS * 1_000


def main() -> None:
    """Print a line for each number of engines and prompt length."""
    for engines in ENGINE_COUNTS:
        for prompt_tokens, objective_ms in PROMPTS:
            took_ms = measure_placement(engines, prompt_tokens, objective_ms)
            sys.stdout.write(f"{engines} engines, {prompt_tokens} tokens: {took_ms:.2f} ms\n")


if __name__ == "__main__":
    main()
