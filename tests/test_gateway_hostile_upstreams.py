"""Upstreams that send invalid or endless answers, and exceptions in the gateway itself."""

import asyncio
import socket
import tracemalloc

import pytest

from lentilwell.gateway import Repeat
from standins.answer_reader import read_answer
from tests.gateway_harness import run_gateway, with_route
from tests.gateway_scripts import (
    answer_not_run,
    answer_ok,
    in_loop,
    list_event_ids,
    stream_whole,
)

TRICKLE_S = 0.05
# Much more memory than an answer takes, and much less than the process may use.
MEMORY_BOUND_BYTES = 24_000_000


async def send_slowly_forever(arrival, data):
    """Write the same bytes at an interval until the connection is closed."""
    while not arrival.writer.transport.is_closing():
        await arrival.write(data)
        await asyncio.sleep(TRICKLE_S)


async def send_fast_forever(arrival, data):
    """Write the same bytes as fast as they are read until the connection is closed."""
    while not arrival.writer.transport.is_closing():
        await arrival.write(data)


async def stream_and_trickle_an_event(arrival):
    await arrival.begin_stream()
    await arrival.write_events(1, 2)
    await send_slowly_forever(arrival, b"1\r\nx\r\n")


async def trickle_continues(arrival):
    await send_slowly_forever(arrival, b"HTTP/1.1 102 Processing\r\n\r\n")


async def trickle_head(arrival):
    await arrival.write(b"HTTP/1.1 200 OK\r\nX-Long: ")
    await send_slowly_forever(arrival, b"x")


async def trickle_body(arrival):
    await arrival.answer(framing="none", body=b"x", Content_Length=10_000)
    await send_slowly_forever(arrival, b"x")


async def trickle_refusal(arrival):
    await arrival.answer(503, framing="none", signed=False, Not_Run=1, Content_Length=10_000)
    await send_slowly_forever(arrival, b"x")


async def flood_head(arrival):
    await arrival.write(b"HTTP/1.1 200 OK\r\nX-Long: ")
    await send_fast_forever(arrival, b"x" * 65_536)


async def flood_continues(arrival):
    await send_fast_forever(arrival, b"HTTP/1.1 102 Processing\r\n\r\n" * 1_000)


async def flood_refusal(arrival):
    head = b"HTTP/1.1 503 X\r\nNot-Run: 1\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n"
    await arrival.write(head % arrival.headers["request-id"].encode())
    await send_fast_forever(arrival, b"10000\r\n" + b"x" * 65_536 + b"\r\n")


async def flood_failure(arrival):
    head = b"HTTP/1.1 500 X\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n"
    await arrival.write(head % arrival.headers["request-id"].encode())
    await send_fast_forever(arrival, b"10000\r\n" + b"x" * 65_536 + b"\r\n")


async def flood_body(arrival):
    await arrival.begin_stream()
    await send_fast_forever(arrival, b"10000\r\n" + b"x" * 65_536 + b"\r\n")


async def flood_chunk_extension(arrival):
    await arrival.begin_stream()
    await arrival.write(b"1;ext=")
    await send_fast_forever(arrival, b"x" * 65_536)


async def flood_trailers(arrival):
    await arrival.begin_stream()
    await arrival.write_events(1, 2)
    await arrival.write(b"0\r\nX-Long: ")
    await send_fast_forever(arrival, b"x" * 65_536)


@pytest.mark.parametrize(
    "script", [stream_and_trickle_an_event, trickle_continues, trickle_head, trickle_refusal]
)
@in_loop
async def test_stream_whose_upstream_makes_no_progress_resumes_elsewhere(script):
    async with run_gateway(script, stream_whole) as harness:
        for _ in range(2):
            answer = await asyncio.wait_for(harness.call("/stream/x"), 2.5)
            assert answer.complete and list_event_ids(answer.body) == [1, 2, 3, 4, 5]


@pytest.mark.parametrize("script", [trickle_continues, trickle_head, trickle_body, trickle_refusal])
@in_loop
async def test_lookup_whose_upstream_makes_no_progress_is_retried_elsewhere(script):
    async with run_gateway(script, answer_ok) as harness:
        for _ in range(2):
            answer = await asyncio.wait_for(harness.call("/whole/x", method="GET"), 2.5)
            assert (answer.status, answer.body) == (200, b"hello")


@pytest.mark.parametrize("script", [trickle_refusal, flood_refusal])
@in_loop
async def test_refusal_counts_though_its_body_never_ends(script):
    async with run_gateway(script, answer_ok) as harness:
        for _ in range(3):
            answer = await asyncio.wait_for(harness.call("/once/x"), 2)
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
    async with run_gateway(script, catalog=catalog) as harness:
        tracemalloc.start()
        calls = [asyncio.ensure_future(harness.call(path)) for _ in range(8)]
        for answer in await asyncio.gather(*calls, return_exceptions=True):
            # A started stream ends without its last chunk; other requests get an error answer.
            refused = getattr(answer, "status", 0) in (500, 502, 503, 504)
            assert refused or isinstance(answer, Exception) or not answer.complete
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

    async with run_gateway(stream_slowly) as harness:
        answer = await harness.call("/stream/x")
        assert answer.complete and list_event_ids(answer.body) == list(range(1, 12))
        assert len(harness.arrivals) == 1


@in_loop
async def test_late_copy_of_a_refusal_without_an_id_is_not_taken_for_the_next_answer():
    """The second answer on a connection is a late copy of a refusal, without a request id."""
    copy = b"HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"

    async def answer_then_copy(arrival):
        if arrival.connection == 1 and len(seen) == 1:
            await arrival.write(copy)
            return
        seen.append(arrival)
        await arrival.answer(body=b"hello")

    seen = []
    catalog = with_route("whole", max_upstreams=1)
    async with run_gateway(answer_then_copy, catalog=catalog) as harness:
        assert (await harness.call("/whole/x", method="GET")).status == 200
        second = await harness.call("/whole/x", method="GET")
        # The second request may have run, so it must not be answered as not run.
        assert second.status == 502


@in_loop
async def test_late_copy_of_an_answer_reaches_no_other_request():
    async def answer_and_copy_later(arrival):
        await arrival.answer(body=arrival.headers["request-id"].encode())
        await asyncio.sleep(0.01)
        await arrival.answer(body=arrival.headers["request-id"].encode())

    async with run_gateway(answer_and_copy_later, answer_and_copy_later) as harness:
        for pause_s in (0, 0.005, 0.02, 0):
            answer = await harness.call("/whole/x", method="GET", Request_Id="id-own")
            assert answer.body in (b"id-own", b"") or answer.status == 502
            await asyncio.sleep(pause_s)


@pytest.mark.parametrize(("path", "status"), [("/once/x", 503), ("/whole/x", 503)])
@in_loop
async def test_unexpected_error_before_the_send_is_answered_as_not_run(path, status):
    async with run_gateway(answer_ok) as harness:

        def fail(*_):
            raise ZeroDivisionError

        choose = harness.gateway.fleet.choose
        harness.gateway.fleet.choose = fail
        answer = await harness.call(path)
        assert answer.status == status and float(answer.headers["retry-after"]) > 0
        harness.gateway.fleet.choose = choose
        assert (await harness.call(path)).status == 200


@in_loop
async def test_unexpected_error_after_the_send_is_not_answered_as_not_run():
    async with run_gateway(answer_ok) as harness:

        def fail(_):
            raise ZeroDivisionError

        harness.gateway._dialect.read_head = fail
        assert (await harness.call("/once/x")).status == 502
        assert len(harness.arrivals) == 1


@pytest.mark.parametrize("script", [answer_ok, answer_not_run])
@in_loop
async def test_request_that_came_just_before_the_end_of_a_stop_is_answered(script):
    async with run_gateway(script) as harness:
        address = ("127.0.0.1", harness.gateway.callers_port)
        waiting = []
        for _ in range(20):
            # The kernel has accepted the connection, but the gateway's event loop has not seen it.
            caller = socket.create_connection(address)
            caller.sendall(harness.format("/once/x"))
            waiting.append(caller)
        harness.gateway.drain()
        harness.gateway.planned_stop.began_at -= 5_000
        await harness.gateway.finish_stop()
        for caller in waiting:
            reader, _ = await asyncio.open_connection(sock=caller)
            answer = await asyncio.wait_for(read_answer(reader), 2)
            assert answer.complete and answer.status in (200, 503)


def test_these_tests_cover_all_repeat_kinds():
    assert {one.name for one in Repeat} == {"NEVER", "WHOLE", "RESUME"}
