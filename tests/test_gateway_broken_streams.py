"""A stream that broke off midway, and what the next upstream answers to its resume."""

import dataclasses
import gzip

import pytest

from tests.gateway_harness import run_gateway, with_route
from tests.gateway_scripts import in_loop
from tests.stream_scripts import (
    LAST_EVENT,
    SOUND,
    WHOLE_STREAM,
    Sequence,
    StreamAnswer,
    events_after,
    list_events,
)

HALF_EVENT = b"id: 3\nda"
ERROR_TEXT = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\noops"

BREAKS = {
    f"{end} {place}": StreamAnswer(list_events(1, 2) + extra, end=end)
    for end in ("reset", "close", "silence")
    for place, extra in (("between events", b""), ("inside an event", HALF_EVENT))
}
BREAKS |= {
    f"{framing}, reset {place}": StreamAnswer(
        list_events(1, 2) + extra, end="reset", framing=framing
    )
    for framing in ("close", "length")
    for place, extra in (("between events", b""), ("inside an event", HALF_EVENT))
}
BREAKS["close, closed inside an event"] = StreamAnswer(
    list_events(1, 2) + HALF_EVENT, framing="close"
)

TEXT = "text/plain"
JSON = "application/json"
# Answers to a resume that do not go on with the stream.
SPOILED = {
    "500": StreamAnswer(b"oops", 500, "length", content_type=TEXT),
    "500 with blank lines": StreamAnswer(b"oops\n\nsorry\n\n", 500, content_type=TEXT),
    "404": StreamAnswer(b"no\n\n", 404, "length", content_type=TEXT),
    "503 not run": StreamAnswer(b"full\n\n", 503, "length", headers=("Not-Run: 1",)),
    "503 not run, unsigned": StreamAnswer(
        b"full", 503, "length", signed=False, headers=("Not-Run: 1",)
    ),
    "503": StreamAnswer(b"full\n\n", 503, "length"),
    "421": StreamAnswer(b"other", 421, "length", signed=False),
    "302": StreamAnswer(b"", 302, "length", headers=("Location: /elsewhere",)),
    "304": StreamAnswer(b"", 304, "none"),
    "200 with text": StreamAnswer(b"oops", framing="length", content_type=TEXT),
    "200 with text and blank lines": StreamAnswer(b"oops\n\nsorry\n\n", content_type=TEXT),
    "200 with text until the end": StreamAnswer(b"oops\n\n", framing="close", content_type=TEXT),
    "200 with JSON": StreamAnswer(b'{"error":"x"}\n\n', framing="length", content_type=JSON),
    "200 with text called a stream": StreamAnswer(b"oops\n\n"),
    "200 with a head called a stream": StreamAnswer(ERROR_TEXT + b"\n\n"),
    "200 with text without a type": StreamAnswer(b"oops\n\n", content_type=None),
    "200 with events of another type": StreamAnswer(events_after, content_type=JSON),
    "200 empty by length": StreamAnswer(framing="length"),
    "200 empty by chunks": StreamAnswer(),
    "200 empty until the end": StreamAnswer(framing="close"),
    "200 empty, reset": StreamAnswer(framing="close", end="reset"),
    "200 empty, silent": StreamAnswer(end="silence"),
    "204": StreamAnswer(status=204, framing="none"),
    "206": StreamAnswer(events_after, status=206),
    "200 with old events only": StreamAnswer(list_events(1, 2)),
    "200 with the last event only": StreamAnswer(list_events(2, 2)),
    "200 with a gap": StreamAnswer(list_events(4)),
    "200 unsigned": StreamAnswer(events_after, signed=False),
    "200 encoded": StreamAnswer(gzip.compress(list_events(3)), headers=("Content-Encoding: gzip",)),
    "200 said to be encoded": StreamAnswer(events_after, headers=("Content-Encoding: br",)),
    "200 for another request": StreamAnswer(events_after, request_id="another"),
    "no answer": StreamAnswer(framing="none", before=b"\x00nonsense\r\n\r\n"),
}
# Answers that go on with the stream, with something before or around the events.
RESUMED = {
    "sound": SOUND,
    "by length": StreamAnswer(events_after, framing="length"),
    "until the end": StreamAnswer(events_after, framing="close"),
    "with another charset": StreamAnswer(
        events_after, content_type="text/event-stream; charset=utf-8"
    ),
    "from the beginning": StreamAnswer(WHOLE_STREAM),
    "with the last event again": StreamAnswer(lambda last: list_events(last)),
    "after informational": StreamAnswer(
        events_after, before=b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\n"
    ),
}


def check_stream(answer):
    """Check that the caller has the stream or a part of it that looks broken off."""
    assert answer.status == 200
    assert answer.headers["server-stamp"].startswith("stamp-")
    assert WHOLE_STREAM.startswith(answer.body)
    assert answer.complete == (answer.body == WHOLE_STREAM)


@pytest.mark.parametrize("spoiled", SPOILED)
@pytest.mark.parametrize("broken", BREAKS)
@in_loop
async def test_stream_is_visibly_broken_off_if_the_next_upstream_spoils_it(broken, spoiled):
    sequence = Sequence(BREAKS[broken], SPOILED[spoiled])
    async with run_gateway(*[sequence.serve] * 2) as harness:
        answer = await harness.call("/stream/x")
        check_stream(answer)
        assert answer.body == list_events(1, 2) and not answer.complete
        assert sequence.used == 2


@pytest.mark.parametrize("spoiled", SPOILED)
@in_loop
async def test_stream_goes_on_at_a_third_upstream_if_the_second_spoils_it(spoiled):
    sequence = Sequence(BREAKS["reset inside an event"], SPOILED[spoiled], SOUND)
    catalog = with_route("stream", max_upstreams=3)
    async with run_gateway(*[sequence.serve] * 3, catalog=catalog) as harness:
        answer = await harness.call("/stream/x")
        check_stream(answer)
        assert answer.complete and answer.body == WHOLE_STREAM
        assert sequence.used == 3


@pytest.mark.parametrize("resumed", RESUMED)
@pytest.mark.parametrize("broken", BREAKS)
@in_loop
async def test_broken_stream_goes_on_at_the_next_upstream(broken, resumed):
    sequence = Sequence(BREAKS[broken], RESUMED[resumed])
    async with run_gateway(*[sequence.serve] * 2) as harness:
        answer = await harness.call("/stream/x")
        check_stream(answer)
        assert answer.complete and answer.body == WHOLE_STREAM


@pytest.mark.parametrize("broken", BREAKS)
@in_loop
async def test_stream_that_breaks_off_twice_does_not_look_complete(broken):
    again = dataclasses.replace(BREAKS[broken], body=b"id: 3\ndata: e3\n\nid: 4\nda")
    sequence = Sequence(BREAKS[broken], again)
    async with run_gateway(*[sequence.serve] * 2) as harness:
        answer = await harness.call("/stream/x")
        check_stream(answer)
        assert answer.body == list_events(1, 3) and not answer.complete


ANSWER_WITH_BLANK_LINES = b"HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 6\r\n\r\noops\n\n"
STREAM_OF_ANOTHER = b"HTTP/1.1 200 X\r\nServer-Stamp: s\r\n\r\nid: 3\ndata: theirs\n\n"


@pytest.mark.parametrize("copy", [ANSWER_WITH_BLANK_LINES, STREAM_OF_ANOTHER])
@pytest.mark.parametrize("framing", ["close", "length", "chunked"])
@in_loop
async def test_head_of_another_answer_is_not_forwarded_as_an_event(framing, copy):
    """A late copy of an answer in a stream that ends with its connection is a part of its body."""
    first = StreamAnswer(list_events(1, 2) + copy + list_events(3), framing=framing)
    sequence = Sequence(first, SOUND)
    async with run_gateway(*[sequence.serve] * 2) as harness:
        answer = await harness.call("/stream/x")
        check_stream(answer)
        assert answer.complete


@in_loop
async def test_event_may_speak_of_a_protocol():
    body = b"id: 1\ndata: HTTP/1.1 200 OK\n\nid: 2\ndata:\ndata: GET / HTTP/1.1\n\n"
    async with run_gateway(Sequence(StreamAnswer(body)).serve) as harness:
        answer = await harness.call("/stream/x")
        assert answer.complete and answer.body == body


def test_behaviours_break_off_before_the_last_event():
    assert LAST_EVENT > 3 and set(SPOILED).isdisjoint(RESUMED)
