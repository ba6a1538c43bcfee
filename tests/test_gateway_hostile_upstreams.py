"""Upstreams whose bytes are no answer or never end one; and unexpected errors of our own."""

import asyncio
import socket
import tracemalloc

import pytest

from lentilwell.gateway import Repeat
from standins.caller import read_answer
from tests.gateway_scripts import (
    answer_ok,
    ids,
    in_loop,
    say_not_run,
    stream_whole,
)
from tests.gateway_world import run_world, with_route

TRICKLE_S = 0.05
# Far above what an answer takes, far below what the process may use.
MEMORY_BOUND_BYTES = 24_000_000


async def trickle(arrival, data):
    """Write the same bytes now and then until the connection is closed."""
    while not arrival.writer.transport.is_closing():
        await arrival.write(data)
        await asyncio.sleep(TRICKLE_S)


async def flood(arrival, data):
    """Write the same bytes as fast as they are taken until the connection is closed."""
    while not arrival.writer.transport.is_closing():
        await arrival.write(data)


async def stream_and_trickle_an_event(arrival):
    await arrival.begin_stream()
    await arrival.write_events(1, 2)
    await trickle(arrival, b"1\r\nx\r\n")


async def trickle_continues(arrival):
    await trickle(arrival, b"HTTP/1.1 102 Processing\r\n\r\n")


async def trickle_head(arrival):
    await arrival.write(b"HTTP/1.1 200 OK\r\nX-Long: ")
    await trickle(arrival, b"x")


async def trickle_body(arrival):
    await arrival.answer(framing="none", body=b"x", Content_Length=10_000)
    await trickle(arrival, b"x")


async def trickle_refusal(arrival):
    await arrival.answer(503, framing="none", signed=False, Not_Run=1, Content_Length=10_000)
    await trickle(arrival, b"x")


async def flood_head(arrival):
    await arrival.write(b"HTTP/1.1 200 OK\r\nX-Long: ")
    await flood(arrival, b"x" * 65_536)


async def flood_continues(arrival):
    await flood(arrival, b"HTTP/1.1 102 Processing\r\n\r\n" * 1_000)


async def flood_refusal(arrival):
    head = b"HTTP/1.1 503 X\r\nNot-Run: 1\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n"
    await arrival.write(head % arrival.headers["request-id"].encode())
    await flood(arrival, b"10000\r\n" + b"x" * 65_536 + b"\r\n")


async def flood_failure(arrival):
    head = b"HTTP/1.1 500 X\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n"
    await arrival.write(head % arrival.headers["request-id"].encode())
    await flood(arrival, b"10000\r\n" + b"x" * 65_536 + b"\r\n")


async def flood_body(arrival):
    await arrival.begin_stream()
    await flood(arrival, b"10000\r\n" + b"x" * 65_536 + b"\r\n")


async def flood_chunk_extension(arrival):
    await arrival.begin_stream()
    await arrival.write(b"1;ext=")
    await flood(arrival, b"x" * 65_536)


async def flood_trailers(arrival):
    await arrival.begin_stream()
    await arrival.write_events(1, 2)
    await arrival.write(b"0\r\nX-Long: ")
    await flood(arrival, b"x" * 65_536)


@pytest.mark.parametrize(
    "script", [stream_and_trickle_an_event, trickle_continues, trickle_head, trickle_refusal]
)
@in_loop
async def test_stream_whose_upstream_makes_no_progress_goes_on_elsewhere(script):
    async with run_world(script, stream_whole) as world:
        for _ in range(2):
            answer = await asyncio.wait_for(world.call("/stream/x"), 2.5)
            assert answer.whole and ids(answer.body) == [1, 2, 3, 4, 5]


@pytest.mark.parametrize("script", [trickle_continues, trickle_head, trickle_body, trickle_refusal])
@in_loop
async def test_look_up_whose_upstream_makes_no_progress_is_taken_elsewhere(script):
    async with run_world(script, answer_ok) as world:
        for _ in range(2):
            answer = await asyncio.wait_for(world.call("/whole/x", method="GET"), 2.5)
            assert (answer.status, answer.body) == (200, b"hello")


@pytest.mark.parametrize("script", [trickle_refusal, flood_refusal])
@in_loop
async def test_refusal_counts_though_its_body_never_ends(script):
    async with run_world(script, answer_ok) as world:
        for _ in range(3):
            answer = await asyncio.wait_for(world.call("/once/x"), 2)
            assert (answer.status, answer.body) == (200, b"hello")


@pytest.mark.parametrize(
    "script",
    [
        flood_head,
        flood_continues,
        flood_refusal,
        flood_failure,
        flood_body,
        flood_chunk_extension,
        flood_trailers,
    ],
)
@pytest.mark.parametrize("path", ["/once/x", "/whole/x", "/stream/x"])
@in_loop
async def test_bytes_without_end_are_bounded_in_time_and_memory(script, path):
    catalog = with_route("once", timeout_ms=1_000)
    async with run_world(script, catalog=catalog) as world:
        tracemalloc.start()
        calls = [asyncio.ensure_future(world.call(path)) for _ in range(8)]
        for answer in await asyncio.gather(*calls, return_exceptions=True):
            # A stream that had begun ends without its last chunk; all others get a failure.
            refused = getattr(answer, "status", 0) in (500, 502, 503, 504)
            assert refused or isinstance(answer, Exception) or not answer.whole
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert peak < MEMORY_BOUND_BYTES


@in_loop
async def test_slow_but_sound_stream_is_not_cut():
    async def stream_slowly(arrival):
        await arrival.begin_stream()
        for number in range(1, 12):
            await asyncio.sleep(0.24)
            await arrival.write_events(number)
        await arrival.end_stream()

    async with run_world(stream_slowly) as world:
        answer = await world.call("/stream/x")
        assert answer.whole and ids(answer.body) == list(range(1, 12))
        assert len(world.arrivals) == 1


@in_loop
async def test_late_copy_of_a_refusal_without_an_id_is_not_believed_of_the_next_request():
    """The refusal of the first request comes again where the answer to the second is due."""
    copy = b"HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"

    async def answer_then_copy(arrival):
        if arrival.connection == 1 and len(seen) == 1:
            await arrival.write(copy)
            return
        seen.append(arrival)
        await arrival.answer(body=b"hello")

    seen = []
    catalog = with_route("whole", max_upstreams=1)
    async with run_world(answer_then_copy, catalog=catalog) as world:
        assert (await world.call("/whole/x", method="GET")).status == 200
        second = await world.call("/whole/x", method="GET")
        # It runs there by now: nobody may be told that it has not.
        assert second.status == 502


@in_loop
async def test_late_copy_of_an_answer_reaches_nobody_else():
    async def answer_and_copy_later(arrival):
        await arrival.answer(body=arrival.headers["request-id"].encode())
        await asyncio.sleep(0.01)
        await arrival.answer(body=arrival.headers["request-id"].encode())

    async with run_world(answer_and_copy_later, answer_and_copy_later) as world:
        for pause_s in (0, 0.005, 0.02, 0):
            answer = await world.call("/whole/x", method="GET", Request_Id="id-own")
            assert answer.body in (b"id-own", b"") or answer.status == 502
            await asyncio.sleep(pause_s)


@pytest.mark.parametrize(("path", "status"), [("/once/x", 503), ("/whole/x", 503)])
@in_loop
async def test_unexpected_error_before_the_sending_is_told_as_not_run(path, status):
    async with run_world(answer_ok) as world:

        def fail(*_):
            raise ZeroDivisionError

        choose = world.gateway.fleet.choose
        world.gateway.fleet.choose = fail
        answer = await world.call(path)
        assert answer.status == status and float(answer.headers["retry-after"]) > 0
        world.gateway.fleet.choose = choose
        assert (await world.call(path)).status == 200


@in_loop
async def test_unexpected_error_after_the_sending_promises_nothing():
    async with run_world(answer_ok) as world:

        def fail(_):
            raise ZeroDivisionError

        world.gateway._dialect.read_head = fail
        assert (await world.call("/once/x")).status == 502
        assert len(world.arrivals) == 1


@pytest.mark.parametrize("script", [answer_ok, say_not_run])
@in_loop
async def test_request_that_came_just_before_the_end_of_a_stop_is_answered(script):
    async with run_world(script) as world:
        address = ("127.0.0.1", world.gateway.callers_port)
        waiting = []
        for _ in range(20):
            # Sent by the kernel, not yet seen by the gateway's loop.
            caller = socket.create_connection(address)
            caller.sendall(world.format("/once/x"))
            waiting.append(caller)
        world.gateway.drain()
        world.gateway._stopping_since -= 5_000
        await world.gateway.run_to_end()
        for caller in waiting:
            reader, _ = await asyncio.open_connection(sock=caller)
            answer = await asyncio.wait_for(read_answer(reader), 2)
            assert answer.whole and answer.status in (200, 503)


def test_repeat_kinds_are_those_that_the_tests_above_play():
    assert {one.name for one in Repeat} == {"NEVER", "WHOLE", "RESUME"}
