"""Callers that read their answers slowly."""

import asyncio
import socket

from standins.answer_reader import read_answer
from tests.gateway_harness import run_gateway
from tests.gateway_scripts import in_loop

LONG_BODY = b"x" * 1_000_000
BUFFER_BYTES = 16_384
CALLER_PAUSE_S = 3.5


async def answer_long(arrival):
    await arrival.answer(body=LONG_BODY)


async def connect_slowly(harness) -> socket.socket:
    """Connect with small buffers on both sides, so that most of an answer stays at the gateway."""
    harness.gateway._listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    caller.setblocking(False)
    address = ("127.0.0.1", harness.gateway.callers_port)
    await asyncio.get_running_loop().sock_connect(caller, address)
    return caller


async def call_without_reading(harness) -> socket.socket:
    """Return a connection whose answer has been written, and waits to be read."""
    caller = await connect_slowly(harness)
    await asyncio.get_running_loop().sock_sendall(caller, harness.format("/whole/x"))
    while not harness.arrivals or harness.gateway._exchanges:
        await asyncio.sleep(0.01)
    return caller


@in_loop
async def test_end_of_a_stop_does_not_cut_an_answer_that_its_caller_still_reads():
    async with run_gateway(answer_long) as harness:
        caller = await call_without_reading(harness)
        harness.gateway.drain()
        harness.gateway.planned_stop.began_at -= 3_200
        stopped = asyncio.create_task(harness.gateway.finish_stop())
        await asyncio.sleep(0.3)
        reader, writer = await asyncio.open_connection(sock=caller)
        answer = await asyncio.wait_for(read_answer(reader), 2)
        writer.close()
        assert answer.complete and answer.body == LONG_BODY
        await asyncio.wait_for(stopped, 2)


@in_loop
async def test_answer_is_not_cut_because_its_caller_reads_nothing_for_some_seconds():
    async with run_gateway(answer_long) as harness:
        caller = await call_without_reading(harness)
        await asyncio.sleep(CALLER_PAUSE_S)
        reader, writer = await asyncio.open_connection(sock=caller)
        answer = await asyncio.wait_for(read_answer(reader), 2)
        writer.close()
        assert answer.complete and answer.body == LONG_BODY
