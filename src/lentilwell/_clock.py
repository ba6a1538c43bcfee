"""Clocks. Every time and duration is a whole number of milliseconds."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod

NANOSECONDS_PER_MS = 1_000_000
MS_PER_SECOND = 1_000


class Clock(ABC):
    """A source of monotonic time and wall-clock time, in milliseconds."""

    @abstractmethod
    def now(self) -> int:
        """Return monotonic time. Only the difference between two readings is meaningful."""

    @abstractmethod
    def wall(self) -> int:
        """Return the time since the Unix epoch, only for display and storage, since it may jump."""


class SystemClock(Clock):
    """The clock of the operating system."""

    def now(self) -> int:
        """Return the monotonic clock, which keeps running while the process is paused."""
        return time.monotonic_ns() // NANOSECONDS_PER_MS

    def wall(self) -> int:
        """Return the wall-clock time of the machine."""
        return time.time_ns() // NANOSECONDS_PER_MS


class BootClock(SystemClock):
    """A clock whose monotonic time includes the time during which the machine was suspended."""

    def now(self) -> int:
        """Return the time since the machine booted."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_MS


class ManualClock(Clock):
    """A clock that changes only through ``advance``, for tests and replays."""

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    def now(self) -> int:
        """Return the current time of this clock."""
        return self._now_ms

    def wall(self) -> int:
        """Return the current time of this clock."""
        return self._now_ms

    def advance(self, by_ms: int) -> int:
        """Advance the clock by ``by_ms`` milliseconds and return the new time."""
        if by_ms < 0:
            raise ValueError("a clock cannot move backwards: by_ms must be 0 or greater")
        self._now_ms += by_ms
        return self._now_ms
