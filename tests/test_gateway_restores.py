"""Followers of several instances through restores of the store, in simulated time."""

import asyncio
import json
import random
from dataclasses import dataclass, field
from functools import partial

import pytest

from lentilwell.gateway import (
    Entry,
    EraTracker,
    HistoryGone,
    Listing,
    StoreRestored,
    StoreUnavailable,
)
from lentilwell.gateway._store_point import StorePoint
from lentilwell.gateway._store_waits import InstanceRank
from lentilwell.gateway.following._follower import Follower
from lentilwell.gateway.following._tables import TableReport
from standins.rows import RowStore
from standins.simulated_time import LoopClock, run_in_simulated_time

APPLY_MS = 2_000
ANSWER_MS = 4
DIGEST_MS = 400
OUTAGE_MS = 700
CALL_TIMEOUT_MS = 1_200


@dataclass
class Feed:
    """The table ``op`` of a store as one instance reads it; answers take ``ANSWER_MS``."""

    store: RowStore
    eras: EraTracker
    calls: int = 0
    cut: bool = False

    async def read_all(self):
        return await self.answer(lambda: self.list_all())

    async def read_changes(self, after, wait_ms):
        if not self.cut and not self.store.silent and after > self.store.version:
            self.calls += 1
            self.eras.record(self.store.era, "feed")
            raise HistoryGone("no such version")
        return await self.answer(lambda: self.wait(after, wait_ms))

    async def answer(self, call):
        self.calls += 1
        await self.fail_if_unavailable()
        rows = await call()
        await self.fail_if_unavailable()
        era, version = self.store.era, self.store.version
        await asyncio.sleep(ANSWER_MS / 1_000)
        self.eras.record(era, "feed")
        entries = tuple(Entry(row.key, json.loads(row.value)) for row in rows)
        return Listing(entries, version, era)

    async def fail_if_unavailable(self):
        if self.cut or self.store.silent:
            await asyncio.sleep(CALL_TIMEOUT_MS / 1_000)
            raise StoreUnavailable("no answer")

    async def list_all(self):
        return self.store.list_rows("op", "", 500)[0]

    async def wait(self, after, wait_ms):
        return await self.store.wait_changes("op", after, wait_ms / 1_000)


@dataclass
class RecordingListener:
    """Records received numbers, with the time and whether they came in a complete listing."""

    received: list[tuple[int, int, bool]] = field(default_factory=list)

    def handle_listing(self, listing):
        self.record(listing, True)

    def handle_changes(self, listing):
        self.record(listing, False)

    def record(self, listing, complete):
        for entry in listing.entries:
            self.received.append((entry.value, LoopClock().now(), complete))

    def handle_store_recovery(self):
        pass


class Instance:
    """A follower of the configuration with its feed."""

    def __init__(self, store, rank, instances):
        self.eras, self.listener = EraTracker(), RecordingListener()
        self.feed = Feed(store, self.eras)
        find_rank = partial(InstanceRank, rank, instances)
        self.follower = Follower("t", self.feed, self.listener, LoopClock(), find_rank)
        self.eras.on_new_era = self.follower.handle_era


async def exchange_reports(instances):
    while True:
        await asyncio.sleep(DIGEST_MS / 1_000)
        reports = [one.follower.report for one in instances]
        for index, one in enumerate(instances):
            for report in reports[:index] + reports[index + 1 :]:
                one.follower.handle_report(report)


async def start(store, count):
    instances = [Instance(store, rank, count) for rank in range(count)]
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(one.follower.run()) for one in instances]
    tasks.append(loop.create_task(exchange_reports(instances)))
    return instances, tasks


async def restore_after_outage(store, backup, outage_ms=OUTAGE_MS):
    """Simulate an outage of the store that ends with a restore from a backup."""
    store.silent = True
    await asyncio.sleep(outage_ms / 1_000)
    await store.restore(backup)
    store.silent = False


async def lose_and_rewrite(count, outage_ms, rewrite_after_ms, seed=1):
    """Restore the store without versions 2 and 3, write them again, then write version 4."""
    random.seed(seed)
    store = RowStore()
    await store.put("op", "config", 1)
    instances, tasks = await start(store, count)
    await asyncio.sleep(20)
    backup = store.back_up()
    for number in (2, 3):
        await store.put("op", "config", number)
        await asyncio.sleep(1)
    calls = sum(one.feed.calls for one in instances)
    await restore_after_outage(store, backup, outage_ms)
    for number in (2, 3):
        await asyncio.sleep(rewrite_after_ms / 1_000)
        await store.put("op", "config", number)
    await asyncio.sleep(1)
    calls = sum(one.feed.calls for one in instances) - calls
    written_at = LoopClock().now()
    await store.put("op", "config", 4)
    await asyncio.sleep(20)
    for task in tasks:
        task.cancel()
    return instances, written_at, calls


@pytest.mark.parametrize("count", [1, 4, 30])
@pytest.mark.parametrize(
    ("outage_ms", "rewrite_after_ms"), [(0, 10), (0, 900), (700, 40), (4_000, 2)]
)
def test_every_instance_receives_the_last_version_in_time(count, outage_ms, rewrite_after_ms):
    instances, written_at, _ = run_in_simulated_time(
        lose_and_rewrite(count, outage_ms, rewrite_after_ms)
    )
    for one in instances:
        at = min(at for number, at, _ in one.listener.received if number == 4)
        assert at <= written_at + APPLY_MS


@pytest.mark.parametrize("count", [4, 30, 300])
def test_restore_causes_few_calls_per_instance(count):
    """The calls are a complete read, the rewritten versions, and those that detect the restore."""
    _, _, calls = run_in_simulated_time(lose_and_rewrite(count, OUTAGE_MS, 400))
    assert calls / count <= 9


def test_instance_disconnected_during_the_restore_detects_it_with_its_first_answer():
    async def run():
        store = RowStore()
        await store.put("op", "config", 1)
        instances, tasks = await start(store, 4)
        await asyncio.sleep(10)
        one, *others = instances
        one.feed.cut = True
        backup = store.back_up()
        await store.put("op", "config", 2)
        await asyncio.sleep(1)
        await restore_after_outage(store, backup)
        await store.put("op", "config", 3)
        await asyncio.sleep(3)
        assert all(other.listener.received[-1][0] == 3 for other in others)
        assert [number for number, _, _ in one.listener.received] == [1]
        reconnected_at = LoopClock().now()
        one.feed.cut = False
        await asyncio.sleep(5)
        for task in tasks:
            task.cancel()
        assert one.listener.received[-1][0] == 3 and one.follower.status.at.era == 2
        assert one.listener.received[-1][1] <= reconnected_at + APPLY_MS

    run_in_simulated_time(run())


def test_version_numbers_reused_before_the_next_read_cause_a_complete_read():
    async def run():
        store = RowStore()
        await store.put("op", "config", 1)
        [one], tasks = await start(store, 1)
        await asyncio.sleep(5)
        backup = store.back_up()
        await store.put("op", "config", 2)
        await asyncio.sleep(0.4)
        await store.restore(backup)
        for number in (7, 8, 9):
            await store.put("op", "other", number)
        await asyncio.sleep(5)
        for task in tasks:
            task.cancel()
        assert [number for number, _, complete in one.listener.received if complete] == [1, 1, 9]

    run_in_simulated_time(run())


def test_answer_of_a_new_era_interrupts_a_wait_that_began_before_the_restore():
    async def run():
        store = RowStore()
        await store.put("op", "config", 1)
        [one], tasks = await start(store, 1)
        await asyncio.sleep(5.1)
        store.era += 1
        one.eras.record(store.era, "a write")
        await asyncio.sleep(0.05)
        for task in tasks:
            task.cancel()
        assert [complete for _, _, complete in one.listener.received] == [True, True]
        assert one.follower.status.at == StorePoint(2, 1)

    run_in_simulated_time(run())


def test_report_of_a_newer_era_causes_a_read():
    async def run():
        store = RowStore()
        await store.put("op", "config", 1)
        [one], tasks = await start(store, 1)
        one.follower._find_rank = partial(InstanceRank, 23, 24)
        await asyncio.sleep(5)
        await store.restore(store.back_up())
        one.follower.handle_report(TableReport(StorePoint(2, 1)))
        await asyncio.sleep(0.5)
        for task in tasks:
            task.cancel()
        assert one.follower.status.at == StorePoint(2, 1)

    run_in_simulated_time(run())


def test_report_of_an_older_era_causes_no_call():
    async def run():
        store = RowStore(era=2)
        await store.put("op", "config", 1)
        [one], tasks = await start(store, 1)
        one.follower._find_rank = partial(InstanceRank, 23, 24)
        await asyncio.sleep(5)
        calls = one.feed.calls
        one.follower.handle_report(TableReport(StorePoint(1, 99)))
        await asyncio.sleep(0.4)
        for task in tasks:
            task.cancel()
        assert one.feed.calls == calls

    run_in_simulated_time(run())


def test_answer_of_an_earlier_era_is_rejected_and_a_new_era_is_reported_once():
    eras, new_eras = EraTracker(), []
    eras.on_new_era = new_eras.append
    for era in (3, 3, 4, 4):
        eras.record(era, "c")
    with pytest.raises(StoreRestored):
        eras.record(3, "c")
    assert new_eras == [4] and eras.current == 4


def test_points_compare_by_era_before_version():
    assert StorePoint(1, 120) < StorePoint(2, 5) < StorePoint(2, 6)
