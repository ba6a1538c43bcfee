"""Gateways as processes through a restore of the store from an older copy."""

import asyncio

from standins.gateway_process import TIMEOUT_S, build_configuration, build_server_entry
from tests.gateway_scripts import in_loop
from tests.test_platform_process import run_site

# The users' bound for a change to be in force.
APPLY_S = 2.0
AWAY_S = 0.4


def make_version(number):
    """Return a version with a route of its own, and with those of the versions before it."""
    found = build_configuration(number)
    lookups = found["routes"][2]
    for added in range(2, number + 1):
        found["routes"].append({**lookups, "name": f"v{added}", "prefix": f"/v{added}/"})
    return found


async def drill(store, backup):
    """Take the store away for a moment, and bring it back from a copy."""
    store.status = 503
    await asyncio.sleep(AWAY_S)
    await store.restore(backup)
    store.status = None


async def wait_served(instance, path):
    async with asyncio.timeout(APPLY_S):
        while (await instance.call(path, f"wait-{path}")).status != 200:
            await asyncio.sleep(0.05)


@in_loop
async def test_route_in_force_stays_and_a_change_after_the_restore_comes_in_time(tmp_path):
    async with run_site(tmp_path) as site:
        backup = site.store.back_up()
        await site.store.put("op", "config", make_version(2))
        for instance in site.instances:
            await wait_served(instance, "/v2/x")
        await drill(site.store, backup)
        for number in range(15):
            answers = [await one.call("/v2/x", f"kept-{number}") for one in site.instances]
            assert [answer.status for answer in answers] == [200, 200]
            await asyncio.sleep(0.1)
        await site.store.put("op", "config", make_version(2))
        await site.store.put("op", "config", make_version(3))
        for instance in site.instances:
            await wait_served(instance, "/v3/x")


@in_loop
async def test_versions_given_out_again_hide_no_change(tmp_path):
    async with run_site(tmp_path) as site:
        backup = site.store.back_up()
        for number in range(3):
            await site.store.put("servers", f"junk-{number}", b"junk")
        await asyncio.sleep(0.5)
        await site.store.restore(backup)
        await site.store.put("op", "config", make_version(2))
        for number in range(6):
            await site.store.put("other", f"k{number}", b"x")
        for instance in site.instances:
            await wait_served(instance, "/v2/x")


@in_loop
async def test_upstream_that_left_before_the_restore_gets_nothing_new(tmp_path):
    async with run_site(tmp_path, services=3) as site:
        first, second, third = site.services
        backup = site.store.back_up()
        await site.store.put(
            "servers", "d0", build_server_entry(first.address, "desk", state="draining")
        )
        await site.store.remove("servers", "d1")
        await asyncio.sleep(0.6)
        await drill(site.store, backup)
        served = [len(first.served_request_ids), len(second.served_request_ids)]
        for number in range(20):
            for one in site.instances:
                assert (await one.call("/w/x", f"{one.name}-{number}")).status == 200
            await asyncio.sleep(0.1)
        assert [len(first.served_request_ids), len(second.served_request_ids)] == served
        assert len(third.served_request_ids) >= 40


@in_loop
async def test_instances_list_themselves_again_and_say_what_they_keep(tmp_path):
    async with run_site(tmp_path) as site:
        rows = {key: row for key, row in site.store.rows.items() if key[0] == "op"}
        backup = site.store.back_up()
        lost = type(backup)(rows, backup.version)
        await site.store.put("op", "config", make_version(2))
        for instance in site.instances:
            await wait_served(instance, "/v2/x")
        await drill(site.store, lost)
        async with asyncio.timeout(TIMEOUT_S):
            while len([key for key in site.store.rows if key[0] == "lentilwell_instances"]) < 2:
                await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        logs = []
        for instance in site.instances:
            instance.process.kill()
            logs.append({line["event"] for line in await instance.read_log()})
        for events in logs:
            wanted = {"store restore seen", "configuration kept", "upstream kept"}
            assert wanted | {"instance listed again"} <= events
