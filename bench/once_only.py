"""What a call that may not be repeated costs at the table, by the platform stand-in's counts.

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
MS = 1_000


@dataclass(frozen=True)
class Cost:
    """Writes and reads of claims' rows, and the median time of a call in ms."""

    writes: float
    reads: float
    median_ms: float


def count(deployment: Deployment, what: str) -> int:
    """Return the platform's count of claims' writes or reads."""
    counts = json.loads(call("GET", f"{deployment.platform.url()}/counts"))
    return int(counts.get(f"claims.{what}", 0))


def measure(deployment: Deployment, method: str, repeat: bool) -> Cost:
    """Make the calls one after another, each with a key of its own or all with one."""
    writes, reads = count(deployment, "writes"), count(deployment, "reads")
    times: list[float] = []
    for number in range(CALLS):
        entry = deployment.entries[number % len(deployment.entries)]
        key = "same" if repeat else f"{method}-{number}"
        headers = {"Authorization": "Bearer key-of-counters", "Idempotency-Key": key}
        body = b"{}" if method == "POST" else None
        started = time.monotonic()
        call(method, f"{entry.url('callers')}/services/bookings/refunds", body, headers)
        times.append((time.monotonic() - started) * MS)
    written = count(deployment, "writes") - writes
    read = count(deployment, "reads") - reads
    return Cost(written / CALLS, read / CALLS, median(times))


def main() -> int:
    """Print one line for each kind of call."""
    with deploy(PLAN) as deployment:
        for name, method, repeat in (
            ("look-up", "GET", False),
            ("call with a new key", "POST", False),
            ("call with a finished key", "POST", True),
        ):
            cost = measure(deployment, method, repeat)
            sys.stdout.write(
                f"{name:<26} writes {cost.writes:.3f}  reads {cost.reads:.3f}  "
                f"median {cost.median_ms:.1f} ms\n"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
