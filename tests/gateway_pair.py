"""Runs two gateways that list each other, of which one can be cut off from all upstreams."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from contextlib import asynccontextmanager, contextmanager
from contextvars import ContextVar
from dataclasses import dataclass, field, replace

from wire_headers import PlatformDialect

from lentilwell.gateway import Entry, Feeds, Gateway, Member, Upstream
from tests.gateway_harness import (
    CATALOG,
    SETTINGS,
    FakeFeed,
    GatewayHarness,
    Script,
    ScriptedUpstream,
)

SETTLE_TIMEOUT_S = 5
# Bounds the wait for a cut to be noticed, and that for arrivals.
WAIT_TIMEOUT_S = 3

# The gateway that the running task or callback belongs to.
_OWNER: ContextVar[str] = ContextVar("owner", default="")


class SharedMembership:
    """The list of instances that both gateways share."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}

    async def announce(self, instance: str, member: Member) -> None:
        """Add an instance."""
        self.members[instance] = member

    async def list_members(self) -> dict[str, Member]:
        """Return all instances."""
        return dict(self.members)


@dataclass
class Network:
    """The connections to upstreams; those of the gateways in ``cut`` are refused, or hang."""

    upstreams: set[tuple[str, int]] = field(default_factory=set)
    cut: set[str] = field(default_factory=set)
    hangs: bool = False
    direct: int = 0

    @contextmanager
    def applied(self) -> Iterator[None]:
        """Let the running event loop use this network."""
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def create_connection(factory, host=None, port=None, **options):
            if (host, port) in self.upstreams and _OWNER.get() in self.cut:
                if self.hangs:
                    await asyncio.sleep(3_600)
                raise ConnectionRefusedError("cut off")
            if (host, port) in self.upstreams:
                self.direct += 1
            return await connect(factory, host, port, **options)

        loop.create_connection = create_connection
        try:
            yield
        finally:
            del loop.create_connection


@dataclass
class Pair:
    """Two gateways, ``a`` and ``b``, in front of the same upstreams."""

    a: GatewayHarness
    b: GatewayHarness
    network: Network
    upstreams: list[ScriptedUpstream]

    def cut_off_a(self, hangs: bool = False) -> None:
        """Cut gateway ``a`` off from all upstreams."""
        self.network.hangs = hangs
        self.network.cut = {"a"}

    async def cut_off_a_until_noticed(self) -> None:
        """Cut gateway ``a`` off, and call it until its connections go through ``b``."""
        self.cut_off_a()
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not self.a.gateway.connections.path_cut:
                await self.a.call("/whole/x")
                await asyncio.sleep(0.02)

    async def wait_for_arrivals(self, count: int) -> None:
        """Wait until the upstreams have received this many requests."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while len(self.a.arrivals) < count:
                await asyncio.sleep(0.01)

    def mend(self) -> None:
        """End all cuts."""
        self.network.cut = set()


def find_free_address() -> str:
    """Return a loopback address whose port is free for TCP and UDP."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


@asynccontextmanager
async def run_pair(*scripts: Script):
    """Run two gateways with one upstream for each script."""
    network, upstreams, entries = Network(), [], []
    for index, script in enumerate(scripts):
        upstream = ScriptedUpstream(f"u{index}", script)
        address = await upstream.start()
        host, _, port = address.rpartition(":")
        network.upstreams.add((host, int(port)))
        upstreams.append(upstream)
        entries.append(Entry(upstream.name, Upstream(upstream.name, "s", address, "dc", 8, False)))
    membership = SharedMembership()
    with network.applied():
        gateways = [await _start(name, entries, membership) for name in ("a", "b")]
        try:
            await _wait_for_contact(gateways)
            harnesses = [
                GatewayHarness(gateway, upstreams, FakeFeed(), FakeFeed()) for gateway in gateways
            ]
            yield Pair(*harnesses, network, upstreams)
        finally:
            for gateway in gateways:
                await gateway.stop()
            for upstream in upstreams:
                upstream.server.close()


async def _start(name: str, entries, membership: SharedMembership) -> Gateway:
    settings = replace(SETTINGS, instance=name, peers_address=find_free_address())
    membership.members[name] = Member(settings.peers_address, settings.data_centre)
    feeds = Feeds(FakeFeed(Entry("config", CATALOG)), FakeFeed(*entries), membership)
    _OWNER.set(name)
    gateway = Gateway(settings, PlatformDialect(), feeds)
    await gateway.start()
    _OWNER.set("")
    return gateway


async def _wait_for_contact(gateways: list[Gateway]) -> None:
    async with asyncio.timeout(SETTLE_TIMEOUT_S):
        while not all(one.ready and one.peers.others_serve for one in gateways):
            for gateway in gateways:
                gateway.peers.run_maintenance()
            await asyncio.sleep(0.02)
