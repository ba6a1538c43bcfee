"""Gateway processes during and after a restore of the store from an older copy."""

import asyncio

from standins.gateway_process import TIMEOUT_S, build_configuration, build_server_entry
from tests.gateway_scripts import in_loop
from tests.test_platform_process import run_cluster

# Users require that a change takes effect within this time.
APPLY_S = 2.0
OUTAGE_S = 0.4


def make_version(number):
    """Return configuration version ``number``, with one added route for each version from 2 on."""
    content = build_configuration(number)
    template = content["routes"][2]
    for added in range(2, number + 1):
        content["routes"].append({**template, "name": f"v{added}", "prefix": f"/v{added}/"})
    return content


async def interrupt_and_restore(store, backup):
    """Make the store unavailable for ``OUTAGE_S``, then available again, restored from a backup."""
    store.status = 503
    await asyncio.sleep(OUTAGE_S)
    await store.restore(backup)
    store.status = None


async def wait_until_served(instance, path):
    async with asyncio.timeout(APPLY_S):
        while (await instance.call(path, f"wait-{path}")).status != 200:
            await asyncio.sleep(0.05)


@in_loop
async def test_active_route_survives_a_restore_and_a_later_change_arrives_in_time(tmp_path):
    async with run_cluster(tmp_path) as cluster:
        backup = cluster.store.back_up()
        await cluster.store.put("op", "config", make_version(2))
        for instance in cluster.instances:
            await wait_until_served(instance, "/v2/x")
        await interrupt_and_restore(cluster.store, backup)
        for number in range(15):
            answers = [
                await gateway.call("/v2/x", f"kept-{number}") for gateway in cluster.instances
            ]
            assert [answer.status for answer in answers] == [200, 200]
            await asyncio.sleep(0.1)
        await cluster.store.put("op", "config", make_version(2))
        await cluster.store.put("op", "config", make_version(3))
        for instance in cluster.instances:
            await wait_until_served(instance, "/v3/x")


@in_loop
async def test_reused_version_numbers_do_not_hide_a_change(tmp_path):
    async with run_cluster(tmp_path) as cluster:
        backup = cluster.store.back_up()
        for number in range(3):
            await cluster.store.put("servers", f"junk-{number}", b"junk")
        await asyncio.sleep(0.5)
        await cluster.store.restore(backup)
        await cluster.store.put("op", "config", make_version(2))
        for number in range(6):
            await cluster.store.put("other", f"k{number}", b"x")
        for instance in cluster.instances:
            await wait_until_served(instance, "/v2/x")


@in_loop
async def test_upstream_that_left_before_the_restore_gets_no_new_requests(tmp_path):
    async with run_cluster(tmp_path, services=3) as cluster:
        first, second, third = cluster.services
        backup = cluster.store.back_up()
        await cluster.store.put(
            "servers", "d0", build_server_entry(first.address, "desk", state="draining")
        )
        await cluster.store.remove("servers", "d1")
        await asyncio.sleep(0.6)
        await interrupt_and_restore(cluster.store, backup)
        served = [len(first.served_request_ids), len(second.served_request_ids)]
        for number in range(20):
            for gateway in cluster.instances:
                assert (await gateway.call("/w/x", f"{gateway.name}-{number}")).status == 200
            await asyncio.sleep(0.1)
        assert [len(first.served_request_ids), len(second.served_request_ids)] == served
        assert len(third.served_request_ids) >= 40


@in_loop
async def test_instances_list_themselves_again_and_log_what_they_keep(tmp_path):
    async with run_cluster(tmp_path) as cluster:
        rows = {key: row for key, row in cluster.store.rows.items() if key[0] == "op"}
        backup = cluster.store.back_up()
        configuration_backup = type(backup)(rows, backup.version)
        await cluster.store.put("op", "config", make_version(2))
        for instance in cluster.instances:
            await wait_until_served(instance, "/v2/x")
        await interrupt_and_restore(cluster.store, configuration_backup)
        async with asyncio.timeout(TIMEOUT_S):
            while len([key for key in cluster.store.rows if key[0] == "lentilwell_instances"]) < 2:
                await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        logs = []
        for instance in cluster.instances:
            instance.process.kill()
            logs.append({line["event"] for line in await instance.read_log()})
        for events in logs:
            expected = {"store restore seen", "configuration kept", "upstream kept"}
            assert expected | {"instance listed again"} <= events
