"""Bounds what all unfinished answers of upstreams hold in memory together. Pure."""

from __future__ import annotations

from typing import Protocol

# Far more than sound answers hold at a time, and a small share of a process's memory.
MAX_HELD_BYTES = 67_108_864


class Holder(Protocol):
    """A connection that holds bytes of an unfinished answer."""

    def break_off(self, reason: str) -> None:
        """End the answer and free what it holds."""


class AnswerMemory:
    """Adds up what the connections of a process hold, and ends the largest answer at the bound.

    Many upstreams, or many requests at one, may send bytes without end at the same time; each is
    within the bound of its own answer. Sound answers are small, so that they go on.
    """

    def __init__(self, max_bytes: int = MAX_HELD_BYTES) -> None:
        self._max_bytes = max_bytes
        self._held: dict[Holder, int] = {}
        self.total_bytes = 0

    def update(self, holder: Holder, held_bytes: int) -> None:
        """Set what a connection holds."""
        self.total_bytes += held_bytes - self._held.get(holder, 0)
        if held_bytes:
            self._held[holder] = held_bytes
        else:
            self._held.pop(holder, None)
        if self.total_bytes > self._max_bytes:
            self._end_largest()

    def _end_largest(self) -> None:
        largest = max(self._held, key=self._held.__getitem__)
        held_bytes = self._held.pop(largest)
        self.total_bytes -= held_bytes
        largest.break_off(f"{held_bytes} bytes of an unfinished answer, the most of all")
