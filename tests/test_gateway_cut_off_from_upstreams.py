"""An instance that is cut off from all upstreams serves its callers through another instance."""

import asyncio

import pytest

from tests.gateway_pair import run_pair
from tests.gateway_scripts import in_loop

# How long the instance may take to notice; the users allow 3,000 ms.
NOTICE_MS = 3_000
CALLS = 20


async def serve(arrival):
    """Answer a request whole, or as a stream of two events."""
    if b"/stream/" in arrival.line:
        await arrival.begin_stream()
        await arrival.write_events(1, 2)
        await arrival.end_stream()
    else:
        await arrival.answer(body=b"hello")


async def call_until_noticed(harness, path):
    """Call until a request is served, for as long as the instance may take to notice."""
    async with asyncio.timeout(NOTICE_MS / 1_000):
        while (await harness.call(path)).status != 200:
            await asyncio.sleep(0.05)


@pytest.mark.parametrize("hangs", [False, True], ids=["refused", "hanging"])
@pytest.mark.parametrize("path", ["/once/x", "/whole/x", "/stream/x"])
@in_loop
async def test_callers_of_an_instance_that_is_cut_off_from_all_upstreams_are_served(path, hangs):
    async with run_pair(serve, serve, serve) as pair:
        pair.cut_off_a(hangs)
        await call_until_noticed(pair.a, path)
        answers = [await pair.a.call(path) for _ in range(CALLS)]
        assert [answer.status for answer in answers] == [200] * CALLS
