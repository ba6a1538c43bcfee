"""Watches the upstream of one request while it is silent, and has it probed in doubt."""

from __future__ import annotations

from collections.abc import Callable

from lentilwell._clock import Clock
from lentilwell.gateway._catalog import Route
from lentilwell.gateway._link import Link
from lentilwell.gateway._links import Links
from lentilwell.gateway._prober import Prober
from lentilwell.gateway._silence import Silence, find_longest_ms, judge_silence
from lentilwell.gateway._upstreams import Upstream


class Watch:
    """One request on one connection; ``find_limit`` returns the patience by the work known."""

    def __init__(
        self,
        clock: Clock,
        links: Links,
        prober: Prober,
        upstream: Upstream,
        link: Link,
        find_limit: Callable[[], int | None],
    ) -> None:
        self._clock = clock
        self._links = links
        self._prober = prober
        self._upstream = upstream
        self._link = link
        self._find_limit = find_limit
        self._probed_at: int | None = None

    def find_patience(self, route: Route) -> int | None:
        """Return the longest silence to wait for in ms; None where only the deadline ends it."""
        limit_ms = self._find_limit()
        if limit_ms is None or not route.streams:
            return limit_ms
        verdict = judge_silence(self._describe(route, limit_ms))
        if verdict.probe:
            self._probed_at = self._clock.now()
            self._prober.check(self._upstream)
        return verdict.until_ms

    def _describe(self, route: Route, limit_ms: int) -> Silence:
        now = self._clock.now()
        proven_at = self._links.find_heard_at(self._upstream.address, besides=self._link)
        probed_at_ms = None
        if self._probed_at is not None and self._probed_at >= self._link.waits_since:
            probed_at_ms = self._probed_at - self._link.waits_since
        return Silence(
            silent_ms=now - self._link.waits_since,
            limit_ms=limit_ms,
            longest_ms=find_longest_ms(route, limit_ms),
            proof_age_ms=now - proven_at if proven_at is not None else None,
            probed_at_ms=probed_at_ms,
        )
