"""What upstreams say in their answers about new work: that they leave, or when to come back. Pure.

Load that this answers: services emptied or replaced while the store is away, and upstreams that
shed load. The list calls such an upstream ready for seconds on end; each request that is sent there
comes back and has to be placed again, which a request that may be sent only once never is.

What an upstream says of itself holds for one life of it, whatever the list says. What another
instance has heard of a leaving upstream counts the same. Times to come back bind only the instance
that was told.
"""

from __future__ import annotations

import re
from collections.abc import Container, Iterable, Mapping

from lentilwell._clock import MS_PER_SECOND
from lentilwell.gateway._upstreams import Life, Upstream

# Longer than any overload lasts: an upstream that asks for more is asked again after it.
LONGEST_BACKOFF_MS = 600_000
# Beyond them the lives that were heard of first are forgotten.
MOST_LIVES = 4_096
MOST_TOLD = 64
_SECONDS = re.compile(r"\d+(\.\d+)?", re.ASCII)


def read_retry_after(text: str) -> int | None:
    """Return a time in seconds, fractions allowed, as ms; None where it is not one.

    A time longer than ``LONGEST_BACKOFF_MS`` is cut down to that.
    """
    if _SECONDS.fullmatch(text) is None:
        return None
    return round(min(float(text) * MS_PER_SECOND, float(LONGEST_BACKOFF_MS)))


class Availability:
    """Which lives of upstreams leave, and until when others want nothing from this instance."""

    def __init__(self) -> None:
        self._leaving: dict[Life, None] = {}
        self._told: dict[str, frozenset[Life]] = {}
        self._closed_until: dict[Life, int] = {}

    def note_leaving(self, life: Life) -> bool:
        """An upstream said that it leaves; return whether that is news."""
        if life in self._leaving:
            return False
        self._leaving[life] = None
        if len(self._leaving) > MOST_LIVES:
            del self._leaving[next(iter(self._leaving))]
        return True

    def note_backoff(self, life: Life, wait_ms: int, now: int) -> None:
        """An upstream wants nothing for ``wait_ms``; a longer time told before stays."""
        self._closed_until[life] = max(now + wait_ms, self._closed_until.get(life, 0))

    def take_peer(self, peer: str, leaving: Iterable[Life]) -> None:
        """Replace what a peer has heard of leaving upstreams; none forgets it."""
        told = frozenset(leaving)
        if told:
            self._told[peer] = told
        else:
            self._told.pop(peer, None)

    def is_leaving(self, life: Life) -> bool:
        """Tell whether a life said that it leaves, to this instance or to a peer."""
        return life in self._leaving or any(life in told for told in self._told.values())

    def takes_work(self, upstream: Upstream, now: int) -> bool:
        """Tell whether an upstream may be given anything new."""
        return not self.is_leaving(upstream.life) and self.find_reopening(upstream, now) is None

    def find_reopening(self, upstream: Upstream, now: int) -> int | None:
        """Return when an upstream may be asked again, None where it may be now."""
        until = self._closed_until.get(upstream.life, 0)
        return until if until > now else None

    def find_first_reopening(self, upstreams: Iterable[Upstream], now: int) -> int | None:
        """Return when the first of these that does not leave may be asked again, if any waits."""
        times = [
            self.find_reopening(upstream, now)
            for upstream in upstreams
            if not self.is_leaving(upstream.life)
        ]
        return min((time for time in times if time is not None), default=None)

    def list_leaving(self, listed: Mapping[str, Upstream]) -> tuple[Life, ...]:
        """Return the lives that left by their answers but are listed as ready: news for peers."""
        if not self._leaving:
            return ()
        unknown = [
            upstream.life
            for upstream in listed.values()
            if not upstream.leaving and upstream.life in self._leaving
        ]
        return tuple(unknown[:MOST_TOLD])

    def forget_past(self, listed: Container[str], now: int) -> None:
        """Forget times that are over, and lives without a birth that are not listed any more.

        A life that tells its birth is remembered: it may be listed again, and still leave.
        """
        self._closed_until = {
            life: until for life, until in self._closed_until.items() if until > now
        }
        for life in [one for one in self._leaving if not one.born_ms and one.name not in listed]:
            del self._leaving[life]
