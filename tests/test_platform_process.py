"""The program ``platform/start.py`` as a process, with stand-ins for the store and the servers."""

import asyncio
import contextlib
import json
import signal
import sys
import time

import pytest
from wire_settings import METRICS_PORT

from standins.batch_server import BatchServer
from standins.gateway_process import TIMEOUT_S, Instance, build_configuration, build_server_entry
from standins.rows import RowServer, RowStore
from tests.gateway_scripts import in_loop


class Cluster:
    """A running store, engines and plain services, and gateway processes that use them."""

    def __init__(self, folder):
        self.folder = folder
        self.store = RowStore()
        self.fleet = {}
        self.engines, self.services, self.instances = [], [], []

    async def start(self, engines=3, services=2, instances=2):
        self.rows = RowServer(self.store)
        self.address = address = await self.rows.start()
        await self.store.put("op", "config", build_configuration())
        for number in range(engines):
            self.engines.append(BatchServer(f"e{number}", self.fleet, speed=8.0))
        for number in range(services):
            self.services.append(BatchServer(f"d{number}", {}))
        for kind, servers in (("engines", self.engines), ("desk", self.services)):
            for server in servers:
                await server.start()
                await self.store.put(
                    "servers", server.name, build_server_entry(server.address, kind)
                )
        for number in range(instances):
            self.instances.append(Instance(self.folder, f"n{number}", address))
        for instance in self.instances:
            await instance.start()
        for instance in self.instances:
            await instance.wait_ready()

    async def close(self):
        for instance in self.instances:
            if instance.process is not None and instance.process.returncode is None:
                instance.process.kill()
                await instance.process.wait()
        for server in (*self.engines, *self.services):
            server.close()
        self.rows.close()


@contextlib.asynccontextmanager
async def run_cluster(folder, **counts):
    cluster = Cluster(folder)
    try:
        await cluster.start(**counts)
        yield cluster
    finally:
        await cluster.close()


@in_loop
async def test_requests_of_all_kinds_and_prompt_lengths_are_served(tmp_path):
    async with run_cluster(tmp_path) as cluster:
        first, second = cluster.instances
        answers = await asyncio.gather(
            *(first.call("/s/x", f"a{n}", Token_Count="4000,500") for n in range(5)),
            *(second.call("/s/x", f"b{n}", Token_Count="60000,300") for n in range(2)),
            second.call("/l/x", "wide", Token_Count="500000,300", Deadline_Ms="20000"),
            first.call("/w/x", "c", body=b"look"),
            second.call("/o/x", "d", body=b"book"),
        )
        assert [answer.status for answer in answers] == [200] * 10
        assert all(answer.complete for answer in answers)
        assert answers[-1].body == b"book"
        assert all(not engine.leases for engine in cluster.engines) or await wait_released(cluster)


async def wait_released(cluster):
    """Wait until the memory of every engine is released."""
    async with asyncio.timeout(TIMEOUT_S):
        while any(engine.leases for engine in cluster.engines):
            await asyncio.sleep(0.05)
    return True


@in_loop
async def test_caller_that_connects_during_startup_is_served(tmp_path):
    async with run_cluster(tmp_path, instances=1) as cluster:
        [instance] = cluster.instances
        instance.process.kill()
        await instance.process.wait()
        await instance.start()
        async with asyncio.timeout(TIMEOUT_S):
            while not (writer := await try_connect(instance)):
                await asyncio.sleep(0.005)
        assert await instance.query_readiness() is None
        writer.close()
        assert (await instance.call("/w/x", "early")).status == 200


async def try_connect(instance):
    with contextlib.suppress(ConnectionRefusedError):
        _, writer = await asyncio.open_connection(instance.ip, instance.front_port)
        return writer


@in_loop
async def test_configuration_and_listing_are_followed_in_every_instance(tmp_path):
    async with run_cluster(tmp_path) as cluster:
        routes = build_configuration()["routes"][:3]
        await cluster.store.put("op", "config", build_configuration(version=7, routes=routes))
        await cluster.store.put(
            "servers",
            "d0",
            build_server_entry(cluster.services[0].address, "desk", state="draining"),
        )
        await cluster.store.put("servers", "broken", b"\xff{")
        await cluster.store.remove("servers", "e0")
        await asyncio.sleep(0.5)
        for number, instance in enumerate(cluster.instances):
            assert (await instance.call("/o/x", f"o{number}")).status == 404
            assert (await instance.call("/w/x", f"w{number}")).status == 200
            answer = await instance.call("/s/x", f"s{number}", Token_Count="4000,100")
            assert answer.status == 200
        assert (
            not cluster.services[0].served_request_ids and not cluster.engines[0].served_request_ids
        )


@in_loop
async def test_requests_are_served_during_a_store_outage_and_changes_arrive_after_it(tmp_path):
    async with run_cluster(tmp_path, instances=1) as cluster:
        [instance] = cluster.instances
        cluster.store.status = 503
        await asyncio.sleep(1.5)
        assert (await instance.call("/w/x", "during")).status == 200
        assert await instance.query_readiness() == 200
        cluster.store.forget_history()
        cluster.store.status = None
        await cluster.store.put("op", "config", build_configuration(version=9, routes=[]))
        async with asyncio.timeout(TIMEOUT_S):
            while (await instance.call("/w/x", "after")).status != 404:
                await asyncio.sleep(0.05)


@in_loop
async def test_planned_stop_finishes_open_requests(tmp_path):
    async with run_cluster(tmp_path, instances=1) as cluster:
        [instance] = cluster.instances
        pending = asyncio.ensure_future(instance.call("/s/x", "open", Token_Count="4000,2000"))
        await asyncio.sleep(0.4)
        begin = time.monotonic()
        instance.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        assert await instance.query_readiness() == 503
        assert (await instance.call("/w/x", "late")).status == 200
        answer = await pending
        assert answer.status == 200 and answer.complete
        log = await instance.read_log()
        assert await instance.process.wait() == 0
        assert time.monotonic() - begin < 6
        events = [line["event"] for line in log]
        assert events[0] == "started" and events[-1] == "stopped" and "stop begun" in events


@pytest.mark.parametrize("hangup", [True, False])
@in_loop
async def test_changed_settings_are_reloaded(tmp_path, hangup):
    async with run_cluster(tmp_path, instances=1) as cluster:
        [instance] = cluster.instances
        settings = json.loads(instance.settings_path.read_text())
        settings["bounds"]["extra_retries"] = 7
        instance.settings_path.write_text("{")
        await asyncio.sleep(0.4)
        instance.settings_path.write_text(json.dumps(settings))
        if hangup:
            instance.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.6)
        assert (await instance.call("/w/x", "a")).status == 200
        instance.process.send_signal(signal.SIGTERM)
        events = [(line["event"], line.get("budget")) for line in await instance.read_log()]
        assert ("settings reloaded", 7) in events and ("settings unreadable", None) in events


@in_loop
async def test_hangup_while_the_program_is_loaded_does_not_end_it(tmp_path):
    async with run_cluster(tmp_path, instances=1) as cluster:
        [instance] = cluster.instances
        instance.process.kill()
        await instance.process.wait()
        await instance.start()
        async with asyncio.timeout(TIMEOUT_S):
            while not (writer := await try_connect(instance)):
                await asyncio.sleep(0.002)
        assert await instance.query_readiness() is None
        instance.process.send_signal(signal.SIGHUP)
        await asyncio.wait(
            [
                asyncio.ensure_future(instance.process.wait()),
                asyncio.ensure_future(instance.wait_ready()),
            ],
            return_when=asyncio.FIRST_COMPLETED,
        )
        assert instance.process.returncode is None
        writer.close()


@in_loop
async def test_log_shows_the_cause_of_a_failure_by_request_id(tmp_path):
    async with run_cluster(tmp_path, instances=1, services=1) as cluster:
        [instance] = cluster.instances
        cluster.services[0].close()
        answer = await instance.call("/o/x", "lost-one")
        assert answer.status == 503
        instance.process.send_signal(signal.SIGTERM)
        log = await instance.read_log()
        lines = [line for line in log if line.get("request") == "lost-one"]
        assert lines[-1]["event"] == "request ended" and lines[-1]["outcome"] == "not_run"
        assert any("does not accept" in line.get("reason", "") for line in lines)


@in_loop
async def test_metrics_and_state_are_served(tmp_path):
    async with run_cluster(tmp_path, instances=1) as cluster:
        [instance] = cluster.instances
        await instance.call("/s/x", "a", Token_Count="4000,100")
        await instance.call("/none/", "b")
        metrics = (await instance.query("/metrics")).body.decode()
        sample = 'lentilwell_gateway_requests_total{outcome="whole",service="engines"} 1.0'
        assert sample in metrics
        assert 'lentilwell_gateway_rejections_total{status="404"} 1.0' in metrics
        assert "lentilwell_gateway_loop_lag_seconds_count" in metrics
        assert (
            'lentilwell_gateway_first_event_seconds_bucket{le="+Inf",length="lt_10000"}' in metrics
        )
        state = json.loads((await instance.query("/state")).body)
        assert state["configuration"] == 1 and len(state["upstreams"]) == 5
        assert (await instance.query("/other")).status == 404
        command = ["-m", "lentilwell", "state", "--url", f"http://{instance.ip}:{METRICS_PORT}"]
        program = await asyncio.create_subprocess_exec(
            sys.executable, *command, stdout=asyncio.subprocess.PIPE
        )
        out, _ = await program.communicate()
        assert program.returncode == 0 and json.loads(out)["configuration"] == 1


@pytest.mark.parametrize("number", range(2))
@in_loop
async def test_killed_instance_comes_back_and_holds_no_memory(tmp_path, number):
    async with run_cluster(tmp_path) as cluster:
        instance = cluster.instances[number]
        pending = asyncio.ensure_future(
            instance.call("/l/x", "w", Token_Count="600000,3000", Deadline_Ms="20000")
        )
        async with asyncio.timeout(TIMEOUT_S):
            while not any(engine.leases for engine in cluster.engines):
                await asyncio.sleep(0.02)
        instance.process.kill()
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await pending
        await instance.process.wait()
        await asyncio.sleep(4)
        reserved = [
            t for engine in cluster.engines for t in engine.leases if engine.is_lease_active(t)
        ]
        assert not reserved
        await instance.start()
        await instance.wait_ready()
        assert (await instance.call("/w/x", "again")).status == 200


@in_loop
async def test_ports_of_an_instance_that_is_down_cannot_be_taken_by_another(tmp_path):
    """A readiness check was once answered by another test's instance at the same port."""
    async with run_cluster(tmp_path, instances=1) as cluster:
        [instance] = cluster.instances
        other = Instance(tmp_path, "other", cluster.address)
        settings = json.loads(other.settings_path.read_text())
        settings["listen"] = {
            "front": f"{other.ip}:{instance.front_port}",
            "ready": f"{other.ip}:{instance.ready_port}",
        }
        other.settings_path.write_text(json.dumps(settings))
        other.front_port, other.ready_port = instance.front_port, instance.ready_port
        instance.process.kill()
        await instance.process.wait()
        cluster.instances.append(other)
        await other.start()
        await other.wait_ready()
        assert await instance.query_readiness() is None
        await instance.start()
        await instance.wait_ready()
        assert (await instance.call("/w/x", "own")).status == 200
