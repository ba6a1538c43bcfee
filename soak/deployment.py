"""The deployment under test: gateway processes, stand-in upstreams and store, and proxies."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Sequence
from contextlib import AbstractContextManager, asynccontextmanager
from functools import partial
from pathlib import Path
from typing import Any

from lentilwell._clock import BootClock
from soak.engine_recorder import record_engine
from soak.faulty_server import FaultyServer
from soak.observations import NamedLimit, Observations, Trouble
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
FAULTY_SERVERS = 3
ENGINES = 3
ENGINE_SPEED = 20.0
STOP_GRACE_S = 4.0
# Time after a fault to detect silent connections, reconnect and start a process.
RECOVERY_MS = 3_000
# A server that a request has ended is restarted after this time.
CRASH_MS = 800
# A fault may break a connection this long after its end; "twice" repeats an answer after 50 ms.
BREAK_MS = 500


class Deployment:
    """All processes, stand-ins and proxies of a run.

    The instances reach every upstream through one proxy in ``links``. Each instance has its own
    proxy to the store, at its index in ``store_links``.
    """

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
        # Restores must not overlap: the second would bring back rows that the first one removed.
        self.restore_lock = asyncio.Lock()
        # Paths of requests that end the faulty servers that run them.
        self.deadly_paths: set[str] = set()
        # The rate limits that upstreams name now, by upstream.
        self.named_limits: dict[str, NamedLimit] = {}
        self._folder = folder
        self._instance_count = instances
        self._engines_by_address: dict[str, BatchServer] = {}
        self._log_tasks: set[asyncio.Task[None]] = set()
        self._restarts: set[asyncio.Future[None]] = set()
        self._instance_locks: dict[str, asyncio.Lock] = {}
        self._version = 1

    async def start(self) -> None:
        """Start everything and wait until every instance is ready."""
        self._store_server = RowServer(self.store)
        store_address = await self._store_server.start()
        await self.store.put("op", "config", make_configuration(self._version))
        self.engines = [
            BatchServer(f"e{n}", self._engines_by_address, speed=ENGINE_SPEED)
            for n in range(ENGINES)
        ]
        for server in self.faulty_servers:
            server.deadly_paths = self.deadly_paths
            server.on_crash = partial(self._begin_restart, server)
        for engine in self.engines:
            record_engine(engine, self.observations, self.clock)
        for upstream in self._upstreams:
            await upstream.start()
            link = self.links[upstream.name] = Proxy(upstream.address)
            await link.start()
            if isinstance(upstream, BatchServer):
                self._engines_by_address[link.address] = upstream
            await self.register_upstream(
                upstream.name, "desk" if isinstance(upstream, FaultyServer) else "engines"
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
        """Start the process of an instance and a task that reads its log."""
        self.incarnations[instance.name] = self.incarnations.get(instance.name, 0) + 1
        await instance.start()
        log_task = asyncio.ensure_future(self._read_log(instance))
        self._log_tasks.add(log_task)
        log_task.add_done_callback(self._log_tasks.discard)

    async def restart_instance(self, instance: Instance) -> None:
        """Start an instance again and wait until it is ready.

        Calls during the start are excused: their connections wait until the process has loaded.
        """
        with self.observations.record_trouble(instance.name, self.clock.now, 0):
            await self.start_instance(instance)
            await instance.wait_ready()

    async def register_upstream(self, name: str, service: str, **changes: Any) -> None:
        """Write the entry of an upstream to the store, with the address of its proxy."""
        upstream_entry = build_server_entry(self.links[name].address, service, **changes)
        await self.store.put("servers", name, upstream_entry)

    def _begin_restart(self, server: FaultyServer) -> None:
        restart = asyncio.ensure_future(self._restart_server(server))
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _restart_server(self, server: FaultyServer) -> None:
        """Restart a server that a request has ended, as a new incarnation."""
        async with self.allow_breaks(server.name):
            await asyncio.sleep(CRASH_MS / 1_000)
            server.restart()
            await self.register_upstream(server.name, "desk", born=server.incarnation)

    async def close(self) -> None:
        """Kill the gateway processes and stop the proxies and stand-ins."""
        for instance in self.instances:
            if instance.process is not None and instance.process.returncode is None:
                instance.process.kill()
                await instance.process.wait()
        await asyncio.gather(*self._log_tasks, return_exceptions=True)
        for link in (*self.links.values(), *self.store_links):
            link.close()
        for upstream in self._upstreams:
            upstream.close()
        self._store_server.close()

    async def record_unreleased_memory(self) -> None:
        """Wait for engine memory to be released, then record the leases still in force."""
        await asyncio.sleep(RECOVERY_MS / 1_000)
        self.observations.unreleased_tickets = tuple(
            f"{engine.name}/{ticket}"
            for engine in self.engines
            for ticket in engine.leases
            if engine.is_lease_active(ticket)
        )

    def pick_instance(self, fault: Fault) -> Instance:
        """Return the instance that a fault targets."""
        return self.instances[int(fault.point * len(self.instances))]

    def pick_faulty_server(self, fault: Fault) -> FaultyServer:
        """Return the faulty server that a fault targets."""
        return self.faulty_servers[int(fault.point * len(self.faulty_servers))]

    def pick_upstream(self, fault: Fault) -> FaultyServer | BatchServer:
        """Return the faulty server or engine that a fault targets."""
        return self._upstreams[int(fault.point * len(self._upstreams))]

    def pick_service(self, fault: Fault) -> Sequence[FaultyServer | BatchServer]:
        """Return all upstreams of the service that a fault targets."""
        services = (self.faulty_servers, self.engines)
        return services[int(fault.point * len(services))]

    def pick_link(self, fault: Fault) -> str:
        """Return the name of the upstream whose link a fault targets."""
        names = sorted(self.links)
        return names[int(fault.point * len(names))]

    def excuse(self, name: str | None) -> AbstractContextManager[None]:
        """Excuse violations at ``name`` during a ``with`` block and ``RECOVERY_MS`` longer.

        ``name`` is an instance or an upstream; None means all.
        """
        return self.observations.record_trouble(name, self.clock.now, RECOVERY_MS)

    @asynccontextmanager
    async def allow_breaks(self, name: str) -> AsyncIterator[None]:
        """Excuse during the block, and shortly after, that pauses of an upstream are not awaited.

        ``name`` is an upstream whose connections may break, or an instance that stops.
        """
        begin = self.clock.now()
        try:
            yield
        finally:
            breakage = Trouble(name, begin, self.clock.now() + BREAK_MS)
            self.observations.breakages.append(breakage)

    def get_lock(self, instance: Instance) -> asyncio.Lock:
        """Return the lock that serializes faults of the same process."""
        return self._instance_locks[instance.name]

    async def write_next_configuration(self) -> None:
        """Write a configuration version that adds one route, and record its time."""
        self._version += 1
        await self.store.put("op", "config", make_configuration(self._version))
        self.observations.version_times[self._version] = self.clock.now()

    def update_version_times(self, copied_at: int) -> None:
        """Set the time of all versions written since ``copied_at`` to now.

        A restore removed these versions, and the operator has just written the newest again.
        """
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
    """Return a configuration version with one added route for each version after the first."""
    result = build_configuration(version, scale_engine_speed(ENGINE_SPEED))
    lookup_route = result["routes"][2]
    for added_version in range(2, version + 1):
        result["routes"].append(
            {**lookup_route, "name": f"v{added_version}", "prefix": f"/v{added_version}/"}
        )
    return result
