"""Refusals that cannot be told to belong to the request, or do not state that it has not run."""

import asyncio
import dataclasses

import pytest

from tests.gateway_harness import run_gateway
from tests.gateway_scripts import in_loop, list_event_ids, stream_whole, with_engines
from tests.refusal_scripts import NOT_RUN_STATUSES, format_refusal, with_single_streams

SEND_ONCE_PATHS = ("/once/x", "/single/x")


@pytest.mark.parametrize("status", [503, 429, 408])
@pytest.mark.parametrize("path", [*SEND_ONCE_PATHS, "/whole/x", "/stream/x"])
@in_loop
async def test_status_that_promises_not_run_is_not_forwarded_without_that_statement(path, status):
    """A server that ran a request answers with such a status, but does not say "not run"."""

    async def run_and_answer(arrival):
        await arrival.answer(status, b"busy", Retry_After=1)

    async with run_gateway(*[run_and_answer] * 2, catalog=with_single_streams()) as harness:
        answer = await harness.call(path)
        assert answer.status == 502 and "server-stamp" not in answer.headers
        assert len(harness.arrivals) == (1 if path in SEND_ONCE_PATHS else 2)


async def move_upstream(harness, handler):
    """Serve the connections of the only upstream by another handler, on a new port."""
    [entry] = harness.listing.entries
    upstream = harness.upstreams[0]
    upstream.server.close()
    upstream.server = await asyncio.start_server(handler, "127.0.0.1", 0)
    port = upstream.server.sockets[0].getsockname()[1]
    moved = dataclasses.replace(entry.value, address=f"127.0.0.1:{port}")
    harness.listing.put(dataclasses.replace(entry, value=moved))
    while moved.address != harness.gateway.fleet.directory.listed[moved.name].address:
        await asyncio.sleep(0.005)


@pytest.mark.parametrize("path", SEND_ONCE_PATHS)
@pytest.mark.parametrize("status", [503, 429, 400])
@in_loop
async def test_refusal_written_before_the_request_is_not_its_answer(status, path):
    """The server writes as soon as it accepts a connection, before it has read a request."""

    async def run_request(arrival):
        await arrival.answer(body=b"id: 1\ndata: a\n\n")

    async def write_first(reader, writer):
        writer.write(format_refusal(status, None, "empty"))
        await harness.upstreams[0]._serve(reader, writer)

    async with run_gateway(run_request, catalog=with_single_streams()) as harness:
        await move_upstream(harness, write_first)
        for _ in range(4):
            ran_before = len(harness.arrivals)
            answer = await harness.call(path)
            ran = len(harness.arrivals) - ran_before
            assert answer.status not in NOT_RUN_STATUSES or not ran
            assert ran <= 1


@pytest.mark.parametrize("status", [503, 429, 400])
@in_loop
async def test_refusal_without_the_request_id_is_no_reason_to_send_what_may_run_once_again(status):
    async def refuse(arrival):
        await arrival.write(format_refusal(status, None, "empty"))

    async with run_gateway(refuse, refuse) as harness:
        assert (await harness.call("/once/x")).status == 502
        assert len(harness.arrivals) == 1


@in_loop
async def test_refusal_without_an_id_is_believed_if_the_request_has_none():
    async def refuse(arrival):
        await arrival.write(format_refusal(400, None, "empty"))

    async with run_gateway(refuse, refuse) as harness:
        assert (await harness.call("/once/x", Request_Id=None)).status == 503
        assert len(harness.arrivals) == 2


@in_loop
async def test_copied_refusal_of_the_first_send_is_not_taken_for_that_of_a_repeat():
    """A helper was at fault, so the same upstream gets the same request again, with the same id."""

    async def refuse_then_copy(arrival):
        connection = (arrival.upstream, arrival.connection)
        if dead in arrival.headers.get("helpers", "").split(","):
            refusal = format_refusal(503, arrival.headers["request-id"], "empty")
            at_fault = b"\r\nAt-Server: %s\r\n\r\n" % dead.encode()
            refusals[connection] = refusal.replace(b"\r\n\r\n", at_fault)
            await arrival.write(refusals[connection])
            return
        await arrival.write(refusals.get(connection, b""))
        await stream_whole(arrival)

    refusals = {}
    catalog = with_engines()
    async with run_gateway(*[refuse_then_copy] * 4, catalog=catalog) as harness:
        harness.gateway.fleet.policy = "least_cost"
        dead = harness.gateway.fleet.directory.listed["u3"].address
        answer = await harness.call("/stream/x", Token_Count="200000,100")
        assert answer.status == 200 and answer.complete
        assert list_event_ids(answer.body) == [1, 2, 3, 4, 5]
        assert len(harness.arrivals) == 2
        assert harness.arrivals[0].upstream == harness.arrivals[1].upstream
