"""Lets other tasks run while much input that has already arrived is processed."""

from __future__ import annotations

import asyncio

# Each step takes some 10 to 30 us.
STEPS_PER_TURN = 32
# A piece of an answer takes a step for itself and one for each so many bytes.
BYTES_PER_STEP = 64


class Turns:
    """Counts the steps of a task that need not wait for anything, and ends its turn in time."""

    def __init__(self) -> None:
        self._steps = 0

    def add_piece(self, size_bytes: int = 0) -> None:
        """Count the steps that a piece of input of this size takes."""
        self._steps += 1 + size_bytes // BYTES_PER_STEP

    async def pause_if_due(self) -> None:
        """Let the event loop run once if ``STEPS_PER_TURN`` were counted since it last did."""
        if self._steps >= STEPS_PER_TURN:
            self._steps = 0
            await asyncio.sleep(0)
