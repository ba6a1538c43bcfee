"""Gateway processes that follow the store through two of them, which are killed or stopped."""

import asyncio
import re
import signal

import pytest

from standins.gateway_process import TIMEOUT_S, build_configuration, build_server_entry
from tests.gateway_scripts import in_loop
from tests.test_platform_process import run_cluster

INSTANCES = 8


async def find_role(instance):
    text = (await instance.query("/metrics")).body.decode()
    return re.search(r'lentilwell_gateway_following\{role="(\w+)"\} 1', text)[1]


async def wait_for_roles(instances):
    """Wait until two instances are sources and the others are fed; return both groups."""
    async with asyncio.timeout(2 * TIMEOUT_S):
        while True:
            roles = [await find_role(instance) for instance in instances]
            if roles.count("source") == 2 and roles.count("fed") == len(instances) - 2:
                sources = [one for one, role in zip(instances, roles, strict=True) if role != "fed"]
                return sources, [one for one in instances if one not in sources]
            await asyncio.sleep(0.2)


async def wait_for_answers(instances, path, status):
    async with asyncio.timeout(2 * TIMEOUT_S):
        for number, instance in enumerate(instances):
            while (await instance.call(path, f"r{number}")).status != status:
                await asyncio.sleep(0.05)


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGSTOP])
@in_loop
async def test_changes_reach_the_others_though_both_sources_end_or_stop(tmp_path, signal_number):
    async with run_cluster(tmp_path, engines=1, instances=INSTANCES) as cluster:
        sources, fed = await wait_for_roles(cluster.instances)
        routes = build_configuration()["routes"]
        fewer = build_configuration(version=5, routes=routes[:3])
        await cluster.store.put("op", "config", fewer)
        await wait_for_answers(cluster.instances, "/o/x", 404)
        for source in sources:
            source.process.send_signal(signal_number)
        await cluster.store.put("op", "config", build_configuration(version=6))
        for name, server in zip(("d0", "d1"), cluster.services, strict=True):
            entry = build_server_entry(server.address, "desk", state="draining")
            await cluster.store.put("servers", name, entry)
        await wait_for_answers(fed, "/o/x", 503)
        assert len(await asyncio.gather(*map(find_role, fed))) == len(fed)


@in_loop
async def test_eight_instances_pass_on_rows_that_cannot_be_read_without_harm(tmp_path):
    """A row that is no JSON is announced; rows of other writers reach all as they are."""
    async with run_cluster(tmp_path, engines=1, instances=INSTANCES) as cluster:
        _, fed = await wait_for_roles(cluster.instances)
        await cluster.store.put("servers", "odd", b"\xff{")
        await cluster.store.put("op", "other", b"{}")
        await cluster.store.put("op", "config", build_configuration(version=3, routes=[]))
        await wait_for_answers(fed, "/w/x", 404)
        assert {await find_role(one) for one in fed} == {"fed"}
