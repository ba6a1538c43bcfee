"""Answers without end: other tasks go on while one is read.

An answer that is read without a pause stops the event loop of its instance, so that all requests
there miss their deadlines.
"""

import asyncio
import time

import pytest

from tests.gateway_harness import run_gateway
from tests.gateway_scripts import answer_ok, in_loop

# The longest step of the event loop, in processor time of its thread, which other processes do
# not lengthen.
MAX_STEP_S = 0.05
TICK_S = 0.001
PLAY_S = 1.2
PIECE_BYTES = 65


def make_chunks(data, count):
    return (b"%x\r\n%s\r\n" % (len(data), data)) * count


ENDLESS_BODIES = {
    "event in chunks of 65 bytes": make_chunks(b"x" * PIECE_BYTES, 512),
    "event in chunks of 1 byte": make_chunks(b"x", 4_096),
    "line feeds in chunks of 1 byte": make_chunks(b"\n", 4_096),
    "line feeds": make_chunks(b"\n" * 32_768, 1),
    "the same event": make_chunks(b"id: 1\ndata: x\n\n" * 2_048, 1),
    "events without an id": make_chunks(b":\n\n" * 8_192, 1),
    "events": make_chunks(b"data: x\n\n" * 2_048, 1),
}


async def measure_longest_step(until):
    """Return the longest processor time between two rounds of the event loop."""
    longest, last = 0.0, time.thread_time()
    while time.monotonic() < until:
        await asyncio.sleep(TICK_S)
        now = time.thread_time()
        longest, last = max(longest, now - last), now
    return longest


@pytest.mark.parametrize("path", ["/stream/x", "/whole/x"])
@pytest.mark.parametrize("body", ENDLESS_BODIES.values(), ids=ENDLESS_BODIES)
@in_loop
async def test_answer_without_end_leaves_the_event_loop_to_other_requests(body, path):
    async def send_without_end(arrival):
        if arrival.line.split()[1] == b"/once/x":
            await answer_ok(arrival)
            return
        await arrival.begin_stream()
        while not arrival.writer.transport.is_closing():
            await arrival.write(body)
            await asyncio.sleep(0)

    async def call_others(harness, until):
        while time.monotonic() < until:
            await asyncio.sleep(TICK_S)
            answer = await harness.call("/once/x")
            assert (answer.status, answer.body) == (200, b"hello")

    async def receive(harness):
        reader, writer = await harness.connect()
        writer.write(harness.format(path))
        while await reader.read(65_536):
            pass

    async with run_gateway(send_without_end) as harness:
        until = time.monotonic() + PLAY_S
        endless = [asyncio.ensure_future(receive(harness)) for _ in range(2)]
        others = asyncio.ensure_future(call_others(harness, until))
        longest = await measure_longest_step(until)
        await others
        for call in endless:
            call.cancel()
        await asyncio.gather(*endless, return_exceptions=True)
    assert longest < MAX_STEP_S
