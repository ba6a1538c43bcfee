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
from soak.desk import Desk
from soak.observations import Observations
from soak.plan import Fault
from soak.proxy import Proxy
from standins.batch_server import BatchServer
from standins.gateway_process import (
    Instance,
    build_configuration,
    build_server_entry,
    scale_engine_speed,
)
from standins.rows import RowServer, RowStore

INSTANCES = 3
DESKS = 3
ENGINES = 3
ENGINE_SPEED = 20.0
GRACE_S = 4.0
# Between an upstream's word that it leaves and its end.
LEAVE_MS = 1_500
# After a trouble: until silence is noticed, connections are back and a process has started.
AFTERMATH_MS = 3_000
DELAY_MS = 120
RESTORE_AWAY_MS = 300
# Between two rows that are written again after a restore of the store, at most.
REWRITE_PAUSE_MS = 400


class World:
    """Everything that runs, and the faults that can be done to it."""

    def __init__(self, folder: Path, instances: int) -> None:
        self.seen = Observations()
        self.clock = BootClock()
        self.store = RowStore()
        self.instances: list[Instance] = []
        self.lives: dict[str, int] = {}
        self.desks = [Desk(f"d{number}", self.seen) for number in range(DESKS)]
        self.engines: list[BatchServer] = []
        self.links: dict[str, Proxy] = {}
        self.store_links: list[Proxy] = []
        self.logs: dict[str, list[bytes]] = {}
        # Two restores do not overlap: the second would bring back what the first has lost.
        self.restoring = asyncio.Lock()
        self._folder = folder
        self._count = instances
        self._fleet: dict[str, BatchServer] = {}
        self._readers: set[asyncio.Task[None]] = set()
        self._busy: dict[str, asyncio.Lock] = {}
        self._version = 1

    async def start(self) -> None:
        """Start all, and wait until every instance takes callers."""
        self._rows = RowServer(self.store)
        store_address = await self._rows.start()
        await self.store.put("op", "config", make_configuration(self._version))
        self.engines = [
            BatchServer(f"e{n}", self._fleet, speed=ENGINE_SPEED) for n in range(ENGINES)
        ]
        for server in self._servers:
            await server.start()
            link = self.links[server.name] = Proxy(server.address)
            await link.start()
            if isinstance(server, BatchServer):
                self._fleet[link.address] = server
            await self.list_server(server.name, "desk" if isinstance(server, Desk) else "engines")
        for number in range(self._count):
            link = Proxy(store_address)
            self.store_links.append(link)
            name = f"n{number}"
            self.instances.append(Instance(self._folder, name, await link.start(), GRACE_S))
            self._busy[name] = asyncio.Lock()
        for instance in self.instances:
            await self.start_instance(instance)
        for instance in self.instances:
            await instance.wait_ready()

    @property
    def _servers(self) -> tuple[Desk | BatchServer, ...]:
        return (*self.desks, *self.engines)

    async def start_instance(self, instance: Instance) -> None:
        """Start a process and read its log from then on."""
        self.lives[instance.name] = self.lives.get(instance.name, 0) + 1
        await instance.start()
        reading = asyncio.ensure_future(self._read_log(instance))
        self._readers.add(reading)
        reading.add_done_callback(self._readers.discard)

    async def restart_instance(self, instance: Instance) -> None:
        """Start a process again; until it has loaded, those who connect wait for it."""
        with self.seen.trouble(instance.name, self.clock.now, 0):
            await self.start_instance(instance)
            await instance.wait_ready()

    async def list_server(self, name: str, service: str, **changes: Any) -> None:
        """Write a server's entry to the store."""
        listed = build_server_entry(self.links[name].address, service, **changes)
        await self.store.put("servers", name, listed)

    async def close(self) -> None:
        """End the processes that were started here, and the stand-ins."""
        for instance in self.instances:
            if instance.process is not None and instance.process.returncode is None:
                instance.process.kill()
                await instance.process.wait()
        await asyncio.gather(*self._readers, return_exceptions=True)
        for link in (*self.links.values(), *self.store_links):
            link.close()
        for server in self._servers:
            server.close()
        self._rows.close()

    async def apply(self, fault: Fault) -> None:
        """Do a fault, and undo it after its time."""
        await FAULTS[fault.kind](self, fault)

    async def settle(self) -> None:
        """Wait for memory to be given back, and write down what still is not."""
        await asyncio.sleep(AFTERMATH_MS / 1_000)
        self.seen.held_tickets = tuple(
            f"{engine.name}/{ticket}"
            for engine in self.engines
            for ticket in engine.leases
            if engine.is_lease_active(ticket)
        )

    def pick_instance(self, fault: Fault) -> Instance:
        """Return the instance that a fault is for."""
        return self.instances[int(fault.point * len(self.instances))]

    def pick_desk(self, fault: Fault) -> Desk:
        """Return the plain server that a fault is for."""
        return self.desks[int(fault.point * len(self.desks))]

    def pick_link(self, fault: Fault) -> str:
        """Return the name of the upstream whose connections a fault is for."""
        names = sorted(self.links)
        return names[int(fault.point * len(names))]

    def disturb(self, name: str | None) -> AbstractContextManager[None]:
        """Excuse an instance, an upstream's connections, or all, for a fault and a while after."""
        return self.seen.trouble(name, self.clock.now, AFTERMATH_MS)

    def hold(self, instance: Instance) -> asyncio.Lock:
        """Keep other faults of the same process waiting."""
        return self._busy[instance.name]

    async def put_configuration(self) -> None:
        """Write a version that adds a route of its own."""
        self._version += 1
        await self.store.put("op", "config", make_configuration(self._version))
        self.seen.versions[self._version] = self.clock.now()

    def note_written_again(self, copied_at: int) -> None:
        """The versions written since a copy was taken are acknowledged only now."""
        now = self.clock.now()
        for version, at in self.seen.versions.items():
            self.seen.versions[version] = now if at >= copied_at else at

    async def _read_log(self, instance: Instance) -> None:
        assert instance.process is not None and instance.process.stdout is not None
        kept = self.logs.setdefault(instance.name, [])
        async for line in instance.process.stdout:
            kept.append(line)
            self.seen.logged.add(json.loads(line).get("request", ""))


def make_configuration(version: int) -> dict[str, Any]:
    """Return a version of the configuration: each after the first adds a route of its own."""
    found = build_configuration(version, scale_engine_speed(ENGINE_SPEED))
    lookups = found["routes"][2]
    for added in range(2, version + 1):
        found["routes"].append({**lookups, "name": f"v{added}", "prefix": f"/v{added}/"})
    return found


Apply = Callable[[World, Fault], Awaitable[None]]
FAULTS: dict[str, Apply] = {}


def fault_kind(*names: str) -> Callable[[Apply], Apply]:
    """Register what does the faults of these kinds."""

    def register(function: Apply) -> Apply:
        FAULTS.update(dict.fromkeys(names, function))
        return function

    return register


async def _sleep(fault: Fault) -> None:
    await asyncio.sleep(fault.for_ms / 1_000)


@fault_kind("stop")
async def stop_instance(world: World, fault: Fault) -> None:
    """Stop a process as planned, and start it again: nothing excuses it."""
    instance = world.pick_instance(fault)
    async with world.hold(instance):
        assert instance.process is not None
        instance.process.send_signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(instance.process.wait(), GRACE_S)
        if instance.process.returncode is None:
            instance.process.kill()
            await instance.process.wait()
        await world.restart_instance(instance)


@fault_kind("kill")
async def kill_instance(world: World, fault: Fault) -> None:
    """Kill a process and start it again after a while."""
    instance = world.pick_instance(fault)
    async with world.hold(instance):
        with world.disturb(instance.name):
            assert instance.process is not None
            instance.process.kill()
            await instance.process.wait()
            await _sleep(fault)
            await world.restart_instance(instance)


@fault_kind("pause")
async def pause_instance(world: World, fault: Fault) -> None:
    """Stand a process still."""
    instance = world.pick_instance(fault)
    async with world.hold(instance):
        with world.disturb(instance.name):
            assert instance.process is not None
            instance.process.send_signal(signal.SIGSTOP)
            await _sleep(fault)
            instance.process.send_signal(signal.SIGCONT)


@fault_kind("shed", "closed", "twice", "torn", "mute", "failing")
async def misbehave(world: World, fault: Fault) -> None:
    """Have a plain server answer in another way for a while."""
    desk = world.pick_desk(fault)
    desk.mode = fault.kind
    await _sleep(fault)
    desk.mode = "sound"


@fault_kind("leave")
async def leave(world: World, fault: Fault) -> None:
    """Have a plain server leave: only its answers tell, then a new life starts under its name."""
    desk = world.pick_desk(fault)
    desk.leaving = True
    await asyncio.sleep(LEAVE_MS / 1_000)
    desk.begin_life()
    await world.list_server(desk.name, "desk", born=desk.life)


@fault_kind("gone")
async def remove_entry(world: World, fault: Fault) -> None:
    """Take a server off the list for a while, as if it had left."""
    desk = world.pick_desk(fault)
    await world.store.remove("servers", desk.name)
    await _sleep(fault)
    await world.list_server(desk.name, "desk", born=desk.life)


LINK_CHANGES: dict[str, Callable[[Proxy], None]] = {
    "delay": lambda link: link.delay(DELAY_MS),
    "silence": lambda link: link.silence(),
    "one way": lambda link: link.silence(up=False),
}


@fault_kind(*LINK_CHANGES)
async def change_link(world: World, fault: Fault) -> None:
    """Delay or hold back bytes to and from an upstream, or its answers alone."""
    name = world.pick_link(fault)
    with world.disturb(name):
        LINK_CHANGES[fault.kind](world.links[name])
        await _sleep(fault)
        world.links[name].heal()


@fault_kind("reset")
async def reset_link(world: World, fault: Fault) -> None:
    """Reset all connections to an upstream."""
    world.links[world.pick_link(fault)].reset()


@fault_kind("store away")
async def refuse_at_store(world: World, fault: Fault) -> None:
    """Have the store turn all calls away."""
    with world.disturb(None):
        world.store.status = 503
        await _sleep(fault)
        world.store.status = None


@fault_kind("store silent")
async def silence_store(world: World, fault: Fault) -> None:
    """Have the store answer nothing; calls that came meanwhile are never answered."""
    with world.disturb(None):
        world.store.silent = True
        await _sleep(fault)
        world.store.silent = False


@fault_kind("store link")
async def silence_store_link(world: World, fault: Fault) -> None:
    """Cut one instance off from the store."""
    instance = world.pick_instance(fault)
    link = world.store_links[world.instances.index(instance)]
    with world.disturb(instance.name):
        link.silence()
        await _sleep(fault)
        link.heal()


@fault_kind("answers lost")
async def lose_answers(world: World, fault: Fault) -> None:
    """Have the store do what it is asked to and lose the answers of writes."""
    world.store.lose_answers = True
    await _sleep(fault)
    world.store.lose_answers = False


@fault_kind("history lost")
async def forget_history(world: World, fault: Fault) -> None:
    """Have the store forget its history."""
    world.store.forget_history()


@fault_kind("restore")
async def restore_store(world: World, fault: Fault) -> None:
    """Bring the store back from a copy that is as old as the fault is long.

    What the operator and the servers wrote since is written again, in any order and pace.
    """
    async with world.restoring:
        backup, copied_at = world.store.back_up(), world.clock.now()
        await _sleep(fault)
        with world.disturb(None):
            world.store.status = 503
            await asyncio.sleep(RESTORE_AWAY_MS / 1_000)
            lost = world.store.list_lost_rows(backup)
            await world.store.restore(backup)
            world.store.status = None
        chance = random.Random(fault.point)
        chance.shuffle(lost)
        for row in lost:
            await asyncio.sleep(chance.random() * REWRITE_PAUSE_MS / 1_000)
            await world.store.rewrite_row(row, backup)
            if row.table == "op":
                world.note_written_again(copied_at)


@fault_kind("configuration")
async def change_configuration(world: World, fault: Fault) -> None:
    """Write a new version of the configuration."""
    await world.put_configuration()
