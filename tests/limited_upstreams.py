"""Gateways that know each other by datagrams, before upstreams that name a rate limit.

All of them run in the test process. ``check_windows`` counts the requests that a limited upstream
gets as the users' rule does (LIMIT, named rates).
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace

from wire_headers import PlatformDialect

from lentilwell._clock import SystemClock
from lentilwell.gateway import Entry, Feeds, Gateway, Member, Upstream
from standins.answer_reader import read_answer
from standins.limit_rule import GRACE_MS, count_worst_window
from tests.gateway_harness import (
    ANSWER_TIMEOUT_S,
    CATALOG,
    HOST,
    KEY,
    SETTINGS,
    Arrival,
    FakeFeed,
    ScriptedUpstream,
)

PAUSE_TICK_S = 0.005
CLOCK = SystemClock()


@dataclass
class LimitedUpstream:
    """Answers every request, names ``rate`` while it is set, and records who sent what when.

    One that ``refuses`` makes the gateway try another upstream.
    """

    rate: float | None
    refuses: bool = False
    sends: list[tuple[int, str]] = field(default_factory=list)
    told_at: dict[str, int] = field(default_factory=dict)

    async def __call__(self, arrival: Arrival) -> None:
        """Answer a request; the ``Via-Instance`` header says which instance forwarded it."""
        instance = arrival.headers.get("via-instance", "")
        self.sends.append((CLOCK.now(), instance))
        limit = {} if self.rate is None else {"Server_Limit": self.rate}
        if self.refuses:
            await arrival.answer(503, signed=False, Not_Run=1, **limit)
        else:
            await arrival.answer(body=b"hello", **limit)
        if self.rate is None:
            return
        self.told_at.setdefault(instance, CLOCK.now())

    @property
    def bound_sends(self) -> list[int]:
        """Return the times of the requests from instances that had been told before."""
        return [
            at for at, instance in self.sends if at >= self.told_at.get(instance, at) + GRACE_MS
        ]

    def count_worst_window(self) -> int:
        """Return the largest number of such requests in any window."""
        return count_worst_window(self.bound_sends)


@dataclass
class Served:
    """What a caller got, and how long it took in ms.

    ``held_up_ms`` is for how much of that time the event loop, which the gateways share with the
    test, did not run when it should.
    """

    status: int
    retry_after: str | None
    took_ms: int
    held_up_ms: int

    @property
    def own_ms(self) -> int:
        """Return the time that the gateway itself took, without pauses of the test process."""
        return self.took_ms - self.held_up_ms


class KnownMembers:
    """A list of instances that never changes."""

    def __init__(self, members: dict[str, Member]) -> None:
        self.members = members

    async def announce(self, instance, member):
        """Do nothing, since every instance is listed already."""

    async def list_members(self):
        """Return all instances."""
        return dict(self.members)


@dataclass
class GatewayGroup:
    """Gateways by name, before the same upstreams."""

    gateways: dict[str, Gateway]
    served: list[Served] = field(default_factory=list)
    held_up_s: float = 0.0

    async def measure_pauses(self) -> None:
        """Add up how late the event loop runs a timer that is always due soon."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + PAUSE_TICK_S
            await asyncio.sleep(PAUSE_TICK_S)
            self.held_up_s += loop.time() - due_s

    async def call(self, instance: str, path: str = "/whole/x", deadline_ms: int = 3_000) -> Served:
        """Send one request through an instance, and record and return what came back."""
        began, held_up_s = CLOCK.now(), self.held_up_s
        gateway = self.gateways[instance]
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.callers_port)
        headers = {
            "Host": HOST,
            "Request-Id": f"{instance}-{len(self.served)}-{began}",
            "Credential": KEY,
            "Deadline-Ms": str(deadline_ms),
            "Via-Instance": instance,
        }
        rows = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"GET {path} HTTP/1.1\r\n{rows}\r\n".encode())
        answer = await asyncio.wait_for(read_answer(reader), ANSWER_TIMEOUT_S)
        writer.close()
        took_ms = CLOCK.now() - began
        held_up_ms = round((self.held_up_s - held_up_s) * 1_000)
        retry_after = answer.headers.get("retry-after")
        served = Served(answer.status, retry_after, took_ms, held_up_ms)
        self.served.append(served)
        return served

    async def press(self, seconds: float, calls_per_s: float, deadline_ms: int = 3_000) -> None:
        """Send requests at an even pace, to the instances in turn, and wait for all answers.

        While the event loop is held up, time stands still for the pace and for ``seconds``.
        """
        loop = asyncio.get_running_loop()
        names = list(self.gateways)
        began_s, tasks = loop.time() - self.held_up_s, []
        for number in range(round(seconds * calls_per_s)):
            due_s = began_s + number / calls_per_s
            await asyncio.sleep(max(0.0, due_s + self.held_up_s - loop.time()))
            name = names[number % len(names)]
            tasks.append(loop.create_task(self.call(name, deadline_ms=deadline_ms)))
        await asyncio.gather(*tasks)


@asynccontextmanager
async def run_gateways(count: int, scripts: Sequence, catalog=CATALOG, gone: int = 0):
    """Run ``count`` gateways before one upstream for each script, all listed from the start.

    ``gone`` further instances are listed and do not run.
    """
    upstreams = [ScriptedUpstream(f"u{index}", script) for index, script in enumerate(scripts)]
    entries = [
        Entry(one.name, Upstream(one.name, "s", await one.start(), "dc", 8, False, born_ms=1))
        for one in upstreams
    ]
    members = make_members(count + gone)
    running = list(members)[:count]
    async with AsyncExitStack() as stack:
        gateways = {
            name: await stack.enter_async_context(
                run_member(name, members, FakeFeed(*entries), catalog)
            )
            for name in running
        }
        while not all(is_settled(gateway, count + gone) for gateway in gateways.values()):
            await asyncio.sleep(0.01)
        group = GatewayGroup(gateways)
        measuring = asyncio.create_task(group.measure_pauses())
        yield group
        measuring.cancel()
    for upstream in upstreams:
        upstream.server.close()


def make_members(count: int) -> dict[str, Member]:
    """Return instances by name, each with a free address for datagrams."""
    return {
        f"i{number}": Member(f"127.0.7.{number + 1}:{_find_free_port()}", "dc")
        for number in range(count)
    }


def is_settled(gateway: Gateway, count: int) -> bool:
    """Tell whether a gateway is ready and knows ``count`` instances."""
    return gateway.ready and gateway.peers.instances == count


@asynccontextmanager
async def run_member(name, members, listing, catalog, policy=SETTINGS.policy):
    """Run one gateway of a group; ``members`` are the addresses of all, ``listing`` the feed."""
    settings = replace(SETTINGS, instance=name, peers_address=members[name].address, policy=policy)
    feeds = Feeds(FakeFeed(Entry("config", catalog)), listing, KnownMembers(members))
    gateway = Gateway(settings, PlatformDialect(), feeds)
    await gateway.start()
    maintenance = asyncio.create_task(_run_maintenance(gateway))
    try:
        yield gateway
    finally:
        maintenance.cancel()
        await gateway.stop()


async def _run_maintenance(gateway: Gateway) -> None:
    while True:
        await asyncio.sleep(0.25)
        gateway.peers.run_maintenance()
        gateway.fleet.remove_unlisted()


def _find_free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]
