"""Leases at engines that lose, delay and refuse orders, in simulated time."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st
from wire_headers import PlatformDialect

from lentilwell.gateway._failures import Unreachable
from lentilwell.gateway._leases import LeaseManager, ReservationFailed
from lentilwell.gateway._placement_policies import Helper
from lentilwell.gateway._upstreams import Upstream
from standins.simulated_time import run_in_simulated_time

# Memory must be free again this long after the end of its request.
MAX_RELEASE_MS = 4_000
MAX_LEASE_MS = 20_000
ORDER_DELAY_MS = 1_500
ENGINES = 3


@dataclass
class Engine:
    """Tickets and the times at which they expire, in ms.

    Each order takes the next entry of ``faults``; an empty one and a missing one mean no fault.
    """

    faults: list[str] = field(default_factory=list)
    tickets: dict[str, float] = field(default_factory=dict)

    def execute(self, order: dict) -> None:
        if order["operation"] == "release":
            self.tickets.pop(order["id"], None)
        else:
            self.tickets[order["id"]] = now_ms() + order["hold_ms"]

    def list_live(self) -> list[str]:
        return [name for name, until in self.tickets.items() if until > now_ms()]


def now_ms() -> float:
    return asyncio.get_running_loop().time() * 1_000


class FakeConnection:
    """A connection on which one order is answered or fails according to ``fault``."""

    def __init__(self, engine: Engine, fault: str) -> None:
        self.engine = engine
        self.fault = fault
        self.idle = False

    def send(self, _method, _target, _headers, body) -> None:
        self.order = json.loads(body)

    async def read_head(self):
        if self.fault in ("", "answer lost"):
            self.engine.execute(self.order)
        if self.fault == "late":
            loop = asyncio.get_running_loop()
            loop.call_later(ORDER_DELAY_MS / 1_000, self.engine.execute, self.order)
        if self.fault in ("lost", "answer lost", "late"):
            await asyncio.get_running_loop().create_future()
        refused = self.fault == "refused" and self.order["operation"] == "reserve"
        if self.fault == "refused" and not refused:
            self.engine.execute(self.order)
        return h11.Response(status_code=409 if refused else 200, headers=[])

    async def read_body(self) -> bytes:
        return b""

    def finish(self) -> None:
        self.idle = True

    def close(self) -> None:
        self.idle = False


class FakeConnectionPool:
    """Opens fake connections to engines by address."""

    def __init__(self, engines: dict[str, Engine]) -> None:
        self.engines = engines

    async def acquire(self, address: str, fresh: bool) -> FakeConnection:
        engine = self.engines[address]
        fault = engine.faults.pop(0) if engine.faults else ""
        if fault == "unreachable":
            raise Unreachable(f"{address} does not accept connections")
        return FakeConnection(engine, fault)

    def release(self, _address, _connection) -> None:
        pass


FAULTS = ("", "lost", "answer lost", "late", "refused", "unreachable")


def make_engines(faults):
    engines = {f"e{at}:1": Engine(list(listed)) for at, listed in enumerate(faults)}
    helpers = [
        Helper(Upstream(f"u{at}", "s", address, "dc", 8, False), 1_000)
        for at, address in enumerate(engines)
    ]
    leases = LeaseManager(FakeConnectionPool(engines), PlatformDialect(), "life", MAX_LEASE_MS)
    return list(engines.values()), helpers, leases


async def reserve_and_release(faults, used_ms):
    """Reserve memory, release it after ``used_ms`` and wait ``MAX_RELEASE_MS``.

    Return the tickets that are then still valid, for each engine.
    """
    engines, helpers, leases = make_engines(faults)
    try:
        lease_set = await leases.reserve(helpers)
    except ReservationFailed:
        pass
    else:
        tickets = [lease_set.find_ticket(helper.upstream.name) for helper in helpers]
        assert [engine.list_live() for engine in engines] == [[ticket] for ticket in tickets]
        assert len(set(tickets)) == len(tickets)
        await asyncio.sleep(used_ms / 1_000)
        lease_set.release()
    await asyncio.sleep(MAX_RELEASE_MS / 1_000)
    return [engine.list_live() for engine in engines]


many_faults = st.lists(
    st.lists(st.sampled_from(FAULTS), max_size=12), min_size=ENGINES, max_size=ENGINES
)


@given(faults=many_faults, used_ms=st.integers(0, 6_000))
def test_memory_is_freed_in_time_whatever_happens_to_the_orders(faults, used_ms):
    assert run_in_simulated_time(reserve_and_release(faults, used_ms)) == [[]] * ENGINES


async def count_missing_ms(faults, used_ms):
    """Reserve memory for a time; return for how many ms an engine had no valid ticket."""
    engines, helpers, leases = make_engines(faults)
    lease_set = await leases.reserve(helpers)
    missing_ms = 0
    for _ in range(0, used_ms, 100):
        await asyncio.sleep(0.1)
        missing_ms += 100 * any(not engine.list_live() for engine in engines)
    lease_set.release()
    await leases.wait_for_releases()
    return missing_ms


runs_of_losses = st.lists(st.integers(0, 3), max_size=6).map(
    lambda runs: ["", *(fault for run in runs for fault in [*["lost"] * run, ""])]
)


@given(faults=st.lists(runs_of_losses, min_size=ENGINES, max_size=ENGINES))
def test_request_keeps_its_memory_while_some_of_its_orders_are_lost(faults):
    assert run_in_simulated_time(count_missing_ms(faults, 8_000)) == 0


async def reserve_with_a_refusal():
    engines, helpers, leases = make_engines([[], ["refused"], []])
    with pytest.raises(ReservationFailed) as caught:
        await leases.reserve(helpers)
    await leases.wait_for_releases()
    return caught.value.upstream, [engine.list_live() for engine in engines]


def test_memory_is_reserved_at_all_helpers_or_none():
    assert run_in_simulated_time(reserve_with_a_refusal()) == ("u1", [[], [], []])


async def cancel_a_reservation():
    engines, helpers, leases = make_engines([[], ["lost"], []])
    reservation = asyncio.ensure_future(leases.reserve(helpers))
    await asyncio.sleep(0.1)
    granted = [len(engine.list_live()) for engine in engines]
    reservation.cancel()
    await asyncio.gather(reservation, return_exceptions=True)
    await leases.wait_for_releases()
    return granted, [engine.list_live() for engine in engines]


def test_memory_is_released_at_once_if_its_reservation_is_cancelled():
    assert run_in_simulated_time(cancel_a_reservation()) == ([1, 0, 1], [[], [], []])


async def reserve_twice():
    engines, helpers, leases = make_engines([[], [], []])
    first, second = await leases.reserve(helpers), await leases.reserve(helpers)
    names = {
        lease_set.find_ticket(helper.upstream.name)
        for lease_set in (first, second)
        for helper in helpers
    }
    first.release()
    await leases.wait_for_releases()
    live = [len(engine.list_live()) for engine in engines]
    second.release()
    await leases.wait_for_releases()
    return len(names), live


def test_two_requests_never_share_a_ticket():
    assert run_in_simulated_time(reserve_twice()) == (2 * ENGINES, [1] * ENGINES)
