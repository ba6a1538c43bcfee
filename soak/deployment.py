"""The deployment under test: gateway processes, stand-in upstreams and store, and proxies."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractContextManager, asynccontextmanager
from pathlib import Path
from typing import Any

from lentilwell._clock import BootClock
from soak.engine_recorder import record_engine
from soak.faulty_server import FaultyServer
from soak.observations import LimitPeriod, Observations, Trouble
from soak.plan import Fault
from soak.proxy import Proxy
from standins.batch_server import BatchServer
from standins.gateway_process import (
    Instance,
    build_configuration,
    build_server_entry,
    scale_engine_speed,
)
from standins.pauses import NO_PAUSE, PauseSource
from standins.rows import RowServer, RowStore

INSTANCES = 3
FAULTY_SERVERS = 3
ENGINES = 3
ENGINE_SPEED = 20.0
STOP_GRACE_S = 4.0
# Time from the announcement of a leave until the upstream is restarted.
LEAVE_DELAY_MS = 1_500
# Time after a fault to detect silent connections, reconnect and start a process.
RECOVERY_MS = 3_000
LINK_DELAY_MS = 120
RESTORE_OUTAGE_MS = 300
PAUSING_SHARE = 0.5
# A fault may break a connection this long after its end; "twice" repeats an answer after 50 ms.
BREAK_MS = 500
# The rates that a limited upstream names, in requests per second, and how much longer than other
# faults a limit lasts: the check looks at windows of 4 s.
LIMIT_RATES = (0.0, 1.0, 3.0, 15.0)
LIMIT_LENGTH_FACTOR = 4
# Maximum pause before each row that is rewritten after a restore of the store.
MAX_REWRITE_PAUSE_MS = 400


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
        self._folder = folder
        self._instance_count = instances
        self._engines_by_address: dict[str, BatchServer] = {}
        self._log_tasks: set[asyncio.Task[None]] = set()
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

    async def apply_fault(self, fault: Fault) -> None:
        """Inject a fault and, if it has a duration, undo it afterwards."""
        await FAULT_ACTIONS[fault.kind](self, fault)

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


FaultAction = Callable[[Deployment, Fault], Awaitable[None]]
FAULT_ACTIONS: dict[str, FaultAction] = {}


def fault_action(*names: str) -> Callable[[FaultAction], FaultAction]:
    """Register a function that injects faults of the given kinds."""

    def register(function: FaultAction) -> FaultAction:
        FAULT_ACTIONS.update(dict.fromkeys(names, function))
        return function

    return register


async def _sleep_for(fault: Fault) -> None:
    await asyncio.sleep(fault.for_ms / 1_000)


@fault_action("stop")
async def stop_instance(deployment: Deployment, fault: Fault) -> None:
    """Stop a process with SIGTERM and start it again.

    The stop excuses only that a pausing upstream is not waited for: it may end before the pause.
    """
    instance = deployment.pick_instance(fault)
    async with deployment.get_lock(instance), deployment.allow_breaks(instance.name):
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
    """Kill a process and start it again after the duration of the fault."""
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
    """Suspend a process with SIGSTOP for the duration of the fault."""
    instance = deployment.pick_instance(fault)
    async with deployment.get_lock(instance):
        with deployment.excuse(instance.name):
            assert instance.process is not None
            instance.process.send_signal(signal.SIGSTOP)
            await _sleep_for(fault)
            instance.process.send_signal(signal.SIGCONT)


@fault_action("shed", "closed", "twice", "torn", "mute", "failing")
async def change_answer_mode(deployment: Deployment, fault: Fault) -> None:
    """Switch a faulty server to the mode named like the fault."""
    faulty_server = deployment.pick_faulty_server(fault)
    async with deployment.allow_breaks(faulty_server.name):
        faulty_server.mode = fault.kind
        await _sleep_for(fault)
        faulty_server.mode = "sound"


@fault_action("pausing")
async def let_answers_pause(deployment: Deployment, fault: Fault) -> None:
    """Let a sound upstream fall silent in the middle of answers and go on."""
    upstream = deployment.pick_upstream(fault)
    upstream.draw_pause = PauseSource(fault.at_ms, PAUSING_SHARE).draw
    if isinstance(upstream, FaultyServer):
        upstream.mode = "pausing"
    await _sleep_for(fault)
    upstream.draw_pause = lambda: NO_PAUSE
    if isinstance(upstream, FaultyServer):
        upstream.mode = "sound"


@fault_action("limit")
async def name_rate_limit(deployment: Deployment, fault: Fault) -> None:
    """Let an upstream name a rate limit in its answers for some seconds."""
    upstream = deployment.pick_upstream(fault)
    rate = LIMIT_RATES[fault.for_ms % len(LIMIT_RATES)]
    incarnation = upstream.incarnation if isinstance(upstream, FaultyServer) else 1
    begin = deployment.clock.now()
    upstream.rate_limit = rate
    await asyncio.sleep(fault.for_ms * LIMIT_LENGTH_FACTOR / 1_000)
    if upstream.rate_limit == rate:
        upstream.rate_limit = None
    period = LimitPeriod(upstream.name, incarnation, begin, deployment.clock.now(), rate)
    deployment.observations.limit_periods.append(period)


@fault_action("leave")
async def announce_leaving(deployment: Deployment, fault: Fault) -> None:
    """Announce the leave of a server in its answers only, then restart it with the same name."""
    faulty_server = deployment.pick_faulty_server(fault)
    faulty_server.leaving = True
    await asyncio.sleep(LEAVE_DELAY_MS / 1_000)
    faulty_server.restart()
    await deployment.register_upstream(faulty_server.name, "desk", born=faulty_server.incarnation)


@fault_action("gone")
async def unregister_upstream(deployment: Deployment, fault: Fault) -> None:
    """Remove the entry of a server from the store during the fault; the server keeps running."""
    faulty_server = deployment.pick_faulty_server(fault)
    await deployment.store.remove("servers", faulty_server.name)
    await _sleep_for(fault)
    await deployment.register_upstream(faulty_server.name, "desk", born=faulty_server.incarnation)


LINK_ACTIONS: dict[str, Callable[[Proxy], None]] = {
    "delay": lambda link: link.delay(LINK_DELAY_MS),
    "silence": lambda link: link.block(),
    "one way": lambda link: link.block(to_target=False),
}


@fault_action(*LINK_ACTIONS)
async def degrade_link(deployment: Deployment, fault: Fault) -> None:
    """Delay or block bytes to and from an upstream, or block only its answers."""
    name = deployment.pick_link(fault)
    with deployment.excuse(name):
        LINK_ACTIONS[fault.kind](deployment.links[name])
        await _sleep_for(fault)
        deployment.links[name].clear_faults()


@fault_action("reset")
async def reset_link(deployment: Deployment, fault: Fault) -> None:
    """Reset all connections to an upstream."""
    name = deployment.pick_link(fault)
    async with deployment.allow_breaks(name):
        deployment.links[name].reset()


@fault_action("store away")
async def refuse_store_calls(deployment: Deployment, fault: Fault) -> None:
    """Make the store answer all calls with status 503."""
    with deployment.excuse(None):
        deployment.store.status = 503
        await _sleep_for(fault)
        deployment.store.status = None


@fault_action("store silent")
async def silence_store(deployment: Deployment, fault: Fault) -> None:
    """Make the store leave all calls unanswered, also after the fault has ended."""
    with deployment.excuse(None):
        deployment.store.silent = True
        await _sleep_for(fault)
        deployment.store.silent = False


@fault_action("store link")
async def silence_store_link(deployment: Deployment, fault: Fault) -> None:
    """Block the connections between one instance and the store."""
    instance = deployment.pick_instance(fault)
    link = deployment.store_links[deployment.instances.index(instance)]
    with deployment.excuse(instance.name):
        link.block()
        await _sleep_for(fault)
        link.clear_faults()


@fault_action("answers lost")
async def lose_write_answers(deployment: Deployment, fault: Fault) -> None:
    """Make the store apply writes and drop their answers."""
    deployment.store.lose_answers = True
    await _sleep_for(fault)
    deployment.store.lose_answers = False


@fault_action("history lost")
async def forget_history(deployment: Deployment, fault: Fault) -> None:
    """Make the store forget past changes, so that a feed from an older version cannot continue."""
    deployment.store.forget_history()


@fault_action("restore")
async def restore_store(deployment: Deployment, fault: Fault) -> None:
    """Restore the store from a backup taken at the start of the fault.

    The rows that the operator and the upstreams wrote since are written again, in random order and
    with random pauses.
    """
    async with deployment.restore_lock:
        backup, copied_at = deployment.store.back_up(), deployment.clock.now()
        await _sleep_for(fault)
        with deployment.excuse(None):
            deployment.store.status = 503
            await asyncio.sleep(RESTORE_OUTAGE_MS / 1_000)
            lost = deployment.store.list_lost_rows(backup)
            await deployment.store.restore(backup)
            deployment.store.status = None
        rng = random.Random(fault.point)
        rng.shuffle(lost)
        for row in lost:
            await asyncio.sleep(rng.random() * MAX_REWRITE_PAUSE_MS / 1_000)
            await deployment.store.rewrite_row(row, backup)
            if row.table == "op":
                deployment.update_version_times(copied_at)


@fault_action("configuration")
async def change_configuration(deployment: Deployment, fault: Fault) -> None:
    """Write the next version of the configuration."""
    await deployment.write_next_configuration()
