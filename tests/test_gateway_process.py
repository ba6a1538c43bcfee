"""The gateway process: planned stops, configuration changes and exceptions."""

import asyncio
from dataclasses import replace

import pytest

from lentilwell.gateway import Entry
from tests.gateway_harness import CATALOG, run_gateway
from tests.gateway_scripts import (
    answer_ok,
    in_loop,
    stay_silent,
    stream_whole,
    with_engines,
)


async def end_stop(gateway):
    """Stop a gateway that drains once its stop is complete, as ``Gateway.run`` does."""
    while not gateway._is_stop_complete():
        await asyncio.sleep(0.02)
    await gateway.finish_stop()


@in_loop
async def test_planned_stop_answers_open_requests_and_then_closes_connections():
    async def answer_slowly(arrival):
        await asyncio.sleep(0.3)
        await arrival.answer(body=b"hello")

    async with run_gateway(answer_slowly) as harness:
        connection = await harness.connect()
        pending = asyncio.ensure_future(harness.call("/once/x", connection=connection))
        await asyncio.sleep(0.1)
        harness.gateway.drain()
        assert not harness.gateway.ready
        answer = await pending
        assert answer.status == 200 and answer.headers["connection"] == "close"
        assert (await harness.call("/once/x")).status == 200


@in_loop
async def test_newer_configuration_is_in_force_and_an_older_one_never_again():
    async with run_gateway(answer_ok) as harness:
        newer = replace(CATALOG, version=5, routes=CATALOG.routes[1:])
        for catalog in (newer, CATALOG):
            harness.catalog.put(Entry("config", catalog))
            await asyncio.sleep(0.05)
            assert (await harness.call("/once/x")).status == 404
            assert (await harness.call("/whole/x")).status == 200


@in_loop
async def test_first_request_of_a_new_connection_is_answered_while_the_instance_stops():
    """Its connection was once closed by the maintenance while the request was on its way."""
    async with run_gateway(answer_ok) as harness:
        harness.gateway.drain()
        harness.gateway.planned_stop.began_at -= 1_500
        connection = await harness.connect()
        await asyncio.sleep(0.05)
        harness.gateway._run_maintenance()
        answer = await harness.call("/once/x", connection=connection)
        assert answer.status == 200 and answer.headers["connection"] == "close"


@in_loop
async def test_request_that_follows_a_stream_at_once_is_answered_while_the_instance_stops():
    async def stream_slowly(arrival):
        await arrival.begin_stream()
        await arrival.write_events(1)
        await asyncio.sleep(0.2)
        await arrival.write_events(2)
        await arrival.end_stream()

    async with run_gateway(stream_slowly) as harness:
        connection = await harness.connect()
        pending = asyncio.ensure_future(harness.call("/stream/x", connection=connection))
        await asyncio.sleep(0.1)
        harness.gateway.drain()
        harness.gateway.planned_stop.began_at -= 1_500
        answer = await pending
        assert answer.status == 200 and "connection" not in answer.headers
        harness.gateway._run_maintenance()
        assert (await harness.call("/stream/x", connection=connection)).status == 200


@in_loop
async def test_connections_that_are_idle_for_a_while_are_closed_while_the_instance_stops():
    async with run_gateway(answer_ok) as harness:
        connections = [await harness.connect() for _ in range(2)]
        assert (await harness.call("/once/x", connection=connections[0])).status == 200
        harness.gateway.drain()
        await asyncio.sleep(1.1)
        harness.gateway._run_maintenance()
        for reader, writer in connections:
            assert await asyncio.wait_for(reader.read(), 1) == b""
            writer.close()


@pytest.mark.parametrize(
    ("stopping_for_ms", "path", "tokens", "status"),
    [
        (1_000, "/stream/x", "1000,1500", 200),
        (6_500, "/stream/x", "1000,1500", 503),
        (7_400, "/once/x", None, 503),
        (3_000, "/once/x", None, 200),
    ],
)
@in_loop
async def test_stopping_instance_accepts_only_requests_that_it_can_finish(
    stopping_for_ms, path, tokens, status
):
    """Streams that arrived 6.4 s after SIGTERM were once accepted and cut when the process ended.

    Found in a randomized run with faults: kalye, mix 287565574239.
    """

    async def serve(arrival):
        await (stream_whole(arrival) if "stream" in str(arrival.line) else answer_ok(arrival))

    async with run_gateway(serve, catalog=with_engines()) as harness:
        harness.gateway.drain()
        harness.gateway.planned_stop.began_at -= stopping_for_ms
        answer = await harness.call(path, Token_Count=tokens)
        assert answer.status == status and answer.headers["connection"] == "close"
        assert len(harness.arrivals) == (1 if status == 200 else 0)
        if status == 503:
            assert float(answer.headers["retry-after"]) >= 0


@pytest.mark.parametrize("path", ["/stream/x", "/once/x"])
@pytest.mark.parametrize("stopping_for_ms", [4_500, 5_400, 6_500, 7_000])
@in_loop
async def test_stopping_instance_finishes_what_it_accepted_although_its_upstream_pauses(
    path, stopping_for_ms
):
    async def pause(arrival):
        if path == "/once/x":
            await asyncio.sleep(1.4)
            await arrival.answer()
            return
        await arrival.begin_stream()
        await arrival.write_events(1)
        await asyncio.sleep(1.4)
        await arrival.write_events(2)
        await arrival.end_stream()

    async with run_gateway(pause, catalog=with_engines()) as harness:
        harness.gateway.drain()
        harness.gateway.planned_stop.began_at -= stopping_for_ms
        stop = asyncio.ensure_future(end_stop(harness.gateway))
        answer = await harness.call(path, Token_Count="1000,10" if "stream" in path else None)
        assert answer.complete and answer.status == (503 if stopping_for_ms >= 6_500 else 200)
        assert len(harness.arrivals) == (answer.status == 200)
        await stop


@in_loop
async def test_exception_in_a_background_task_does_not_end_the_process():
    async with run_gateway(answer_ok) as harness:

        async def fail_once(after, wait_ms):
            harness.catalog.read_changes = type(harness.catalog).read_changes.__get__(
                harness.catalog
            )
            raise ZeroDivisionError

        harness.catalog.read_changes = fail_once
        harness.catalog.put(Entry("config", replace(CATALOG, version=2)))
        await asyncio.sleep(0.05)
        assert (await harness.call("/once/x")).status == 200
        harness.catalog.put(Entry("config", replace(CATALOG, version=3)))
        async with asyncio.timeout(3):
            while harness.gateway.fleet.catalog.version != 3:
                await asyncio.sleep(0.02)


@in_loop
async def test_end_of_a_stop_answers_pending_requests():
    """Requests at a silent upstream once got no answer when the process ended.

    Soak seeds 2129643505 and 1979824281.
    """
    async with run_gateway(stay_silent) as harness:
        pending = asyncio.ensure_future(harness.call("/once/x"))
        await asyncio.sleep(0.05)
        harness.gateway.drain()
        await harness.gateway.stop()
        answer = await pending
        assert answer.status == 504 and answer.complete
        assert answer.headers["connection"] == "close"


@in_loop
async def test_end_of_a_stop_cuts_streams_so_that_they_do_not_look_complete():
    async def stream_without_end(arrival):
        await arrival.begin_stream()
        await arrival.write_events(1, 2)
        await asyncio.sleep(5)

    async with run_gateway(stream_without_end, catalog=with_engines()) as harness:
        pending = asyncio.ensure_future(harness.call("/stream/x", Token_Count="1000,500"))
        await asyncio.sleep(0.1)
        await harness.gateway.stop()
        answer = await pending
        assert answer.status == 200 and not answer.complete


@in_loop
async def test_end_of_a_stop_does_not_wait_for_the_next_maintenance(monkeypatch):
    """The answers of the end must be written before the process is killed."""
    monkeypatch.setattr("lentilwell.gateway._gateway.MAINTENANCE_INTERVAL_MS", 30_000)

    async def start_nothing():
        """The harness has started the gateway."""

    async with run_gateway(stay_silent) as harness:
        pending = asyncio.ensure_future(harness.call("/once/x"))
        while not harness.arrivals:
            await asyncio.sleep(0.01)
        harness.gateway.drain()
        harness.gateway.planned_stop.began_at -= harness.gateway.settings.max_stop_ms - 500
        harness.gateway.start = start_nothing
        await asyncio.wait_for(harness.gateway.run(), 2)
        assert (await pending).status == 504


@in_loop
async def test_exception_in_maintenance_neither_ends_the_process_nor_stops_the_other_steps():
    async def do_nothing():
        pass

    def fail():
        raise ZeroDivisionError

    async with run_gateway(answer_ok) as harness:
        gateway, pruned = harness.gateway, asyncio.Event()
        gateway.start = do_nothing
        gateway.peers.run_maintenance = fail
        gateway.connections.prune = lambda addresses: pruned.set()
        running = asyncio.ensure_future(gateway.run())
        async with asyncio.timeout(3):
            for _ in range(2):
                await asyncio.wait(
                    (running, asyncio.ensure_future(pruned.wait())), return_when="FIRST_COMPLETED"
                )
                pruned.clear()
        assert not running.done()
        assert (await harness.call("/once/x")).status == 200
        running.cancel()
