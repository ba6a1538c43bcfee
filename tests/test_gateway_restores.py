"""Followers of several instances through restores of the store; time is simulated."""

import asyncio
import json
import random
from dataclasses import dataclass, field
from functools import partial

import pytest

from lentilwell.gateway import Entry, Eras, HistoryGone, Listing, StoreRestored, StoreUnavailable
from lentilwell.gateway._follower import Follower, TableNews
from lentilwell.gateway._store_point import StorePoint
from lentilwell.gateway._store_waits import Place
from standins.rows import RowStore
from tests.simulated_time import LoopClock, run_in_simulated_time

APPLY_MS = 2_000
ANSWER_MS = 4
DIGEST_MS = 400
AWAY_MS = 700
CALL_TIMEOUT_MS = 1_200


@dataclass
class Feed:
    """The table ``op`` of a store, as one instance reads it. Answers come ``ANSWER_MS`` late."""

    store: RowStore
    eras: Eras
    calls: int = 0
    cut: bool = False

    async def read_all(self):
        return await self.answer(lambda: self.list_all())

    async def read_changes(self, after, wait_ms):
        if not self.cut and not self.store.silent and after > self.store.version:
            self.calls += 1
            self.eras.note(self.store.era, "feed")
            raise HistoryGone("no such version")
        return await self.answer(lambda: self.wait(after, wait_ms))

    async def answer(self, call):
        self.calls += 1
        await self.fail_if_away()
        rows = await call()
        await self.fail_if_away()
        era, version = self.store.era, self.store.version
        await asyncio.sleep(ANSWER_MS / 1_000)
        self.eras.note(era, "feed")
        entries = tuple(Entry(row.key, json.loads(row.value)) for row in rows)
        return Listing(entries, version, era)

    async def fail_if_away(self):
        if self.cut or self.store.silent:
            await asyncio.sleep(CALL_TIMEOUT_MS / 1_000)
            raise StoreUnavailable("no answer")

    async def list_all(self):
        return self.store.list_rows("op", "", 500)[0]

    async def wait(self, after, wait_ms):
        return await self.store.wait_changes("op", after, wait_ms / 1_000)


@dataclass
class Taken:
    """What a listener was told, in order: the number, when, and whether the table was whole."""

    told: list[tuple[int, int, bool]] = field(default_factory=list)

    def take_all(self, listing):
        self.note(listing, True)

    def take_changes(self, listing):
        self.note(listing, False)

    def note(self, listing, whole):
        for entry in listing.entries:
            self.told.append((entry.value, LoopClock().now(), whole))

    def note_regained(self):
        pass


class Instance:
    """A follower of the configuration with its feed."""

    def __init__(self, store, rank, instances):
        self.eras, self.taken = Eras(), Taken()
        self.feed = Feed(store, self.eras)
        place = partial(Place, rank, instances)
        self.follower = Follower("t", self.feed, self.taken, LoopClock(), place)
        self.eras.on_rise = self.follower.restore


async def tell_others(instances):
    while True:
        await asyncio.sleep(DIGEST_MS / 1_000)
        told = [one.follower.news for one in instances]
        for place, one in enumerate(instances):
            for news in told[:place] + told[place + 1 :]:
                one.follower.hear(news)


async def start(store, count):
    instances = [Instance(store, rank, count) for rank in range(count)]
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(one.follower.run()) for one in instances]
    tasks.append(loop.create_task(tell_others(instances)))
    return instances, tasks


async def drill(store, backup, away_ms=AWAY_MS):
    """Take the store away for a moment and bring it back from a copy."""
    store.silent = True
    await asyncio.sleep(away_ms / 1_000)
    await store.restore(backup)
    store.silent = False


async def play(count, away_ms, rewrite_after_ms, seed=1):
    """Lose versions 2 and 3 of the configuration, write them again, then write version 4."""
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
    await drill(store, backup, away_ms)
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
    ("away_ms", "rewrite_after_ms"), [(0, 10), (0, 900), (700, 40), (4_000, 2)]
)
def test_every_instance_ends_at_the_operators_last_word_in_time(count, away_ms, rewrite_after_ms):
    instances, written_at, _ = run_in_simulated_time(play(count, away_ms, rewrite_after_ms))
    for one in instances:
        at = min(at for number, at, _ in one.taken.told if number == 4)
        assert at <= written_at + APPLY_MS


@pytest.mark.parametrize("count", [4, 30, 300])
def test_restore_costs_few_calls_an_instance(count):
    """A whole reading, the changes that the operator writes again, and what finds the restore."""
    _, _, calls = run_in_simulated_time(play(count, AWAY_MS, 400))
    assert calls / count <= 9


def test_instance_that_was_cut_off_through_the_restore_meets_it_with_its_first_answer():
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
        await drill(store, backup)
        await store.put("op", "config", 3)
        await asyncio.sleep(3)
        assert all(other.taken.told[-1][0] == 3 for other in others)
        assert [number for number, _, _ in one.taken.told] == [1]
        healed_at = LoopClock().now()
        one.feed.cut = False
        await asyncio.sleep(5)
        for task in tasks:
            task.cancel()
        assert one.taken.told[-1][0] == 3 and one.follower.status.at.era == 2
        assert one.taken.told[-1][1] <= healed_at + APPLY_MS

    run_in_simulated_time(run())


def test_versions_that_were_given_out_again_before_the_next_reading_are_read_whole():
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
        assert [number for number, _, whole in one.taken.told if whole] == [1, 1, 9]

    run_in_simulated_time(run())


def test_wait_that_spans_a_restore_is_broken_off_by_any_other_answer():
    async def run():
        store = RowStore()
        await store.put("op", "config", 1)
        [one], tasks = await start(store, 1)
        await asyncio.sleep(5.1)
        store.era += 1
        one.eras.note(store.era, "a write")
        await asyncio.sleep(0.05)
        for task in tasks:
            task.cancel()
        assert [whole for _, _, whole in one.taken.told] == [True, True]
        assert one.follower.status.at == StorePoint(2, 1)

    run_in_simulated_time(run())


def test_instance_that_hears_of_a_newer_era_looks_for_itself():
    async def run():
        store = RowStore()
        await store.put("op", "config", 1)
        [one], tasks = await start(store, 1)
        one.follower._find_place = partial(Place, 23, 24)
        await asyncio.sleep(5)
        await store.restore(store.back_up())
        one.follower.hear(TableNews(StorePoint(2, 1)))
        await asyncio.sleep(0.5)
        for task in tasks:
            task.cancel()
        assert one.follower.status.at == StorePoint(2, 1)

    run_in_simulated_time(run())


def test_news_of_an_older_era_is_no_reason_to_look():
    async def run():
        store = RowStore(era=2)
        await store.put("op", "config", 1)
        [one], tasks = await start(store, 1)
        one.follower._find_place = partial(Place, 23, 24)
        await asyncio.sleep(5)
        calls = one.feed.calls
        one.follower.hear(TableNews(StorePoint(1, 99)))
        await asyncio.sleep(0.4)
        for task in tasks:
            task.cancel()
        assert one.feed.calls == calls

    run_in_simulated_time(run())


def test_answer_of_a_past_era_is_refused_and_a_rise_is_told_once():
    eras, risen = Eras(), []
    eras.on_rise = risen.append
    for era in (3, 3, 4, 4):
        eras.note(era, "c")
    with pytest.raises(StoreRestored):
        eras.note(3, "c")
    assert risen == [4] and eras.current == 4


def test_points_compare_by_era_before_version():
    assert StorePoint(1, 120) < StorePoint(2, 5) < StorePoint(2, 6)
