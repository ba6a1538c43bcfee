"""An event loop and a clock with simulated time, for tests without I/O."""

import asyncio

from lentilwell._clock import MS_PER_SECOND, Clock

# Cancelled tasks that wait for the same lock finish one at a time, one in each round.
MAX_CANCEL_ROUNDS = 2_000


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when no callback is ready."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def time(self) -> float:
        return self.now

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self.now = max(self.now, self._scheduled[0]._when)
        super()._run_once()


class LoopClock(Clock):
    """The time of the running event loop, in whole milliseconds."""

    def now(self) -> int:
        return round(asyncio.get_running_loop().time() * MS_PER_SECOND)

    def wall(self) -> int:
        return self.now()


def run_in_simulated_time(main):
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
