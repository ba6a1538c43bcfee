"""What an instance tells the others about crashes: at once, to all of them, and then to a few."""

import asyncio
from dataclasses import dataclass, replace

from lentilwell._clock import ManualClock
from lentilwell.gateway import RequestFacts, Upstream
from lentilwell.gateway._crash_evidence import SETTLE_MS, CrashEvidence
from lentilwell.gateway._crash_messages import decode_crash_notice
from lentilwell.gateway._crash_watch import (
    COALESCE_MS,
    FRESH_MS,
    MAX_ID_LENGTH,
    REPEAT_MS,
    REPEAT_PEERS,
    STALE_REPEAT_MS,
    CrashWatch,
)
from tests.gateway_scripts import in_loop

PEERS = tuple(f"i{number}" for number in range(100))
UPSTREAM = Upstream("u", "s", "127.0.0.1:1", "dc", 8, False, born_ms=1)


class WatchHarness:
    """A watch whose messages are recorded."""

    def __init__(self):
        self.clock = ManualClock()
        self.sent = []
        self.watch = CrashWatch(self.clock, CrashEvidence())
        self.watch.list_peers = lambda: PEERS
        self.watch.send = lambda peer, data: self.sent.append((peer, data)) is None

    def advance(self, ms):
        """Let time pass, then return how many messages the maintenance sends."""
        self.clock.advance(ms)
        before = len(self.sent)
        self.watch.run_maintenance()
        return len(self.sent) - before


@dataclass(frozen=True)
class Work:
    """A request as the watch sees it."""

    facts: RequestFacts
    fingerprint: str = "=0"


def make_work(*parts, request="r", fingerprint="=0"):
    return Work(RequestFacts(request, "", None, None, None, parts), fingerprint)


@in_loop
async def test_new_crash_is_told_to_all_instances_in_one_message_each():
    harness = WatchHarness()
    for number in range(5):
        harness.watch.record_cut(UPSTREAM, make_work("aa", request=f"r{number}"), 0, frozenset())
    await asyncio.sleep(10 * COALESCE_MS / 1_000)
    assert sorted(peer for peer, _ in harness.sent) == sorted(PEERS)
    [crash] = decode_crash_notice(harness.sent[0][1], harness.clock.now()).crashes
    assert len(crash.cut) == 5
    harness.watch.close()


@in_loop
async def test_new_crashes_without_end_do_not_put_off_the_judgement():
    harness = WatchHarness()
    evidence = harness.watch._evidence
    for number in range(60):
        upstream = replace(UPSTREAM, name=f"u{number}")
        fingerprint = "=dead" if number < 3 else f"={number}"
        work = make_work(request=f"r{number}", fingerprint=fingerprint)
        harness.watch.record_cut(upstream, work, 0, harness.watch.known_ends)
        await asyncio.sleep(SETTLE_MS / 10 / 1_000)
        harness.clock.advance(SETTLE_MS // 10)
        if evidence.condemned:
            break
    assert number <= 40
    harness.watch.close()


@in_loop
async def test_evidence_is_repeated_to_a_few_instances_and_less_often_later():
    harness = WatchHarness()
    assert harness.advance(STALE_REPEAT_MS) == 0
    harness.watch.record_cut(UPSTREAM, make_work("aa"), 0, frozenset())
    assert harness.advance(REPEAT_MS) == REPEAT_PEERS
    assert harness.advance(REPEAT_MS - 1) == 0
    harness.advance(FRESH_MS)
    assert harness.advance(STALE_REPEAT_MS - 1) == 0
    assert harness.advance(1) == REPEAT_PEERS
    harness.watch.close()


@in_loop
async def test_nothing_is_told_by_a_closed_watch():
    harness = WatchHarness()
    harness.watch.record_cut(UPSTREAM, make_work("aa"), 0, frozenset())
    harness.watch.close()
    await asyncio.sleep(10 * COALESCE_MS / 1_000)
    assert not harness.sent


@in_loop
async def test_long_ids_are_told_as_hashes():
    harness = WatchHarness()
    work = make_work("a" * 64, "b" * MAX_ID_LENGTH)
    harness.watch.record_cut(UPSTREAM, work, 0, frozenset())
    await asyncio.sleep(10 * COALESCE_MS / 1_000)
    [crash] = decode_crash_notice(harness.sent[0][1], harness.clock.now()).crashes
    [cut] = crash.cut
    assert len(cut.parts[0]) == MAX_ID_LENGTH and cut.parts[1] == "b" * MAX_ID_LENGTH
    harness.watch.close()
