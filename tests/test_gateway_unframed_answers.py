"""Answers without a length that end with their connection, whole and reset on the way."""

import asyncio
import dataclasses
import socket

import pytest

from lentilwell._clock import SystemClock
from lentilwell.gateway import Repeat, open_http_connection
from lentilwell.gateway._connection import READ_AHEAD_BYTES
from standins.answer_reader import read_answer
from tests.gateway_harness import ANSWER_TIMEOUT_S, run_gateway
from tests.gateway_scripts import in_loop
from tests.refusal_scripts import with_single_streams
from tests.stream_scripts import Sequence, StreamAnswer, list_events

CLOSE = ("Connection: close",)
BODY = b"hello" * 1_000
CALLER_BUFFER_BYTES = 65_536
LARGE_EVENT_BYTES = 900_000
LARGE_EVENTS = 12


@pytest.mark.parametrize("headers", [(), CLOSE])
@pytest.mark.parametrize("body", [BODY, b""])
@pytest.mark.parametrize("path", ["/once/x", "/whole/x"])
@in_loop
async def test_answer_that_ends_with_its_connection_is_forwarded_whole(path, body, headers):
    plain = StreamAnswer(body, framing="close", headers=headers, content_type=None)
    async with run_gateway(Sequence(plain).serve) as harness:
        for _ in range(3):
            answer = await harness.call(path)
            assert (answer.status, answer.body, answer.complete) == (200, body, True)


@pytest.mark.parametrize("headers", [(), CLOSE])
@pytest.mark.parametrize("body", [BODY, b""])
@in_loop
async def test_answer_that_is_reset_on_the_way_is_not_complete(body, headers):
    cut = StreamAnswer(body, framing="close", end="reset", headers=headers, content_type=None)
    whole = dataclasses.replace(cut, body=b"whole", end="whole")
    sequence = Sequence(cut, whole)
    async with run_gateway(*[sequence.serve] * 2) as harness:
        assert (await harness.call("/once/x")).status == 502
        assert sequence.used == 1
        sequence.used = 0
        answer = await harness.call("/whole/x")
        assert (answer.status, answer.body) == (200, b"whole")


@pytest.mark.parametrize("headers", [(), CLOSE])
@pytest.mark.parametrize("path", ["/stream/x", "/single/x"])
@in_loop
async def test_stream_that_ends_with_its_connection_is_complete(path, headers):
    whole = StreamAnswer(list_events(1), framing="close", headers=headers)
    async with run_gateway(Sequence(whole).serve, catalog=with_single_streams()) as harness:
        answer = await harness.call(path)
        assert answer.complete and answer.body == list_events(1)


@pytest.mark.parametrize("headers", [(), CLOSE])
@pytest.mark.parametrize("extra", [b"", b"id: 3\nda"])
@pytest.mark.parametrize("framing", ["close", "chunked", "length"])
@in_loop
async def test_stream_that_may_not_resume_looks_broken_off_after_a_reset(framing, extra, headers):
    cut = StreamAnswer(list_events(1, 2) + extra, framing=framing, end="reset", headers=headers)
    async with run_gateway(Sequence(cut).serve, catalog=with_single_streams()) as harness:
        answer = await harness.call("/single/x")
        assert not answer.complete and answer.body == list_events(1, 2)


@in_loop
async def test_stream_that_ends_inside_an_event_looks_broken_off():
    cut = StreamAnswer(list_events(1, 2) + b"id: 3\nda", framing="close")
    async with run_gateway(Sequence(cut).serve, catalog=with_single_streams()) as harness:
        answer = await harness.call("/single/x")
        assert not answer.complete and answer.body == list_events(1, 2)


async def call_and_read_slowly(harness, path):
    """Send a request and read its answer in small pieces, through a small buffer."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CALLER_BUFFER_BYTES)
    caller.setblocking(False)
    address = ("127.0.0.1", harness.gateway.callers_port)
    await asyncio.get_running_loop().sock_connect(caller, address)
    reader, writer = await asyncio.open_connection(sock=caller, limit=CALLER_BUFFER_BYTES)
    writer.write(harness.format(path))
    await asyncio.sleep(0.3)
    answer = await asyncio.wait_for(read_answer(reader), ANSWER_TIMEOUT_S)
    writer.close()
    return answer


@pytest.mark.parametrize("headers", [(), CLOSE])
@pytest.mark.parametrize("framing", ["close", "chunked", "length"])
@pytest.mark.parametrize("path", ["/stream/x", "/single/x"])
@in_loop
async def test_large_stream_to_a_slow_caller_does_not_hang(path, framing, headers):
    """The gateway stops reading from the upstream while the caller does not read."""
    filler = b"x" * LARGE_EVENT_BYTES
    body = b"".join(b"id: %d\ndata: %s\n\n" % (n, filler) for n in range(1, LARGE_EVENTS + 1))
    sequence = Sequence(StreamAnswer(body, framing=framing, headers=headers))
    async with run_gateway(sequence.serve, catalog=with_single_streams()) as harness:
        answer = await call_and_read_slowly(harness, path)
        assert answer.complete and answer.body == body
        assert sequence.used == 1


@pytest.mark.parametrize("size", [300_000, 900_000])
@pytest.mark.parametrize("headers", [(), CLOSE])
@pytest.mark.parametrize("framing", ["close", "chunked", "length"])
@pytest.mark.parametrize("path", ["/once/x", "/whole/x"])
@in_loop
async def test_large_answer_to_a_slow_caller_does_not_hang(path, framing, headers, size):
    large = StreamAnswer(b"x" * size, framing=framing, headers=headers, content_type=None)
    async with run_gateway(Sequence(large).serve) as harness:
        answer = await call_and_read_slowly(harness, path)
        assert answer.complete and len(answer.body) == size


def test_these_tests_cover_all_repeat_kinds():
    assert {route.repeat for route in with_single_streams().routes} == set(Repeat)


@pytest.mark.parametrize("then", ["close", "answer"])
@in_loop
async def test_end_of_an_idle_connection_is_noticed_after_a_large_answer(then):
    """Reading from the upstream was paused when the last bytes of the answer were parsed."""
    size = 4 * READ_AHEAD_BYTES

    async def answer_and_end(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % size + b"x" * size)
        await idle.wait()
        if then == "answer":
            writer.write(b"HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
        else:
            writer.close()
        ended.set()

    idle, ended = asyncio.Event(), asyncio.Event()
    server = await asyncio.start_server(answer_and_end, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    connection = await open_http_connection(address, SystemClock())
    connection.send(b"GET", b"/x", ((b"Host", b"a"),), b"")
    read = 0
    await connection.read_head()
    while (data := await connection.read_data()) is not None:
        read += len(data)
        await asyncio.sleep(0.02)
    connection.finish()
    assert read == size and connection.idle
    idle.set()
    await ended.wait()
    await asyncio.sleep(0.05)
    reusable = connection.reusable
    connection.close()
    server.close()
    assert not reusable
