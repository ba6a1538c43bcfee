"""Decides whether this instance has a path of its own to the upstreams. Pure logic, no I/O.

An upstream that cannot be reached may have crashed. Only another instance that reaches one shows
that the path is at fault, so such an instance is asked once several upstreams have failed and none
has been reached since.
"""

from __future__ import annotations

# A single unreachable upstream has probably crashed.
MIN_FAILED_UPSTREAMS = 2
# Older failures say nothing of the path now. Exceeds the interval of probes and their timeout.
FAILURE_WINDOW_MS = 1_500
# After other instances reached no upstream either, they are asked again after this time.
ASK_INTERVAL_MS = 500


class UpstreamPath:
    """The path from this instance to the upstreams; times are in milliseconds of the clock.

    ``cut`` is set while connections must go through other instances.
    """

    def __init__(self) -> None:
        self._failed_at: dict[str, int] = {}
        self._ask_at = 0
        self.cut = False

    def record_connection(self) -> bool:
        """Record a connection of this instance itself; return whether it ends a cut."""
        ended = self.cut
        self.cut = False
        self._failed_at.clear()
        return ended

    def record_failure(self, address: str, now: int) -> None:
        """Record that this instance could not connect to an upstream."""
        self._failed_at[address] = now

    def record_tunnel(self) -> bool:
        """Record a connection through another instance; return whether it begins a cut."""
        begun = not self.cut
        self.cut = True
        return begun

    def record_no_tunnel(self, now: int) -> None:
        """Record that no instance that was asked reaches an upstream either."""
        self._ask_at = now + ASK_INTERVAL_MS

    def is_suspect(self, now: int) -> bool:
        """Tell whether other instances should be asked if they reach the upstreams."""
        self._failed_at = {
            address: at for address, at in self._failed_at.items() if now - at <= FAILURE_WINDOW_MS
        }
        return len(self._failed_at) >= MIN_FAILED_UPSTREAMS and now >= self._ask_at
