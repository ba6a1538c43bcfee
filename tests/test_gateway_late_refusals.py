"""Refusals that a faulty server writes again on a kept connection, or that name no request."""

import asyncio

import pytest

from lentilwell.gateway import Repeat
from tests.gateway_harness import run_gateway
from tests.gateway_scripts import in_loop
from tests.refusal_scripts import NOT_RUN_STATUSES, format_refusal, with_single_streams

OLD_ID = "an-earlier-request"
PAUSE_S = 0.01


class RepeatingServer:
    """Runs every request, and writes a copy of an earlier refusal on each used connection.

    ``place`` says when the copy is written, relative to the answers. ``ran`` counts the runs of
    each request, ``copies`` the copies that were written.
    """

    def __init__(self, place, copy):
        self.place = place
        self.copy = copy
        self.ran = {}
        self.used = set()
        self.copies = 0

    async def serve(self, arrival):
        request_id = arrival.headers["request-id"]
        connection = (arrival.upstream, arrival.connection)
        copy = self.copy if connection in self.used else b""
        self.used.add(connection)
        self.ran[request_id] = self.ran.get(request_id, 0) + 1
        body = b"id: 1\ndata: a\n\n" if arrival.line.startswith(b"POST /stream") else b"hello"
        head = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: %s\r\n" % request_id.encode()
        answer = head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        await self._write(arrival, answer, copy)

    async def _write(self, arrival, answer, copy):
        half = len(self.copy) // 2
        self.copies += bool(copy) or self.place in PLACES_AFTER_EACH_ANSWER
        if self.place == "same segment":
            await arrival.write(answer + self.copy)
        elif self.place == "split over segments":
            await arrival.write(answer + self.copy[:half])
            await asyncio.sleep(PAUSE_S / 2)
            await arrival.write(self.copy[half:])
        elif self.place == "idle":
            await arrival.write(answer)
            await asyncio.sleep(PAUSE_S / 2)
            await arrival.write(self.copy)
        elif self.place == "before the answer":
            await arrival.write(copy)
            await asyncio.sleep(PAUSE_S)
            await arrival.write(answer)
        elif self.place == "with the answer":
            await arrival.write(copy + answer)
        elif self.place == "after informational":
            await arrival.write(b"HTTP/1.1 102 Processing\r\n\r\n" + copy + answer)
        elif self.place == "inside the head":
            await arrival.write(answer[:40] + copy + answer[40:])


PLACES_AFTER_EACH_ANSWER = ("same segment", "split over segments", "idle")
PLACES = (
    *PLACES_AFTER_EACH_ANSWER,
    "before the answer",
    "with the answer",
    "after informational",
    "inside the head",
)


async def check_callers(harness, server, pauses_s=(0, PAUSE_S, 0, PAUSE_S / 4, PAUSE_S / 2, 0)):
    """Call each route several times; no request that ran may be answered as not run."""
    for pause_s in pauses_s:
        for path in ("/whole/x", "/once/x", "/stream/x", "/single/x"):
            request_id = f"id{harness.last_request_number[0] + 1}"
            answer = await harness.call(path)
            runs = server.ran.get(request_id, 0)
            assert answer.status not in NOT_RUN_STATUSES or not runs, (path, answer)
            assert path not in ("/once/x", "/single/x") or runs <= 1
            assert answer.status in (200, 502)
        await asyncio.sleep(pause_s)
    assert server.copies >= 2


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("request_id", [OLD_ID, None])
@pytest.mark.parametrize("status", [503, 429, 421])
@in_loop
async def test_copy_of_a_refusal_never_marks_a_request_that_ran_as_not_run(
    status, request_id, place
):
    server = RepeatingServer(place, format_refusal(status, request_id, "length"))
    scripts = [server.serve] * 3
    async with run_gateway(*scripts, catalog=with_single_streams()) as harness:
        await check_callers(harness, server)


@pytest.mark.parametrize("body", ["empty", "chunked", "too short", "too long"])
@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("request_id", [OLD_ID, None])
@in_loop
async def test_framing_of_a_copied_refusal_does_not_matter(request_id, place, body):
    server = RepeatingServer(place, format_refusal(503, request_id, body))
    scripts = [server.serve] * 2
    async with run_gateway(*scripts, catalog=with_single_streams()) as harness:
        await check_callers(harness, server, pauses_s=(0, PAUSE_S, 0))


@in_loop
async def test_misdirected_request_without_an_id_runs_at_another_server():
    """A server that reuses the address of another one refuses the request, without its id."""

    async def misdirect(arrival):
        await arrival.write(
            b"HTTP/1.1 421 X\r\nInstance-Id: other\r\nContent-Length: 0\r\n\r\n"
            if arrival.upstream == "u0"
            else b"HTTP/1.1 200 X\r\nServer-Stamp: s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n"
            % arrival.headers["request-id"].encode()
        )

    async with run_gateway(misdirect, misdirect) as harness:
        for _ in range(6):
            assert (await harness.call("/once/x")).status == 200
        assert len(harness.upstreams[0].arrivals) == 1
        assert len(harness.upstreams[1].arrivals) == 6


def test_these_tests_cover_all_repeat_kinds():
    assert {route.repeat for route in with_single_streams().routes} == set(Repeat)
