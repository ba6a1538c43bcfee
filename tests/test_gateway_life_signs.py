"""Answers that prove an upstream alive, and answers that come from another incarnation of it.

An upstream that has crashed comes back at its address, under a new name or the same one. Its
answers used to refute the crash, so that a request that crashes upstreams was sent without end.
"""

import asyncio
from dataclasses import replace

import pytest

from lentilwell._clock import ManualClock
from lentilwell.gateway import Entry, RequestFacts, Upstream
from lentilwell.gateway._crash_evidence import ALIVE_MARGIN_MS, SETTLE_MS, CrashEvidence
from lentilwell.gateway._crash_watch import CrashWatch
from lentilwell.gateway._life_signs import REGISTRATION_MS
from tests.gateway_harness import run_gateway
from tests.gateway_scripts import answer_misdirected, answer_ok, in_loop
from tests.test_gateway_crash_watch import Work

UPSTREAM = Upstream("u", "s", "127.0.0.1:1", "dc", 8, False, born_ms=1)
DEADLY = Work(RequestFacts("r", "", None, None, None, ()), "=dead")
LONG_MS = 10 * REGISTRATION_MS


class CrashedUpstream:
    """A watch that knows of one crash, and what the store lists."""

    def __init__(self, since_crash_ms=ALIVE_MARGIN_MS):
        self.clock = ManualClock(100_000)
        self.watch = CrashWatch(self.clock, CrashEvidence())
        self.watch.is_listed = lambda incarnation: incarnation in self.listed  # the store's rows
        self.listed = {UPSTREAM.incarnation}
        self.connected_before = self.clock.now() - 1_000
        self.watch.record_cut(UPSTREAM, DEADLY, 0, frozenset())
        self.clock.advance(since_crash_ms)

    @property
    def crash_is_known(self):
        return bool(self.watch.known_ends)

    def wait(self, ms):
        """Let time pass, with the maintenance at its end."""
        self.clock.advance(ms)
        self.watch.run_maintenance()


@in_loop
async def test_answer_on_a_connection_from_before_the_crash_refutes_it():
    case = CrashedUpstream()
    case.watch.record_alive(UPSTREAM, case.connected_before)
    assert not case.crash_is_known
    case.watch.close()


@in_loop
async def test_answer_on_a_connection_of_the_same_millisecond_refutes_nothing_by_itself():
    """Which of the two came first cannot be told, so the listing has to confirm the answer."""
    case = CrashedUpstream(since_crash_ms=0)
    opened_at = case.clock.now()
    case.clock.advance(ALIVE_MARGIN_MS)
    case.watch.record_alive(UPSTREAM, opened_at)
    assert case.crash_is_known
    case.wait(REGISTRATION_MS)
    assert not case.crash_is_known
    case.watch.close()


@in_loop
async def test_answer_on_a_later_connection_refutes_nothing_by_itself():
    case = CrashedUpstream()
    case.watch.record_alive(UPSTREAM, case.clock.now())
    assert case.crash_is_known
    case.wait(REGISTRATION_MS - 1)
    assert case.crash_is_known
    case.watch.close()


@in_loop
async def test_answer_on_a_later_connection_counts_if_the_listing_shows_no_new_start():
    case = CrashedUpstream()
    case.watch.record_alive(UPSTREAM, case.clock.now())
    case.wait(REGISTRATION_MS)
    assert not case.crash_is_known
    case.watch.close()


@in_loop
async def test_answer_just_after_the_crash_does_not_put_off_the_proof_by_a_later_one():
    """The first may have been sent before the crash, so that it proves nothing."""
    case = CrashedUpstream(since_crash_ms=0)
    case.watch.record_alive(UPSTREAM, case.clock.now())
    case.wait(ALIVE_MARGIN_MS)
    case.watch.record_alive(UPSTREAM, case.clock.now())
    case.wait(REGISTRATION_MS)
    assert not case.crash_is_known
    case.watch.close()


@pytest.mark.parametrize("restarted", [True, False])
@in_loop
async def test_answer_of_a_new_start_under_the_same_name_does_not_refute_the_crash(restarted):
    """Without ``restarted`` the entry is gone, or the store does not answer."""
    case = CrashedUpstream()
    case.watch.record_alive(UPSTREAM, case.clock.now())
    case.listed = {replace(UPSTREAM, born_ms=2).incarnation} if restarted else set()
    case.wait(REGISTRATION_MS)
    case.wait(LONG_MS)
    assert case.crash_is_known
    case.watch.close()


def give_starts(harness):
    """Let the upstreams publish when they started."""
    harness.listing.put(
        *(Entry(one.key, replace(one.value, born_ms=1)) for one in harness.listing.entries)
    )


async def wait_for_next_millisecond(clock):
    """Let what comes next have a later time than what came before."""
    now = clock.now()
    while clock.now() == now:
        await asyncio.sleep(0.001)


async def crash_first_upstream(harness):
    """Let the gateway see an end of the only upstream, and wait until its answers would count."""
    give_starts(harness)
    while not any(one.born_ms for one in harness.gateway.fleet.directory.listed.values()):
        await asyncio.sleep(0.01)
    upstream = harness.gateway.fleet.directory.listed["u0"]
    harness.gateway.crash_watch.record_cut(upstream, DEADLY, 0, frozenset())
    await asyncio.sleep((ALIVE_MARGIN_MS + SETTLE_MS) / 1_000)
    assert harness.gateway.crash_watch.known_ends


@in_loop
async def test_refusal_of_another_upstream_at_the_address_does_not_refute_a_crash():
    """Guards against review case 3: a 421 from the restarted upstream cleared the crash."""
    async with run_gateway(answer_misdirected) as harness:
        await crash_first_upstream(harness)
        assert (await harness.call("/whole/x")).status == 503
        assert harness.gateway.crash_watch.known_ends


@in_loop
async def test_answer_of_the_same_upstream_refutes_a_crash():
    async with run_gateway(answer_ok) as harness:
        give_starts(harness)
        connection = await harness.connect()
        assert (await harness.call("/whole/x", connection=connection)).status == 200
        await wait_for_next_millisecond(harness.gateway.clock)
        await crash_first_upstream(harness)
        assert (await harness.call("/whole/x", connection=connection)).status == 200
        assert not harness.gateway.crash_watch.known_ends


@in_loop
async def test_leaving_that_another_upstream_announces_is_not_taken_for_the_named_one():
    """Guards against a header of the upstream that now uses the address."""

    async def answer_misdirected_and_leaving(arrival):
        await arrival.answer(421, signed=False, Instance_Id="other", Server_Leaving="1")

    async with run_gateway(answer_misdirected_and_leaving) as harness:
        upstream = harness.gateway.fleet.directory.listed["u0"]
        await harness.call("/whole/x")
        assert not harness.gateway.fleet.availability.is_leaving(upstream.incarnation)
