"""Real gateway processes before sound upstreams that fall silent for a while and go on.

``python -m bench.pausing_upstreams [--runs N] [--seed N] [--plain] [--still]`` draws for each run
the number of instances and engines. Callers send bookings, lookups and streams while the
configuration changes again and again; ``--plain`` leaves out the engines and their streams, and
``--still`` the changes. It prints the calls by kind and end, and for each one that ended badly what
its instance logged and whether a sound upstream would have answered in time. The exit code is 1 if
there was such a call, or one without an answer.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import secrets
import sys
import tempfile
from collections.abc import Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path

from bench.changing_configuration import build_version, find_idle_timeout_ms
from bench.limited_processes import MAX_RUN_SEED, SIZES, MachineLoad, measure_load
from bench.pausing_callers import MixedCaller, SentCall
from bench.pausing_report import ConfigurationChange, Report, list_bad_calls, print_report
from lentilwell._clock import BootClock, Clock
from soak.engine_recorder import record_engine
from soak.faulty_server import FaultyServer
from soak.observations import Kind, Observations
from standins.batch_server import BatchServer
from standins.gateway_process import Instance, build_server_entry
from standins.instance_log import InstanceLog
from standins.pauses import PauseSource
from standins.rows import RowServer, RowStore

SECONDS = 12.0
SETTLED_S = 1.5
CALLERS = 24
PLAIN_SERVICES = ("desk", "desk", "side")
ENGINE_COUNTS = (3, 6, 14)
ENGINE_SPEED = 20.0
PAUSING_SHARE = 0.1
CHANGE_INTERVAL_S = 0.3
# Callers go by a lowered idle limit at once, and by a raised one once all instances have it.
IDLE_LIMIT_APPLIED_MS = 1_000
CALL_KINDS = (Kind.LOOKUP, Kind.BOOKING, Kind.STREAM)


@dataclass(frozen=True)
class Draw:
    """One run: how many instances and engines; with ``still``, the configuration stays."""

    seed: int
    instances: int
    engines: int
    still: bool

    @property
    def kinds(self) -> tuple[Kind, ...]:
        """Return the kinds of calls; streams need engines."""
        return tuple(kind for kind in CALL_KINDS if self.engines or kind is not Kind.STREAM)


@dataclass
class ChangingStore:
    """The store of a run, and the versions of the configuration that were written to it."""

    clock: Clock
    rows: RowStore = field(default_factory=RowStore)
    changes: list[ConfigurationChange] = field(default_factory=list)

    async def write_next(self) -> None:
        """Write the next version of the configuration."""
        version = len(self.changes) + 1
        await self.rows.put("op", "config", build_version(version, ENGINE_SPEED))
        self.changes.append(ConfigurationChange(version, self.clock.now()))

    async def write_versions(self) -> None:
        """Write versions at an interval, without end."""
        while True:
            await asyncio.sleep(CHANGE_INTERVAL_S)
            await self.write_next()

    def find_idle_limit_ms(self) -> int:
        """Return the least idle limit that an instance may apply now."""
        since = self.clock.now() - IDLE_LIMIT_APPLIED_MS
        in_force = max(change.version for change in self.changes if change.at <= since)
        return min(map(find_idle_timeout_ms, range(in_force, len(self.changes) + 1)))


@dataclass(frozen=True)
class Outcome:
    """What a run showed."""

    sent: Sequence[SentCall]
    report: Report
    load: MachineLoad


def draw_run(seed: int, plain: bool, still: bool) -> Draw:
    """Return the run that belongs to a seed."""
    rng = random.Random(seed)
    instances, engines = rng.choice(SIZES), rng.choice(ENGINE_COUNTS)
    return Draw(seed, instances, 0 if plain else engines, still)


async def play(draw: Draw, folder: Path) -> Outcome:
    """Run the processes and the load of one draw."""
    clock, observations = BootClock(), Observations()
    store = ChangingStore(clock)
    async with AsyncExitStack() as stack:
        rows = RowServer(store.rows)
        address = await rows.start()
        stack.callback(rows.close)
        await store.write_next()
        await start_upstreams(draw, store.rows, observations, stack)
        instances = [Instance(folder, f"n{number}", address) for number in range(draw.instances)]
        logs = {instance.name: InstanceLog() for instance in instances}
        for instance in instances:
            await instance.start()
            stack.push_async_callback(kill, instance)
            logs[instance.name].follow(instance)
        for instance in instances:
            await instance.wait_ready()
        await asyncio.sleep(SETTLED_S)
        async with measure_load() as measured:
            sent = await press(draw, instances, store)
    return Outcome(sent, Report(observations, logs, store.changes), measured[0])


async def start_upstreams(
    draw: Draw, store: RowStore, observations: Observations, stack: AsyncExitStack
) -> None:
    """Start the plain upstreams and the engines and list them in the store."""
    engines_by_address: dict[str, BatchServer] = {}
    for number, service in enumerate(PLAIN_SERVICES):
        server = FaultyServer(f"d{number}", observations)
        server.draw_pause = PauseSource(draw.seed + number, PAUSING_SHARE).draw
        await store.put("servers", server.name, build_server_entry(await server.start(), service))
        stack.callback(server.close)
    for number in range(draw.engines):
        engine = BatchServer(f"e{number}", engines_by_address, speed=ENGINE_SPEED)
        engine.draw_pause = PauseSource(draw.seed - number - 1, PAUSING_SHARE).draw
        record_engine(engine, observations, BootClock())
        await store.put("servers", engine.name, build_server_entry(await engine.start(), "engines"))
        stack.callback(engine.close)


async def kill(instance: Instance) -> None:
    """Kill the process of an instance."""
    assert instance.process is not None
    instance.process.kill()
    await instance.process.wait()


async def press(draw: Draw, instances: Sequence[Instance], store: ChangingStore) -> list[SentCall]:
    """Let all callers send calls beside the changes, and return the calls."""
    callers = [
        MixedCaller(
            instances,
            draw.kinds,
            store.clock,
            store.find_idle_limit_ms,
            random.Random(draw.seed * CALLERS + number),
        )
        for number in range(CALLERS)
    ]
    stop = asyncio.Event()
    tasks = [asyncio.ensure_future(caller.run(stop)) for caller in callers]
    changing = None if draw.still else asyncio.ensure_future(store.write_versions())
    await asyncio.sleep(SECONDS)
    stop.set()
    await asyncio.gather(*tasks)
    if changing is not None:
        changing.cancel()
    return [call for caller in callers for call in caller.sent]


def main() -> int:
    """Play the runs and print their reports."""
    parser = argparse.ArgumentParser(prog="python -m bench.pausing_upstreams", description=__doc__)
    parser.add_argument("--runs", type=int, default=20, help="how many fresh runs")
    parser.add_argument("--seed", type=int, action="append", help="play this seed (repeatable)")
    parser.add_argument("--plain", action="store_true", help="no engines and no streams")
    parser.add_argument("--still", action="store_true", help="no changes of the configuration")
    options = parser.parse_args()
    seeds = options.seed or [secrets.randbelow(MAX_RUN_SEED) for _ in range(options.runs)]
    failed = 0
    for seed in seeds:
        draw = draw_run(seed, options.plain, options.still)
        with tempfile.TemporaryDirectory() as folder:
            outcome = asyncio.run(play(draw, Path(folder)))
        print(
            f"seed {seed}: {draw.instances} instances, {draw.engines} engines,"
            f" {len(outcome.report.changes)} versions, machine {outcome.load.busy_share:.0%} busy,"
            f" longest pause {outcome.load.longest_pause_ms:.0f} ms"
        )
        print_report(outcome.sent, outcome.report)
        failed += any(bad.counts for bad in list_bad_calls(outcome.sent, outcome.report))
    print(f"{len(seeds)} runs, {failed} with a call that a sound upstream would have answered")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
