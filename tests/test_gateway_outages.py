"""Followers of several instances through outages of the store; time is simulated.

A version is in force in time ``APPLY_MS`` after its acknowledgement, or ``CONTACT_MS`` after the
end of an outage before it: the users' bounds for machines that were calm meanwhile.
"""

import asyncio
import random
from dataclasses import dataclass, field
from functools import partial

import pytest

from lentilwell.gateway import Entry, Listing, StoreUnavailable
from lentilwell.gateway._follower import Follower
from lentilwell.gateway._store_waits import Place
from tests.simulated_time import LoopClock, run_in_simulated_time

APPLY_MS = 2_000
CONTACT_MS = 3_000
CALL_TIMEOUT_MS = 1_200
ANSWER_MS = 4
DIGEST_MS = 400
DRAWN_DAYS = 150


def now_ms():
    return asyncio.get_running_loop().time() * 1_000


@dataclass
class Outage:
    """From ``begin`` to ``end``, in ms, calls are refused or, if ``silent``, never answered."""

    begin: float
    end: float
    silent: bool

    def covers(self, at):
        return self.begin <= at < self.end

    def meets(self, begin, end):
        return self.begin < end and begin < self.end


@dataclass
class Store:
    """A table with one row that changes at set times, and a store with one outage."""

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
        """Answer as soon as there is a change; a call that meets the outage gets none."""
        self.calls += 1
        begin = now_ms()
        later = [change for change in self.changes if self.count_versions(change) > after]
        until = begin + wait_ms
        if self.count_versions(begin) > after:
            until = begin
        elif later and later[0] < until:
            until = later[0]
        if self.outage.meets(begin, until + ANSWER_MS):
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
class Taken:
    """When a listener was told of each version, in ms."""

    at: dict[int, float] = field(default_factory=dict)

    def take_all(self, listing):
        self.at.setdefault(listing.version, now_ms())

    def take_changes(self, listing):
        self.take_all(listing)

    def note_regained(self):
        pass


async def tell_others(followers):
    """Let each instance tell the others what it knows, as often as digests go out."""
    while True:
        await asyncio.sleep(DIGEST_MS / 1_000)
        told = [follower.news for follower in followers]
        for place, follower in enumerate(followers):
            for news in told[:place] + told[place + 1 :]:
                follower.hear(news)


async def follow_through(store, instances, until_ms):
    """Return what each instance took, and when."""
    taken = [Taken() for _ in range(instances)]
    followers = [
        Follower("t", store, one, LoopClock(), partial(Place, rank, instances))
        for rank, one in enumerate(taken)
    ]
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(follower.run()) for follower in followers]
    tasks.append(loop.create_task(tell_others(followers)))
    await asyncio.sleep(until_ms / 1_000)
    for task in tasks:
        task.cancel()
    return taken


def find_due(store, change):
    due = change + APPLY_MS
    return max(due, store.outage.end + CONTACT_MS) if change >= store.outage.begin else due


def list_late(store, taken):
    """Return the instances and versions that were not in force in time, with the delay in ms."""
    late = []
    for number, change in enumerate(store.changes, 2):
        due = find_due(store, change)
        for instance, one in enumerate(taken):
            at = min((at for version, at in one.at.items() if version >= number), default=None)
            if at is None or at > due:
                late.append((instance, number, None if at is None else at - due))
    return late


@pytest.mark.parametrize("instances", [1, 4, 27])
def test_change_after_an_outage_that_swallowed_two_tries_is_in_force_in_time(instances):
    store = Store(Outage(31_000, 33_200, silent=True), [34_200, 36_450, 39_480])
    random.seed(1)
    taken = run_in_simulated_time(follow_through(store, instances, 60_000))
    assert list_late(store, taken) == []


def draw_day(seed):
    """Return a number of instances and a store with an outage and three changes around it."""
    draw = random.Random(seed)
    instances = draw.choice([1, 2, 4, 9, 27])
    begin = draw.randint(14_000, 30_000)
    outage = Outage(begin, begin + draw.randint(500, 8_000), silent=draw.random() < 0.7)
    return instances, Store(outage, sorted(draw.sample(range(12_000, 45_000), 3)))


def test_changes_around_outages_of_any_kind_are_in_force_in_time():
    late = {}
    for seed in range(DRAWN_DAYS):
        instances, store = draw_day(seed)
        random.seed(seed)
        late[seed] = list_late(
            store, run_in_simulated_time(follow_through(store, instances, 65_000))
        )
    assert {seed: found for seed, found in late.items() if found} == {}
