"""The deployment under test: gateways as processes, stand-ins, and proxies between them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager
from pathlib import Path
from typing import Any

from lentilwell._clock import BootClock
from soak.faulty_server import FaultyServer
from soak.observations import Observations
from soak.plan import Fault
from soak.proxy import Proxy
from standins.batch_server import BatchServer
from standins.gateway_process import Instance, configuration, entry, quicken_engine
from standins.rows import RowServer, RowStore

INSTANCES = 3
FAULTY_SERVERS = 3
ENGINES = 3
ENGINE_SPEED = 20.0
STOP_GRACE_S = 4.0
# Between an upstream's word that it leaves and its end.
LEAVE_DELAY_MS = 1_500
# After a trouble: until silence is noticed, connections are back and a process has started.
RECOVERY_MS = 3_000
LINK_DELAY_MS = 120
RESTORE_OUTAGE_MS = 300
# Between two rows that are written again after a restore of the store, at most.
MAX_REWRITE_PAUSE_MS = 400


class Deployment:
    """Everything that runs, and the faults that can be done to it."""

    def __init__(self, folder: Path, instances: int) -> None:
        self.observations = Observations()
        self.clock = BootClock()
        self.store = RowStore()
        self.instances: list[Instance] = []
        self.incarnations: dict[str, int] = {}
        self.faulty_servers = [
            FaultyServer(f"d{number}", self.observations) for number in range(FAULTY_SERVERS)
        ]
        self.engines: list[BatchServer] = []
        self.links: dict[str, Proxy] = {}
        self.store_links: list[Proxy] = []
        self.logs: dict[str, list[bytes]] = {}
        # Two restores do not overlap: the second would bring back what the first has lost.
        self.restore_lock = asyncio.Lock()
        self._folder = folder
        self._instance_count = instances
        self._engines_by_address: dict[str, BatchServer] = {}
        self._log_tasks: set[asyncio.Task[None]] = set()
        self._instance_locks: dict[str, asyncio.Lock] = {}
        self._version = 1

    async def start(self) -> None:
        """Start all, and wait until every instance takes callers."""
        self._store_server = RowServer(self.store)
        store_address = await self._store_server.start()
        await self.store.put("op", "config", make_configuration(self._version))
        self.engines = [
            BatchServer(f"e{n}", self._engines_by_address, speed=ENGINE_SPEED)
            for n in range(ENGINES)
        ]
        for server in self._upstreams:
            await server.start()
            link = self.links[server.name] = Proxy(server.address)
            await link.start()
            if isinstance(server, BatchServer):
                self._engines_by_address[link.address] = server
            await self.register_upstream(
                server.name, "desk" if isinstance(server, FaultyServer) else "engines"
            )
        for number in range(self._instance_count):
            link = Proxy(store_address)
            self.store_links.append(link)
            name = f"n{number}"
            self.instances.append(Instance(self._folder, name, await link.start(), STOP_GRACE_S))
            self._instance_locks[name] = asyncio.Lock()
        for instance in self.instances:
            await self.start_instance(instance)
        for instance in self.instances:
            await instance.wait_ready()

    @property
    def _upstreams(self) -> tuple[FaultyServer | BatchServer, ...]:
        return (*self.faulty_servers, *self.engines)

    async def start_instance(self, instance: Instance) -> None:
        """Start a process and read its log from then on."""
        self.incarnations[instance.name] = self.incarnations.get(instance.name, 0) + 1
        await instance.start()
        log_task = asyncio.ensure_future(self._read_log(instance))
        self._log_tasks.add(log_task)
        log_task.add_done_callback(self._log_tasks.discard)

    async def restart_instance(self, instance: Instance) -> None:
        """Start a process again; until it has loaded, those who connect wait for it."""
        with self.observations.record_trouble(instance.name, self.clock.now, 0):
            await self.start_instance(instance)
            await instance.wait_ready()

    async def register_upstream(self, name: str, service: str, **changes: Any) -> None:
        """Write a server's entry to the store."""
        upstream_entry = entry(self.links[name].address, service, **changes)
        await self.store.put("servers", name, upstream_entry)

    async def close(self) -> None:
        """End the processes that were started here, and the stand-ins."""
        for instance in self.instances:
            if instance.process is not None and instance.process.returncode is None:
                instance.process.kill()
                await instance.process.wait()
        await asyncio.gather(*self._log_tasks, return_exceptions=True)
        for link in (*self.links.values(), *self.store_links):
            link.close()
        for server in self._upstreams:
            server.close()
        self._store_server.close()

    async def apply_fault(self, fault: Fault) -> None:
        """Do a fault, and undo it after its time."""
        await FAULT_ACTIONS[fault.kind](self, fault)

    async def record_unreleased_memory(self) -> None:
        """Wait for memory to be given back, and write down what still is not."""
        await asyncio.sleep(RECOVERY_MS / 1_000)
        self.observations.unreleased_tickets = tuple(
            f"{engine.name}/{ticket}"
            for engine in self.engines
            for ticket in engine.tickets
            if engine.holds(ticket)
        )

    def pick_instance(self, fault: Fault) -> Instance:
        """Return the instance that a fault is for."""
        return self.instances[int(fault.point * len(self.instances))]

    def pick_faulty_server(self, fault: Fault) -> FaultyServer:
        """Return the plain server that a fault is for."""
        return self.faulty_servers[int(fault.point * len(self.faulty_servers))]

    def pick_link(self, fault: Fault) -> str:
        """Return the name of the upstream whose connections a fault is for."""
        names = sorted(self.links)
        return names[int(fault.point * len(names))]

    def excuse(self, name: str | None) -> AbstractContextManager[None]:
        """Excuse an instance, an upstream's connections, or all, for a fault and a while after."""
        return self.observations.record_trouble(name, self.clock.now, RECOVERY_MS)

    def get_lock(self, instance: Instance) -> asyncio.Lock:
        """Keep other faults of the same process waiting."""
        return self._instance_locks[instance.name]

    async def write_next_configuration(self) -> None:
        """Write a version that adds a route of its own."""
        self._version += 1
        await self.store.put("op", "config", make_configuration(self._version))
        self.observations.version_times[self._version] = self.clock.now()

    def update_version_times(self, copied_at: int) -> None:
        """The versions written since a copy was taken are acknowledged only now."""
        now = self.clock.now()
        for version, written_at in self.observations.version_times.items():
            self.observations.version_times[version] = (
                now if written_at >= copied_at else written_at
            )

    async def _read_log(self, instance: Instance) -> None:
        assert instance.process is not None and instance.process.stdout is not None
        lines = self.logs.setdefault(instance.name, [])
        async for line in instance.process.stdout:
            lines.append(line)
            self.observations.logged_requests.add(json.loads(line).get("request", ""))


def make_configuration(version: int) -> dict[str, Any]:
    """Return a version of the configuration: each after the first adds a route of its own."""
    found = configuration(version, quicken_engine(ENGINE_SPEED))
    lookups = found["routes"][2]
    for added in range(2, version + 1):
        found["routes"].append({**lookups, "name": f"v{added}", "prefix": f"/v{added}/"})
    return found


FaultAction = Callable[[Deployment, Fault], Awaitable[None]]
FAULT_ACTIONS: dict[str, FaultAction] = {}


def fault_action(*names: str) -> Callable[[FaultAction], FaultAction]:
    """Register what does the faults of these kinds."""

    def register(function: FaultAction) -> FaultAction:
        FAULT_ACTIONS.update(dict.fromkeys(names, function))
        return function

    return register


async def _sleep_for(fault: Fault) -> None:
    await asyncio.sleep(fault.for_ms / 1_000)


@fault_action("stop")
async def stop_instance(deployment: Deployment, fault: Fault) -> None:
    """Stop a process as planned, and start it again: nothing excuses it."""
    instance = deployment.pick_instance(fault)
    async with deployment.get_lock(instance):
        assert instance.process is not None
        instance.process.send_signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(instance.process.wait(), STOP_GRACE_S)
        if instance.process.returncode is None:
            instance.process.kill()
            await instance.process.wait()
        await deployment.restart_instance(instance)


@fault_action("kill")
async def kill_instance(deployment: Deployment, fault: Fault) -> None:
    """Kill a process and start it again after a while."""
    instance = deployment.pick_instance(fault)
    async with deployment.get_lock(instance):
        with deployment.excuse(instance.name):
            assert instance.process is not None
            instance.process.kill()
            await instance.process.wait()
            await _sleep_for(fault)
            await deployment.restart_instance(instance)


@fault_action("pause")
async def pause_instance(deployment: Deployment, fault: Fault) -> None:
    """Stand a process still."""
    instance = deployment.pick_instance(fault)
    async with deployment.get_lock(instance):
        with deployment.excuse(instance.name):
            assert instance.process is not None
            instance.process.send_signal(signal.SIGSTOP)
            await _sleep_for(fault)
            instance.process.send_signal(signal.SIGCONT)


@fault_action("shed", "closed", "twice", "torn", "mute", "failing")
async def change_answer_mode(deployment: Deployment, fault: Fault) -> None:
    """Have a plain server answer in another way for a while."""
    faulty_server = deployment.pick_faulty_server(fault)
    faulty_server.mode = fault.kind
    await _sleep_for(fault)
    faulty_server.mode = "sound"


@fault_action("leave")
async def announce_leaving(deployment: Deployment, fault: Fault) -> None:
    """Have a plain server leave: only its answers tell, then a new life starts under its name."""
    faulty_server = deployment.pick_faulty_server(fault)
    faulty_server.leaving = True
    await asyncio.sleep(LEAVE_DELAY_MS / 1_000)
    faulty_server.restart()
    await deployment.register_upstream(faulty_server.name, "desk", born=faulty_server.incarnation)


@fault_action("gone")
async def remove_from_list(deployment: Deployment, fault: Fault) -> None:
    """Take a server off the list for a while, as if it had left."""
    faulty_server = deployment.pick_faulty_server(fault)
    await deployment.store.drop("servers", faulty_server.name)
    await _sleep_for(fault)
    await deployment.register_upstream(faulty_server.name, "desk", born=faulty_server.incarnation)


LINK_ACTIONS: dict[str, Callable[[Proxy], None]] = {
    "delay": lambda link: link.delay(LINK_DELAY_MS),
    "silence": lambda link: link.block(),
    "one way": lambda link: link.block(to_target=False),
}


@fault_action(*LINK_ACTIONS)
async def degrade_link(deployment: Deployment, fault: Fault) -> None:
    """Delay or hold back bytes to and from an upstream, or its answers alone."""
    name = deployment.pick_link(fault)
    with deployment.excuse(name):
        LINK_ACTIONS[fault.kind](deployment.links[name])
        await _sleep_for(fault)
        deployment.links[name].clear_faults()


@fault_action("reset")
async def reset_link(deployment: Deployment, fault: Fault) -> None:
    """Reset all connections to an upstream."""
    deployment.links[deployment.pick_link(fault)].reset()


@fault_action("store away")
async def refuse_store_calls(deployment: Deployment, fault: Fault) -> None:
    """Have the store turn all calls away."""
    with deployment.excuse(None):
        deployment.store.status = 503
        await _sleep_for(fault)
        deployment.store.status = None


@fault_action("store silent")
async def silence_store(deployment: Deployment, fault: Fault) -> None:
    """Have the store answer nothing; calls that came meanwhile are never answered."""
    with deployment.excuse(None):
        deployment.store.silent = True
        await _sleep_for(fault)
        deployment.store.silent = False


@fault_action("store link")
async def silence_store_link(deployment: Deployment, fault: Fault) -> None:
    """Cut one instance off from the store."""
    instance = deployment.pick_instance(fault)
    link = deployment.store_links[deployment.instances.index(instance)]
    with deployment.excuse(instance.name):
        link.block()
        await _sleep_for(fault)
        link.clear_faults()


@fault_action("answers lost")
async def lose_write_answers(deployment: Deployment, fault: Fault) -> None:
    """Have the store do what it is asked to and lose the answers of writes."""
    deployment.store.lose_answers = True
    await _sleep_for(fault)
    deployment.store.lose_answers = False


@fault_action("history lost")
async def forget_history(deployment: Deployment, fault: Fault) -> None:
    """Have the store forget its history."""
    deployment.store.forget_history()


@fault_action("restore")
async def restore_store(deployment: Deployment, fault: Fault) -> None:
    """Bring the store back from a copy that is as old as the fault is long.

    What the operator and the servers wrote since is written again, in any order and pace.
    """
    async with deployment.restore_lock:
        backup, copied_at = deployment.store.back_up(), deployment.clock.now()
        await _sleep_for(fault)
        with deployment.excuse(None):
            deployment.store.status = 503
            await asyncio.sleep(RESTORE_OUTAGE_MS / 1_000)
            lost = deployment.store.list_lost(backup)
            await deployment.store.restore(backup)
            deployment.store.status = None
        rng = random.Random(fault.point)
        rng.shuffle(lost)
        for row in lost:
            await asyncio.sleep(rng.random() * MAX_REWRITE_PAUSE_MS / 1_000)
            await deployment.store.write_again(row, backup)
            if row.table == "op":
                deployment.update_version_times(copied_at)


@fault_action("configuration")
async def change_configuration(deployment: Deployment, fault: Fault) -> None:
    """Write a new version of the configuration."""
    await deployment.write_next_configuration()
