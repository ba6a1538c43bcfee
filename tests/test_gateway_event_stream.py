"""Splitting of event streams, and the check of event ids across upstreams."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilwell.gateway._event_stream import (
    MAX_EVENT_BYTES,
    BrokenStream,
    EventSequence,
    EventSplitter,
    StreamEvent,
)

PIECE_BYTES = 65
MAX_COST_FACTOR = 3


def make_event(number, text="x"):
    return f"id: {number}\ndata: {text}\n\n".encode()


@given(st.integers(0, 12), st.lists(st.integers(1, 40), min_size=1, max_size=60))
def test_events_do_not_depend_on_how_the_bytes_are_split(count, sizes):
    data = b"".join(make_event(number) for number in range(1, count + 1))
    splitter, events, position = EventSplitter(), [], 0
    while position < len(data):
        size = sizes[position % len(sizes)]
        events += splitter.feed(data[position : position + size])
        position += size
    assert [event.number for event in events] == list(range(1, count + 1))
    assert b"".join(event.data for event in events) == data
    assert not splitter.incomplete


def test_incomplete_last_event_is_buffered():
    splitter = EventSplitter()
    assert [event.number for event in splitter.feed(make_event(1) + b"id: 2\nda")] == [1]
    assert splitter.incomplete


def test_event_without_end_is_an_error():
    with pytest.raises(BrokenStream):
        EventSplitter().feed(b"x" * (MAX_EVENT_BYTES + 1))


@pytest.mark.parametrize(
    ("event", "number"),
    [
        (b"weight-versions: 3\nid: 7\ndata: a\n\n", 7),
        (b"data: a\n\n", None),
        (b"id: x\ndata: a\n\n", None),
        (b"id:5\n\n", 5),
        (b"id: " + b"9" * 5_000 + b"\n\n", None),
    ],
)
def test_number_of_an_event(event, number):
    assert EventSplitter().feed(event) == [StreamEvent(event, number)]


def test_events_that_the_caller_has_are_dropped_after_a_resume():
    sequence = EventSequence(last=3)
    numbers = [1, 2, 3, 4, 5]
    assert [n for n in numbers if sequence.accept(StreamEvent(b"", n))] == [4, 5]


def test_gap_is_an_error():
    sequence = EventSequence(last=3)
    with pytest.raises(BrokenStream, match="event 5 follows event 3"):
        sequence.accept(StreamEvent(b"", 5))


def test_first_event_may_have_any_id_and_events_without_one_are_accepted():
    sequence = EventSequence(last=None)
    assert sequence.accept(StreamEvent(b"", None))
    assert sequence.accept(StreamEvent(b"", 9))
    assert sequence.last == 9


def test_blank_lines_before_an_event_belong_to_it():
    splitter = EventSplitter()
    assert splitter.feed(b"\n") + splitter.feed(b"\n\n") == []
    assert not splitter.incomplete and splitter.rest == b"\n\n\n"
    assert splitter.feed(b"id: 4\n") == [] and splitter.incomplete
    assert splitter.feed(b"\n\n") == [StreamEvent(b"\n\n\nid: 4\n\n", 4)]
    assert not splitter.incomplete and splitter.rest == b"\n"


def test_blank_lines_without_end_are_an_error():
    with pytest.raises(BrokenStream):
        EventSplitter().feed(b"\n" * (MAX_EVENT_BYTES + 1))


def measure_cost_of_a_byte(total_bytes):
    """Return the processor time per byte of an event without end that comes in small pieces."""
    piece = b"x" * PIECE_BYTES
    costs = []
    for _ in range(3):
        splitter = EventSplitter()
        began = time.thread_time()
        for _ in range(total_bytes // PIECE_BYTES):
            splitter.feed(piece)
        costs.append((time.thread_time() - began) / total_bytes)
    return min(costs)


def test_cost_of_a_byte_does_not_grow_with_the_incomplete_event():
    """Guards against review case 1: a long event in small pieces stopped the event loop."""
    assert measure_cost_of_a_byte(1_000_000) < MAX_COST_FACTOR * measure_cost_of_a_byte(60_000)
