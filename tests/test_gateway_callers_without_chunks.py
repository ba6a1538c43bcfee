"""Streams to callers whose protocol has no chunks, so that an answer ends with its connection."""

import asyncio

from tests.gateway_harness import run_gateway
from tests.gateway_scripts import in_loop
from tests.stream_scripts import SOUND, Sequence, StreamAnswer, list_events


async def call_without_chunks(harness, path):
    """Send a request of HTTP/1.0; return the bytes of the answer and whether it ended in order."""
    reader, writer = await harness.connect()
    writer.write(harness.format(path).replace(b" HTTP/1.1", b" HTTP/1.0"))
    data = b""
    try:
        while part := await asyncio.wait_for(reader.read(4_096), 5):
            data += part
    except ConnectionError:
        return data, False
    finally:
        writer.close()
    return data, True


@in_loop
async def test_broken_stream_does_not_look_complete_to_a_caller_without_chunks():
    """The answer ends with its connection, so only a reset tells that it was cut off."""
    sequence = Sequence(StreamAnswer(list_events(1, 2), end="reset"))
    async with run_gateway(sequence.serve) as harness:
        data, in_order = await call_without_chunks(harness, "/stream/x")
        assert data.startswith(b"HTTP/1.1 200") and not in_order


@in_loop
async def test_whole_stream_looks_complete_to_a_caller_without_chunks():
    async with run_gateway(Sequence(SOUND).serve) as harness:
        data, in_order = await call_without_chunks(harness, "/stream/x")
        assert data.endswith(b"\r\n\r\n" + list_events(1)) and in_order
