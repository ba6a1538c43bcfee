"""Followers of several instances through outages of the store, in simulated time.

A version must be in force at most ``APPLY_MS`` after its write was acknowledged. For a write during
or after an outage, ``CONTACT_MS`` after the end of the outage is allowed as well. These are the
users' limits for machines without other load.
"""

import asyncio
import random
from dataclasses import dataclass, field
from functools import partial

import pytest

from lentilwell.gateway import Entry, Listing, StoreUnavailable
from lentilwell.gateway._store_waits import InstanceRank
from lentilwell.gateway.following._follower import Follower
from standins.simulated_time import LoopClock, run_in_simulated_time

APPLY_MS = 2_000
CONTACT_MS = 3_000
CALL_TIMEOUT_MS = 1_200
ANSWER_MS = 4
DIGEST_MS = 400
SCENARIOS = 150


def now_ms():
    return asyncio.get_running_loop().time() * 1_000


@dataclass
class Outage:
    """An outage from ``begin`` to ``end`` in ms: calls are refused, or unanswered if ``silent``."""

    begin: float
    end: float
    silent: bool

    def covers(self, at):
        return self.begin <= at < self.end

    def overlaps(self, begin, end):
        return self.begin < end and begin < self.end


@dataclass
class Store:
    """A store with one outage and a table with one row that changes at the times ``changes``."""

    outage: Outage
    changes: list[float]
    calls: int = 0
    waiting: list[asyncio.Event] = field(default_factory=list)

    def count_versions(self, at):
        return 1 + sum(change <= at for change in self.changes)

    async def read_all(self):
        return await self.answer(0, 0)

    async def read_changes(self, after, wait_ms):
        return await self.answer(after, wait_ms)

    async def answer(self, after, wait_ms):
        """Answer at the next change or at the end of the wait; fail if the outage overlaps it."""
        self.calls += 1
        begin = now_ms()
        later = [change for change in self.changes if self.count_versions(change) > after]
        until = begin + wait_ms
        if self.count_versions(begin) > after:
            until = begin
        elif later and later[0] < until:
            until = later[0]
        if self.outage.overlaps(begin, until + ANSWER_MS):
            await self.fail(begin, wait_ms)
        await asyncio.sleep((until + ANSWER_MS - begin) / 1_000)
        version = self.count_versions(until)
        rows = (Entry("config", str(version)),) if version > after else ()
        return Listing(rows, version)

    async def fail(self, begin, wait_ms):
        if self.outage.silent:
            await asyncio.sleep((wait_ms + CALL_TIMEOUT_MS) / 1_000)
            raise StoreUnavailable("no answer")
        await asyncio.sleep(max(0.0, self.outage.begin - begin) / 1_000)
        raise StoreUnavailable("refused")


@dataclass
class RecordingListener:
    """Records the time in ms at which each version was received first."""

    at: dict[int, float] = field(default_factory=dict)

    def handle_listing(self, listing):
        self.at.setdefault(listing.version, now_ms())

    def handle_changes(self, listing):
        self.handle_listing(listing)

    def handle_store_recovery(self):
        pass


async def exchange_reports(followers):
    """Pass the report of each instance to all others at the interval of digests."""
    while True:
        await asyncio.sleep(DIGEST_MS / 1_000)
        reports = [follower.report for follower in followers]
        for index, follower in enumerate(followers):
            for report in reports[:index] + reports[index + 1 :]:
                follower.handle_report(report)


async def follow_through(store, instances, until_ms):
    """Run one follower per instance for ``until_ms`` of simulated time; return the listeners."""
    received = [RecordingListener() for _ in range(instances)]
    followers = [
        Follower("t", store, one, LoopClock(), partial(InstanceRank, rank, instances))
        for rank, one in enumerate(received)
    ]
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(follower.run()) for follower in followers]
    tasks.append(loop.create_task(exchange_reports(followers)))
    await asyncio.sleep(until_ms / 1_000)
    for task in tasks:
        task.cancel()
    return received


def find_due(store, change):
    due = change + APPLY_MS
    return max(due, store.outage.end + CONTACT_MS) if change >= store.outage.begin else due


def list_late(store, received):
    """Return the versions that were late, as tuples of instance, version and delay in ms."""
    late = []
    for number, change in enumerate(store.changes, 2):
        due = find_due(store, change)
        for instance, one in enumerate(received):
            at = min((at for version, at in one.at.items() if version >= number), default=None)
            if at is None or at > due:
                late.append((instance, number, None if at is None else at - due))
    return late


@pytest.mark.parametrize("instances", [1, 4, 27])
def test_change_after_an_outage_without_answers_is_in_force_in_time(instances):
    store = Store(Outage(31_000, 33_200, silent=True), [34_200, 36_450, 39_480])
    random.seed(1)
    received = run_in_simulated_time(follow_through(store, instances, 60_000))
    assert list_late(store, received) == []


def draw_scenario(seed):
    """Return a random number of instances, and a store with an outage and three changes."""
    rng = random.Random(seed)
    instances = rng.choice([1, 2, 4, 9, 27])
    begin = rng.randint(14_000, 30_000)
    outage = Outage(begin, begin + rng.randint(500, 8_000), silent=rng.random() < 0.7)
    return instances, Store(outage, sorted(rng.sample(range(12_000, 45_000), 3)))


def test_changes_around_random_outages_are_in_force_in_time():
    late = {}
    for seed in range(SCENARIOS):
        instances, store = draw_scenario(seed)
        random.seed(seed)
        late[seed] = list_late(
            store, run_in_simulated_time(follow_through(store, instances, 65_000))
        )
    assert {seed: found for seed, found in late.items() if found} == {}
