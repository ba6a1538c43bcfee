"""Following a table by long polling, and the reports of other instances that interrupt a wait."""

import asyncio
import itertools
import json
from contextlib import asynccontextmanager

import pytest

from lentilwell._clock import ManualClock
from lentilwell.gateway import AnswerUnfinished, Entry, Listing, StoreUnavailable
from lentilwell.gateway._budget import BudgetRules
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._metrics import Metrics, dump_fleet
from lentilwell.gateway._shards import ShardView
from lentilwell.gateway._store_point import StorePoint
from lentilwell.gateway._store_waits import (
    MAX_WAIT_MS,
    SINGLE_INSTANCE_WAIT_MS,
    InstanceRank,
    find_first_wait_ms,
    find_wait_ms,
)
from lentilwell.gateway.following import CallReason
from lentilwell.gateway.following._call_plan import UNFED_SPREAD_MS
from lentilwell.gateway.following._follower import (
    CHANGE_BATCH_MS,
    CHECK_INTERVAL_MS,
    LONG_ROW_BYTES,
    PROPAGATION_MS,
    Follower,
)
from lentilwell.gateway.following._tables import TableReport, TableStatus
from standins.simulated_time import LoopClock, run_in_simulated_time
from tests.gateway_scripts import in_loop


class Table:
    """A fake table; calls that wait for changes never return while ``dead`` is set."""

    def __init__(self):
        self.version = 3
        self.dead = False
        self.unavailable = False
        self.too_long = False
        self.waits = []
        self.changed = asyncio.Event()

    def wake(self, version):
        self.version = version
        self.changed.set()

    async def read_all(self):
        self.too_long = False
        return Listing((Entry("k", "v"),), self.version)

    async def read_changes(self, after, wait_ms):
        self.waits.append(wait_ms)
        if self.unavailable:
            raise StoreUnavailable("refused")
        if self.too_long:
            raise AnswerUnfinished("too long")
        if wait_ms and (self.dead or self.version == after):
            self.changed.clear()
            await self.changed.wait()
        rows = (Entry("k", "new"),) if self.version > after else ()
        return Listing(rows, self.version)


class RecordingListener:
    """Records the calls of a follower to its listener."""

    def __init__(self):
        self.received = []

    def handle_listing(self, listing):
        self.received.append(listing.version)

    def handle_changes(self, listing):
        self.received.append(listing.version)

    def handle_store_recovery(self):
        self.received.append("regained")


@asynccontextmanager
async def following(table, monkeypatch):
    monkeypatch.setattr("lentilwell.gateway.following._follower.PROPAGATION_MS", 5)
    clock, listener = ManualClock(), RecordingListener()
    follower = Follower("t", table, listener, clock)
    task = asyncio.get_running_loop().create_task(follower.run())
    await asyncio.sleep(0.01)
    clock.advance(PROPAGATION_MS)
    yield follower, listener, clock
    task.cancel()


@pytest.mark.parametrize("instances", [1, 4, 35, 300])
def test_waits_grow_with_the_number_of_instances_in_contact(instances):
    longest = find_wait_ms(instances, 0.999)
    assert SINGLE_INSTANCE_WAIT_MS * 0.9 <= longest <= MAX_WAIT_MS
    assert find_wait_ms(instances, 0.0) >= longest / 2 - 1
    # Each instance follows two tables; on average a wait must end every second to detect an outage.
    assert longest / (2 * instances) <= 1_000


@pytest.mark.parametrize("instances", [1, 4, 24, 35, 300])
@pytest.mark.parametrize("random_point", [0.0, 0.5, 0.999])
def test_waits_that_begin_together_end_at_different_times(instances, random_point):
    waits = [
        find_first_wait_ms(InstanceRank(rank, instances), random_point) for rank in range(instances)
    ]
    gaps = [later - earlier for earlier, later in itertools.pairwise(waits)]
    assert max([waits[0], *gaps]) <= SINGLE_INSTANCE_WAIT_MS
    assert SINGLE_INSTANCE_WAIT_MS * random_point - 1 <= waits[-1] <= MAX_WAIT_MS


@in_loop
async def test_change_reported_by_another_instance_interrupts_a_dead_wait(monkeypatch):
    table = Table()
    async with following(table, monkeypatch) as (follower, listener, _):
        table.dead, table.version = True, 9
        follower.handle_report(TableReport(StorePoint(0, 9)))
        await asyncio.sleep(0.03)
        assert listener.received == [3, 9]
        assert table.waits[1] == 0


@in_loop
async def test_table_is_read_whole_if_its_changes_do_not_arrive_in_time(monkeypatch):
    """Guards against an instance that came back to 35 versions and followed none of them.

    It asked for all changes since it had been cut off, which its link could not carry within the
    timeout, until the store forgot them.
    """
    table = Table()
    async with following(table, monkeypatch) as (follower, listener, _):
        table.dead, table.too_long, table.version = True, True, 40
        follower.handle_report(TableReport(StorePoint(0, 40)))
        await asyncio.sleep(0.03)
        assert listener.received == [3, 40]
        assert not follower.report.unavailable


@in_loop
async def test_report_of_a_known_version_interrupts_no_wait(monkeypatch):
    table = Table()
    async with following(table, monkeypatch) as (follower, _, _):
        follower.handle_report(TableReport(StorePoint(0, 3)))
        await asyncio.sleep(0.03)
        assert len(table.waits) == 1


@in_loop
async def test_outage_reported_by_another_instance_is_detected_until_the_store_answers(monkeypatch):
    table = Table()
    async with following(table, monkeypatch) as (follower, listener, _):
        table.dead = table.unavailable = True
        follower.handle_report(TableReport(unavailable=True))
        await asyncio.sleep(0.02)
        assert follower.report.unavailable
        table.dead = table.unavailable = False
        table.version = 12
        async with asyncio.timeout(3):
            while follower.report.unavailable:
                await asyncio.sleep(0.01)
        assert listener.received[-2:] == ["regained", 12]
        assert follower.report.changed == StorePoint(0, 12)


@in_loop
async def test_repeated_reports_of_an_outage_cause_few_calls(monkeypatch):
    table = Table()
    async with following(table, monkeypatch) as (follower, _, clock):
        for _ in range(50):
            follower.handle_report(TableReport(unavailable=True))
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)
        assert table.waits.count(0) == 1
        clock.advance(CHECK_INTERVAL_MS)
        follower.handle_report(TableReport(unavailable=True))
        await asyncio.sleep(0.01)
        assert table.waits.count(0) == 2


@in_loop
async def test_successive_changes_are_read_in_one_call(monkeypatch):
    table = Table()
    async with following(table, monkeypatch) as (_, listener, _):
        table.wake(4)
        await asyncio.sleep(0.01)
        for version in range(5, 40):
            table.wake(version)
            await asyncio.sleep(0)
        assert listener.received == [3, 4]
        await asyncio.sleep(1.2 * CHANGE_BATCH_MS / 1_000)
        assert listener.received == [3, 4, 39]
        assert len(table.waits) == 2


def test_follower_that_loses_its_sources_right_after_a_change_polls_at_once():
    """It kept the plan of a fed one, and made no call for up to 40 s."""

    async def run():
        table = Table()
        follower = Follower("t", table, RecordingListener(), LoopClock())
        task = asyncio.get_running_loop().create_task(follower.run())
        await asyncio.sleep(0.1)
        follower.set_fed(True)
        table.wake(4)
        await asyncio.sleep(CHANGE_BATCH_MS / 2_000)
        calls = len(table.waits)
        follower.set_fed(False)
        await asyncio.sleep((CHANGE_BATCH_MS + UNFED_SPREAD_MS) / 1_000)
        task.cancel()
        assert len(table.waits) > calls

    run_in_simulated_time(run())


@in_loop
async def test_call_that_has_just_begun_is_not_interrupted(monkeypatch):
    table = Table()
    async with following(table, monkeypatch) as (follower, _, clock):
        follower._contact.asked_at = clock.now()
        follower.handle_report(TableReport(unavailable=True))
        await asyncio.sleep(0.01)
        assert len(table.waits) == 1


@in_loop
async def test_check_after_the_follower_was_cancelled_does_nothing(monkeypatch):
    async with following(Table(), monkeypatch) as (follower, _, _):
        pass
    await asyncio.sleep(0.01)
    follower.check("nobody follows any more")


@in_loop
async def test_failed_calls_are_logged_and_counted_until_the_store_answers(monkeypatch):
    written = []
    monkeypatch.setattr("lentilwell.gateway.following._follower.write_line", written.append)
    table = Table()
    async with following(table, monkeypatch) as (follower, _, _):
        table.unavailable = True
        follower.check("a test")
        async with asyncio.timeout(3):
            while follower.status.failures < 3:
                await asyncio.sleep(0.01)
        assert [line.event for line in written] == [
            "table checked",
            "dependency lost",
            "dependency still lost",
            "dependency still lost",
        ]
        assert written[-1].failures == 3
        table.unavailable, table.version = False, 9
        async with asyncio.timeout(3):
            while follower.status.failures:
                await asyncio.sleep(0.01)
    assert written[-1].event == "dependency regained"


def test_age_and_failures_of_each_table_are_in_the_metrics_and_the_state():
    clock = ManualClock(5_000)
    fleet = Fleet(clock, "z1", BudgetRules(0.2, 100, 10_000), "least_cost", ShardView("i", "z1"))
    tables = (
        TableStatus("configuration", StorePoint(0, 31), 1_500, 3_000, 9_000, 2),
        TableStatus("upstreams", None, None, 4_000, 0, 0),
    )
    metrics = Metrics(fleet, lambda: 0, lambda: tables, lambda: "fed")
    metrics.count_store_call("upstreams", CallReason.REPAIR)
    text = metrics.render().decode()
    assert 'lentilwell_gateway_following{role="fed"} 1.0' in text
    calls = 'lentilwell_gateway_store_calls_total{reason="repair",table="upstreams"} 1.0'
    assert calls in text
    assert 'lentilwell_gateway_table_age_seconds{table="configuration"} 3.5' in text
    assert 'lentilwell_gateway_table_failures{table="configuration"} 2.0' in text
    assert 'lentilwell_gateway_table_age_seconds{table="upstreams"}' not in text
    state = json.loads(dump_fleet(fleet, tables))
    assert state["tables"][0]["wait_ms"] == 9_000


class LongRows:
    """A fake table with one long row, whose version is told unless ``versions`` is unset."""

    def __init__(self, versions):
        self.versions = versions
        self.written = self.version = 1
        self.complete = self.polls = 0
        self.changed = asyncio.Event()

    def write(self):
        self.version += 1
        self.written = self.version
        self.changed.set()

    def answer(self):
        self.version += 1  # another table was written
        newest = self.written if self.versions else 0
        return Listing((Entry("k", "v"),), self.version, 0, newest, b"", LONG_ROW_BYTES)

    async def read_all(self):
        self.complete += 1
        await asyncio.sleep(0.004)
        return self.answer()

    async def read_changes(self, after, wait_ms):
        assert wait_ms, "changes of long rows are read version by version"
        self.polls += 1
        if self.written <= after:
            self.changed.clear()
            try:
                async with asyncio.timeout(wait_ms / 1_000):
                    await self.changed.wait()
            except TimeoutError:
                return Listing((), self.version)
        return self.answer()


@pytest.mark.parametrize("versions", [True, False])
def test_table_with_long_rows_is_read_whole_until_it_is_unchanged(versions):
    async def play():
        table = LongRows(versions)
        listener = RecordingListener()
        task = asyncio.ensure_future(Follower("t", table, listener, LoopClock()).run())
        await asyncio.sleep(3)
        first = table.complete
        table.write()
        await asyncio.sleep(10)
        assert table.complete - first <= 3
        assert max(listener.received) >= table.written
        assert table.polls >= 5
        task.cancel()

    run_in_simulated_time(play())
