"""Server-sent events: splits a byte stream into whole events and checks that none is missed."""

from __future__ import annotations

from dataclasses import dataclass

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
MAX_EVENT_BYTES = 1_048_576


class BrokenStream(Exception):
    """An upstream's stream leaves an event out, or sends one without end."""


@dataclass(frozen=True)
class StreamEvent:
    """One whole event with its terminating blank line; ``number`` is its id, None without one."""

    data: bytes
    number: int | None


class EventSplitter:
    """Takes bytes of a stream and returns the whole events in them. A torn last event is kept."""

    def __init__(self) -> None:
        self._incomplete = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that ``data`` completes."""
        *whole, self._incomplete = (self._incomplete + data).split(EVENT_END)
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise BrokenStream(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        return [StreamEvent(event + EVENT_END, _find_number(event)) for event in whole]

    @property
    def incomplete(self) -> bool:
        """Tell whether the stream stands in the middle of an event."""
        return bool(self._incomplete)


class EventSequence:
    """Follows the ids that a caller was sent, over every upstream that served the stream."""

    def __init__(self, last: int | None) -> None:
        self.last = last

    def accept(self, event: StreamEvent) -> bool:
        """Tell whether the caller still lacks this event; raise where one before it is missing."""
        if event.number is None or self.last is None:
            self.last = event.number if event.number is not None else self.last
            return True
        if event.number <= self.last:
            return False
        if event.number > self.last + 1:
            raise BrokenStream(f"event {event.number} follows event {self.last}")
        self.last = event.number
        return True


def _find_number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
