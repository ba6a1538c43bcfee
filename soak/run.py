"""One run of the soak test: load with planned faults, a fault-free period, then the checks."""

from __future__ import annotations

import asyncio
import tempfile
from dataclasses import dataclass
from pathlib import Path

from soak.callers import Caller
from soak.checks import find_violations
from soak.deployment import INSTANCES, RECOVERY_MS, Deployment
from soak.faults import FAULT_ACTIONS
from soak.observations import Observations
from soak.plan import Fault, draw_plan

FAULT_FREE_MS = 1_500
CALLERS_PER_INSTANCE = 4


@dataclass(frozen=True)
class Result:
    """Violations, fault plan and observations of a run, and the log lines of each instance."""

    seed: int
    violations: tuple[str, ...]
    plan: tuple[Fault, ...]
    observations: Observations
    logs: dict[str, list[bytes]]


def run_seed(seed: int, length_ms: int, instances: int = INSTANCES, deadly: bool = True) -> Result:
    """Run the soak test with one seed; faults start within the first ``length_ms``.

    With ``deadly``, one of them is a request that ends the servers that run it.
    """
    plan = draw_plan(seed, length_ms, deadly)
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_run(seed, plan, length_ms, Deployment(Path(folder), instances)))


async def _run(
    seed: int, plan: tuple[Fault, ...], length_ms: int, deployment: Deployment
) -> Result:
    try:
        await deployment.start()
        await _run_load_and_faults(seed, plan, length_ms, deployment)
    finally:
        await deployment.close()
    violations = tuple(find_violations(deployment.observations))
    return Result(seed, violations, plan, deployment.observations, deployment.logs)


async def _run_load_and_faults(
    seed: int, plan: tuple[Fault, ...], length_ms: int, deployment: Deployment
) -> None:
    stop = asyncio.Event()
    callers = [
        Caller(
            instance.name,
            (instance.ip, instance.front_port),
            lambda name=instance.name: deployment.incarnations[name],  # type: ignore[misc]
            deployment.observations,
            seed * 1_000 + 10 * instance_index + index,
        )
        for instance_index, instance in enumerate(deployment.instances)
        for index in range(CALLERS_PER_INSTANCE)
    ]
    caller_tasks = [asyncio.ensure_future(caller.run(stop)) for caller in callers]
    fault_tasks = [asyncio.ensure_future(_apply_when_due(deployment, fault)) for fault in plan]
    await asyncio.sleep(length_ms / 1_000)
    await asyncio.gather(*fault_tasks)
    for instance in deployment.instances:
        await instance.wait_ready()
    await asyncio.sleep(RECOVERY_MS / 1_000)
    deployment.observations.fault_free_since = deployment.clock.now()
    await asyncio.sleep(FAULT_FREE_MS / 1_000)
    stop.set()
    await asyncio.gather(*caller_tasks)
    await deployment.record_unreleased_memory()


async def _apply_when_due(deployment: Deployment, fault: Fault) -> None:
    await asyncio.sleep(fault.at_ms / 1_000)
    await FAULT_ACTIONS[fault.kind](deployment, fault)
