"""Streams whose upstreams break off, refuse and spoil them in random order."""

import asyncio

from hypothesis import example, given, settings
from hypothesis import strategies as st

from tests.gateway_harness import run_gateway, with_route
from tests.searching import SEARCH_EXAMPLES
from tests.stream_scripts import (
    EVENT_STREAM,
    LAST_EVENT,
    SOUND,
    WHOLE_STREAM,
    Sequence,
    StreamAnswer,
    events_after,
    list_events,
    make_event,
)

EXAMPLES = SEARCH_EXAMPLES or 150
FOREIGN_BODIES = (
    b"",
    b"oops",
    b"oops\n\n",
    b"\n\n",
    b": comment\n\n",
    b'{"error":"x"}\n\n{"error":"y"}\n\n',
    b"HTTP/1.1 500 X\r\n\r\noops\n\n",
    b"id: x\ndata: e3\n\n",
    make_event(1),
    make_event(9),
)
SOUND_BODIES = (events_after, lambda _: WHOLE_STREAM, lambda last: list_events(max(1, last)))
SMALL_PARTS = st.integers(1, 3)
ENCODED = "Content-Encoding: gzip"
FRAMINGS = st.sampled_from(("chunked", "length", "close"))
INFORMATIONAL = st.sampled_from(
    (b"", b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 103 X\r\n\r\n" * 3)
)
CLOSE = st.sampled_from(((), ("Connection: close",)))


def break_off(first, count, extra, framing, end, **fields):
    """Return an answer that breaks off after some events and the bytes ``extra``.

    ``first`` says where it begins: after the caller's last event, with it, or at the beginning.
    """

    def write_body(last):
        begin = {"next": last + 1, "last": max(1, last), "beginning": 1}[first]
        return list_events(begin, min(last + count, LAST_EVENT)) + extra

    # A connection that ends in order between two events ends a stream that has no other framing.
    ends_in_order = framing == "close" and end == "close" and not extra
    return StreamAnswer(
        write_body, framing=framing, end="reset" if ends_in_order else end, **fields
    )


BREAKS = st.builds(
    break_off,
    first=st.sampled_from(("next", "last", "beginning")),
    count=SMALL_PARTS,
    extra=st.sampled_from(
        (b"", b"i", b"id: 3\nda", b"id: 3\ndata: e3\n", b"HTTP/1.1 500 X\r\n\r\n")
    ),
    framing=FRAMINGS,
    end=st.sampled_from(("reset", "close")),
    before=INFORMATIONAL,
    headers=CLOSE,
)
REFUSALS = st.builds(
    StreamAnswer,
    body=st.sampled_from(FOREIGN_BODIES),
    status=st.sampled_from((503, 429, 421)),
    framing=st.sampled_from(("chunked", "length")),
    signed=st.booleans(),
    headers=st.just(("Not-Run: 1",)),
    before=INFORMATIONAL,
)
FAILURES = st.builds(
    StreamAnswer,
    body=st.sampled_from(FOREIGN_BODIES),
    status=st.sampled_from((500, 502, 504, 404, 400, 302, 408, 429, 503)),
    framing=FRAMINGS,
    end=st.sampled_from(("whole", "reset")),
    signed=st.booleans(),
)
FOREIGN = st.builds(
    StreamAnswer,
    body=st.sampled_from(FOREIGN_BODIES),
    framing=FRAMINGS,
    end=st.sampled_from(("whole", "reset", "close")),
    content_type=st.sampled_from((EVENT_STREAM, "text/plain", "application/json", None)),
    before=INFORMATIONAL,
    headers=CLOSE,
)
DOUBTFUL = st.sampled_from(
    (
        StreamAnswer(events_after, signed=False),
        StreamAnswer(events_after, request_id="another"),
        StreamAnswer(events_after, status=206),
        StreamAnswer(events_after, content_type="application/json"),
        StreamAnswer(events_after, headers=(ENCODED,)),
        StreamAnswer(status=204, framing="none"),
        StreamAnswer(status=304, framing="none"),
        StreamAnswer(lambda last: list_events(last + 2)),
    )
)
SOUND_ANSWERS = st.builds(
    StreamAnswer,
    body=st.sampled_from(SOUND_BODIES),
    framing=FRAMINGS,
    before=INFORMATIONAL,
    headers=CLOSE,
)
FIRST = st.builds(
    break_off,
    first=st.sampled_from(("next", "beginning")),
    count=SMALL_PARTS,
    extra=st.sampled_from((b"", b"id: 3\nda")),
    framing=FRAMINGS,
    end=st.sampled_from(("reset", "close")),
)
REST = st.lists(
    st.one_of(BREAKS, REFUSALS, FAILURES, FOREIGN, DOUBTFUL, SOUND_ANSWERS), min_size=1, max_size=4
)


async def check(answers, last):
    """Call the gateway once; its upstreams answer the sends in this order."""
    sequence = Sequence(*answers)
    catalog = with_route("stream", max_upstreams=len(answers))
    async with run_gateway(*[sequence.serve] * len(answers), catalog=catalog) as harness:
        resume = {} if last is None else {"Last_Event_Id": str(last)}
        answer = await harness.call("/stream/x", **resume)
    expected = events_after(last or 0)
    assert answer.status == 200 and answer.headers["server-stamp"].startswith("stamp-")
    assert answer.body and expected.startswith(answer.body)
    if answer.complete:
        assert answer.body == expected
    elif is_sound(sequence.get_last()):
        assert answer.body == expected, "the stream was cut although it could go on"
    else:
        assert sequence.used == len(answers), "the stream was cut with upstreams left"


def is_sound(answer):
    """Tell whether an answer is a whole one of the events that the caller needs."""
    whole = answer.end == "whole" and answer.signed and answer.request_id is None
    stream = answer.status == 200 and answer.content_type == EVENT_STREAM
    return whole and stream and answer.body in SOUND_BODIES and ENCODED not in answer.headers


@settings(max_examples=EXAMPLES)
@given(FIRST, REST, st.sampled_from((None, 0, 1, 2)))
@example(StreamAnswer(list_events(1, 2), end="reset"), [SOUND], None)
@example(StreamAnswer(list_events(1, 2), end="reset"), [StreamAnswer(framing="length")], None)
def test_caller_gets_each_event_once_in_order_or_sees_the_break(first, rest, last):
    asyncio.run(check([first, *rest], last))
