"""Decides which connection is shed where too many are open. Pure."""

from __future__ import annotations

from collections.abc import Callable

# A connection on which a request has just arrived is no longer idle, though nothing of it has been
# read; so many are looked at before the new connection is refused.
MAX_LOOKS = 8

# Closes an idle connection; returns False if a request has arrived on it meanwhile.
CloseIdle = Callable[[], bool]


class CallerSlots:
    """The idle connections among at most ``max_connections``, the longest idle one first."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self._idle: dict[CloseIdle, None] = {}

    def add_idle(self, close: CloseIdle) -> None:
        """Add a connection that has become idle."""
        self._idle.pop(close, None)
        self._idle[close] = None

    def remove_idle(self, close: CloseIdle) -> None:
        """Remove a connection that is in use or closed."""
        self._idle.pop(close, None)

    def close_one(self) -> bool:
        """Close the connection that has been idle longest; return whether there was one."""
        for close in list(self._list_oldest()):
            del self._idle[close]
            if close():
                return True
        return False

    def _list_oldest(self) -> list[CloseIdle]:
        oldest: list[CloseIdle] = []
        for close in self._idle:
            if len(oldest) == MAX_LOOKS:
                break
            oldest.append(close)
        return oldest
