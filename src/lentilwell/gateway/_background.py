"""Runs the background tasks of a gateway process, and logs what nobody has handled."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from lentilwell._clock import MS_PER_SECOND
from lentilwell._log_lines import CallbackFailed, TaskFailed, write_line

TASK_RESTART_DELAY_MS = 500


async def run_forever(name: str, run: Callable[[], Coroutine[None, None, None]]) -> None:
    """Run a task, and restart it after an exception, so that a bug does not end the process."""
    while True:
        try:
            await run()
        except Exception as error:
            write_line(TaskFailed(name), error)
        await asyncio.sleep(TASK_RESTART_DELAY_MS / MS_PER_SECOND)


def log_unhandled(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an exception of a callback; the exception handler of the event loop."""
    error = context.get("exception")
    write_line(CallbackFailed(str(context.get("message"))), error)
