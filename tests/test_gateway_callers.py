"""Connections of callers: framing, limits, bodies, pipelining and disconnects."""

import asyncio
from dataclasses import replace

import pytest

from lentilwell.gateway import Limits
from standins.answer_reader import read_answer
from tests.gateway_harness import CATALOG, KEY, Arrival, run_gateway
from tests.gateway_scripts import answer_ok, in_loop, stay_silent


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
    async with run_gateway(answer_ok) as harness:
        reader, writer = await harness.connect()
        writer.write(raw)
        answer = await asyncio.wait_for(read_answer(reader), 2)
        assert 400 <= answer.status < 500
        assert await asyncio.wait_for(reader.read(), 2) == b""
        assert not harness.arrivals
        writer.close()


@in_loop
async def test_chunked_body_is_forwarded_completely():
    async with run_gateway(answer_ok) as harness:
        reader, writer = await harness.connect()
        head = harness.format("/once/x", Transfer_Encoding="chunked")
        writer.write(head + b"3\r\nabc\r\n")
        await asyncio.sleep(0.02)
        writer.write(b"2\r\nde\r\n0\r\n\r\n")
        assert (await read_answer(reader)).status == 200
        assert harness.arrivals[0].body == b"abcde"
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
async def test_exceeded_limits_have_their_own_status(limits, raw, status):
    async with run_gateway(answer_ok, catalog=replace(CATALOG, limits=limits)) as harness:
        reader, writer = await harness.connect()
        head = f"POST /once/x HTTP/1.1\r\nHost: a.example\r\nCredential: {KEY}\r\n"
        writer.write(head.encode() + raw)
        answer = await asyncio.wait_for(read_answer(reader), 2)
        assert answer.status == status and not harness.arrivals
        writer.close()


@in_loop
async def test_pipelined_requests_are_answered_in_order():
    async with run_gateway(answer_ok) as harness:
        reader, writer = await harness.connect()
        writer.write(
            harness.format("/whole/a") + harness.format("/whole/b") + harness.format("/none/")
        )
        statuses = [(await asyncio.wait_for(read_answer(reader), 2)).status for _ in range(3)]
        assert statuses == [200, 200, 404]
        writer.close()


@in_loop
async def test_early_answer_is_forwarded_and_its_connection_closed():
    async def answer_early(arrival):
        await arrival.answer(413, b"too long")

    async with run_gateway(answer_early) as harness:
        upstream = harness.upstreams[0]

        async def read_head_only(reader, writer, number):
            head = await reader.readuntil(b"\r\n\r\n")
            rows = head[:-4].decode().split("\r\n")[1:]
            headers = {n.lower(): v.strip() for n, _, v in (r.partition(":") for r in rows)}
            if len(upstream.arrivals) == number:
                await asyncio.sleep(10)
            return Arrival("u0", b"", headers, b"", writer, reader, number)

        upstream._read = read_head_only
        for _ in range(2):
            answer = await harness.call("/whole/x", body=b"x" * 3_000_000)
            assert answer.status == 413


@pytest.mark.parametrize("path", ["/once/x", "/stream/x"])
@in_loop
async def test_caller_that_leaves_cancels_the_request_at_the_upstream(path):
    async with run_gateway(stay_silent) as harness:
        _, writer = await harness.connect()
        writer.write(harness.format(path))
        while not harness.arrivals:
            await asyncio.sleep(0.005)
        writer.close()
        await asyncio.wait_for(harness.arrivals[0].disconnected.wait(), 0.5)
