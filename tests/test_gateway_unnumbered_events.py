"""Streams with events that have no id, which a resume could send twice."""

import pytest

from tests.gateway_harness import run_gateway
from tests.gateway_scripts import in_loop
from tests.stream_scripts import Sequence, StreamAnswer, events_after, list_events

UNNUMBERED = b"data: no id\n\n"


@pytest.mark.parametrize("end", ["reset", "close", "silence"])
@pytest.mark.parametrize(
    "sent",
    [UNNUMBERED, UNNUMBERED * 3, list_events(1, 2) + UNNUMBERED],
    ids=["one", "several", "after others"],
)
@in_loop
async def test_event_without_an_id_is_not_sent_twice_by_a_resume(sent, end):
    """A resume names the last event with an id, so the next upstream sends the others again."""
    again = StreamAnswer(sent + list_events(3))
    sequence = Sequence(StreamAnswer(sent, end=end), again)
    async with run_gateway(*[sequence.serve] * 2) as harness:
        answer = await harness.call("/stream/x")
        assert answer.status == 200 and not answer.complete
        assert answer.body == sent


@in_loop
async def test_stream_resumes_after_a_numbered_event_that_follows_one_without_an_id():
    sent = UNNUMBERED + list_events(1, 2)
    sequence = Sequence(StreamAnswer(sent, end="reset"), StreamAnswer(events_after))
    async with run_gateway(*[sequence.serve] * 2) as harness:
        answer = await harness.call("/stream/x")
        assert answer.complete and answer.body == UNNUMBERED + list_events(1)


@pytest.mark.parametrize("framing", ["chunked", "length", "close"])
@in_loop
async def test_events_without_an_id_pass_unchanged(framing):
    body = UNNUMBERED + list_events(1, 3) + UNNUMBERED + list_events(4) + b"data: [DONE]\n\n"
    sequence = Sequence(StreamAnswer(body, framing=framing))
    async with run_gateway(sequence.serve) as harness:
        answer = await harness.call("/stream/x")
        assert answer.complete and answer.body == body


@in_loop
async def test_resumed_stream_may_end_with_an_event_without_an_id():
    done = b"data: [DONE]\n\n"
    sequence = Sequence(
        StreamAnswer(list_events(1, 2), end="reset"), StreamAnswer(list_events(3) + done)
    )
    async with run_gateway(*[sequence.serve] * 2) as harness:
        answer = await harness.call("/stream/x")
        assert answer.complete and answer.body == list_events(1) + done
