"""Requests that a gateway holds because all slots of a plain service are taken."""

import asyncio
from dataclasses import replace

from lentilwell.gateway._condemned_subjects import Refusal
from tests.gateway_harness import SETTINGS, run_gateway
from tests.gateway_scripts import in_loop
from tests.test_gateway_evacuation import evacuate

SLOTS = 8
HOLDING = replace(SETTINGS, admission_control=True)
HELD = "lentilwell_gateway_held_requests{"


class Gate:
    """A script whose answers wait until ``open`` is set."""

    def __init__(self):
        self.open = asyncio.Event()

    async def __call__(self, arrival):
        await self.open.wait()
        await arrival.answer(body=b"hello")


async def fill(harness):
    """Take all slots, and return the calls that have them."""
    calls = [asyncio.create_task(harness.call("/whole/x")) for _ in range(SLOTS)]
    while len(harness.arrivals) < SLOTS:
        await asyncio.sleep(0.005)
    return calls


async def wait_until_held(harness, count):
    """Wait until ``count`` requests are held."""
    control = harness.gateway.fleet.admission
    while sum(held for _, _, held in control.count_held()) != count:
        await asyncio.sleep(0.005)


@in_loop
async def test_request_without_a_free_slot_is_sent_when_another_one_ends():
    """Guards against sending a plain service more than its slots, which it would refuse."""
    gate = Gate()
    async with run_gateway(gate, settings=HOLDING) as harness:
        calls = await fill(harness)
        held = asyncio.create_task(harness.call("/whole/x"))
        await wait_until_held(harness, 1)
        assert HELD in harness.gateway.metrics.render().decode()
        assert len(harness.arrivals) == SLOTS
        gate.open.set()
        answers = await asyncio.gather(*calls, held)
        assert [answer.status for answer in answers] == [200] * (SLOTS + 1)
        await wait_until_held(harness, 0)


@in_loop
async def test_caller_that_leaves_ends_its_hold():
    """Guards against held requests that nobody waits for and that take a slot later."""
    gate = Gate()
    async with run_gateway(gate, settings=HOLDING) as harness:
        calls = await fill(harness)
        _, writer = await harness.connect()
        writer.write(harness.format("/whole/x"))
        await wait_until_held(harness, 1)
        writer.close()
        await wait_until_held(harness, 0)
        gate.open.set()
        await asyncio.gather(*calls)
        assert len(harness.arrivals) == SLOTS


@in_loop
async def test_condemned_request_is_refused_while_it_is_held():
    """Guards against sending a held request that has been found to crash upstreams meanwhile."""
    gate = Gate()
    async with run_gateway(gate, settings=HOLDING) as harness:
        calls = await fill(harness)
        held = asyncio.create_task(harness.call("/whole/x"))
        await wait_until_held(harness, 1)
        refusal = Refusal(frozenset({"part"}), 60_000)
        harness.gateway.crash_watch.find_refusal = lambda work: refusal
        assert (await held).status == 503
        assert len(harness.arrivals) == SLOTS
        gate.open.set()
        await asyncio.gather(*calls)


@in_loop
async def test_held_request_is_refused_once_its_only_data_centre_is_evacuated():
    """Guards against a request that is held for a slot that it must not use any more."""
    gate = Gate()
    async with run_gateway(gate, data_centres="a", settings=HOLDING) as harness:
        calls = await fill(harness)
        held = asyncio.create_task(harness.call("/whole/x"))
        await wait_until_held(harness, 1)
        await evacuate(harness, "a")
        assert (await held).status == 503
        await wait_until_held(harness, 0)
        gate.open.set()
        answers = await asyncio.gather(*calls)
        assert [answer.status for answer in answers] == [200] * SLOTS
        assert len(harness.arrivals) == SLOTS


@in_loop
async def test_request_whose_deadline_is_too_near_is_refused_at_once():
    """Guards against holding a request until its deadline."""
    gate = Gate()
    async with run_gateway(gate, settings=HOLDING) as harness:
        calls = await fill(harness)
        answer = await harness.call("/whole/x", Deadline_Ms="60")
        assert answer.status == 503
        gate.open.set()
        await asyncio.gather(*calls)
