"""Cold upstreams get no more from all instances together than the configuration allows."""

import asyncio
from dataclasses import replace

import pytest

from lentilwell.gateway import ColdRules, Entry, Listing, Prompt, Upstream
from lentilwell.gateway._least_cost import choose_least_cost
from lentilwell.gateway._load_tracker import Job, Load
from lentilwell.gateway._peers import NEWCOMER_REFRESH_MS, SETTLE_MARGIN_MS
from lentilwell.gateway._placement_policies import Candidate, PlacementRequest
from lentilwell.gateway._table_listeners import UpstreamListener
from lentilwell.gateway._work_digest import NO_UPSTREAM_REPORTS
from standins.batch import ENGINE
from tests.gateway_harness import CATALOG, run_gateway
from tests.gateway_scripts import answer_ok, in_loop, stream_whole, with_engines
from tests.limited_upstreams import CLOCK, run_gateways
from tests.test_gateway_evacuation import evacuate

START_MS = 2_000
PER_S = 8.0
ALLOWED = PER_S * 1.5 + 5
# New owners of permits issue less until all instances have read the list of instances.
SETTLED_S = (NEWCOMER_REFRESH_MS + SETTLE_MARGIN_MS) / 1_000
USED_SHARE = 0.7


def with_cold_starts(catalog=CATALOG, start_ms=START_MS, per_s=PER_S):
    """Return the configuration with cold starts of its service."""
    services = {
        name: replace(spec, cold=ColdRules(start_ms, per_s))
        for name, spec in catalog.services.items()
    }
    return replace(catalog, services=services)


class ColdUpstream:
    """Answers every request, says for how long it remains cold, and records when they arrive."""

    def __init__(self):
        self.cold_until = 0
        self.cold_sends = []
        self.warm_sends = 0

    async def __call__(self, arrival):
        """Answer a request."""
        now = CLOCK.now()
        if now >= self.cold_until:
            self.warm_sends += 1
            await arrival.answer(body=b"hello")
            return
        self.cold_sends.append(now)
        await arrival.answer(body=b"hello", Cold_Ms=self.cold_until - now)

    def count_worst_second(self):
        """Return the largest number of requests while cold in any window of 1 s."""
        times = self.cold_sends
        return max((sum(at <= one < at + 1_000 for one in times) for at in times), default=0)


def list_entry(gateway, name, **changes):
    """Let a gateway read a changed entry of an upstream."""
    listed = gateway.fleet.directory.listed[name]
    entry = Entry(name, replace(listed, **changes))
    UpstreamListener(gateway.fleet).handle_changes(Listing((entry,), 2))


@in_loop
async def test_upstreams_are_cold_once_their_data_centre_is_no_longer_evacuated():
    """Guards against a data centre that gets all its requests back in the same second."""
    async with run_gateway(
        answer_ok, answer_ok, catalog=with_cold_starts(), data_centres="ab"
    ) as harness:
        fleet = harness.gateway.fleet
        await evacuate(harness, "a")
        await evacuate(harness, "a", ends=True)
        listed = fleet.directory.listed
        assert [fleet.cold_watch.is_cold(listed[name]) for name in ("u0", "u1")] == [True, False]


@pytest.mark.parametrize("instances", [1, 6])
@in_loop
async def test_new_start_beside_a_warm_upstream_stays_within_the_bounds(instances):
    """Guards against the idle upstream that gets all new requests because it is idle."""
    cold = ColdUpstream()
    async with run_gateways(instances, [cold, answer_ok], with_cold_starts()) as group:
        await asyncio.sleep(SETTLED_S)
        cold.cold_until = CLOCK.now() + START_MS
        for gateway in group.gateways.values():
            list_entry(gateway, "u0", born_ms=2, cold_ms=START_MS)
        await group.press(START_MS / 1_000, 60.0)
        assert 0 < cold.count_worst_second() <= ALLOWED
        assert [one.status for one in group.served] == [200] * len(group.served)


@in_loop
async def test_only_upstream_of_a_service_is_used_while_cold_and_freely_afterwards():
    cold = ColdUpstream()
    async with run_gateways(3, [cold], with_cold_starts()) as group:
        await asyncio.sleep(SETTLED_S)
        cold.cold_until = CLOCK.now() + START_MS
        for gateway in group.gateways.values():
            list_entry(gateway, "u0", born_ms=2)
        await group.press(START_MS / 1_000, 60.0)
        assert cold.count_worst_second() <= ALLOWED
        assert len(cold.cold_sends) >= USED_SHARE * PER_S * START_MS / 1_000
        refused = [one for one in group.served if one.status != 200]
        assert {one.status for one in refused} == {503}
        assert all(float(one.retry_after) > 0 for one in refused)
        await asyncio.sleep(0.5)
        group.served.clear()
        await group.press(0.5, 40.0)
        assert [one.status for one in group.served] == [200] * 20


@in_loop
async def test_upstream_that_says_in_an_answer_that_it_is_cold_is_cold_for_all_instances():
    """Guards against instances that learn it one after the other, each with a request."""
    cold = ColdUpstream()
    async with run_gateways(4, [cold], with_cold_starts()) as group:
        await asyncio.sleep(SETTLED_S)
        cold.cold_until = CLOCK.now() + START_MS
        await group.press(START_MS / 1_000, 60.0)
        assert cold.count_worst_second() <= ALLOWED
        for gateway in group.gateways.values():
            listed = gateway.fleet.directory.listed["u0"]
            gateway.fleet.cold_watch.cold_upstreams.record_answer(listed, 0, 0)
            assert gateway.fleet.rate_limits.find_named(listed.incarnation) is None


@in_loop
async def test_owner_learns_with_the_ask_that_an_upstream_is_cold():
    """Guards against an owner that grants everything because it knows of no limit."""
    async with run_gateways(2, [answer_ok], with_cold_starts()) as group:
        await asyncio.sleep(SETTLED_S)
        for gateway in group.gateways.values():
            gateway.peers.collect_reports = lambda: NO_UPSTREAM_REPORTS
        upstream = group.gateways["i0"].fleet.directory.listed["u0"]
        owner_name = group.gateways["i0"].permit_owners.find(upstream).primary
        owner = group.gateways.pop(owner_name)
        [asker] = group.gateways.values()
        now = asker.clock.now()
        asker.fleet.cold_watch.cold_upstreams.record_answer(upstream, now + 60_000, now)
        granted = [await asker.permits.acquire(upstream, 0, False) for _ in range(4)]
        assert [permit is not None for permit in granted] == [True, False, False, False]
        assert owner.fleet.cold_watch.is_cold(upstream)


@in_loop
async def test_service_without_cold_starts_is_served_as_before():
    cold = ColdUpstream()
    cold.cold_until = CLOCK.now() + 60_000
    async with run_gateways(2, [cold]) as group:
        for gateway in group.gateways.values():
            list_entry(gateway, "u0", born_ms=2, cold_ms=60_000)
            gateway.fleet.cold_watch.mark_cold("dc")
        await group.press(1.0, 60.0)
        assert [one.status for one in group.served] == [200] * 60
        for gateway in group.gateways.values():
            assert gateway.peers.collect_reports().limits == ()


@pytest.mark.parametrize("text", ["-1", "soon", "9" * 300, "1e9", "", "\u00b2"])
@in_loop
async def test_answer_with_an_invalid_cold_time_counts_as_one_of_a_warm_upstream(text):
    async def answer(arrival):
        await arrival.answer(body=b"hello", Cold_Ms=text)

    async with run_gateway(answer, catalog=with_cold_starts()) as harness:
        for _ in range(30):
            assert (await harness.call("/whole/x")).status == 200
        [upstream] = harness.gateway.fleet.directory.listed.values()
        assert not harness.gateway.fleet.cold_watch.is_cold(upstream)


@in_loop
async def test_upstream_that_refused_connections_and_accepts_them_again_is_cold():
    """Guards against a restart at the same address that the store does not tell of."""
    async with run_gateway(answer_ok, answer_ok, catalog=with_cold_starts()) as harness:
        fleet, [first, _] = harness.gateway.fleet, harness.upstreams
        listed = fleet.directory.listed["u0"]
        host, port = listed.address.rsplit(":", 1)
        first.server.close()
        await first.server.wait_closed()
        while not fleet.ejection.is_unreachable("u0"):
            await harness.call("/whole/x")
        assert not fleet.cold_watch.is_cold(listed)
        await asyncio.sleep(0.6)
        first.server = await asyncio.start_server(first._serve, host, int(port))
        while fleet.ejection.is_unreachable("u0"):
            await asyncio.sleep(0.01)
        assert fleet.cold_watch.is_cold(listed)


@in_loop
async def test_cold_engine_reads_no_part_of_a_prompt_for_another():
    catalog = with_cold_starts(with_engines())
    async with run_gateway(*[stream_whole] * 4, catalog=catalog) as harness:
        fleet = harness.gateway.fleet
        fleet.policy = "least_cost"
        cold = fleet.directory.listed["u1"]
        fleet.cold_watch.cold_upstreams.record_answer(
            cold, fleet.clock.now() + 60_000, fleet.clock.now()
        )
        answer = await harness.call("/stream/x", Token_Count="200000,100")
        assert answer.complete
        [sent] = harness.arrivals
        assert sent.upstream != "u1"
        assert cold.address not in sent.headers["helpers"]


@pytest.mark.parametrize(("prompt_tokens", "chosen"), [(4_000, "cold"), (45_000, "warm")])
def test_cold_engine_takes_short_prompts_beside_a_full_one_and_long_ones_last(
    prompt_tokens, chosen
):
    """Guards against warm engines that get what idle cold ones could take, and the reverse."""
    jobs = tuple(
        Job(f"j{number}", "warm", 0, 0.0, 1_000, reading=False, pause_ms=250)
        for number in range(ENGINE.slots)
    )
    warm = Upstream("warm", "s", "10.0.0.1:1", "dc", ENGINE.slots, False)
    cold = Upstream("cold", "s", "10.0.0.2:1", "dc", ENGINE.slots, False)
    candidates = [
        Candidate(warm, Load(jobs=jobs, memory_tokens=1_000 * len(jobs)), True),
        Candidate(cold, Load(), True, limited=True, cold=True),
    ]
    request = PlacementRequest(Prompt(prompt_tokens, 100), ENGINE, 300, 250, 0, 0, 0.5)
    choice = choose_least_cost(request, candidates)
    assert choice is not None
    assert choice.upstream.name == chosen


@in_loop
async def test_owner_that_has_not_read_the_new_entry_issues_permits_for_the_new_start():
    """Guards against a cold upstream that gets nothing since the store is away for its owners."""
    async with run_gateways(2, [answer_ok], with_cold_starts()) as group:
        await asyncio.sleep(SETTLED_S)
        for gateway in group.gateways.values():
            gateway.peers.collect_reports = lambda: NO_UPSTREAM_REPORTS
        asker = group.gateways["i0"]
        born_ms = 2
        while True:
            start = replace(asker.fleet.directory.listed["u0"], born_ms=born_ms)
            if asker.permit_owners.find(start).primary == "i1":
                break
            born_ms += 1
        list_entry(asker, "u0", born_ms=born_ms, cold_ms=60_000)
        granted = [await asker.permits.acquire(start, 0, False) for _ in range(4)]
        assert [permit is not None for permit in granted] == [True, False, False, False]
