"""The faults of a run: what each kind does to the deployment, and how it is undone."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import replace

from soak.callers import TEMPLATES, call_once
from soak.deployment import STOP_GRACE_S, Deployment
from soak.faulty_server import FaultyServer
from soak.observations import Kind, NamedLimit
from soak.plan import DEADLY_FAULT, Fault
from soak.proxy import Proxy
from standins.batch_server import BatchServer
from standins.pauses import NO_PAUSE, PauseSource

# Time from the announcement of a leave until the upstream is restarted.
LEAVE_DELAY_MS = 1_500
LINK_DELAY_MS = 120
RESTORE_OUTAGE_MS = 300
# The share of answers that pause, and how much longer than other faults they do.
PAUSING_SHARE = 0.3
PAUSING_LENGTH_FACTOR = 2
# The rates that a limited upstream names, in requests per second, and how much longer than other
# faults a limit lasts: the check looks at windows of 4 s.
LIMIT_RATES = (0.0, 1.0, 3.0, 15.0)
LIMIT_LENGTH_FACTOR = 4
# Maximum pause before each row that is rewritten after a restore of the store.
MAX_REWRITE_PAUSE_MS = 400

# A deadly request comes for so long, and again after a time between these.
DEADLY_MS = 8_000
DEADLY_REPEAT_S = (0.3, 0.6)

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
    """Let all upstreams of a service fall silent in the middle of answers and go on."""
    upstreams = deployment.pick_service(fault)
    for number, upstream in enumerate(upstreams):
        upstream.draw_pause = PauseSource(fault.at_ms + number, PAUSING_SHARE).draw
    await asyncio.sleep(fault.for_ms * PAUSING_LENGTH_FACTOR / 1_000)
    for upstream in upstreams:
        upstream.draw_pause = lambda: NO_PAUSE


@fault_action(DEADLY_FAULT)
async def send_deadly_request(deployment: Deployment, fault: Fault) -> None:
    """Let a caller send a request that ends the server that runs it, again and again.

    Each time it has a new id, and the next instance gets it.
    """
    rng, until = random.Random(fault.point), deployment.clock.now() + DEADLY_MS
    template = TEMPLATES[rng.choice((Kind.LOOKUP, Kind.BOOKING))]
    template = replace(template, path=f"{template.path}-deadly-{fault.at_ms}")
    deployment.deadly_paths.add(template.path)
    instances = itertools.cycle(deployment.instances)
    while deployment.clock.now() < until:
        instance = next(instances)
        with contextlib.suppress(OSError, TimeoutError):
            await call_once(instance.name, (instance.ip, instance.front_port), template)
        await asyncio.sleep(rng.uniform(*DEADLY_REPEAT_S))


@fault_action("limit")
async def name_rate_limit(deployment: Deployment, fault: Fault) -> None:
    """Let an upstream name a rate limit in its answers for some seconds.

    It ends a limit that the upstream names already: only one can be named at a time.
    """
    upstream = deployment.pick_upstream(fault)
    rate = LIMIT_RATES[fault.for_ms % len(LIMIT_RATES)]
    incarnation = upstream.incarnation if isinstance(upstream, FaultyServer) else 1
    limit = NamedLimit(upstream.name, incarnation, deployment.clock.now(), rate)
    _end_named_limit(deployment, upstream)
    deployment.named_limits[upstream.name] = limit
    upstream.rate_limit = rate
    await asyncio.sleep(fault.for_ms * LIMIT_LENGTH_FACTOR / 1_000)
    if deployment.named_limits.get(upstream.name) is limit:
        _end_named_limit(deployment, upstream)


def _end_named_limit(deployment: Deployment, upstream: FaultyServer | BatchServer) -> None:
    """End the limit that an upstream names, if it does, and record for how long it did."""
    limit = deployment.named_limits.pop(upstream.name, None)
    if limit is not None:
        upstream.rate_limit = None
        deployment.observations.limit_periods.append(limit.end(deployment.clock.now()))


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
