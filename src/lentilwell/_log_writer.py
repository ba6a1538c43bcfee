"""Writes log lines from a thread of its own, so that a reader that stalls never blocks the rest.

Queue and rate are bounded: lines beyond them are dropped and counted, and the count is written
once there is room again.
"""

from __future__ import annotations

import threading
import time
from collections import deque
from typing import Protocol

import msgspec

MOST_QUEUED_LINES = 4_096
MOST_LINES_PER_S = 2_000


class Sink(Protocol):
    """Where lines go."""

    def write(self, text: str, /) -> object:
        """Write text; may block."""

    def flush(self) -> object:
        """Write out what is buffered; may block."""


class LogWriter:
    """Queues lines and writes them to ``sink`` in order."""

    def __init__(
        self,
        sink: Sink,
        most_queued: int = MOST_QUEUED_LINES,
        most_per_s: int = MOST_LINES_PER_S,
    ) -> None:
        self._sink = sink
        self._most_queued = most_queued
        self._most_per_s = most_per_s
        self._second = 0
        self._in_second = 0
        self._lines: deque[str] = deque()
        self._dropped = 0
        self._changed = threading.Condition()
        self._closing = False
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)
        self._thread.start()

    def write(self, line: str) -> None:
        """Queue a line, or drop it where the queue is full or the second has had its share."""
        with self._changed:
            if not self._has_room():
                self._dropped += 1
                return
            self._in_second += 1
            self._lines.append(line)
            self._changed.notify()

    def close(self, patience_s: float = 1.0) -> None:
        """Write what is queued, waiting ``patience_s`` seconds at most."""
        with self._changed:
            self._closing = True
            self._changed.notify()
        self._thread.join(patience_s)

    def _has_room(self) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._in_second = second, 0
        return len(self._lines) < self._most_queued and self._in_second < self._most_per_s

    def _run(self) -> None:
        while lines := self._take():
            self._sink.write("".join(lines))
            self._sink.flush()

    def _take(self) -> list[str]:
        with self._changed:
            while not self._lines and not self._closing:
                self._changed.wait()
            lines = list(self._lines)
            self._lines.clear()
            if self._dropped:
                event = {"level": "WARNING", "event": "log lines dropped", "count": self._dropped}
                lines.append(msgspec.json.encode(event).decode() + "\n")
                self._dropped = 0
            return lines
