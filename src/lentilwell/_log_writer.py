"""Writes log lines in a separate thread, so that a stalled reader does not block the program.

The queue and the rate are bounded. Lines above either bound are dropped, and their number is logged
with the next lines that are written.
"""

from __future__ import annotations

import threading
import time
from collections import deque
from typing import Protocol

import msgspec

MAX_QUEUED_LINES = 4_096
MAX_LINES_PER_S = 2_000


class Sink(Protocol):
    """The output to which lines are written."""

    def write(self, text: str, /) -> object:
        """Write the text. May block."""

    def flush(self) -> object:
        """Flush buffered text. May block."""


class LogWriter:
    """Queues lines, and writes them to ``sink`` in order."""

    def __init__(
        self,
        sink: Sink,
        max_queued: int = MAX_QUEUED_LINES,
        max_per_s: int = MAX_LINES_PER_S,
    ) -> None:
        self._sink = sink
        self._max_queued = max_queued
        self._max_per_s = max_per_s
        self._current_second = 0
        self._lines_this_second = 0
        self._lines: deque[str] = deque()
        self._dropped = 0
        self._condition = threading.Condition()
        self._closing = False
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)
        self._thread.start()

    def write(self, line: str) -> None:
        """Queue a line. If the queue is full or the rate is exceeded, drop and count it."""
        with self._condition:
            if not self._has_capacity():
                self._dropped += 1
                return
            self._lines_this_second += 1
            self._lines.append(line)
            self._condition.notify()

    def close(self, timeout_s: float = 1.0) -> None:
        """Write the queued lines, waiting at most ``timeout_s`` seconds."""
        with self._condition:
            self._closing = True
            self._condition.notify()
        self._thread.join(timeout_s)

    def _has_capacity(self) -> bool:
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second, self._lines_this_second = second, 0
        return len(self._lines) < self._max_queued and self._lines_this_second < self._max_per_s

    def _run(self) -> None:
        while lines := self._wait_for_lines():
            self._sink.write("".join(lines))
            self._sink.flush()

    def _wait_for_lines(self) -> list[str]:
        with self._condition:
            while not self._lines and not self._closing:
                self._condition.wait()
            lines = list(self._lines)
            self._lines.clear()
            if self._dropped:
                event = {"level": "WARNING", "event": "log lines dropped", "count": self._dropped}
                lines.append(msgspec.json.encode(event).decode() + "\n")
                self._dropped = 0
            return lines
