"""Kept connections of callers while the limits change, and at the moment of their close."""

import asyncio
import time
from dataclasses import replace

import pytest

from lentilwell.gateway import Limits
from standins.answer_reader import read_answer
from tests.gateway_harness import CATALOG, Entry, run_gateway
from tests.gateway_scripts import answer_ok, in_loop

LONG_HEADER = "x" * 1_500


async def put_limits(harness, **limits):
    """Put a new version of the configuration in force, which has these limits."""
    catalog = harness.gateway.fleet.catalog
    changed = replace(catalog, version=catalog.version + 1, limits=Limits(**limits))
    harness.catalog.put(Entry("config", changed))
    while harness.gateway.limits != changed.limits:
        await asyncio.sleep(0.005)


def with_limits(**limits):
    return replace(CATALOG, limits=Limits(**limits))


async def read_status(reader):
    return (await asyncio.wait_for(read_answer(reader), 3)).status


@in_loop
async def test_raised_idle_limit_holds_for_connections_that_were_idle_before():
    async with run_gateway(answer_ok, catalog=with_limits(idle_timeout_ms=300)) as harness:
        connection = await harness.connect()
        assert (await harness.call("/once/x", connection=connection)).status == 200
        await put_limits(harness, idle_timeout_ms=3_000)
        await asyncio.sleep(0.6)
        assert (await harness.call("/once/x", connection=connection)).status == 200
        connection[1].close()


@in_loop
async def test_raised_idle_limit_ends_idle_connections_in_the_end():
    async with run_gateway(answer_ok, catalog=with_limits(idle_timeout_ms=200)) as harness:
        reader, writer = connection = await harness.connect()
        assert (await harness.call("/once/x", connection=connection)).status == 200
        await put_limits(harness, idle_timeout_ms=500)
        assert await asyncio.wait_for(reader.read(), 3) == b""
        writer.close()


@in_loop
async def test_lowered_idle_limit_leaves_time_to_connections_that_were_idle_before():
    async with run_gateway(answer_ok, catalog=with_limits(idle_timeout_ms=1_500)) as harness:
        connection = await harness.connect()
        assert (await harness.call("/once/x", connection=connection)).status == 200
        await asyncio.sleep(0.5)
        await put_limits(harness, idle_timeout_ms=200)
        assert (await harness.call("/once/x", connection=connection)).status == 200
        assert await asyncio.wait_for(connection[0].read(), 1) == b""
        connection[1].close()


@pytest.mark.parametrize("part", ["head", "body"])
@in_loop
async def test_raised_time_limit_holds_for_a_request_that_is_being_read(part):
    limits = {"header_timeout_ms": 200, "idle_timeout_ms": 200}
    async with run_gateway(answer_ok, catalog=with_limits(**limits)) as harness:
        reader, writer = await harness.connect()
        request = harness.format("/once/x", body=b"hello")
        first = 20 if part == "head" else len(request) - 2
        writer.write(request[:first])
        await asyncio.sleep(0.05)
        await put_limits(harness, header_timeout_ms=3_000, idle_timeout_ms=3_000)
        await asyncio.sleep(0.4)
        writer.write(request[first:])
        assert await read_status(reader) == 200
        writer.close()


@in_loop
async def test_raised_header_limit_holds_for_open_connections():
    async with run_gateway(answer_ok, catalog=with_limits(header_bytes=1_000)) as harness:
        reader, writer = connection = await harness.connect()
        assert (await harness.call("/once/x", connection=connection)).status == 200
        await put_limits(harness, header_bytes=16_384)
        request = harness.format("/once/x", X_Long=LONG_HEADER)
        writer.write(request[:1_400])
        await asyncio.sleep(0.05)
        writer.write(request[1_400:])
        assert await read_status(reader) == 200
        writer.close()


@in_loop
async def test_lowered_header_limit_holds_for_open_connections():
    async with run_gateway(answer_ok) as harness:
        reader, writer = connection = await harness.connect()
        assert (await harness.call("/once/x", connection=connection)).status == 200
        await put_limits(harness, header_bytes=1_000)
        writer.write(harness.format("/once/x", X_Long=LONG_HEADER)[:1_400])
        assert await read_status(reader) == 431
        writer.close()


@in_loop
async def test_request_that_arrives_while_the_loop_is_held_up_past_the_idle_limit_is_served():
    async with run_gateway(answer_ok, catalog=with_limits(idle_timeout_ms=200)) as harness:
        reader, writer = connection = await harness.connect()
        assert (await harness.call("/once/x", connection=connection)).status == 200
        writer.write(harness.format("/once/x"))
        time.sleep(0.4)
        assert await read_status(reader) == 200
        writer.close()


@in_loop
async def test_request_that_arrives_in_the_round_of_the_idle_close_is_served():
    async with run_gateway(answer_ok, catalog=with_limits(idle_timeout_ms=200)) as harness:
        reader, writer = connection = await harness.connect()
        assert (await harness.call("/once/x", connection=connection)).status == 200
        loop = asyncio.get_running_loop()
        # Due before the idle timer, and run in the same round of the loop because of the hold-up.
        loop.call_later(0.12, writer.write, harness.format("/once/x"))
        await asyncio.sleep(0.05)
        time.sleep(0.4)
        assert await read_status(reader) == 200
        writer.close()
