"""Streams that the caller itself resumes."""

import pytest

from tests.gateway_harness import run_gateway
from tests.gateway_scripts import in_loop
from tests.stream_scripts import (
    LAST_EVENT,
    SOUND,
    Sequence,
    StreamAnswer,
    events_after,
    list_events,
)

BREAK = StreamAnswer(lambda last: list_events(last + 1, last + 1) + b"id: 9\nda", end="reset")


@pytest.mark.parametrize("last", range(LAST_EVENT - 1))
@in_loop
async def test_stream_resumed_by_its_caller_breaks_off_and_goes_on(last):
    sequence = Sequence(BREAK, SOUND)
    async with run_gateway(*[sequence.serve] * 2) as harness:
        answer = await harness.call("/stream/x", Last_Event_Id=str(last))
        assert answer.complete and answer.body == list_events(last + 1)
        sent = [arrival.headers["last-event-id"] for arrival in harness.arrivals]
        assert sent == [str(last), str(last + 1)]


@pytest.mark.parametrize(
    "spoiled",
    [
        StreamAnswer(framing="length"),
        StreamAnswer(b"oops\n\n", content_type="text/plain"),
        StreamAnswer(b"oops\n\n"),
        StreamAnswer(list_events(1, 2)),
        StreamAnswer(b"oops", 500, "length"),
        StreamAnswer(status=204, framing="none"),
    ],
)
@in_loop
async def test_spoiled_end_of_a_stream_resumed_by_its_caller_looks_broken_off(spoiled):
    sequence = Sequence(BREAK, spoiled)
    async with run_gateway(*[sequence.serve] * 2) as harness:
        answer = await harness.call("/stream/x", Last_Event_Id="2")
        assert not answer.complete and answer.body == list_events(3, 3)


@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
@in_loop
async def test_upstream_without_more_events_ends_a_stream_that_its_caller_resumed(framing):
    """The caller has all events, so the upstream's whole answer is empty; nothing is joined."""
    sequence = Sequence(StreamAnswer(events_after, framing=framing))
    async with run_gateway(sequence.serve) as harness:
        answer = await harness.call("/stream/x", Last_Event_Id=str(LAST_EVENT))
        assert answer.status == 200 and answer.complete and answer.body == b""
        assert answer.headers["server-stamp"] == "stamp-u0"


@in_loop
async def test_stream_resumed_by_its_caller_skips_what_the_caller_has():
    sequence = Sequence(StreamAnswer(list_events(1)))
    async with run_gateway(sequence.serve) as harness:
        answer = await harness.call("/stream/x", Last_Event_Id="3")
        assert answer.complete and answer.body == list_events(4)


@in_loop
async def test_gap_in_a_stream_resumed_by_its_caller_is_not_forwarded():
    sequence = Sequence(StreamAnswer(list_events(4)), SOUND)
    async with run_gateway(*[sequence.serve] * 2) as harness:
        answer = await harness.call("/stream/x", Last_Event_Id="2")
        assert answer.complete and answer.body == list_events(3)
        assert sequence.used == 2
