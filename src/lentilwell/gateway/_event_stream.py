"""Server-sent events: splits a byte stream into events and checks their ids for gaps."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

EVENT_END = b"\n\n"
STATUS_LINE_START = b"HTTP/1."
MAX_EVENT_BYTES = 1_048_576
# int() refuses more than 4,300 digits; no number of an event has so many.
MAX_NUMBER_DIGITS = 18
_ID_FIELD = re.compile(rb"^id:([^\n]*)", re.MULTILINE)
_NOT_LINE_FEED = re.compile(rb"[^\n]")


class BrokenStream(Exception):
    """An upstream's stream skips an event, is cut off or does not continue an earlier one."""


@dataclass(frozen=True)
class StreamEvent:
    """A complete event with its terminating blank line; ``number`` is its id or None."""

    data: bytes
    number: int | None


class EventSplitter:
    """Splits the bytes of a stream into events, and buffers the incomplete last one.

    Each byte is searched once, however small the pieces are in which an event arrives. Blank lines
    before an event belong to it.
    """

    def __init__(self) -> None:
        self._incomplete = bytearray()
        # Where the first line of the incomplete event begins, and where to search for its end.
        self._begin = 0
        self._searched = 0

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete."""
        self._incomplete += data
        events = []
        while (end := self._find_end()) is not None:
            event = bytes(self._incomplete[:end])
            del self._incomplete[:end]
            self._begin = self._searched = 0
            events.append(StreamEvent(event, _find_number(event)))
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise BrokenStream(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        return events

    @property
    def incomplete(self) -> bool:
        """Tell whether the bytes so far end in the middle of an event."""
        return self._begin < len(self._incomplete)

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._incomplete)

    def _find_end(self) -> int | None:
        """Return where the first event ends, None if it is incomplete."""
        first_line = _NOT_LINE_FEED.search(self._incomplete, self._begin)
        self._begin = len(self._incomplete) if first_line is None else first_line.start()
        # The first byte of the end may have been searched already.
        start = max(self._begin, self._searched - len(EVENT_END) + 1)
        end = self._incomplete.find(EVENT_END, start)
        self._searched = len(self._incomplete)
        return None if end < 0 else end + len(EVENT_END)


class EventSequence:
    """Tracks the event ids sent to a caller, across all upstreams that serve the stream.

    ``last`` is the id of the last event sent, or None.
    """

    def __init__(self, last: int | None) -> None:
        self.last = last

    def accept(self, event: StreamEvent) -> bool:
        """Tell whether to send this event: False if the caller already has it.

        Raise ``BrokenStream`` if an event before it is missing. Events without an id are sent.
        """
        if event.number is None or self.last is None:
            self.last = event.number if event.number is not None else self.last
            return True
        if event.number <= self.last:
            return False
        if event.number > self.last + 1:
            raise BrokenStream(f"event {event.number} follows event {self.last}")
        self.last = event.number
        return True


class StreamPart:
    """The part of a caller's stream that one upstream sends.

    ``resumed`` is true if the caller has events of the stream from another upstream. Then nothing
    is forwarded before an event whose id shows that it continues those: an error text or another
    answer would look like an event without an id. An end without such an event is no end of the
    stream, since nothing tells it from an answer that is cut off or not a stream at all.
    """

    def __init__(self, sequence: EventSequence, resumed: bool) -> None:
        self._sequence = sequence
        self._splitter = EventSplitter()
        self._unproven = resumed

    def read_events(self, data: bytes) -> Iterator[StreamEvent]:
        """Add bytes and yield the events to forward; each counts as sent when it is yielded.

        Raise ``BrokenStream`` at the first event that does not belong to the caller's stream.
        """
        for event in self._splitter.feed(data):
            if _has_status_line(event.data):
                raise BrokenStream("the head of another answer in the stream")
            if self._unproven and event.number is None:
                raise BrokenStream("a resumed stream has an event without an id before a new one")
            if self._sequence.accept(event):
                self._unproven = False
                yield event

    def end(self) -> bytes:
        """Return the blank lines after the last event.

        Raise ``BrokenStream`` if the stream cannot be complete here.
        """
        if self._splitter.incomplete:
            raise BrokenStream("the stream ended in the middle of an event")
        if self._unproven:
            raise BrokenStream("a resumed stream ended without a new event")
        return self._splitter.rest


def _has_status_line(event: bytes) -> bool:
    """Tell whether a line of an event is the first line of an answer; no field starts so."""
    return event.startswith(STATUS_LINE_START) or b"\n" + STATUS_LINE_START in event


def _find_number(event: bytes) -> int | None:
    field = _ID_FIELD.search(event)
    text = field[1].strip() if field is not None else b""
    return int(text) if text.isdigit() and len(text) <= MAX_NUMBER_DIGITS else None
