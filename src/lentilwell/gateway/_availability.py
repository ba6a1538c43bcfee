"""Tracks which upstreams drain or ask for a backoff in their answers. Pure logic, no I/O.

An upstream can drain while the store is unavailable, or shed load, and the listing still shows it
as ready for some seconds. Each request sent there is refused and must be placed again, which is
impossible for a request that may be sent only once.

An answer that announces a drain holds for one incarnation of the upstream, whatever the listing
says, and reports of it from other instances count the same. A backoff (a Retry-After time) applies
only to the instance that received it.
"""

from __future__ import annotations

import re
from collections.abc import Container, Iterable, Mapping

from lentilwell._clock import MS_PER_SECOND
from lentilwell.gateway._upstreams import Incarnation, Upstream

# Cap on a requested backoff, longer than any overload lasts. An upstream that asks for more gets
# requests again after this time.
MAX_BACKOFF_MS = 600_000
# Bound on the remembered draining incarnations; the oldest entries are dropped first.
MAX_INCARNATIONS = 4_096
# Bound on the draining incarnations that are reported to peers in one digest.
MAX_REPORTED = 64
_SECONDS = re.compile(r"\d+(\.\d+)?", re.ASCII)


def read_retry_after(text: str) -> int | None:
    """Parse a Retry-After value in seconds, fractions allowed, and return it in milliseconds.

    Returns None for any other text. Values above ``MAX_BACKOFF_MS`` are clamped to it.
    """
    if _SECONDS.fullmatch(text) is None:
        return None
    return round(min(float(text) * MS_PER_SECOND, float(MAX_BACKOFF_MS)))


class Availability:
    """The draining incarnations of upstreams, and the backoffs that upstreams asked for."""

    def __init__(self) -> None:
        self._leaving: dict[Incarnation, None] = {}
        self._reported: dict[str, frozenset[Incarnation]] = {}
        self._backoff_until: dict[Incarnation, int] = {}

    def record_leaving(self, incarnation: Incarnation) -> bool:
        """Record that an incarnation is draining; return False if that was already known."""
        if incarnation in self._leaving:
            return False
        self._leaving[incarnation] = None
        if len(self._leaving) > MAX_INCARNATIONS:
            del self._leaving[next(iter(self._leaving))]
        return True

    def record_backoff(self, incarnation: Incarnation, wait_ms: int, now: int) -> None:
        """Record a backoff of ``wait_ms``; an earlier backoff that ends later stays in effect."""
        self._backoff_until[incarnation] = max(
            now + wait_ms, self._backoff_until.get(incarnation, 0)
        )

    def update_peer(self, peer: str, leaving: Iterable[Incarnation]) -> None:
        """Replace the draining incarnations that a peer reports; an empty list removes them."""
        reported = frozenset(leaving)
        if reported:
            self._reported[peer] = reported
        else:
            self._reported.pop(peer, None)

    def is_leaving(self, incarnation: Incarnation) -> bool:
        """Tell whether an incarnation announced its drain to this instance or to a peer."""
        return incarnation in self._leaving or any(
            incarnation in reported for reported in self._reported.values()
        )

    def accepts_work(self, upstream: Upstream, now: int) -> bool:
        """Tell whether an upstream neither drains nor has a backoff in effect."""
        return (
            not self.is_leaving(upstream.incarnation)
            and self.find_backoff_end(upstream, now) is None
        )

    def find_backoff_end(self, upstream: Upstream, now: int) -> int | None:
        """Return when the backoff of an upstream ends, None if none is in effect."""
        until = self._backoff_until.get(upstream.incarnation, 0)
        return until if until > now else None

    def find_earliest_backoff_end(self, upstreams: Iterable[Upstream], now: int) -> int | None:
        """Return when the first backoff among these upstreams ends, leaving out draining ones."""
        times = [
            self.find_backoff_end(upstream, now)
            for upstream in upstreams
            if not self.is_leaving(upstream.incarnation)
        ]
        return min((time for time in times if time is not None), default=None)

    def list_reportable(self, listed: Mapping[str, Upstream]) -> tuple[Incarnation, ...]:
        """Return the draining incarnations that the listing still shows as ready, for peers."""
        if not self._leaving:
            return ()
        listed_ready = [
            upstream.incarnation
            for upstream in listed.values()
            if not upstream.leaving and upstream.incarnation in self._leaving
        ]
        return tuple(listed_ready[:MAX_REPORTED])

    def remove_expired(self, listed: Container[str], now: int) -> None:
        """Remove expired backoffs, and draining incarnations of unknown start that are unlisted.

        An incarnation with a known start is kept, since the same one can be listed again while it
        drains.
        """
        self._backoff_until = {
            incarnation: until for incarnation, until in self._backoff_until.items() if until > now
        }
        for incarnation in [
            one for one in self._leaving if not one.born_ms and one.name not in listed
        ]:
            del self._leaving[incarnation]
