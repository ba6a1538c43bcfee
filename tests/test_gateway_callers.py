"""Callers' connections: framing, limits, bodies, pipelines, and callers that leave."""

import asyncio
from dataclasses import replace

import pytest

from lentilwell.gateway import Limits
from standins.caller import read_answer
from tests.gateway_scripts import answer_ok, in_loop, stay_silent
from tests.gateway_world import CATALOG, KEY, Arrival, run_world


@pytest.mark.parametrize(
    "raw",
    [
        b"POST /once/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /once/y HTTP/1.1\r\n\r\n",
        b"POST /once/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\n"
        b"Content-Length: 6\r\n\r\n",
        b"POST /once/x HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        b"POST /once/x HTTP/1.1\r\nHost: a.example\r\nBad Name: 1\r\n\r\n",
        b"nonsense\r\n\r\n",
    ],
)
@in_loop
async def test_ambiguous_requests_are_rejected_and_closed(raw):
    async with run_world(answer_ok) as world:
        reader, writer = await world.connect()
        writer.write(raw)
        answer = await asyncio.wait_for(read_answer(reader), 2)
        assert 400 <= answer.status < 500
        assert await asyncio.wait_for(reader.read(), 2) == b""
        assert not world.arrivals
        writer.close()


@in_loop
async def test_body_in_chunks_arrives_whole():
    async with run_world(answer_ok) as world:
        reader, writer = await world.connect()
        head = world.format("/once/x", Transfer_Encoding="chunked")
        writer.write(head + b"3\r\nabc\r\n")
        await asyncio.sleep(0.02)
        writer.write(b"2\r\nde\r\n0\r\n\r\n")
        assert (await read_answer(reader)).status == 200
        assert world.arrivals[0].body == b"abcde"
        writer.close()


@pytest.mark.parametrize(
    ("limits", "raw", "status"),
    [
        (Limits(body_bytes=10), b"Content-Length: 11\r\n\r\nhello hello", 413),
        (Limits(header_bytes=200), b"X-Long: " + b"x" * 500 + b"\r\n\r\n", 431),
        (Limits(header_timeout_ms=100), b"X-Slow: ", 408),
    ],
)
@in_loop
async def test_limits_have_their_own_status(limits, raw, status):
    async with run_world(answer_ok, catalog=replace(CATALOG, limits=limits)) as world:
        reader, writer = await world.connect()
        head = f"POST /once/x HTTP/1.1\r\nHost: a.example\r\nCredential: {KEY}\r\n"
        writer.write(head.encode() + raw)
        answer = await asyncio.wait_for(read_answer(reader), 2)
        assert answer.status == status and not world.arrivals
        writer.close()


@in_loop
async def test_pipelined_requests_are_answered_in_order():
    async with run_world(answer_ok) as world:
        reader, writer = await world.connect()
        writer.write(world.format("/whole/a") + world.format("/whole/b") + world.format("/none/"))
        statuses = [(await asyncio.wait_for(read_answer(reader), 2)).status for _ in range(3)]
        assert statuses == [200, 200, 404]
        writer.close()


@in_loop
async def test_early_answer_is_passed_on_and_its_connection_dropped():
    async def answer_early(arrival):
        await arrival.answer(413, b"too long")

    async with run_world(answer_early) as world:
        upstream = world.upstreams[0]

        async def read_head_only(reader, writer, number):
            head = await reader.readuntil(b"\r\n\r\n")
            rows = head[:-4].decode().split("\r\n")[1:]
            headers = {n.lower(): v.strip() for n, _, v in (r.partition(":") for r in rows)}
            if len(upstream.arrivals) == number:
                await asyncio.sleep(10)
            return Arrival("u0", b"", headers, b"", writer, reader, number)

        upstream._read = read_head_only
        for _ in range(2):
            answer = await world.call("/whole/x", body=b"x" * 3_000_000)
            assert answer.status == 413


@pytest.mark.parametrize("path", ["/once/x", "/stream/x"])
@in_loop
async def test_caller_that_leaves_ends_the_work_at_the_upstream(path):
    async with run_world(stay_silent) as world:
        _, writer = await world.connect()
        writer.write(world.format(path))
        while not world.arrivals:
            await asyncio.sleep(0.005)
        writer.close()
        await asyncio.wait_for(world.arrivals[0].cut.wait(), 0.5)
