"""Work digests between instances: they arrive unchanged, and malformed bytes have no effect."""

import asyncio
import contextlib
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilwell._clock import ManualClock
from lentilwell.gateway._load_tracker import Job, LoadTracker
from lentilwell.gateway._peers import (
    COALESCE_MS,
    DEFER_MS_PER_PEER,
    PEER_TIMEOUT_MS,
    Member,
    Peers,
    PeerState,
)
from lentilwell.gateway._permit_owners import OwnerTable
from lentilwell.gateway._refusals import ReportedTally, Tally
from lentilwell.gateway._shards import ShardView
from lentilwell.gateway._upstreams import Incarnation
from lentilwell.gateway._work_digest import (
    NO_UPSTREAM_REPORTS,
    UnreadableDigest,
    UpstreamReports,
    WorkDigest,
    decode_digest,
    encode_digest,
)
from standins.simulated_time import LoopClock, run_in_simulated_time

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
    shards.update_upstreams({})
    return Peers("own", "life", own, clock, LoadTracker(), shards, OwnerTable("own"))


def send(peers, sequence=1, incarnation="l1", stopping=False, jobs=1, now=5_000):
    listed = tuple(Job(f"j{n}", "u", now, 100.0, 1) for n in range(jobs))
    digest = WorkDigest("other", incarnation, "127.0.0.1:2", sequence, listed, stopping)
    peers.datagram_received(encode_digest(digest, now), ("127.0.0.1", 2))


@given(st.lists(JOBS, max_size=8), st.booleans(), st.integers(-5_000, 5_000))
def test_digest_times_are_converted_to_the_receivers_clock(jobs, stopping, ahead_ms):
    digest = WorkDigest("i", "l", "127.0.0.1:1", 7, tuple(jobs), stopping)
    got = decode_digest(encode_digest(digest, 10_000), 10_000 + ahead_ms)
    assert (got.instance, got.incarnation, got.sequence, got.stopping) == ("i", "l", 7, stopping)
    for sent, received in zip(jobs, got.jobs, strict=True):
        assert received.begun_at == sent.begun_at + ahead_ms
        assert received.due_at == sent.due_at + ahead_ms
        assert (received.upstream, received.read_ms, received.weight) == (
            sent.upstream,
            sent.read_ms,
            sent.weight,
        )


def test_upstream_reports_arrive_and_decay_from_the_time_of_receipt():
    reports = UpstreamReports(
        (Incarnation("u", 7), Incarnation("v", 0)), (ReportedTally("w", Tally(3.5, 1.25, 9_000)),)
    )
    digest = WorkDigest("i", "l", "127.0.0.1:1", 7, (), reports=reports)
    got = decode_digest(encode_digest(digest, 9_000), 20_000).reports
    assert got.leaving == reports.leaving
    assert got.refusals == (ReportedTally("w", Tally(3.5, 1.25, 20_000)),)


@pytest.mark.parametrize("count", [-1.0, float("nan"), float("inf"), 1e300])
def test_refusal_counts_out_of_range_make_a_digest_unreadable(count):
    reports = UpstreamReports(refusals=(ReportedTally("w", Tally(count, 0.0, 0)),))
    digest = WorkDigest("i", "l", "127.0.0.1:1", 7, (), reports=reports)
    with pytest.raises(UnreadableDigest):
        decode_digest(encode_digest(digest, 0), 0)


def test_reports_of_a_silent_peer_are_removed():
    clock = ManualClock(5_000)
    peers, received = make_peers(clock), []
    peers.on_reports = lambda peer, reports: received.append((peer, reports))
    send(peers)
    clock.advance(PEER_TIMEOUT_MS + 1)
    peers.run_maintenance()
    assert received[-1] == ("other", NO_UPSTREAM_REPORTS)


@given(st.binary(max_size=300))
def test_malformed_bytes_raise_only_the_unreadable_digest_error(data):
    with contextlib.suppress(UnreadableDigest):
        decode_digest(data, 0)


def test_oversized_list_length_is_rejected_without_allocating_memory():
    valid = encode_digest(WorkDigest("i", "l", "127.0.0.1:1", 7, ()), 0)
    # An empty list of structs is encoded as one byte; the replacement announces 2**31 - 1 items.
    oversized = valid.replace(b"\x19\x0c", b"\x19\xfc\xff\xff\xff\xff\x07")
    assert oversized != valid
    tracemalloc.start()
    with pytest.raises(UnreadableDigest):
        decode_digest(oversized, 0)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak < 1_000_000


def test_malformed_bytes_change_no_state():
    peers = make_peers()
    peers.datagram_received(b"\xff" * 40, ("127.0.0.1", 9))
    assert peers.find_oldest_digest_age() is None


def test_older_digest_of_the_same_incarnation_is_ignored_but_a_new_incarnation_is_not():
    peers = make_peers()
    send(peers, sequence=5, jobs=2)
    send(peers, sequence=4, jobs=1)
    assert len(peers._load_tracker.measure_load("u", 5_000).jobs) == 2
    send(peers, sequence=1, incarnation="l2", jobs=0)
    assert not peers._load_tracker.measure_load("u", 5_000).jobs


def test_silent_peer_is_removed_with_its_jobs_but_still_counts_as_an_instance():
    clock = ManualClock(5_000)
    peers = make_peers(clock)
    send(peers)
    clock.advance(PEER_TIMEOUT_MS + 1)
    peers.run_maintenance()
    assert not peers._load_tracker.measure_load("u", clock.now()).jobs
    assert peers.instances >= 2


@pytest.mark.parametrize("stopping", [True, False])
def test_stopping_peer_does_not_count_as_serving(stopping):
    peers = make_peers()
    assert not peers.others_serve
    send(peers, stopping=stopping)
    assert peers.others_serve is not stopping


class RecordingTransport(asyncio.DatagramTransport):
    """Records the datagrams that are sent, with their addresses."""

    def __init__(self):
        super().__init__()
        self.sent = []

    def sendto(self, data, addr=None):
        self.sent.append((data, addr))


class OneOtherInstance:
    """A membership that lists one other instance."""

    async def announce(self, instance, member):
        pass

    async def list_members(self):
        return {"other": Member("127.0.0.1:8", "a")}


@pytest.mark.parametrize(
    ("incarnation", "answered"),
    [("l1", False), ("l2", True)],
    ids=["same incarnation", "new incarnation"],
)
def test_new_incarnation_gets_the_jobs_at_once(incarnation, answered):
    async def run():
        peers = make_peers()
        send(peers, sequence=1, incarnation="l1")
        transport = RecordingTransport()
        peers.connection_made(transport)
        send(peers, sequence=2, incarnation=incarnation)
        await asyncio.sleep(5 * COALESCE_MS / 1_000)
        assert bool(transport.sent) is answered

    asyncio.run(run())


def test_urgent_change_is_sent_at_once_together_with_deferred_ones(monkeypatch):
    monkeypatch.setattr("lentilwell.gateway._peers.DEFER_MS_PER_PEER", 10 * COALESCE_MS)

    async def run():
        peers = make_peers()
        send(peers)
        transport = RecordingTransport()
        peers.connection_made(transport)
        peers.schedule_send(urgent=False)
        await asyncio.sleep(5 * COALESCE_MS / 1_000)
        assert not transport.sent
        peers.schedule_send()
        await asyncio.sleep(5 * COALESCE_MS / 1_000)
        assert len(transport.sent) == 1
        await asyncio.sleep(10 * COALESCE_MS / 1_000)
        assert len(transport.sent) == 1

    run_in_simulated_time(run())


def test_deferred_change_is_sent_without_an_urgent_one():
    async def run():
        peers = make_peers()
        send(peers)
        transport = RecordingTransport()
        peers.connection_made(transport)
        peers.schedule_send(urgent=False)
        await asyncio.sleep(5 * DEFER_MS_PER_PEER / 1_000)
        assert len(transport.sent) == 1

    asyncio.run(run())


@pytest.mark.parametrize("others", [0, 3, 34, 80])
def test_peer_timeout_exceeds_three_repeat_intervals(others):
    peers = make_peers()
    for number in range(others):
        digest = WorkDigest(f"other-{number}", "l", "127.0.0.1:2", 1, ())
        peers.datagram_received(encode_digest(digest, 5_000), ("127.0.0.1", 2))
    assert 3 * peers._repeat_ms < PEER_TIMEOUT_MS


def test_listed_instance_of_another_shard_is_in_contact_but_gets_no_digest():
    async def run():
        peers = make_peers()
        transport = RecordingTransport()
        peers.connection_made(transport)
        peers._update_members({"other": Member("127.0.0.1:2", "a")})
        peers._shards.peers = frozenset()
        send(peers)
        await asyncio.sleep(5 * COALESCE_MS / 1_000)
        assert peers.rank.instances == 2 and not transport.sent

    asyncio.run(run())


def test_unlisted_sender_gets_a_digest_and_triggers_a_refresh_of_the_list():
    async def run():
        peers = make_peers()
        transport = RecordingTransport()
        peers.connection_made(transport)
        peers._update_members({})
        send(peers)
        await asyncio.sleep(5 * COALESCE_MS / 1_000)
        assert peers._newcomer_seen.is_set() and len(transport.sent) == 1

    asyncio.run(run())


def test_digest_of_an_unlisted_instance_just_after_a_read_refreshes_the_list_soon(monkeypatch):
    monkeypatch.setattr("lentilwell.gateway._peers.NEWCOMER_REFRESH_MS", 20)
    reads = []

    class CountingMembership(OneOtherInstance):
        async def list_members(self):
            reads.append(1)
            return {}

    async def run():
        peers = make_peers()
        listing = asyncio.get_running_loop().create_task(peers.run_membership(CountingMembership()))
        await asyncio.sleep(0.005)
        assert len(reads) == 1
        send(peers)
        async with asyncio.timeout(2):
            while len(reads) < 2:
                await asyncio.sleep(0.005)
        listing.cancel()

    asyncio.run(run())


def test_started_instance_sends_its_digest_once_it_knows_the_other_instances():
    async def run():
        peers = make_peers()
        transport = RecordingTransport()
        peers.connection_made(transport)
        listing = asyncio.get_running_loop().create_task(peers.run_membership(OneOtherInstance()))
        await asyncio.sleep(5 * COALESCE_MS / 1_000)
        listing.cancel()
        assert [address for _, address in transport.sent] == [("127.0.0.1", 8)]

    asyncio.run(run())


def test_own_entry_is_written_once_after_a_restore_before_the_list_is_read_again(
    monkeypatch,
):
    monkeypatch.setattr("lentilwell.gateway._peers.NEWCOMER_REFRESH_MS", 30)
    monkeypatch.setattr("lentilwell.gateway._peers.ANNOUNCE_SPREAD_MS", 1)
    calls = []

    class RecordingMembership(OneOtherInstance):
        async def announce(self, instance, member):
            calls.append(instance)

        async def list_members(self):
            calls.append("list")
            return {}

    async def run():
        peers = make_peers()
        listing = asyncio.get_running_loop().create_task(
            peers.run_membership(RecordingMembership())
        )
        await asyncio.sleep(0.005)
        peers.handle_store_restored()
        await asyncio.sleep(0.025)
        assert calls == ["own", "list", "own"]
        async with asyncio.timeout(2):
            while calls[-1] != "list":
                await asyncio.sleep(0.005)
        listing.cancel()
        assert calls == ["own", "list", "own", "list"]

    asyncio.run(run())


def test_entries_written_after_a_restore_are_spread_over_time(monkeypatch):
    written = []

    class RecordingMembership(OneOtherInstance):
        async def announce(self, instance, member):
            written.append(LoopClock().now())

        async def list_members(self):
            return {f"other-{number}": Member("127.0.0.1:2", "a") for number in range(299)}

    async def run():
        instances = [make_peers() for _ in range(300)]
        loop = asyncio.get_running_loop()
        tasks = [
            loop.create_task(peers.run_membership(RecordingMembership())) for peers in instances
        ]
        await asyncio.sleep(1)
        written.clear()
        for peers in instances:
            peers.handle_store_restored()
        await asyncio.sleep(2)
        for task in tasks:
            task.cancel()

    run_in_simulated_time(run())
    # The smallest stores accept 400 writes per second from all instances together.
    busiest = max(sum(at <= other < at + 100 for other in written) for at in written)
    assert len(written) == 300 and busiest <= 40


def test_instances_of_other_shards_are_known_too():
    peers = make_peers()
    members = {f"i{number}": Member(f"127.0.0.1:{number + 2}", "a") for number in range(100)}
    peers._update_members({**members, "own": Member("127.0.0.1:1", "a")})
    assert sorted(peers.list_known()) == sorted(members)


def test_pause_of_the_own_process_is_no_silence_of_peers():
    clock = ManualClock(5_000)
    peers, silent = make_peers(clock), []
    peers.on_silence = silent.append
    send(peers)
    clock.advance(PEER_TIMEOUT_MS + 500)
    peers.handle_pause(PEER_TIMEOUT_MS)
    peers.run_maintenance()
    assert silent == []
    clock.advance(PEER_TIMEOUT_MS)
    peers.run_maintenance()
    assert silent == ["other"]


def test_digest_that_was_scheduled_before_the_close_is_not_sent():
    async def close_with_a_digest_due():
        errors = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: errors.append(context))
        peers = make_peers(LoopClock())
        peers._addresses["other"] = "127.0.0.1:9"
        peers._states["other"] = PeerState("l1", 1, peers._clock.now(), False)
        await loop.create_datagram_endpoint(lambda: peers, ("127.0.0.1", 0))
        peers.schedule_send()
        peers.close()
        await asyncio.sleep(0.1)
        return errors

    assert asyncio.run(close_with_a_digest_due()) == []


def test_instances_of_the_data_centre_are_known_whatever_their_shard():
    """Sources tell all of them; only those of the shard exchange digests."""
    peers = make_peers()
    listed = {f"n{n}": Member(f"127.0.0.1:{n + 2}", "ab"[n % 2]) for n in range(4)}
    peers._update_members({**listed, "own": Member("127.0.0.1:1", "a")})
    assert sorted(peers.neighbours) == ["n0", "n2"]
    peers._shards.shards = 3
    send(peers)
    assert peers.in_contact == 6
