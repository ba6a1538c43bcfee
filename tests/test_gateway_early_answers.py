"""Answers of upstreams in trouble that must not reach a caller as complete."""

import asyncio

import pytest

from tests.gateway_harness import run_gateway
from tests.gateway_pair import run_pair
from tests.gateway_scripts import answer_ok, in_loop
from tests.stream_scripts import reset_connection

# More than the buffers of both sockets hold.
UPLOAD = b"u" * 3_000_000
HEAD = "HTTP/1.1 {status} OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\n{length}\r\n"


class EarlyServer:
    """Answers as soon as the head of a request has arrived, then resets or closes the connection.

    ``pause_s`` is the time between the answer and the end.
    """

    def __init__(self, end, pause_s):
        self.end, self.pause_s = end, pause_s
        self.requests = 0

    async def serve(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        self.requests += 1
        number = next(x for x in head.split("\r\n") if x.lower().startswith("request-id"))
        answer = HEAD.format(status=200, id=number.partition(":")[2].strip(), length="")
        writer.write(answer.encode() + b"part")
        await writer.drain()
        await asyncio.sleep(self.pause_s)
        if self.end == "reset":
            reset_connection(writer)
        else:
            writer.transport.abort()


@pytest.mark.parametrize("end", ["reset", "close"])
@pytest.mark.parametrize("pause_s", [0, 0.02, 0.2])
@pytest.mark.parametrize("path", ["/once/x", "/whole/x"])
@in_loop
async def test_part_of_an_answer_without_length_is_not_complete_while_the_upload_is_written(
    path, pause_s, end
):
    server = EarlyServer(end, pause_s)
    async with run_gateway(answer_ok) as gateway:
        [upstream] = gateway.upstreams
        upstream.server.close()
        host, _, port = gateway.gateway.fleet.directory.listed["u0"].address.rpartition(":")
        early = await asyncio.start_server(server.serve, host, int(port))
        answer = await gateway.call(path, body=UPLOAD)
        early.close()
    assert server.requests >= 1
    assert answer.status != 200


@pytest.mark.parametrize("status", ["000", "099", "199", "20", "2000", "abc"])
@pytest.mark.parametrize("path", ["/once/x", "/whole/x", "/stream/x"])
@in_loop
async def test_answer_whose_status_is_none_does_not_reach_the_caller(path, status):
    async def answer(arrival):
        head = HEAD.format(
            status=status, id=arrival.headers["request-id"], length="Content-Length: 2\r\n"
        )
        await arrival.write(head.encode() + b"no")

    async with run_gateway(answer, answer) as gateway:
        answered = await gateway.call(path)
    assert answered.status in (502, 504)


@in_loop
async def test_part_of_an_answer_through_another_instance_is_not_complete_either():
    server = EarlyServer("reset", 0.05)
    async with run_pair(answer_ok, answer_ok) as pair:
        await pair.cut_off_a_until_noticed()
        servers = []
        for upstream in pair.upstreams:
            upstream.server.close()
            listed = pair.a.gateway.fleet.directory.listed[upstream.name]
            host, _, port = listed.address.rpartition(":")
            servers.append(await asyncio.start_server(server.serve, host, int(port)))
        answer = await pair.a.call("/once/x", body=UPLOAD)
        for one in servers:
            one.close()
    assert server.requests >= 1
    assert answer.status != 200
