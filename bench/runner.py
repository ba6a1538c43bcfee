"""Runs a workload against a deployment.

A run sets the policies through the rules of the inventory, starts the load processes and checks
that no stream is left on an engine.
"""

from __future__ import annotations

import contextlib
import json
import os
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any

from bench.load import Outcome
from bench.results import write_line
from bench.workload import TEAMS, Arrival, Fleet
from standins.deployment import Deployment, DeploymentPlan, Process, call

SPEED = 4.0
MS_PER_SECOND = 1_000
RULES_TIMEOUT_S = 15.0
DRAIN_TIMEOUT_S = 8.0
POLL_PERIOD_S = 0.1
START_DELAY_S = 1.0
LOADER_COUNT = 2
IDLE_FIELD = 3
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
FAULTY_VERDICTS = ("wrong", "incomplete", "silent")
BENCH_PLAN = DeploymentPlan(
    teams=TEAMS, speed=SPEED, slots=24, log_level="WARNING", balancer_lag_ms=100
)


@dataclass(frozen=True)
class Policies:
    """The order and the placement policy, as named in the rules of the inventory."""

    order: str
    placement: str

    @property
    def label(self) -> str:
        """Return the policies in the form used on the command line."""
        return f"{self.order}/{self.placement}"


@dataclass(frozen=True)
class Run:
    """The results of one workload: outcomes, streams left on the engines, and processor use.

    ``entry_share`` is the busiest entry instance's use of one core; ``machine_share`` is the use
    of all cores by all processes on the machine. Both range from 0 to 1 and cover the whole run.
    """

    policies: Policies
    seed: int
    outcomes: tuple[Outcome, ...]
    streams_left: int
    violations: int
    entry_share: float
    machine_share: float

    def count(self, *verdicts: str) -> int:
        """Count the outcomes that have one of the verdicts."""
        return sum(outcome.verdict in verdicts for outcome in self.outcomes)

    @property
    def bad_answers(self) -> int:
        """Count the answers that were wrong, incomplete or missing."""
        return self.count(*FAULTY_VERDICTS)

    @property
    def fault_count(self) -> int:
        """Count the violated invariants: bad answers, engine violations and streams left."""
        return self.bad_answers + self.violations + self.streams_left


def build_fleet(plan: DeploymentPlan) -> Fleet:
    """Return the engines of a plan with their rates in wall-clock time."""
    rate = plan.prefill_rate * plan.speed
    return Fleet(plan.engines, rate, plan.decode_ms / plan.speed, plan.memory_tokens)


def activate_policies(deployment: Deployment, policies: Policies) -> None:
    """Write the rules and wait until they are in force on every instance."""
    deployment.plan = replace(deployment.plan, order=policies.order, placement=policies.placement)
    version = deployment.put_inventory()
    deadline_s = time.monotonic() + RULES_TIMEOUT_S
    while any(read_version(deployment, entry) != version for entry in deployment.entries):
        if time.monotonic() > deadline_s:
            raise RuntimeError(f"version {version} is not in force on every instance")
        time.sleep(POLL_PERIOD_S)


def read_version(deployment: Deployment, entry: Process) -> int:
    """Return the configuration version in force on an instance."""
    headers = {"Authorization": f"Bearer {deployment.operator_token}"}
    state = json.loads(call("GET", f"{entry.url('operators')}/state", headers=headers))
    inventory = state.get("state", state)["inventory"]
    return int(inventory["version"]) if inventory else 0


def run_workload(
    deployment: Deployment,
    policies: Policies,
    seed: int,
    arrivals: Sequence[Arrival],
    action: Callable[[], None] | None = None,
    action_ms: float = 0.0,
) -> Run:
    """Send the arrivals, and call ``action`` at ``action_ms`` after the start of the run."""
    timer = threading.Timer(START_DELAY_S + action_ms / MS_PER_SECOND, action or int)
    timer.start()
    before = read_cpu_usage(deployment)
    outcomes = read_outcomes(start_loaders(deployment, arrivals))
    after = read_cpu_usage(deployment)
    timer.join()
    streams_left, violations = wait_for_drain(deployment)
    entry_share = max(
        (b - a) / (after.at_s - before.at_s)
        for a, b in zip(before.entry_cpu_s, after.entry_cpu_s, strict=True)
    )
    machine_share = (after.busy_cpu_s - before.busy_cpu_s) / (
        after.total_cpu_s - before.total_cpu_s
    )
    return Run(policies, seed, outcomes, streams_left, violations, entry_share, machine_share)


@dataclass(frozen=True)
class CpuUsage:
    """The processor time of each instance, and the busy and total time of the machine, so far."""

    at_s: float
    entry_cpu_s: tuple[float, ...]
    busy_cpu_s: float
    total_cpu_s: float


def read_cpu_usage(deployment: Deployment) -> CpuUsage:
    """Return the processor time used up to now."""
    busy, total = read_processor_ticks()
    entries = tuple(read_cpu_seconds(entry.popen.pid) for entry in deployment.entries)
    return CpuUsage(time.monotonic(), entries, busy / CLOCK_TICKS, total / CLOCK_TICKS)


def read_processor_ticks() -> tuple[int, int]:
    """Return the ticks in which the machine's processors were busy, and all ticks."""
    fields = [int(field) for field in Path("/proc/stat").read_text().split("\n")[0].split()[1:9]]
    total = sum(fields)
    return total - fields[IDLE_FIELD] - fields[IDLE_FIELD + 1], total


def start_loaders(
    deployment: Deployment, arrivals: Sequence[Arrival]
) -> list[subprocess.Popen[bytes]]:
    """Start the load processes, which divide the arrivals among them and begin at the same time."""
    start_at_s = time.monotonic() + START_DELAY_S
    ports = [entry.ports["callers"] for entry in deployment.entries]
    loaders = []
    for position in range(LOADER_COUNT):
        plan = {
            "arrivals": [asdict(arrival) for arrival in arrivals[position::LOADER_COUNT]],
            "ports": ports[position % len(ports) :] + ports[: position % len(ports)],
            "keys": deployment.keys,
            "start_at_s": start_at_s,
        }
        command = [sys.executable, "-m", "bench.load"]
        loader = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        assert loader.stdin is not None
        loader.stdin.write(json.dumps(plan).encode())
        loader.stdin.close()
        loader.stdin = None
        loaders.append(loader)
    return loaders


def read_outcomes(loaders: Sequence[subprocess.Popen[bytes]]) -> tuple[Outcome, ...]:
    """Wait for the load processes and return all outcomes."""
    outcomes: list[Outcome] = []
    for loader in loaders:
        output, _ = loader.communicate()
        if loader.returncode != 0:
            raise RuntimeError("a load process failed")
        outcomes += [Outcome(**outcome) for outcome in json.loads(output)["outcomes"]]
    return tuple(outcomes)


def wait_for_drain(deployment: Deployment) -> tuple[int, int]:
    """Wait until no engine has a stream; return the numbers of leftover streams and violations.

    Streams left by an earlier run are not counted again.
    """
    deadline_s = time.monotonic() + DRAIN_TIMEOUT_S
    known_leftover = deployment.streams_left
    while True:
        states = [read_invariants(engine) for engine in deployment.engines]
        leftover = {name for state in states for name in state["names"]} - known_leftover
        if not leftover or time.monotonic() > deadline_s:
            break
        time.sleep(POLL_PERIOD_S)
    for name in sorted(leftover):
        write_line(f"# left on an engine: {name}")
    known_leftover |= leftover
    return len(leftover), sum(len(state["violations"]) for state in states)


def read_invariants(engine: Process) -> dict[str, Any]:
    """Return the invariants that an engine reports; an unreachable engine has no streams."""
    with contextlib.suppress(OSError):
        invariants: dict[str, Any] = json.loads(call("GET", f"{engine.url()}/invariants"))
        return invariants
    return {"streams": 0, "violations": [], "tokens_written": 0, "names": []}


def read_cpu_seconds(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def read_resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES
