"""What instances tell each other: it arrives as it was sent, and hostile bytes change nothing."""

import asyncio
import contextlib
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilwell._clock import ManualClock
from lentilwell.gateway._load_tracker import Job, LoadTracker
from lentilwell.gateway._peers import COALESCE_MS, LAZY_MS_PER_PEER, SILENT_MS, Member, Peers
from lentilwell.gateway._refusals import Tally, ToldTally
from lentilwell.gateway._shards import ShardView
from lentilwell.gateway._upstreams import Life
from lentilwell.gateway._work_digest import (
    NO_REPORTS,
    Reports,
    UnreadableDigest,
    WorkDigest,
    decode_digest,
    encode_digest,
)
from tests.simulated_time import LoopClock, run_in_simulated_time

JOBS = st.builds(
    Job,
    name=st.just(""),
    upstream=st.text(min_size=1, max_size=20),
    begun_at=st.integers(0, 10_000),
    read_ms=st.integers(0, 60_000).map(float),
    memory_tokens=st.integers(0, 1_000_000),
    reading=st.booleans(),
    writes=st.booleans(),
    due_at=st.integers(0, 30_000),
    pause_ms=st.integers(0, 5_000),
    weight=st.floats(0, 100),
    spread=st.booleans(),
)


def make_peers(clock=None):
    own = Member("127.0.0.1:1", "a")
    clock = clock or ManualClock(5_000)
    shards = ShardView("own", "a")
    shards.take_upstreams({})
    return Peers("own", "life", own, clock, LoadTracker(), shards)


def send(peers, sequence=1, life="l1", stopping=False, jobs=1, now=5_000):
    listed = tuple(Job(f"j{n}", "u", now, 100.0, 1) for n in range(jobs))
    digest = WorkDigest("other", life, "127.0.0.1:2", sequence, listed, stopping)
    peers.datagram_received(encode_digest(digest, now), ("127.0.0.1", 2))


@given(st.lists(JOBS, max_size=8), st.booleans(), st.integers(-5_000, 5_000))
def test_digest_arrives_with_times_of_the_receivers_clock(jobs, stopping, ahead_ms):
    digest = WorkDigest("i", "l", "127.0.0.1:1", 7, tuple(jobs), stopping)
    got = decode_digest(encode_digest(digest, 10_000), 10_000 + ahead_ms)
    assert (got.instance, got.life, got.sequence, got.stopping) == ("i", "l", 7, stopping)
    for sent, heard in zip(jobs, got.jobs, strict=True):
        assert heard.begun_at == sent.begun_at + ahead_ms
        assert heard.due_at == sent.due_at + ahead_ms
        assert (heard.upstream, heard.read_ms, heard.weight) == (
            sent.upstream,
            sent.read_ms,
            sent.weight,
        )


def test_reports_of_upstreams_arrive_and_count_from_the_receivers_time():
    reports = Reports((Life("u", 7), Life("v", 0)), (ToldTally("w", Tally(3.5, 1.25, 9_000)),))
    digest = WorkDigest("i", "l", "127.0.0.1:1", 7, (), reports=reports)
    got = decode_digest(encode_digest(digest, 9_000), 20_000).reports
    assert got.leaving == reports.leaving
    assert got.refusals == (ToldTally("w", Tally(3.5, 1.25, 20_000)),)


@pytest.mark.parametrize("count", [-1.0, float("nan"), float("inf"), 1e300])
def test_impossible_counts_make_a_digest_unreadable(count):
    reports = Reports(refusals=(ToldTally("w", Tally(count, 0.0, 0)),))
    digest = WorkDigest("i", "l", "127.0.0.1:1", 7, (), reports=reports)
    with pytest.raises(UnreadableDigest):
        decode_digest(encode_digest(digest, 0), 0)


def test_reports_of_a_silent_peer_are_forgotten():
    clock = ManualClock(5_000)
    peers, told = make_peers(clock), []
    peers.on_reports = lambda peer, reports: told.append((peer, reports))
    send(peers)
    clock.advance(SILENT_MS + 1)
    peers.keep_house()
    assert told[-1] == ("other", NO_REPORTS)


@given(st.binary(max_size=300))
def test_hostile_bytes_raise_one_error_only(data):
    with contextlib.suppress(UnreadableDigest):
        decode_digest(data, 0)


def test_list_of_absurd_length_is_refused_without_its_memory():
    honest = encode_digest(WorkDigest("i", "l", "127.0.0.1:1", 7, ()), 0)
    # An empty list is one byte: no items, of structs. This one announces two thousand million.
    absurd = honest.replace(b"\x19\x0c", b"\x19\xfc\xff\xff\xff\xff\x07")
    assert absurd != honest
    tracemalloc.start()
    with pytest.raises(UnreadableDigest):
        decode_digest(absurd, 0)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak < 1_000_000


def test_hostile_bytes_change_nothing():
    peers = make_peers()
    peers.datagram_received(b"\xff" * 40, ("127.0.0.1", 9))
    assert peers.find_oldest_age() is None


def test_older_digest_of_the_same_life_is_ignored_and_a_new_life_is_not():
    peers = make_peers()
    send(peers, sequence=5, jobs=2)
    send(peers, sequence=4, jobs=1)
    assert len(peers._load_tracker.measure_load("u", 5_000).jobs) == 2
    send(peers, sequence=1, life="l2", jobs=0)
    assert not peers._load_tracker.measure_load("u", 5_000).jobs


def test_silent_peer_is_forgotten_with_its_jobs_but_counts_for_the_budget():
    clock = ManualClock(5_000)
    peers = make_peers(clock)
    send(peers)
    clock.advance(SILENT_MS + 1)
    peers.keep_house()
    assert not peers._load_tracker.measure_load("u", clock.now()).jobs
    assert peers.instances >= 2


@pytest.mark.parametrize("stopping", [True, False])
def test_peer_that_is_being_stopped_does_not_serve(stopping):
    peers = make_peers()
    assert not peers.others_serve
    send(peers, stopping=stopping)
    assert peers.others_serve is not stopping


class Wire(asyncio.DatagramTransport):
    """Keeps the datagrams that are sent, with the address."""

    def __init__(self):
        super().__init__()
        self.sent = []

    def sendto(self, data, addr=None):
        self.sent.append((data, addr))


class Listed:
    """A list of instances with one other on it."""

    async def announce(self, instance, member):
        pass

    async def list_members(self):
        return {"other": Member("127.0.0.1:8", "a")}


@pytest.mark.parametrize(
    ("life", "answered"), [("l1", False), ("l2", True)], ids=["same life", "new life"]
)
def test_newcomer_is_told_at_once_what_is_in_hand(life, answered):
    async def run():
        peers = make_peers()
        send(peers, sequence=1, life="l1")
        wire = Wire()
        peers.connection_made(wire)
        send(peers, sequence=2, life=life)
        await asyncio.sleep(5 * COALESCE_MS / 1_000)
        assert bool(wire.sent) is answered

    asyncio.run(run())


def test_work_that_is_added_is_told_at_once_and_work_that_is_over_with_the_next(monkeypatch):
    monkeypatch.setattr("lentilwell.gateway._peers.LAZY_MS_PER_PEER", 10 * COALESCE_MS)

    async def run():
        peers = make_peers()
        send(peers)
        wire = Wire()
        peers.connection_made(wire)
        peers.note_change(urgent=False)
        await asyncio.sleep(5 * COALESCE_MS / 1_000)
        assert not wire.sent
        peers.note_change()
        await asyncio.sleep(5 * COALESCE_MS / 1_000)
        assert len(wire.sent) == 1
        await asyncio.sleep(10 * COALESCE_MS / 1_000)
        assert len(wire.sent) == 1

    asyncio.run(run())


def test_what_is_not_urgent_is_told_in_time_without_anything_urgent():
    async def run():
        peers = make_peers()
        send(peers)
        wire = Wire()
        peers.connection_made(wire)
        peers.note_change(urgent=False)
        await asyncio.sleep(5 * LAZY_MS_PER_PEER / 1_000)
        assert len(wire.sent) == 1

    asyncio.run(run())


@pytest.mark.parametrize("others", [0, 3, 34, 80])
def test_silence_is_longer_than_three_repeats(others):
    peers = make_peers()
    for number in range(others):
        digest = WorkDigest(f"other-{number}", "l", "127.0.0.1:2", 1, ())
        peers.datagram_received(encode_digest(digest, 5_000), ("127.0.0.1", 2))
    assert 3 * peers._repeat_ms < SILENT_MS


def test_listed_instance_of_another_shard_is_heard_but_not_answered():
    async def run():
        peers = make_peers()
        wire = Wire()
        peers.connection_made(wire)
        peers._take_members({"other": Member("127.0.0.1:2", "a")})
        peers._shards.peers = frozenset()
        send(peers)
        await asyncio.sleep(5 * COALESCE_MS / 1_000)
        assert peers.place.of == 2 and not wire.sent

    asyncio.run(run())


def test_newcomer_that_is_not_listed_yet_is_answered_and_looked_up():
    async def run():
        peers = make_peers()
        wire = Wire()
        peers.connection_made(wire)
        peers._take_members({})
        send(peers)
        await asyncio.sleep(5 * COALESCE_MS / 1_000)
        assert peers._newcomer.is_set() and len(wire.sent) == 1

    asyncio.run(run())


def test_newcomer_heard_just_after_the_list_was_read_has_it_read_again_soon(monkeypatch):
    monkeypatch.setattr("lentilwell.gateway._peers.NEWCOMER_LIST_MS", 20)
    readings = []

    class Counted(Listed):
        async def list_members(self):
            readings.append(1)
            return {}

    async def run():
        peers = make_peers()
        listing = asyncio.get_running_loop().create_task(peers.keep_listed(Counted()))
        await asyncio.sleep(0.005)
        assert len(readings) == 1
        send(peers)
        async with asyncio.timeout(2):
            while len(readings) < 2:
                await asyncio.sleep(0.005)
        listing.cancel()

    asyncio.run(run())


def test_started_instance_makes_itself_known_as_soon_as_it_knows_the_others():
    async def run():
        peers = make_peers()
        wire = Wire()
        peers.connection_made(wire)
        listing = asyncio.get_running_loop().create_task(peers.keep_listed(Listed()))
        await asyncio.sleep(5 * COALESCE_MS / 1_000)
        listing.cancel()
        assert [address for _, address in wire.sent] == [("127.0.0.1", 8)]

    asyncio.run(run())


def test_own_entry_is_written_again_once_after_a_restore_and_others_get_time_for_theirs(
    monkeypatch,
):
    monkeypatch.setattr("lentilwell.gateway._peers.NEWCOMER_LIST_MS", 30)
    monkeypatch.setattr("lentilwell.gateway._peers.ANNOUNCE_SPREAD_MS", 1)
    calls = []

    class Kept(Listed):
        async def announce(self, instance, member):
            calls.append(instance)

        async def list_members(self):
            calls.append("list")
            return {}

    async def run():
        peers = make_peers()
        listing = asyncio.get_running_loop().create_task(peers.keep_listed(Kept()))
        await asyncio.sleep(0.005)
        peers.announce_again()
        await asyncio.sleep(0.025)
        assert calls == ["own", "list", "own"]
        async with asyncio.timeout(2):
            while calls[-1] != "list":
                await asyncio.sleep(0.005)
        listing.cancel()
        assert calls == ["own", "list", "own", "list"]

    asyncio.run(run())


def test_entries_that_are_written_again_are_spread_over_time(monkeypatch):
    written = []

    class Kept(Listed):
        async def announce(self, instance, member):
            written.append(LoopClock().now())

        async def list_members(self):
            return {f"other-{number}": Member("127.0.0.1:2", "a") for number in range(299)}

    async def run():
        instances = [make_peers() for _ in range(300)]
        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(peers.keep_listed(Kept())) for peers in instances]
        await asyncio.sleep(1)
        written.clear()
        for peers in instances:
            peers.announce_again()
        await asyncio.sleep(2)
        for task in tasks:
            task.cancel()

    run_in_simulated_time(run())
    # The smallest stores take 400 writes a second of all instances together.
    busiest = max(sum(at <= other < at + 100 for other in written) for at in written)
    assert len(written) == 300 and busiest <= 40
