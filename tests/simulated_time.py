"""An event loop and a clock of simulated time, for tests without I/O."""

import asyncio

from lentilwell._clock import MS_PER_SECOND, Clock

# Cancelled tasks that wait for a lock end one a round.
ROUNDS_TO_END = 2_000


class WarpedLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer."""

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
    """The clock of the running loop, in whole milliseconds."""

    def now(self) -> int:
        return round(asyncio.get_running_loop().time() * MS_PER_SECOND)

    def wall(self) -> int:
        return self.now()


def run_warped(main):
    """Run a coroutine on a loop of simulated time."""
    loop = WarpedLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        for _ in range(ROUNDS_TO_END):
            if not asyncio.all_tasks(loop):
                break
            loop.run_until_complete(asyncio.sleep(0))
        loop.close()
