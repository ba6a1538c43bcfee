"""Which incarnation of an upstream an answer proves to be alive. Pure.

A request names the upstream that it is for, and every other upstream refuses it as misdirected. So
any other answer comes from an upstream of that name, but perhaps from a later incarnation, which
has started at the same address. A connection that was opened before an end was seen reaches the
incarnation that is said to have ended. On a later connection only the listing of the store tells
the two apart, after the time in which it shows a new start.
"""

from __future__ import annotations

from collections.abc import Callable

from lentilwell.gateway._upstreams import Incarnation

# A new incarnation registers within about this time after its start.
REGISTRATION_MS = 2_000
PROVED_BY_CONNECTION = "connection"
PROVED_BY_LISTING = "listing"


class LifeSigns:
    """Answers of upstreams that are said to have ended, which the listing has yet to confirm."""

    def __init__(self) -> None:
        self._unconfirmed: dict[Incarnation, int] = {}

    def add(self, upstream: Incarnation, at: int) -> None:
        """Add an answer that came at ``at`` on a connection opened after the end was seen."""
        self._unconfirmed.setdefault(upstream, at)

    def take_confirmed(
        self, now: int, is_listed: Callable[[Incarnation], bool]
    ) -> list[tuple[Incarnation, int]]:
        """Return the incarnations that the listing confirms, each with the time of its answer.

        Those whose time has come are forgotten, confirmed or not. ``is_listed`` tells whether the
        store lists an incarnation now.
        """
        due = [one for one in self._unconfirmed.items() if now - one[1] >= REGISTRATION_MS]
        for upstream, _ in due:
            del self._unconfirmed[upstream]
        return [(upstream, at) for upstream, at in due if is_listed(upstream)]
