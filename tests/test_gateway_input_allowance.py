"""What an upstream may send for one answer is bounded, whatever part of it has no end.

Chunk extensions, chunks of some bytes and events that are dropped used to go on until the deadline
of their request, and took time or memory many times their size.
"""

import asyncio
import tracemalloc

import pytest

from lentilwell.gateway._answer_parser import AnswerParser
from lentilwell.gateway._failures import ConnectionBroken
from lentilwell.gateway._input_allowance import WIRE_BYTES_PER_BODY_BYTE, InputAllowance
from tests.gateway_harness import run_gateway, with_route
from tests.gateway_scripts import in_loop

BODY_BYTES = 65_536
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "chunk extensions": b"1;" + b"x" * 4_000 + b"\r\nx\r\n",
    "chunks of one byte": b"1\r\nx\r\n" * 700,
    "chunks of two bytes": b"2\r\nxx\r\n" * 700,
    "large chunks": b"1000\r\n" + b"x" * 4_096 + b"\r\n",
}
# What the sockets and the buffers of both sides hold beside the bound.
BUFFERED_BYTES = 8_388_608
MAX_BODY_BYTES = 1_048_576
# Eight answers within their bound, and what it takes to hold them.
MEMORY_BOUND_BYTES = 24_000_000


@pytest.mark.parametrize("piece", ENDLESS.values(), ids=ENDLESS)
def test_body_without_end_is_read_up_to_a_bound(piece):
    parser = AnswerParser(InputAllowance(BODY_BYTES))
    parser.format_request(b"GET", b"/", ((b"Host", b"a"),), b"")
    parser.receive(HEAD)
    received = 0
    with pytest.raises(ConnectionBroken):
        while True:
            while parser.read_event() is not None:
                pass
            parser.receive(piece)
            received += len(piece)
    assert received <= BODY_BYTES * WIRE_BYTES_PER_BODY_BYTE + 2 * len(piece)


def test_body_of_the_allowed_size_is_read_in_pieces_of_the_least_size():
    parser = AnswerParser(InputAllowance(BODY_BYTES))
    parser.format_request(b"GET", b"/", ((b"Host", b"a"),), b"")
    parser.receive(HEAD + (b"14\r\n" + b"x" * 20 + b"\r\n") * (BODY_BYTES // 20) + b"0\r\n\r\n")
    body = bytearray()
    while (event := parser.read_event()) is not None and hasattr(event, "data"):
        body += event.data
    while (event := parser.read_event()) is not None and hasattr(event, "data"):
        body += event.data
    assert len(body) == BODY_BYTES // 20 * 20 and parser.start_next()


@pytest.mark.parametrize("path", ["/stream/x", "/whole/x"])
@pytest.mark.parametrize("piece", ENDLESS.values(), ids=ENDLESS)
@in_loop
async def test_answer_without_end_is_left_before_its_deadline(piece, path):
    sent = [0]

    async def send_without_end(arrival):
        await arrival.begin_stream()
        while not arrival.writer.transport.is_closing():
            await arrival.write(piece)
            sent[0] += len(piece)
            await asyncio.sleep(0)

    kind = path.split("/")[1]
    catalog = with_route(kind, max_upstreams=1, timeout_ms=60_000)
    async with run_gateway(send_without_end, catalog=catalog) as harness:
        async with asyncio.timeout(30):
            reader, writer = await harness.connect()
            writer.write(harness.format(path, Deadline_Ms="60000"))
            head = await reader.readline()
        writer.close()
    assert not head or b" 502 " in head
    assert sent[0] <= MAX_BODY_BYTES * WIRE_BYTES_PER_BODY_BYTE + BUFFERED_BYTES


@in_loop
async def test_body_in_small_pieces_takes_no_more_memory_than_its_bytes():
    async def send_without_end(arrival):
        await arrival.begin_stream()
        while not arrival.writer.transport.is_closing():
            await arrival.write(ENDLESS["chunks of two bytes"])
            await asyncio.sleep(0)

    catalog = with_route("whole", max_upstreams=1)
    async with run_gateway(send_without_end, catalog=catalog) as harness:
        tracemalloc.start()
        calls = [harness.call("/whole/x", Deadline_Ms="3000") for _ in range(8)]
        answers = await asyncio.gather(*calls)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    assert all(answer.status in (502, 503, 504) for answer in answers)
    assert peak < MEMORY_BOUND_BYTES
