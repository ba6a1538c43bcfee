"""A request that ends every upstream that runs it is kept from them; the others are served."""

import asyncio

import pytest

from standins.crashing_server import CrashPoint
from standins.deadly_fleet import UPSTREAMS, count_running
from standins.deadly_load import CALM_S, DEADLY, FIRST, SECOND, TEAM, Case
from standins.received_request import RequestContent
from tests.deadly_checks import check_refusals, refuse
from tests.deadly_requests import OTHER_TEAM, run_group
from tests.gateway_scripts import in_loop

AFTER_S = 1.0
LOOKUPS_PER_S = 30.0
# Times with which three ends of one upstream after the other fit into a test.
QUICK = {"expiry_s": 0.15, "restart_s": 0.3}


@pytest.mark.parametrize("kind", ["whole", "once"])
@in_loop
async def test_request_of_another_team_is_judged_by_its_own_crashes(kind):
    async with run_group(3, Case(kind)) as group:
        await asyncio.gather(*(refuse(group, name) for name in DEADLY))
        deadly = group.case.make_deadly(FIRST)
        same = RequestContent(deadly.path, OTHER_TEAM, deadly.body)
        for name in group.gateways:
            assert (await group.call(name, same)).served
            assert (await group.call(name, deadly)).is_refused_for_long


@in_loop
async def test_lookup_that_everybody_repeats_is_not_refused_for_the_crashes_that_cut_it():
    lookup = RequestContent("/whole/lookup", TEAM, b"")
    async with run_group(3, Case("whole")) as group:
        began_s, stop = asyncio.get_running_loop().time(), asyncio.Event()
        tasks = []

        async def look_up():
            number = 0
            while not stop.is_set():
                instance = group.pick_instance(number)
                tasks.append(asyncio.create_task(group.call(instance, lookup, "GET")))
                number += 1
                due_s = began_s + number / LOOKUPS_PER_S
                await asyncio.sleep(max(0.0, due_s - asyncio.get_running_loop().time()))

        looking_up = asyncio.create_task(look_up())
        await asyncio.sleep(0.5)
        await asyncio.gather(*(group.repeat(name, 5.0) for name in DEADLY))
        await group.fleet.wait_whole()
        settled = len(group.calls)
        await asyncio.sleep(AFTER_S)
        stop.set()
        await looking_up
        await asyncio.gather(*tasks)
        calls = [call for call in group.calls if call.content == lookup]
        assert not any(call.is_refused_for_long for call in calls)
        assert all(call.served for call in group.calls[settled:])
        await check_refusals(group)


@pytest.mark.parametrize("kind", ["whole", "once"])
@in_loop
async def test_sound_request_that_others_cut_three_times_is_served_once_they_are_known(kind):
    case = Case(kind, CrashPoint.BEGIN)
    async with run_group(1, case, upstreams=1, **QUICK, service_s=(0.2, 0.2)) as group:
        sound = case.make_sound(1)
        for name in (FIRST, SECOND, FIRST):
            cut = asyncio.create_task(group.call("i0", sound))
            await asyncio.sleep(0.1)
            await group.call("i0", case.make_deadly(name))
            assert not (await cut).served
            await group.fleet.wait_whole()
        assert [crash.cut for crash in group.record.crashes] == [1, 1, 1]
        for name in DEADLY:
            await refuse(group, name)
            await group.fleet.wait_whole()
        assert (await group.call("i0", sound)).served


@pytest.mark.parametrize("kind", ["whole", "once", "stream"])
@in_loop
async def test_started_instance_learns_what_the_others_refuse_before_it_sends_any(kind):
    async with run_group(3, Case(kind), late=1) as group:
        sound = asyncio.create_task(group.press(CALM_S))
        await asyncio.sleep(CALM_S / 2)
        await asyncio.gather(*(refuse(group, name) for name in DEADLY))
        await sound
        async with group.run_late_instance("i3"):
            await asyncio.sleep(0.1)
            received = group.record.count_arrivals()
            for name in DEADLY:
                assert (await group.call("i3", group.case.make_deadly(name))).is_refused_for_long
            assert group.record.count_arrivals() == received
            await group.fleet.wait_whole()
            for number in range(len(DEADLY)):
                assert (await group.call("i3", group.case.make_sound(number))).served


@pytest.mark.parametrize("kind", ["whole", "once", "stream"])
@in_loop
async def test_power_loss_of_half_the_upstreams_under_100_requests_refuses_nothing(kind):
    case = Case(kind)
    async with run_group(3, case, service_s=(0.5, 0.5)) as group:
        requests = [case.make_sound(number) for number in range(100)]
        calls = [group.call(group.pick_instance(n), one) for n, one in enumerate(requests)]
        running = asyncio.gather(*calls)
        while sum(map(count_running, group.fleet.servers)) < 100:
            await asyncio.sleep(0.002)
        for server in group.fleet.servers[: UPSTREAMS // 2]:
            server.crash()
        await running
        assert sum(crash.cut for crash in group.record.crashes) >= 30
        await group.fleet.wait_whole()
        again = [group.call(group.pick_instance(n), one) for n, one in enumerate(requests)]
        assert all(call.served for call in await asyncio.gather(*again))
