"""Timeouts that do not count a pause of this process against others.

After a pause, an answer that arrived meanwhile and the timeout of its wait are due at the same
moment, and a plain timeout would cancel the wait. Here a timeout that is noticed late lets the
event loop run for a little longer, so that what has arrived is taken.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from lentilwell._clock import MS_PER_SECOND

# A timer that fires later than this shows that the process was paused or busy.
LATE_MS = 20
# How long the event loop then runs before the wait is ended.
GRACE_MS = 20


@asynccontextmanager
async def allow_ms(timeout_ms: float) -> AsyncIterator[None]:
    """Raise ``TimeoutError`` if the body of the ``with`` block takes longer than ``timeout_ms``.

    A pause of the process just before that time extends it by ``GRACE_MS``.
    """
    loop = asyncio.get_running_loop()
    due_s = loop.time() + timeout_ms / MS_PER_SECOND
    async with asyncio.timeout(None) as scope:
        grace: list[asyncio.TimerHandle] = []

        def end() -> None:
            if not scope.expired():
                scope.reschedule(loop.time())

        def check() -> None:
            if loop.time() - due_s > LATE_MS / MS_PER_SECOND:
                grace.append(loop.call_later(GRACE_MS / MS_PER_SECOND, end))
            else:
                end()

        timer = loop.call_at(due_s, check)
        try:
            yield
        finally:
            timer.cancel()
            for extension in grace:
                extension.cancel()
