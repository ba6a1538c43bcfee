"""A timeout whose length may change while it runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lentilwell._clock import MS_PER_SECOND, Clock
from lentilwell.gateway._catalog import Limits

FindTimeoutMs = Callable[[Limits], int]


class CallerTimeout:
    """Calls ``on_end`` when a connection has been in one state for too long.

    The length is looked up again in the limits in force when the timeout ends. ``started_at`` is
    when the state began, in ms.
    """

    def __init__(
        self, clock: Clock, get_limits: Callable[[], Limits], on_end: Callable[[], None]
    ) -> None:
        self._clock = clock
        self._get_limits = get_limits
        self._on_end = on_end
        self._timer: asyncio.TimerHandle | None = None
        self._find_ms: FindTimeoutMs = find_idle_timeout_ms
        self.started_at = clock.now()

    def start(self, find_ms: FindTimeoutMs) -> None:
        """Start the timeout again, with the length that ``find_ms`` returns."""
        self._find_ms = find_ms
        self.started_at = self._clock.now()
        self.schedule(find_ms(self._get_limits()))

    def schedule(self, remaining_ms: int) -> None:
        """Look after this time whether the timeout has ended."""
        self.clear()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(remaining_ms / MS_PER_SECOND, self._handle)

    def clear(self) -> None:
        """Stop the timeout."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle(self) -> None:
        ends_at = self.started_at + self._find_ms(self._get_limits())
        remaining_ms = ends_at - self._clock.now()
        if remaining_ms > 0:
            self.schedule(remaining_ms)
        else:
            self._on_end()


def find_idle_timeout_ms(limits: Limits) -> int:
    """Return how long a connection may be idle, and a body may take to arrive."""
    return limits.idle_timeout_ms


def find_header_timeout_ms(limits: Limits) -> int:
    """Return how long a header section may take to arrive."""
    return limits.header_timeout_ms
