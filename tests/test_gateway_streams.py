"""Streams resume at another upstream, or are cut; two answers are never joined into one."""

import pytest

from tests.gateway_harness import CATALOG, run_gateway, with_route
from tests.gateway_scripts import in_loop, list_event_ids, stream_and_break, stream_whole


@in_loop
async def test_broken_stream_resumes_elsewhere_without_a_seam():
    async with run_gateway(stream_and_break, stream_and_break, stream_whole) as harness:
        harness.upstreams[1].script = stream_whole
        seen = []
        for _ in range(4):
            answer = await harness.call("/stream/x")
            seen.append(answer)
            assert answer.complete and list_event_ids(answer.body) == [1, 2, 3, 4, 5]
        resumed = [a for a in harness.arrivals if "last-event-id" in a.headers]
        assert resumed and all(a.headers["last-event-id"] == "2" for a in resumed)
        stamps = {answer.headers["server-stamp"] for answer in seen}
        assert "stamp-u0" in stamps


@in_loop
async def test_stream_that_cannot_resume_does_not_look_complete():
    async with run_gateway(stream_and_break) as harness:
        answer = await harness.call("/stream/x")
        assert not answer.complete and list_event_ids(answer.body) == [1, 2]


@in_loop
async def test_resume_by_the_caller_is_forwarded():
    async with run_gateway(stream_whole) as harness:
        answer = await harness.call("/stream/x", Last_Event_Id="3")
        assert list_event_ids(answer.body) == [4, 5]
        assert harness.arrivals[0].headers["last-event-id"] == "3"


@in_loop
async def test_stream_that_may_not_resume_is_sent_once():
    async with run_gateway(
        stream_and_break,
        stream_and_break,
        catalog=with_route("stream", repeat=CATALOG.routes[0].repeat),
    ) as harness:
        assert not (await harness.call("/stream/x")).complete
        assert len(harness.arrivals) == 1


@pytest.mark.parametrize("status", [404, 500])
@in_loop
async def test_failure_on_a_resume_never_becomes_a_second_answer(status):
    async def break_then_fail(arrival):
        if "last-event-id" in arrival.headers:
            await arrival.answer(status, b"no")
        else:
            await stream_and_break(arrival)

    async with run_gateway(break_then_fail, break_then_fail) as harness:
        answer = await harness.call("/stream/x")
        assert (
            answer.status == 200 and not answer.complete and list_event_ids(answer.body) == [1, 2]
        )
