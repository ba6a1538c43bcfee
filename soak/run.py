"""One run of the soak: load, faults by the seed's plan, a calm end, and the checks."""

from __future__ import annotations

import asyncio
import tempfile
from dataclasses import dataclass
from pathlib import Path

from soak.callers import Caller
from soak.checks import find_violations
from soak.observations import Observations
from soak.plan import Fault, draw_plan
from soak.world import AFTERMATH_MS, INSTANCES, World

CALM_MS = 1_500
CALLERS_PER_INSTANCE = 4


@dataclass(frozen=True)
class Result:
    """What came of a seed: broken promises, what was played and seen, and the logs' lines."""

    seed: int
    violations: tuple[str, ...]
    plan: tuple[Fault, ...]
    seen: Observations
    logs: dict[str, list[bytes]]


def run_seed(seed: int, length_ms: int, instances: int = INSTANCES) -> Result:
    """Play one seed and return what came of it."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_run(seed, length_ms, World(Path(folder), instances)))


async def _run(seed: int, length_ms: int, world: World) -> Result:
    plan = draw_plan(seed, length_ms)
    try:
        await world.start()
        await _play(seed, plan, length_ms, world)
    finally:
        await world.close()
    violations = tuple(find_violations(world.seen))
    return Result(seed, violations, plan, world.seen, world.logs)


async def _play(seed: int, plan: tuple[Fault, ...], length_ms: int, world: World) -> None:
    stop = asyncio.Event()
    callers = [
        Caller(
            instance.name,
            (instance.ip, instance.front_port),
            lambda name=instance.name: world.lives[name],  # type: ignore[misc]
            world.seen,
            seed * 1_000 + 10 * number + place,
        )
        for number, instance in enumerate(world.instances)
        for place in range(CALLERS_PER_INSTANCE)
    ]
    calling = [asyncio.ensure_future(caller.run(stop)) for caller in callers]
    faults = [asyncio.ensure_future(_apply_later(world, fault)) for fault in plan]
    await asyncio.sleep(length_ms / 1_000)
    await asyncio.gather(*faults)
    for instance in world.instances:
        await instance.wait_ready()
    await asyncio.sleep(AFTERMATH_MS / 1_000)
    world.seen.calm_since = world.clock.now()
    await asyncio.sleep(CALM_MS / 1_000)
    stop.set()
    await asyncio.gather(*calling)
    await world.settle()


async def _apply_later(world: World, fault: Fault) -> None:
    await asyncio.sleep(fault.at_ms / 1_000)
    await world.apply(fault)
