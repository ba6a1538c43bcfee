"""Simulates instances that follow a store, with lost datagrams, cuts, crashes and restores.

Every instance runs the gateway's own ``Follower`` and ``Relay``; the store and the network are
simulated, in simulated time. An instance that is frozen neither sends nor receives.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Iterable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from lentilwell._clock import MS_PER_SECOND
from lentilwell.gateway import (
    AnswerUnfinished,
    Entry,
    EraTracker,
    HistoryGone,
    Listing,
    StoreUnavailable,
)
from lentilwell.gateway._store_point import StorePoint
from lentilwell.gateway._store_waits import InstanceRank
from lentilwell.gateway.following import CallReason, Follower, Relay, TableReport
from standins.simulated_time import LoopClock

TABLES = ("op", "servers")
DATA_CENTRES = ("a", "b", "c")
CALL_TIMEOUT_MS = 1_200
ANSWER_MS = 4
# What a row takes in an answer besides its value, which is sent as base64.
ROW_OVERHEAD_BYTES = 120
BASE64_FACTOR = 4 / 3
DIGEST_MS = (400, 800)
INSTANCES_PER_SHARD = 22


def now_ms() -> float:
    """Return the simulated time in ms."""
    return asyncio.get_running_loop().time() * MS_PER_SECOND


async def sleep_ms(time_ms: float) -> None:
    """Sleep for a simulated time."""
    await asyncio.sleep(time_ms / MS_PER_SECOND)


@dataclass(frozen=True)
class SimulatedRow:
    """A row with the version at which it was written; ``value`` is None if it was removed."""

    key: str
    value: str | None
    version: int


@dataclass
class SimulatedStore:
    """A store with two tables; ``unreachable`` are the instances whose calls get no answer.

    ``history`` has every version of every row, in order, with its table. ``link_bytes_per_s`` is
    what the link of each instance carries, None for any amount.
    """

    rows: dict[tuple[str, str], SimulatedRow] = field(default_factory=dict)
    history: list[tuple[str, SimulatedRow]] = field(default_factory=list)
    version: int = 1
    era: int = 1
    oldest_version: int = 0
    unreachable: set[str] = field(default_factory=set)
    link_bytes_per_s: int | None = None
    calls: Counter[tuple[str, str]] = field(default_factory=Counter)
    waiting: dict[str, set[asyncio.Event]] = field(
        default_factory=lambda: {table: set() for table in TABLES}
    )

    def write(self, table: str, key: str, value: str | None) -> StorePoint:
        """Write or remove a row; return the version at which this was acknowledged."""
        self.version += 1
        row = SimulatedRow(key, value, self.version)
        self.rows[table, key] = row
        self.history.append((table, row))
        self.wake(table)
        return StorePoint(self.era, self.version)

    def restore(self, rows: dict[tuple[str, str], SimulatedRow], version: int) -> None:
        """Return to an older copy."""
        self.rows, self.version = dict(rows), version
        self.history = [(table, row) for (table, _), row in rows.items()]
        self.history.sort(key=lambda entry: entry[1].version)
        self.era += 1
        for table in TABLES:
            self.wake(table)

    def wake(self, table: str) -> None:
        """End the waits for changes of a table."""
        for event in self.waiting[table]:
            event.set()

    def list_rows(self, table: str) -> list[SimulatedRow]:
        """Return the rows of a table as they are now, in the order of their versions."""
        found = [row for (one, _), row in self.rows.items() if one == table]
        return sorted(found, key=lambda row: row.version)

    def list_changes(self, table: str, after: int) -> list[SimulatedRow]:
        """Return every version of the rows of a table after a version, in order."""
        return [row for one, row in self.history if one == table and row.version > after]


class SimulatedFeed:
    """A table of the store as one instance reads it."""

    def __init__(
        self,
        store: SimulatedStore,
        table: str,
        instance: str,
        eras: EraTracker,
        wait_thawed: Callable[[], Awaitable[None]],
    ) -> None:
        self._store, self._table, self._instance = store, table, instance
        self._eras, self._wait_thawed = eras, wait_thawed

    async def read_all(self) -> Listing[str]:
        """Return all rows."""
        await self._check_reachable(0)
        rows = [row for row in self._store.list_rows(self._table) if row.value is not None]
        return await self._answer(rows, b"", bounded=False)

    async def read_changes(self, after: int, wait_ms: int) -> Listing[str]:
        """Return the rows changed after a version; wait for a change."""
        await self._check_reachable(wait_ms)
        if not self._store.oldest_version <= after <= self._store.version:
            self._eras.record(self._store.era, "feed")
            raise HistoryGone("no such version")
        rows = self._store.list_changes(self._table, after)
        if wait_ms and not rows:
            begun = now_ms()
            await self._wait(wait_ms)
            # The answer of a wait during which the store became unreachable is lost.
            await self._check_reachable(round(begun + wait_ms - now_ms()))
            rows = self._store.list_changes(self._table, after)
        return await self._answer(rows, encode_rows(rows))

    def decode_changes(self, raw: bytes, after: int) -> Listing[str]:
        """Decode rows that another instance read, without those up to version ``after``."""
        rows = [SimulatedRow(*row) for row in json.loads(raw)]
        newer = [row for row in rows if row.version > after]
        return Listing(make_entries(newer), max(row.version for row in rows))

    async def _answer(
        self, rows: list[SimulatedRow], raw: bytes, bounded: bool = True
    ) -> Listing[str]:
        era, version = self._store.era, self._store.version
        await sleep_ms(ANSWER_MS)
        await self._receive(rows, bounded)
        await self._wait_thawed()
        self._eras.record(era, "feed")
        newest = rows[-1].version if rows else 0
        longest = max((len(row.value or "") for row in rows), default=0)
        return Listing(make_entries(rows), version, era, newest, raw, longest)

    async def _receive(self, rows: list[SimulatedRow], bounded: bool) -> None:
        """Wait until the link has carried an answer, or for the time-out if that is sooner.

        Only answers about changes are ``bounded`` by the time-out.
        """
        if self._store.link_bytes_per_s is None:
            return
        sizes = (len(row.value or "") * BASE64_FACTOR + ROW_OVERHEAD_BYTES for row in rows)
        receive_ms = sum(sizes) / self._store.link_bytes_per_s * MS_PER_SECOND
        if not bounded or receive_ms <= CALL_TIMEOUT_MS:
            await sleep_ms(receive_ms)
            return
        await sleep_ms(CALL_TIMEOUT_MS)
        raise AnswerUnfinished("only a part of the answer")

    async def _wait(self, wait_ms: int) -> None:
        event = asyncio.Event()
        waiting = self._store.waiting[self._table]
        waiting.add(event)
        try:
            async with asyncio.timeout(wait_ms / MS_PER_SECOND):
                await event.wait()
        except TimeoutError:
            pass
        finally:
            waiting.discard(event)

    async def _check_reachable(self, wait_ms: int) -> None:
        if self._instance in self._store.unreachable:
            await sleep_ms(wait_ms + CALL_TIMEOUT_MS)
            raise StoreUnavailable("no answer")


class RecordingListener:
    """Keeps the rows of a table with the time at which each version was known."""

    def __init__(self) -> None:
        self.values: dict[str, str] = {}
        self.points: list[tuple[StorePoint, float]] = []
        self.recoveries: list[float] = []

    def handle_listing(self, listing: Listing[str]) -> None:
        """Replace all rows."""
        self.values = {}
        self.handle_changes(listing)

    def handle_changes(self, listing: Listing[str]) -> None:
        """Apply changed rows."""
        for entry in listing.entries:
            if entry.value is None:
                self.values.pop(entry.key, None)
            else:
                self.values[entry.key] = entry.value
        self.points.append((listing.at, now_ms()))

    def handle_store_recovery(self) -> None:
        """Record the end of an outage."""
        self.recoveries.append(now_ms())

    def find_known_at(self, point: StorePoint) -> float | None:
        """Return when a version was known, None if it is not."""
        return next((at for known, at in self.points if known >= point), None)


class SimulatedInstance:
    """An instance of the gateway, as far as it follows the store."""

    def __init__(self, fleet: SimulatedFleet, name: str, data_centre: str) -> None:
        self.name, self.data_centre, self._fleet = name, data_centre, fleet
        self.eras = EraTracker()
        self.listeners = tuple(RecordingListener() for _ in TABLES)
        self.reasons: Counter[str] = Counter()
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.received: list[bytes] = []
        self.bytes_sent = 0
        self.followers = tuple(
            Follower(
                table, self._make_feed(table), listener, LoopClock(), partial(self.find_rank, index)
            )
            for index, (table, listener) in enumerate(zip(TABLES, self.listeners, strict=True))
        )
        self.relay = Relay(name, f"{name}-1", data_centre, LoopClock(), self.followers)
        self.relay.list_members = lambda: fleet.list_neighbours(self)
        self.relay.count_instances = lambda: fleet.count_contact(self)
        self.relay.send = self._send
        for follower in self.followers:
            follower.on_call = self._count_call
        self.eras.on_new_era = self._handle_era
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the instance's tasks."""
        runs: list[Coroutine[Any, Any, None]] = [one.run() for one in self.followers]
        runs += [self.relay.run(), self._report()]
        self.tasks = [asyncio.get_running_loop().create_task(run) for run in runs]

    def kill(self) -> None:
        """End the instance without a word."""
        self.relay.send = lambda peer, data: False
        for task in self.tasks:
            task.cancel()
        self._fleet.running.pop(self.name, None)

    def freeze(self) -> None:
        """Let the instance neither send nor receive."""
        self.thawed.clear()

    def thaw(self) -> None:
        """End a freeze; what arrived in the meantime is received now."""
        self.thawed.set()
        received, self.received = self.received, []
        for data in received:
            self.receive(data)

    def receive(self, data: bytes) -> None:
        """Receive a datagram."""
        if self.thawed.is_set():
            self.relay.handle_datagram(data, (self.name, 1))
        else:
            self.received.append(data)

    def receive_reports(self, reports: Sequence[TableReport]) -> None:
        """Receive the digest of another instance, as far as it is about the store."""
        if self.thawed.is_set():
            unavailable = any(report.unavailable for report in reports)
            for follower, report in zip(self.followers, reports, strict=True):
                follower.handle_report(TableReport(report.changed, unavailable))

    def find_rank(self, table: int) -> InstanceRank:
        """Return the rank that decides how long a poll of a table waits."""
        shard = sorted([*self._fleet.list_shard(self), self.name])
        return self.relay.find_rank(table, InstanceRank(shard.index(self.name), len(shard)))

    def _make_feed(self, table: str) -> SimulatedFeed:
        async def wait_thawed() -> None:
            await self.thawed.wait()

        return SimulatedFeed(self._fleet.store, table, self.name, self.eras, wait_thawed)

    def _send(self, peer: str, data: bytes) -> bool:
        if self.thawed.is_set():
            self.bytes_sent += len(data)
            self._fleet.deliver(self.name, peer, lambda one: one.receive(data))
        return True

    def _count_call(self, table: str, reason: CallReason) -> None:
        self.reasons[reason.value] += 1
        self._fleet.store.calls[self.name, table] += 1

    def _handle_era(self, era: int) -> None:
        for follower in self.followers:
            follower.handle_era(era)

    async def _report(self) -> None:
        while True:
            await sleep_ms(random.uniform(*DIGEST_MS))
            if not self.thawed.is_set():
                continue
            reports = [follower.report for follower in self.followers]
            for peer in self._fleet.list_shard(self):
                self._fleet.reports += 1
                self._fleet.deliver(self.name, peer, partial(_receive_reports, reports))


class SimulatedFleet:
    """Instances in three data centres that follow one store.

    ``loss`` is the share of datagrams that are lost. ``isolated`` instances exchange no datagrams.
    Without ``relays`` every instance follows the store for itself.
    """

    def __init__(
        self,
        instances: int,
        loss: float = 0.0,
        relays: bool = True,
        centres: Sequence[str] = DATA_CENTRES,
    ) -> None:
        self.store = SimulatedStore()
        self.loss, self.relays = loss, relays
        self.isolated: set[str] = set()
        self.datagrams = 0
        self.reports = 0
        self.written: list[tuple[str, StorePoint, float]] = []
        names = [f"n{number:03}" for number in range(instances)]
        self.listed = {name: centres[n % len(centres)] for n, name in enumerate(names)}
        shards = max(1, instances // INSTANCES_PER_SHARD)
        self.shards = {name: index % shards for index, name in enumerate(names)}
        self.running = {
            name: SimulatedInstance(self, name, centre) for name, centre in self.listed.items()
        }

    def start(self) -> None:
        """Start all instances."""
        for instance in self.running.values():
            instance.start()

    def stop_tasks(self) -> None:
        """End the tasks of all instances, whose state is kept."""
        for instance in self.running.values():
            for task in instance.tasks:
                task.cancel()

    def write(self, table: str, key: str, value: str | None) -> None:
        """Write a row and remember when."""
        self.written.append((table, self.store.write(table, key, value), now_ms()))

    def list_neighbours(self, instance: SimulatedInstance) -> list[str]:
        """Return the other listed instances of the data centre, running or not."""
        centre = instance.data_centre
        return [
            name for name, one in self.listed.items() if one == centre and name != instance.name
        ]

    def list_shard(self, instance: SimulatedInstance) -> list[str]:
        """Return the other running instances of the shard."""
        shard = self.shards[instance.name]
        return [
            name for name in self.running if self.shards[name] == shard and name != instance.name
        ]

    def count_contact(self, instance: SimulatedInstance) -> int:
        """Return the number of instances in contact."""
        if not self.relays or instance.name in self.isolated:
            return 1
        return len(self.running) - len(self.isolated & self.running.keys())

    def find_sources(self, data_centre: str) -> list[SimulatedInstance]:
        """Return the running sources of a data centre."""
        return [
            one
            for one in self.running.values()
            if one.relay.role == "source" and one.data_centre == data_centre
        ]

    def deliver(
        self, sender: str, receiver: str, handle: Callable[[SimulatedInstance], None]
    ) -> None:
        """Deliver a datagram after a short time, unless it is lost."""
        self.datagrams += 1
        if random.random() < self.loss or self.isolated & {sender, receiver}:
            return
        delay_s = random.uniform(0.2, 3.0) / MS_PER_SECOND
        asyncio.get_running_loop().call_later(delay_s, self._arrive, receiver, handle)

    def _arrive(self, receiver: str, handle: Callable[[SimulatedInstance], None]) -> None:
        instance = self.running.get(receiver)
        if instance is not None:
            handle(instance)

    def list_delays(self, excused: Iterable[str] = ()) -> list[float]:
        """Return for each write and running instance after how many ms it was known.

        One that is not known counts as infinite.
        """
        delays = []
        for table, point, at in self.written:
            for instance in self.running.values():
                if instance.name not in excused:
                    known = instance.listeners[TABLES.index(table)].find_known_at(point)
                    delays.append(float("inf") if known is None else known - at)
        return delays


def _receive_reports(reports: Sequence[TableReport], instance: SimulatedInstance) -> None:
    instance.receive_reports(reports)


def make_entries(rows: Sequence[SimulatedRow]) -> tuple[Entry[str], ...]:
    """Return the entries of rows."""
    return tuple(Entry(row.key, row.value, row.value is None) for row in rows)


def encode_rows(rows: Sequence[SimulatedRow]) -> bytes:
    """Return rows as the bytes that are passed on."""
    return json.dumps([[row.key, row.value, row.version] for row in rows]).encode()


@dataclass(frozen=True)
class CallCount:
    """The calls of a simulated fleet in a time, by reason, and the slowest change in ms."""

    calls: int
    reasons: Counter[str]
    slowest_ms: float
    median_ms: float
    source_bytes_per_s: float


async def count_calls(instances: int, relays: bool, seconds: int = 50) -> CallCount:
    """Count the calls of a fleet while servers and configurations change.

    An entry of a server changes every 1.5 s, a configuration of 30 kB every 10 s, and once there
    are 25 versions of it 80 ms apart.
    """
    fleet = SimulatedFleet(instances, loss=0.001, relays=relays)
    fleet.write("op", "config", "0")
    fleet.start()
    await asyncio.sleep(20)
    fleet.written.clear()
    before = sum(fleet.store.calls.values())
    for instance in fleet.running.values():
        instance.reasons.clear()
        instance.bytes_sent = 0
    tasks = [asyncio.ensure_future(change(fleet, seconds)) for change in (_serve, _configure)]
    await asyncio.gather(*tasks)
    reasons: Counter[str] = Counter()
    for instance in fleet.running.values():
        reasons.update(instance.reasons)
    calls = sum(fleet.store.calls.values()) - before
    most_bytes = max(instance.bytes_sent for instance in fleet.running.values())
    await asyncio.sleep(10)
    delays = sorted(fleet.list_delays())
    fleet.stop_tasks()
    return CallCount(calls, reasons, delays[-1], delays[len(delays) // 2], most_bytes / seconds)


async def _serve(fleet: SimulatedFleet, seconds: int) -> None:
    until = now_ms() + seconds * MS_PER_SECOND
    number = 0
    while now_ms() < until:
        number += 1
        fleet.write("servers", f"s{number % 40}", f"{number}" * 40)
        await asyncio.sleep(1.5)


async def _configure(fleet: SimulatedFleet, seconds: int) -> None:
    # Routes and keys of teams compress to a seventh; so do these.
    filling = "".join(random.choices([f"{number:030}" for number in range(2_000)], k=1_000))
    for number in range(seconds // 10):
        for step in range(25 if number == 2 else 1):
            fleet.write("op", "config", f"{number}.{step} {filling}")
            await asyncio.sleep(0.08)
        await asyncio.sleep(10 - (2.0 if number == 2 else 0.08))
