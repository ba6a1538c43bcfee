"""Real gateway processes before upstreams that name rate limits, with fresh random loads.

``python -m bench.limited_processes [--runs N] [--seed N]`` draws for each run the number of
instances, the limited upstreams and their rate, and whether an instance is killed halfway. It
prints a line a run, and exits with 1 if a run misses a target of ``find_misses``.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import secrets
import sys
import tempfile
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from bench.runner import read_processor_ticks
from lentilwell._clock import MS_PER_SECOND, BootClock
from soak.checks import check_rate_limits
from soak.faulty_server import INSTANCE_HEADER, FaultyServer
from soak.observations import LimitPeriod, Observations
from standins.gateway_process import Instance, build_configuration, build_server_entry
from standins.rows import RowServer, RowStore

SECONDS = 12.0
# New owners of permits have settled by then.
SETTLED_S = 3.5
UPSTREAMS = 3
DEMAND = 4.0
MIN_CALLS_PER_S = 30.0
DEADLINE_MS = 3_000
RESTART_S = 1.0
TICK_S = 0.005
SIZES = (3, 6, 12, 24)
RATES = (1.0, 5.0, 20.0)
MAX_RUN_SEED = 2**31
# Targets: the share of calls served beside a sound upstream, the share of the rate used if all
# upstreams are limited and if one is, and the longest time that a refusal may take.
SERVED_SHARE = 0.99
USED_SHARE_ALL = 0.8
USED_SHARE_ONE = 0.5
SLOW_REFUSAL_MS = 500
LATE_MS = DEADLINE_MS


@dataclass(frozen=True)
class Draw:
    """One run: how many instances, how many upstreams name ``rate``, and whether one is killed."""

    seed: int
    instances: int
    limited: int
    rate: float
    kill: bool

    @property
    def calls_per_s(self) -> float:
        """Return the demand on the whole service."""
        return max(MIN_CALLS_PER_S, DEMAND * self.rate * self.limited)


@dataclass(frozen=True)
class Ended:
    """A call that ended: its status, None without an answer, and the time that it took."""

    status: int | None
    retry_after: str | None
    took_ms: int
    sent_at: int


@dataclass(frozen=True)
class MachineLoad:
    """How busy the machine was: the share of its processors in use, and how late callers ran.

    ``longest_pause_ms`` is the longest time for which the process of the callers and upstreams
    stood still.
    """

    busy_share: float
    longest_pause_ms: float


@dataclass
class Outcome:
    """What a run showed; ``used`` holds the share of the rate used at each limited upstream."""

    broken: list[str]
    used: list[float]
    calls: list[Ended] = field(default_factory=list)
    load: MachineLoad = field(default_factory=lambda: MachineLoad(0.0, 0.0))

    def count(self, status: int | None) -> int:
        """Return the number of calls that ended with a status."""
        return sum(call.status == status for call in self.calls)


def draw_run(seed: int) -> Draw:
    """Return the run that belongs to a seed."""
    rng = random.Random(seed)
    return Draw(
        seed, rng.choice(SIZES), rng.choice((1, UPSTREAMS)), rng.choice(RATES), rng.random() < 0.3
    )


async def play(draw: Draw, folder: Path) -> Outcome:
    """Run the processes and the load of one draw."""
    observations, clock = Observations(), BootClock()
    rows = RowServer(RowStore())
    address = await rows.start()
    servers = [FaultyServer(f"d{number}", observations) for number in range(UPSTREAMS)]
    await rows.store.put("op", "config", build_configuration())
    for server in servers:
        entry = build_server_entry(await server.start(), "desk")
        await rows.store.put("servers", server.name, entry)
    instances = [Instance(folder, f"n{number}", address) for number in range(draw.instances)]
    try:
        for instance in instances:
            await instance.start()
            drain_log(instance)
        for instance in instances:
            await instance.wait_ready()
        await asyncio.sleep(SETTLED_S)
        begin = clock.now()
        for server in servers[: draw.limited]:
            server.rate_limit = draw.rate
        async with measure_load() as measured:
            calls = await press(draw, instances, observations, clock)
        end = clock.now()
    finally:
        for instance in instances:
            if instance.process is not None and instance.process.returncode is None:
                instance.process.kill()
                await instance.process.wait()
        for server in servers:
            server.close()
        rows.close()
    limited = [server.name for server in servers[: draw.limited]]
    observations.limit_periods += [LimitPeriod(name, 1, begin, end, draw.rate) for name in limited]
    used = [find_used_share(observations, name, end, draw.rate) for name in limited]
    return Outcome(list(check_rate_limits(observations)), used, calls, measured[0])


@asynccontextmanager
async def measure_load() -> AsyncIterator[list[MachineLoad]]:
    """Measure the load of the machine during a ``with`` block; the list then holds it."""
    loop, pauses, found = asyncio.get_running_loop(), [0.0], list[MachineLoad]()

    async def watch() -> None:
        while True:
            due_s = loop.time() + TICK_S
            await asyncio.sleep(TICK_S)
            pauses.append((loop.time() - due_s) * MS_PER_SECOND)

    watching = loop.create_task(watch())
    busy_before, all_before = read_processor_ticks()
    yield found
    watching.cancel()
    busy, total = read_processor_ticks()
    busy_share = (busy - busy_before) / max(1, total - all_before)
    found.append(MachineLoad(busy_share, max(pauses)))


def drain_log(instance: Instance) -> None:
    """Read and drop the log of an instance, so that its pipe does not fill."""
    assert instance.process is not None and instance.process.stdout is not None
    task = asyncio.ensure_future(instance.process.stdout.read())
    task.add_done_callback(lambda done: done.cancelled() or done.exception())


def find_used_share(observations: Observations, name: str, end: int, rate: float) -> float:
    """Return the share of a rate that was used in the second half of a run."""
    half_ms = SECONDS * MS_PER_SECOND / 2
    used = sum(one.upstream == name and one.at > end - half_ms for one in observations.arrivals)
    return used / (rate * half_ms / MS_PER_SECOND)


async def press(
    draw: Draw, instances: Sequence[Instance], observations: Observations, clock: BootClock
) -> list[Ended]:
    """Send calls at random moments to random instances, and return how they ended."""
    rng, loop = random.Random(draw.seed), asyncio.get_running_loop()
    ends_s = loop.time() + SECONDS
    down: set[str] = set()
    tasks: list[asyncio.Task[Ended]] = []
    killing = None
    if draw.kill:
        killing = loop.create_task(
            kill_halfway(rng.choice(list(instances)), observations, clock, down)
        )
    while loop.time() < ends_s:
        await asyncio.sleep(rng.expovariate(draw.calls_per_s))
        instance = rng.choice([one for one in instances if one.name not in down])
        tasks.append(loop.create_task(call(instance, f"r{len(tasks)}", clock)))
    ended = await asyncio.gather(*tasks)
    if killing is not None:
        await killing
    return [one for one in ended if not _hit(observations, one)]


def _hit(observations: Observations, call: Ended) -> bool:
    """Tell whether a call without an answer was under way when an instance was killed."""
    if call.status is not None:
        return False
    return any(
        trouble.begin <= call.sent_at + call.took_ms and call.sent_at <= trouble.end
        for trouble in observations.troubles
    )


async def kill_halfway(
    instance: Instance, observations: Observations, clock: BootClock, down: set[str]
) -> None:
    """Kill an instance halfway through the run and start it again."""
    await asyncio.sleep(SECONDS / 2)
    assert instance.process is not None
    down.add(instance.name)
    with observations.record_trouble(instance.name, clock.now, 0):
        instance.process.kill()
        await instance.process.wait()
        await asyncio.sleep(RESTART_S)
        await instance.start()
        drain_log(instance)
        await instance.wait_ready()
    down.discard(instance.name)


async def call(instance: Instance, request: str, clock: BootClock) -> Ended:
    """Send one call and return how it ended."""
    sent_at = clock.now()
    headers = {"Deadline_Ms": str(DEADLINE_MS), INSTANCE_HEADER.replace("-", "_"): instance.name}
    try:
        answer = await instance.call("/w/x", request, b"", **headers)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return Ended(None, None, clock.now() - sent_at, sent_at)
    retry_after = answer.headers.get("retry-after")
    return Ended(answer.status, retry_after, clock.now() - sent_at, sent_at)


def find_misses(draw: Draw, outcome: Outcome) -> list[str]:
    """Return the targets that a run missed."""
    misses = list(outcome.broken)
    total, served = len(outcome.calls), outcome.count(200)
    refused = [one for one in outcome.calls if one.status == 503]
    slowest_ms = max((one.took_ms for one in refused), default=0)
    others = Counter(one.status for one in outcome.calls if one.status not in (200, 503))
    if others:
        misses.append(f"calls ended otherwise: {dict(others)}")
    if any(one.retry_after is None for one in refused):
        misses.append("a refusal without Retry-After")
    if slowest_ms > SLOW_REFUSAL_MS:
        misses.append(f"a refusal after {slowest_ms} ms")
    if any(one.took_ms > LATE_MS for one in outcome.calls):
        misses.append("a call after its deadline")
    if draw.limited < UPSTREAMS and served < SERVED_SHARE * total:
        misses.append(f"{served} of {total} calls served beside sound upstreams")
    target = USED_SHARE_ALL if draw.limited == UPSTREAMS else USED_SHARE_ONE
    if min(outcome.used) < target and not draw.kill:
        misses.append(f"{min(outcome.used):.2f} of the rate used")
    return misses


def main() -> int:
    """Play the runs and print a line for each."""
    parser = argparse.ArgumentParser(prog="python -m bench.limited_processes", description=__doc__)
    parser.add_argument("--runs", type=int, default=20, help="how many fresh runs")
    parser.add_argument("--seed", type=int, action="append", help="play this seed (repeatable)")
    options = parser.parse_args()
    seeds = options.seed or [secrets.randbelow(MAX_RUN_SEED) for _ in range(options.runs)]
    failed = 0
    for seed in seeds:
        draw = draw_run(seed)
        with tempfile.TemporaryDirectory() as folder:
            outcome = asyncio.run(play(draw, Path(folder)))
        misses = find_misses(draw, outcome)
        failed += bool(misses)
        waits = sorted(one.took_ms for one in outcome.calls if one.status == 200) or [0]
        slowest_ms = max((one.took_ms for one in outcome.calls if one.status == 503), default=0)
        print(
            f"seed {seed}: {draw.instances} instances, {draw.limited} of {UPSTREAMS} limited to"
            f" {draw.rate:g}/s{', one killed' if draw.kill else ''}: {len(outcome.calls)} calls,"
            f" {outcome.count(200)} served, {outcome.count(503)} refused (slowest {slowest_ms} ms),"
            f" used {' '.join(f'{one:.2f}' for one in outcome.used)},"
            f" served in {waits[len(waits) // 2]} / {waits[int(len(waits) * 0.99)]} ms,"
            f" machine {outcome.load.busy_share:.0%} busy,"
            f" longest pause {outcome.load.longest_pause_ms:.0f} ms",
            flush=True,
        )
        for miss in misses:
            print(f"  {miss}")
    print(f"{len(seeds)} runs, {failed} with a miss")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
