"""Real gateway processes before upstreams that end under two requests that come again and again.

``python -m bench.deadly_requests [--case CASE] [--instances N] [--seconds N] [--seed N]`` prints
how many upstreams each of the two ended, how often each reached one later than the machines need to
hear of its third end, and how the sound requests ended. The exit code is 1 if the users' rule was
broken.
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
from dataclasses import dataclass
from pathlib import Path

from bench.limited_processes import (
    MAX_RUN_SEED,
    SETTLED_S,
    MachineLoad,
    drain_log,
    measure_load,
)
from lentilwell._clock import BootClock
from standins.crashing_server import CrashPoint
from standins.deadly_fleet import DeadlyServer, make_fleet
from standins.deadly_load import DEADLY, TEAM, Call, Case, DeadlyLoad, Target
from standins.deadly_requests import MAX_LATE_ARRIVALS, DeadlyRecord
from standins.gateway_process import (
    API_KEY,
    HOST,
    Instance,
    build_configuration,
    build_server_entry,
)
from standins.restarting_fleet import ListedServer
from standins.rows import RowServer, RowStore

# Half of the users' time, since the processes are close to each other.
CONTACT_MS = 1_500
MIN_SERVED = 0.9
CASES = {
    "idempotent": Case("whole", prefix="w"),
    "once": Case("once", prefix="o"),
    "body": Case("whole", one_path=True, prefix="w"),
    "crowded": Case("whole", one_path=True, crowded=True, prefix="w"),
    "stream": Case("stream", CrashPoint.AFTER_HEAD, prefix="s"),
}


@dataclass
class StoredList:
    """The list of upstreams in the store, and which of them it has."""

    store: RowStore
    service: str
    names: frozenset[str] = frozenset()

    async def publish(self, listed: Sequence[ListedServer[DeadlyServer]]) -> None:
        """Write all upstreams, and remove those that are no longer listed."""
        names = frozenset(one.server.name for one in listed)
        for name in sorted(self.names - names):
            await self.store.remove("servers", name)
        for one in listed:
            entry = build_server_entry(
                one.server.address, self.service, born=one.start, sequence=one.start
            )
            await self.store.put("servers", one.server.name, entry)
        self.names = names


@dataclass(frozen=True)
class DeadlyFigures:
    """What one deadly request did: ends of upstreams, arrivals, and those that came late."""

    name: str
    ends: int
    arrivals: int
    late: int


@dataclass(frozen=True)
class SoundFigures:
    """How sound requests ended that were sent in some time."""

    sent: int
    served: int
    refused: int

    @property
    def failed(self) -> int:
        """Return the number of requests that ended in another way."""
        return self.sent - self.served - self.refused


@dataclass(frozen=True)
class Outcome:
    """What a run showed.

    ``sound`` are all sound requests, ``later`` those from the time on at which they must be served.
    ``most_sends`` is the greatest number of arrivals of one request id.
    """

    deadly: Sequence[DeadlyFigures]
    sound: SoundFigures
    later: SoundFigures
    cut: int
    most_sends: int


def summarize(load: DeadlyLoad) -> Outcome:
    """Return the figures of a load that has ended."""
    record = load.record
    deadly = [
        DeadlyFigures(
            name,
            len(record.list_crashes(name)),
            len(record.arrivals.get(name, ())),
            record.count_late(name, CONTACT_MS),
        )
        for name in DEADLY
    ]
    begin = load.find_begin(CONTACT_MS)
    return Outcome(
        deadly,
        count_sound(load.list_sound(0)),
        count_sound(load.list_sound(begin) if begin is not None else []),
        sum(crash.cut for crash in record.crashes),
        max(record.sends.values(), default=0),
    )


def count_sound(calls: Sequence[Call]) -> SoundFigures:
    """Count how calls ended."""
    served = sum(call.served for call in calls)
    return SoundFigures(len(calls), served, sum(call.is_refused_for_long for call in calls))


def is_rule_broken(outcome: Outcome, case: Case) -> bool:
    """Tell whether a run broke the users' rule about deadly and sound requests."""
    return (
        any(one.late > MAX_LATE_ARRIVALS for one in outcome.deadly)
        or outcome.later.served < MIN_SERVED * outcome.later.sent
        or (case.kind == "once" and outcome.most_sends > 1)
    )


def format_outcome(outcome: Outcome) -> list[str]:
    """Return the lines of a table."""
    lines = [f"{'request':8}{'ends':>6}{'arrivals':>10}{'late':>6}"]
    lines += [f"{one.name:8}{one.ends:6}{one.arrivals:10}{one.late:6}" for one in outcome.deadly]
    lines.append(f"{'sound':8}{'sent':>6}{'served':>10}{'refused':>9}{'failed':>8}")
    for name, sound in (("all", outcome.sound), ("later", outcome.later)):
        row = f"{name:8}{sound.sent:6}{sound.served:10}{sound.refused:9}{sound.failed:8}"
        lines.append(row)
    lines.append(f"{outcome.cut} sound cut, at most {outcome.most_sends} sends of a request")
    return lines


async def play(
    case: Case, instance_count: int, seconds: float, seed: int, folder: Path
) -> tuple[Outcome, MachineLoad]:
    """Run the processes and the load."""
    clock, draw = BootClock(), random.Random(seed)
    record = DeadlyRecord(clock, {case.make_deadly(name): name for name in DEADLY})
    async with AsyncExitStack() as stack:
        rows = RowServer(RowStore())
        address = await rows.start()
        stack.callback(rows.close)
        await rows.store.put("op", "config", build_configuration())
        listing = StoredList(rows.store, "engines" if case.streams else "desk")
        fleet = make_fleet(case, record, draw, listing.publish)
        await fleet.start()
        stack.callback(fleet.close)
        instances = [Instance(folder, f"n{number}", address) for number in range(instance_count)]
        for instance in instances:
            await instance.start()
            stack.push_async_callback(kill, instance)
            drain_log(instance)
        for instance in instances:
            await instance.wait_ready()
        await asyncio.sleep(SETTLED_S)
        targets = [Target(one.name, one.ip, one.front_port) for one in instances]
        load = DeadlyLoad(case, record, draw, clock, HOST, {TEAM: API_KEY}, lambda: targets)
        async with measure_load() as measured:
            await load.run_incident(seconds, CONTACT_MS)
    return summarize(load), measured[0]


async def kill(instance: Instance) -> None:
    """Kill the process of an instance."""
    assert instance.process is not None
    instance.process.kill()
    await instance.process.wait()


def main() -> int:
    """Play one run a seed and print the tables."""
    parser = argparse.ArgumentParser(prog="python -m bench.deadly_requests", description=__doc__)
    parser.add_argument("--case", choices=CASES, default="idempotent")
    parser.add_argument("--instances", type=int, default=3, help="how many gateway processes")
    parser.add_argument("--seconds", type=float, default=20, help="how long deadly requests come")
    parser.add_argument("--seed", type=int, action="append", help="play this seed (repeatable)")
    options = parser.parse_args()
    case, broken = CASES[options.case], 0
    seeds = options.seed or [secrets.randbelow(MAX_RUN_SEED)]
    for seed in seeds:
        with tempfile.TemporaryDirectory() as folder:
            playing = play(case, options.instances, options.seconds, seed, Path(folder))
            outcome, machine = asyncio.run(playing)
        breaks = is_rule_broken(outcome, case)
        broken += breaks
        print(
            f"seed {seed}: {options.case}, {options.instances} instances,"
            f" {options.seconds:g} s, machine {machine.busy_share:.0%} busy, longest pause"
            f" {machine.longest_pause_ms:.0f} ms, rule {'broken' if breaks else 'kept'}"
        )
        print("\n".join(format_outcome(outcome)))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
