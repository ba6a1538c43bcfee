"""Gateways in the test process before upstreams that end under certain whole requests."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, replace

from lentilwell._clock import SystemClock
from lentilwell.gateway import Entry, Gateway, Member, ServiceSpec, Team, Upstream
from standins.batch import ENGINE
from standins.deadly_fleet import make_fleet
from standins.deadly_load import DEADLY, TEAM, Case, DeadlyLoad, Target
from standins.deadly_requests import DeadlyRecord
from standins.restarting_fleet import ListedServer, RestartingFleet
from tests.gateway_harness import CATALOG, HOST, KEY, FakeFeed, make_route
from tests.limited_upstreams import is_settled, make_members, run_member

SEED = 20_261_205
INCIDENT_S = 9.0
OTHER_TEAM = "green"
KEYS = {TEAM: KEY, OTHER_TEAM: "key-2"}
CLOCK = SystemClock()
DEADLY_CATALOG = replace(CATALOG, teams=tuple(Team(name, (KEYS[name],), None) for name in KEYS))
ENGINES_CATALOG = replace(
    DEADLY_CATALOG,
    routes=(make_route("stream", timeout_ms=10_000),),
    services={"s": ServiceSpec("s", "/health", 100, ENGINE)},
)


@dataclass(kw_only=True)
class DeadlyGroup(DeadlyLoad):
    """Gateways by name, before upstreams that end under the deadly requests of a case."""

    gateways: dict[str, Gateway]
    fleet: RestartingFleet
    listing: FakeFeed
    members: dict[str, Member]

    @asynccontextmanager
    async def run_late_instance(self, name: str) -> AsyncIterator[None]:
        """Run a further gateway, which was listed from the start."""
        async with run_instance(name, self.members, self.listing, self.case) as gateway:
            self.gateways[name] = gateway
            while not gateway.ready:
                await asyncio.sleep(0.01)
            yield
            del self.gateways[name]


def run_instance(name: str, members: dict[str, Member], listing: FakeFeed, case: Case):
    """Run one gateway of a group."""
    if case.streams:
        return run_member(name, members, listing, ENGINES_CATALOG, "least_cost")
    return run_member(name, members, listing, DEADLY_CATALOG)


@asynccontextmanager
async def run_group(instances: int, case: Case, late: int = 0, **fleet_options):
    """Run gateways that know each other, before upstreams that end under two deadly requests.

    ``late`` further instances are listed and do not run; ``fleet_options`` go to ``make_fleet``.
    """
    record = DeadlyRecord(CLOCK, {case.make_deadly(name): name for name in DEADLY})
    draw, listing, members = random.Random(SEED), FakeFeed(), make_members(instances + late)
    gateways: dict[str, Gateway] = {}

    async def publish(listed: Sequence[ListedServer]) -> None:
        listing.put(*map(make_entry, listed))

    def list_targets() -> list[Target]:
        return [Target(name, "127.0.0.1", one.callers_port) for name, one in gateways.items()]

    fleet = make_fleet(case, record, draw, publish, **fleet_options)
    await fleet.start()
    async with AsyncExitStack() as stack:
        for name in list(members)[:instances]:
            gateways[name] = await stack.enter_async_context(
                run_instance(name, members, listing, case)
            )
        while not all(is_settled(gateway, len(members)) for gateway in gateways.values()):
            await asyncio.sleep(0.01)
        yield DeadlyGroup(
            case,
            record,
            draw,
            CLOCK,
            HOST,
            KEYS,
            list_targets,
            gateways=gateways,
            fleet=fleet,
            listing=listing,
            members=members,
        )
    fleet.close()


def make_entry(one: ListedServer) -> Entry:
    """Return the list entry of an upstream; each start is a new incarnation."""
    name, address = one.server.name, one.server.address
    return Entry(name, Upstream(name, "s", address, "dc", ENGINE.slots, False, born_ms=one.start))
