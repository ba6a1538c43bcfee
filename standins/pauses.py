"""Pauses of a sound upstream, which falls silent within an answer and then goes on."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from enum import Enum

SHORTEST_PAUSE_MS = 600
LONGEST_PAUSE_MS = 1_600


class PausePoint(Enum):
    """Where an answer pauses; the body of a stream pauses between two events."""

    BEFORE_HEAD = "before the head"
    AFTER_HEAD = "after the head"
    INSIDE_BODY = "inside the body"


@dataclass(frozen=True)
class Pause:
    """The pause of one answer; ``duration_ms`` is 0 if it has none."""

    point: PausePoint
    duration_ms: int

    async def hold(self, point: PausePoint) -> None:
        """Wait if the answer pauses at ``point``."""
        if self.begins_at(point):
            await asyncio.sleep(self.duration_ms / 1_000)

    def begins_at(self, point: PausePoint) -> bool:
        """Tell whether the answer pauses at ``point``."""
        return self.duration_ms > 0 and self.point is point


NO_PAUSE = Pause(PausePoint.BEFORE_HEAD, 0)


class PauseSource:
    """Draws the pauses of an upstream's answers, of which ``share`` have one."""

    def __init__(self, seed: int, share: float) -> None:
        self._random = random.Random(seed)
        self._share = share

    def draw(self) -> Pause:
        """Return the pause of the next answer."""
        if self._random.random() >= self._share:
            return NO_PAUSE
        point = self._random.choice(tuple(PausePoint))
        return Pause(point, self._random.randint(SHORTEST_PAUSE_MS, LONGEST_PAUSE_MS))
