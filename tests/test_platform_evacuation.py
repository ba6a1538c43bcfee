"""An evacuation in gateway processes: an outage and a restore of the store, and a restart."""

import asyncio
import json

from standins.gateway_process import TIMEOUT_S, build_server_entry
from tests.gateway_scripts import in_loop
from tests.test_platform_process import run_cluster

CALLS = 6


async def wait_state(instance, condition):
    """Wait until the state of an instance meets a condition."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition(json.loads((await instance.query("/state")).body)):
            await asyncio.sleep(0.05)


async def wait_evacuated(instance, *names):
    """Wait until exactly these data centres are evacuated in an instance."""
    await wait_state(instance, lambda state: state["evacuated"] == list(names))


async def wait_era(instance, era):
    """Wait until an instance has read the operator's table in an era of the store."""
    await wait_state(instance, lambda state: (state["tables"][0]["at"] or {}).get("era") == era)


async def call_all(cluster, name):
    """Call each instance; return the statuses and whether the service in z1 got any call."""
    before = len(cluster.services[0].served_request_ids)
    answers = [
        await instance.call("/w/x", f"{name}.{instance.name}.{number}")
        for instance in cluster.instances
        for number in range(CALLS)
    ]
    statuses = {answer.status for answer in answers}
    assert all(float(one.headers["retry-after"]) >= 1 for one in answers if one.status == 503)
    return statuses, len(cluster.services[0].served_request_ids) > before


@in_loop
async def test_evacuation_holds_over_an_outage_a_restart_and_a_restore_of_the_store(tmp_path):
    """Guards against instances that miss the row or forget it."""
    async with run_cluster(tmp_path, engines=0) as cluster:
        first, second = cluster.instances
        entry = build_server_entry(cluster.services[1].address, "desk", zone="z2")
        await cluster.store.put("servers", "d1", entry)
        backup = cluster.store.back_up()
        cluster.store.status = 503
        await cluster.store.put("op", "evacuate/z1", b"\xff")
        await cluster.store.put("op", "evacuate/", {})
        await asyncio.sleep(0.5)
        cluster.store.forget_history()
        cluster.store.status = None
        for instance in cluster.instances:
            await wait_evacuated(instance, "z1")
        assert await call_all(cluster, "outage") == ({200}, False)
        second.process.kill()
        await second.process.wait()
        await second.start()
        await second.wait_ready()
        assert await call_all(cluster, "restart") == ({200}, False)
        await cluster.store.put("op", "evacuate/z2", {})
        for instance in cluster.instances:
            await wait_evacuated(instance, "z1", "z2")
        assert await call_all(cluster, "both") == ({503}, False)
        await cluster.store.restore(backup)
        for instance in cluster.instances:
            await wait_era(instance, 2)
        assert await call_all(cluster, "restore") == ({503}, False)
        await cluster.store.put("op", "evacuate/z1", {})
        for instance in cluster.instances:
            await wait_evacuated(instance, "z1")
        assert await call_all(cluster, "rewritten") == ({200}, False)
        await cluster.store.remove("op", "evacuate/z1")
        for instance in cluster.instances:
            await wait_evacuated(instance)
        assert await call_all(cluster, "ended") == ({200}, True)
