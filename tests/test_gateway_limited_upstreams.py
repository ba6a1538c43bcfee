"""Upstreams that name a rate limit get no more from all instances than they named."""

import asyncio
from dataclasses import replace

import pytest

from lentilwell.gateway._peers import NEWCOMER_REFRESH_MS, SETTLE_MARGIN_MS
from lentilwell.gateway._placement_policies import Helper
from lentilwell.gateway._upstreams import ListingChange, apply_changes
from lentilwell.gateway._work_digest import NO_UPSTREAM_REPORTS
from standins.limit_rule import find_allowed
from tests.gateway_harness import run_gateway, with_route
from tests.gateway_scripts import answer_ok, in_loop, stream_whole, with_engines
from tests.limited_upstreams import LimitedUpstream, run_gateways

PRESS_S = 5.5
# New owners of permits issue less until all instances have read the list of instances.
SETTLED_S = (NEWCOMER_REFRESH_MS + SETTLE_MARGIN_MS) / 1_000
# The share of the named rate that is to be used while all upstreams are limited.
USED_SHARE = 0.8
# A refusal is slow if it takes longer than the first answers to a limit that nobody knows yet.
SLOW_REFUSAL_MS = 400
# The time within which every instance with traffic is to learn of the end of a limit.
LEARNED_S = 2.0


@pytest.mark.parametrize("instances", [1, 3, 12])
@in_loop
async def test_limited_upstream_beside_a_sound_one_gets_no_more_than_it_named(instances):
    limited = LimitedUpstream(1.0)
    async with run_gateways(instances, [limited, answer_ok]) as group:
        await group.press(PRESS_S, 60.0)
        assert limited.count_worst_window() <= find_allowed(1.0)
        assert [one.status for one in group.served] == [200] * len(group.served)


@pytest.mark.parametrize(("instances", "rate"), [(3, 5.0), (12, 10.0)])
@in_loop
async def test_limits_of_all_upstreams_are_used_and_the_rest_is_refused_at_once(instances, rate):
    upstreams = [LimitedUpstream(rate), LimitedUpstream(rate)]
    async with run_gateways(instances, upstreams) as group:
        await asyncio.sleep(SETTLED_S)
        await group.press(PRESS_S / 2, 60.0)
        before = [len(upstream.sends) for upstream in upstreams]
        await group.press(PRESS_S / 2, 60.0)
        for upstream, sent_before in zip(upstreams, before, strict=True):
            assert upstream.count_worst_window() <= find_allowed(rate)
            assert len(upstream.sends) - sent_before >= USED_SHARE * rate * PRESS_S / 2
        refused = [one for one in group.served if one.status != 200]
        assert {one.status for one in refused} == {503}
        assert all(float(one.retry_after) > 0 for one in refused)
        slowest = max(refused, key=lambda one: one.own_ms)
        assert slowest.own_ms < SLOW_REFUSAL_MS, slowest


@in_loop
async def test_end_of_a_limit_is_learned_by_all_instances():
    limited = LimitedUpstream(1.0)
    async with run_gateways(3, [limited]) as group:
        await asyncio.sleep(SETTLED_S)
        await group.press(2.0, 40.0)
        limited.rate = None
        await group.press(LEARNED_S, 40.0)
        group.served.clear()
        await group.press(0.5, 40.0)
        assert [one.status for one in group.served] == [200] * 20


@in_loop
async def test_limited_upstream_beside_a_sound_one_still_gets_half_of_its_rate():
    limited = LimitedUpstream(10.0)
    async with run_gateways(3, [limited, answer_ok]) as group:
        await asyncio.sleep(SETTLED_S)
        await group.press(2.0, 60.0)
        sent_before = len(limited.sends)
        await group.press(2.0, 60.0)
        assert len(limited.sends) - sent_before >= 0.5 * 10.0 * 2.0
        assert limited.count_worst_window() <= find_allowed(10.0)
        assert [one.status for one in group.served] == [200] * len(group.served)


@in_loop
async def test_gone_owner_is_replaced_by_its_stand_in():
    limited = LimitedUpstream(10.0)
    async with run_gateways(3, [limited, answer_ok]) as group:
        await asyncio.sleep(SETTLED_S)
        await group.press(1.0, 40.0)
        upstream = next(iter(group.gateways.values())).fleet.directory.listed["u0"]
        owner = next(iter(group.gateways.values())).permit_owners.find(upstream).primary
        gone = group.gateways.pop(owner)
        gone.peers.close()
        before = len(limited.sends)
        await group.press(3.0, 40.0)
        assert len(limited.sends) > before + 2
        assert limited.count_worst_window() <= find_allowed(10.0)
        assert [one.status for one in group.served] == [200] * len(group.served)


@in_loop
async def test_repeats_need_permits_like_first_sends():
    refusing = [LimitedUpstream(1.0, refuses=True) for _ in range(4)]
    async with run_gateways(1, refusing, with_route("whole", max_upstreams=4)) as group:
        gateway = group.gateways["i0"]
        for upstream in gateway.fleet.directory.listed.values():
            now = gateway.clock.now()
            gateway.fleet.rate_limits.record_named(upstream.incarnation, 1.0, now)
        verdicts = []
        gateway.permits.on_verdict = verdicts.append
        assert (await group.call("i0")).status == 503
        assert [len(upstream.sends) for upstream in refusing] == [1, 1, 1, 1]
        assert verdicts.count("granted") == 4


@in_loop
async def test_lease_orders_to_a_limited_upstream_count_as_requests():
    orders = []

    async def take_order(arrival):
        orders.append(arrival)
        await arrival.answer(body=b"{}")

    async with run_gateways(1, [take_order]) as group:
        gateway = group.gateways["i0"]
        upstream = gateway.fleet.directory.listed["u0"]
        gateway.fleet.rate_limits.record_named(upstream.incarnation, 1.0, gateway.clock.now())
        leases = await gateway.leases.reserve([Helper(upstream, 10)])
        assert orders
        assert await gateway.permits.acquire(upstream, 500, has_alternative=False) is None
        leases.release()


@in_loop
async def test_new_incarnation_is_not_bound_by_the_limit_of_the_one_before():
    limited = LimitedUpstream(1.0)
    async with run_gateways(2, [limited]) as group:
        await group.press(0.5, 40.0)
        limited.rate = None
        for gateway in group.gateways.values():
            listed = gateway.fleet.directory.listed["u0"]
            change = ListingChange("u0", replace(listed, born_ms=2))
            now = gateway.clock.now()
            gateway.fleet.directory = apply_changes(gateway.fleet.directory, [change], now)
        group.served.clear()
        await group.press(0.5, 40.0)
        assert [one.status for one in group.served] == [200] * 20


@in_loop
async def test_request_asks_few_owners_that_do_not_answer():
    upstreams = [LimitedUpstream(5.0) for _ in range(12)]
    async with run_gateways(1, upstreams, gone=5) as group:
        gateway = group.gateways["i0"]
        for upstream in gateway.fleet.directory.listed.values():
            now = gateway.clock.now()
            gateway.fleet.rate_limits.record_named(upstream.incarnation, 5.0, now)
        verdicts = []
        gateway.permits.on_verdict = verdicts.append
        served = await group.call("i0")
        assert served.status == 200 or float(served.retry_after) > 0
        assert verdicts.count("no_owner") <= 2


@in_loop
async def test_owners_pass_on_the_end_of_a_limit_to_instances_that_get_no_digest():
    limited = LimitedUpstream(1.0)
    async with run_gateways(8, [limited]) as group:
        for gateway in group.gateways.values():
            gateway.peers.collect_reports = lambda: NO_UPSTREAM_REPORTS
        await asyncio.sleep(SETTLED_S)
        await group.press(2.0, 80.0)
        limited.rate = None
        await group.press(LEARNED_S, 80.0)
        group.served.clear()
        await group.press(0.5, 80.0)
        assert [one.status for one in group.served] == [200] * 40


@in_loop
async def test_limited_engine_reads_no_part_of_a_prompt_for_another():
    async with run_gateway(*[stream_whole] * 4, catalog=with_engines()) as harness:
        fleet = harness.gateway.fleet
        fleet.policy = "least_cost"
        limited = fleet.directory.listed["u1"]
        fleet.rate_limits.record_named(limited.incarnation, 5.0, fleet.clock.now())
        answer = await harness.call("/stream/x", Token_Count="200000,100")
        assert answer.complete
        [sent] = harness.arrivals
        assert "helpers" in sent.headers
        assert limited.address not in sent.headers["helpers"]
