"""The process itself: planned stops, configurations, and faults of its own."""

import asyncio
from dataclasses import replace

import pytest

from lentilwell.gateway import Entry
from tests.gateway_scripts import answer_ok, in_loop, stay_silent, stream_whole, with_engines
from tests.gateway_world import CATALOG, run_world


@in_loop
async def test_planned_stop_serves_what_is_open_and_closes_between_requests():
    async def answer_slowly(arrival):
        await asyncio.sleep(0.3)
        await arrival.answer(body=b"hello")

    async with run_world(answer_slowly) as world:
        connection = await world.connect()
        pending = asyncio.ensure_future(world.call("/once/x", connection=connection))
        await asyncio.sleep(0.1)
        world.gateway.drain()
        assert not world.gateway.ready
        answer = await pending
        assert answer.status == 200 and answer.headers["connection"] == "close"
        assert (await world.call("/once/x")).status == 200


@in_loop
async def test_newer_configuration_is_in_force_and_an_older_one_never_again():
    async with run_world(answer_ok) as world:
        newer = replace(CATALOG, version=5, routes=CATALOG.routes[1:])
        for catalog in (newer, CATALOG):
            world.catalog.put(Entry("config", catalog))
            await asyncio.sleep(0.05)
            assert (await world.call("/once/x")).status == 404
            assert (await world.call("/whole/x")).status == 200


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
async def test_stopping_instance_takes_only_what_it_can_finish(
    stopping_for_ms, path, tokens, status
):
    """A hunt of kalye (mix 287565574239) cut streams that came 6.4 s after SIGTERM."""

    async def serve(arrival):
        await (stream_whole(arrival) if "stream" in str(arrival.line) else answer_ok(arrival))

    async with run_world(serve, catalog=with_engines()) as world:
        world.gateway.drain()
        world.gateway._stopping_since -= stopping_for_ms
        answer = await world.call(path, Token_Count=tokens)
        assert answer.status == status and answer.headers["connection"] == "close"
        assert len(world.arrivals) == (1 if status == 200 else 0)
        if status == 503:
            assert float(answer.headers["retry-after"]) >= 0


@in_loop
async def test_fault_in_a_background_task_does_not_end_the_service():
    async with run_world(answer_ok) as world:

        async def fail_once(after, wait_ms):
            world.catalog.read_changes = type(world.catalog).read_changes.__get__(world.catalog)
            raise ZeroDivisionError

        world.catalog.read_changes = fail_once
        world.catalog.put(Entry("config", replace(CATALOG, version=2)))
        await asyncio.sleep(0.05)
        assert (await world.call("/once/x")).status == 200
        world.catalog.put(Entry("config", replace(CATALOG, version=3)))
        async with asyncio.timeout(3):
            while world.gateway.fleet.catalog.version != 3:
                await asyncio.sleep(0.02)


@in_loop
async def test_end_of_a_stop_answers_what_is_still_waited_for():
    """Soak seeds 2129643505 and 1979824281: bookings at a mute upstream got no answer at all."""
    async with run_world(stay_silent) as world:
        pending = asyncio.ensure_future(world.call("/once/x"))
        await asyncio.sleep(0.05)
        world.gateway.drain()
        await world.gateway.stop()
        answer = await pending
        assert answer.status == 504 and answer.whole
        assert answer.headers["connection"] == "close"


@in_loop
async def test_end_of_a_stop_cuts_streams_so_that_they_do_not_look_complete():
    async def stream_without_end(arrival):
        await arrival.begin_stream()
        await arrival.write_events(1, 2)
        await asyncio.sleep(5)

    async with run_world(stream_without_end, catalog=with_engines()) as world:
        pending = asyncio.ensure_future(world.call("/stream/x", Token_Count="1000,500"))
        await asyncio.sleep(0.1)
        await world.gateway.stop()
        answer = await pending
        assert answer.status == 200 and not answer.whole
