"""An event loop and a clock with simulated time, for tests and simulations without I/O."""

from __future__ import annotations

import asyncio
import heapq
from collections import deque
from collections.abc import Coroutine
from typing import Any, TypeVar

from lentilwell._clock import MS_PER_SECOND, Clock

# Cancelled tasks that wait for the same lock finish one at a time, one in each round.
MAX_CANCEL_ROUNDS = 2_000

ResultT = TypeVar("ResultT")


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when no callback is ready."""

    # Attributes of the loop's base class.
    _ready: deque[asyncio.Handle]
    _scheduled: list[Any]
    _timer_cancelled_count: int

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self.now

    def _run_once(self) -> None:
        self._drop_cancelled()
        if not self._ready and self._scheduled:
            self.now = max(self.now, self._scheduled[0]._when)
        super()._run_once()  # type: ignore[misc]

    def _drop_cancelled(self) -> None:
        """Remove cancelled timers from the front, for which the base class would wait."""
        while self._scheduled and self._scheduled[0]._cancelled:
            timer = heapq.heappop(self._scheduled)
            timer._scheduled = False
            self._timer_cancelled_count -= 1


class LoopClock(Clock):
    """The time of the running event loop, in whole milliseconds."""

    def now(self) -> int:
        """Return the simulated time."""
        return round(asyncio.get_running_loop().time() * MS_PER_SECOND)

    def wall(self) -> int:
        """Return the simulated time."""
        return self.now()


def run_in_simulated_time(main: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine on an event loop with simulated time."""
    loop = SimulatedLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        for _ in range(MAX_CANCEL_ROUNDS):
            if not asyncio.all_tasks(loop):
                break
            loop.run_until_complete(asyncio.sleep(0))
        loop.close()
