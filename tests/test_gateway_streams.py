"""Streams: resumed without a seam, cut where they cannot go on, never joined from two answers."""

import pytest

from tests.gateway_scripts import ids, in_loop, stream_and_break, stream_whole
from tests.gateway_world import CATALOG, run_world, with_route


@in_loop
async def test_broken_stream_goes_on_elsewhere_without_a_seam():
    async with run_world(stream_and_break, stream_and_break, stream_whole) as world:
        world.upstreams[1].script = stream_whole
        seen = []
        for _ in range(4):
            answer = await world.call("/stream/x")
            seen.append(answer)
            assert answer.whole and ids(answer.body) == [1, 2, 3, 4, 5]
        resumed = [a for a in world.arrivals if "last-event-id" in a.headers]
        assert resumed and all(a.headers["last-event-id"] == "2" for a in resumed)
        stamps = {answer.headers["server-stamp"] for answer in seen}
        assert "stamp-u0" in stamps


@in_loop
async def test_stream_that_cannot_go_on_does_not_look_complete():
    async with run_world(stream_and_break) as world:
        answer = await world.call("/stream/x")
        assert not answer.whole and ids(answer.body) == [1, 2]


@in_loop
async def test_callers_own_resume_is_passed_on():
    async with run_world(stream_whole) as world:
        answer = await world.call("/stream/x", Last_Event_Id="3")
        assert ids(answer.body) == [4, 5]
        assert world.arrivals[0].headers["last-event-id"] == "3"


@in_loop
async def test_stream_that_may_not_resume_is_sent_once():
    async with run_world(
        stream_and_break,
        stream_and_break,
        catalog=with_route("stream", repeat=CATALOG.routes[0].repeat),
    ) as world:
        assert not (await world.call("/stream/x")).whole
        assert len(world.arrivals) == 1


@pytest.mark.parametrize("status", [404, 500])
@in_loop
async def test_failure_on_a_resume_never_becomes_a_second_answer(status):
    async def break_then_fail(arrival):
        if "last-event-id" in arrival.headers:
            await arrival.answer(status, b"no")
        else:
            await stream_and_break(arrival)

    async with run_world(break_then_fail, break_then_fail) as world:
        answer = await world.call("/stream/x")
        assert answer.status == 200 and not answer.whole and ids(answer.body) == [1, 2]
