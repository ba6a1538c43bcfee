"""The kept connections to all upstreams, by address."""

from __future__ import annotations

import weakref
from collections.abc import Iterable

from lentilwell._clock import Clock
from lentilwell.gateway._link import Link, open_link

# An upstream closes idle connections by its own clock, and its close takes time to arrive.
IDLE_MARGIN_MS = 400
IDLE_UNTOLD_MS = 2_000
# All instances' connections to an upstream count against one limit of it.
MOST_IDLE_PER_UPSTREAM = 6


class Links:
    """Keeps idle connections and opens new ones."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[str, list[Link]] = {}
        self._taken: dict[str, weakref.WeakSet[Link]] = {}
        self.opened = 0

    async def take(self, address: str, fresh: bool) -> Link:
        """Return a connection; ``fresh`` asks for one on which nothing was sent before."""
        idle = self._idle.get(address, [])
        while idle and not fresh:
            link = idle.pop()
            if self._is_safe(link):
                return link
            link.close()
        self.opened += 1
        link = await open_link(address, self._clock)
        self._taken.setdefault(address, weakref.WeakSet()).add(link)
        return link

    def give_up_silent(self, address: str, silent_ms: int) -> None:
        """Stop waiting on the connections to an upstream that is known to be out of reach."""
        for link in list(self._taken.get(address, ())):
            link.give_up_silent(silent_ms)

    def give_back(self, address: str, link: Link) -> None:
        """Keep a connection whose last answer is whole."""
        if not link.reusable:
            return
        idle = self._idle.setdefault(address, [])
        if len(idle) >= MOST_IDLE_PER_UPSTREAM:
            idle.pop(0).close()
        idle.append(link)

    def keep_only(self, addresses: Iterable[str]) -> None:
        """Close the idle connections to upstreams that are gone, and those idle for too long."""
        known = set(addresses)
        for address in list(self._idle):
            kept: list[Link] = []
            for link in self._idle[address]:
                if address in known and self._is_safe(link):
                    kept.append(link)
                else:
                    link.close()
            self._idle[address] = kept
            if not kept:
                del self._idle[address]
        for address in list(self._taken):
            if not self._taken[address]:
                del self._taken[address]

    def close(self) -> None:
        """Close all idle connections."""
        self.keep_only(())

    def _is_safe(self, link: Link) -> bool:
        limit_ms = link.idle_limit_ms if link.idle_limit_ms is not None else IDLE_UNTOLD_MS
        idle_ms = self._clock.now() - link.idle_since
        return link.reusable and idle_ms < limit_ms - IDLE_MARGIN_MS
