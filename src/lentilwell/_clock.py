"""The one clock type of the program; every time and duration is a whole number of milliseconds."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod

NANOSECONDS_PER_MS = 1_000_000
MS_PER_SECOND = 1_000


class Clock(ABC):
    """Tells the time in milliseconds."""

    @abstractmethod
    def now(self) -> int:
        """Return monotonic milliseconds; only differences between two readings mean anything."""

    @abstractmethod
    def wall(self) -> int:
        """Return milliseconds since the Unix epoch; it may jump, so use it for display and rows."""


class SystemClock(Clock):
    """The clock of the machine."""

    def now(self) -> int:
        """Return the monotonic clock, which goes on while the process is paused."""
        return time.monotonic_ns() // NANOSECONDS_PER_MS

    def wall(self) -> int:
        """Return the machine's wall clock."""
        return time.time_ns() // NANOSECONDS_PER_MS


class BootClock(SystemClock):
    """A clock that also counts the time for which the machine was suspended."""

    def now(self) -> int:
        """Return the time since the machine's start."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_MS


class ManualClock(Clock):
    """A clock that moves only when told to, for tests and replays."""

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    def now(self) -> int:
        """Return the time set so far."""
        return self._now_ms

    def wall(self) -> int:
        """Return the time set so far."""
        return self._now_ms

    def advance(self, by_ms: int) -> int:
        """Move forward by ``by_ms`` milliseconds and return the new time."""
        if by_ms < 0:
            raise ValueError("a clock only moves forward; give a duration of 0 ms or more")
        self._now_ms += by_ms
        return self._now_ms
