"""Measures the table reads and writes of calls that run at most once, and their latency.

The platform stand-in counts the reads and writes.

python -m bench.once_only
"""

from __future__ import annotations

import json
import sys
import time
from dataclasses import dataclass
from statistics import median

from standins.deployment import Deployment, DeploymentPlan, call, deploy

CALLS = 200
PLAN = DeploymentPlan(instances=2, engines=1, services=2, balancer_lag_ms=100)
MS_PER_SECOND = 1_000


@dataclass(frozen=True)
class Cost:
    """Writes and reads of claim rows per call, and the median time of a call in ms."""

    writes: float
    reads: float
    median_ms: float


def read_count(deployment: Deployment, kind: str) -> int:
    """Return how often claim rows were written or read, as counted by the platform stand-in."""
    counts = json.loads(call("GET", f"{deployment.platform.url()}/counts"))
    return int(counts.get(f"claims.{kind}", 0))


def measure_calls(deployment: Deployment, method: str, reuse_key: bool) -> Cost:
    """Make the calls one after another, with one key for all or a new key for each."""
    writes, reads = read_count(deployment, "writes"), read_count(deployment, "reads")
    durations_ms: list[float] = []
    for number in range(CALLS):
        entry = deployment.entries[number % len(deployment.entries)]
        key = "same" if reuse_key else f"{method}-{number}"
        headers = {"Authorization": "Bearer key-of-counters", "Idempotency-Key": key}
        body = b"{}" if method == "POST" else None
        started_at = time.monotonic()
        call(method, f"{entry.url('callers')}/services/bookings/refunds", body, headers)
        durations_ms.append((time.monotonic() - started_at) * MS_PER_SECOND)
    written = read_count(deployment, "writes") - writes
    read = read_count(deployment, "reads") - reads
    return Cost(written / CALLS, read / CALLS, median(durations_ms))


def main() -> int:
    """Print one line for each kind of call."""
    with deploy(PLAN) as deployment:
        for name, method, reuse_key in (
            ("look-up", "GET", False),
            ("call with a new key", "POST", False),
            ("call with a finished key", "POST", True),
        ):
            cost = measure_calls(deployment, method, reuse_key)
            sys.stdout.write(
                f"{name:<26} writes {cost.writes:.3f}  reads {cost.reads:.3f}  "
                f"median {cost.median_ms:.1f} ms\n"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
