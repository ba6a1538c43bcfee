"""Outlier ejection: upstreams that fail take no requests for a while. Pure bookkeeping.

An upstream that answers badly is let back after a time, and at least half of a service stays
admitted. One that cannot be reached is let back by a successful probe only; ``on_doubt`` is called
when there is one to probe.
"""

from __future__ import annotations

from collections.abc import Callable, Container, Sequence
from dataclasses import dataclass, replace

from lentilwell.gateway._upstreams import Upstream

FAILURES_TO_EJECT = 2
FIRST_EJECTION_MS = 1_000
LONGEST_EJECTION_MS = 8_000
# A single one may have crashed; several point to the path.
NEIGHBOURS_OUT = 2
NEIGHBOUR_MS = 2_000
# Longer than a failed probe and the pause after it, so that doubt stays fresh while probes fail.
FRESH_DOUBT_MS = 1_500


@dataclass(frozen=True)
class Standing:
    """How an upstream has done of late.

    ``unreachable_at`` is set until a probe succeeds, ``silent`` while it has left a request without
    an answer and no probe has failed since.
    """

    failures: int = 0
    ejections: int = 0
    ejected_until: int = 0
    unreachable_at: int | None = None
    silent: bool = False


class Ejection:
    """The standing of every upstream, by the name of its life."""

    def __init__(self) -> None:
        self._standings: dict[str, Standing] = {}
        self.on_doubt: Callable[[], None] = lambda: None

    def note_success(self, upstream: str) -> None:
        """A request was answered: forget all failures."""
        self._standings.pop(upstream, None)

    def note_reached(self, upstream: str, now: int) -> bool:
        """A connection came about; return whether the upstream is ejected all the same.

        That says nothing of the answers on it, so failures stay. One that takes connections while
        it leaves requests without an answer has failed them.
        """
        standing = self.find_standing(upstream)
        if standing.unreachable_at is None:
            return False
        self._standings[upstream] = replace(standing, unreachable_at=None, silent=False)
        return standing.silent and self.note_failure(upstream, now)

    def note_failure(self, upstream: str, now: int) -> bool:
        """Count a failed answer and return whether the upstream is ejected by it."""
        standing = self.find_standing(upstream)
        failures = standing.failures + 1
        if failures < FAILURES_TO_EJECT:
            self._standings[upstream] = Standing(failures, standing.ejections)
            return False
        away_ms = min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS << min(standing.ejections, 8))
        self._standings[upstream] = Standing(failures, standing.ejections + 1, now + away_ms)
        return True

    def note_unreachable(self, upstream: str, now: int) -> None:
        """The upstream takes no connection or is silent: a probe has to show that it is there."""
        self._doubt(upstream, now, silent=False)

    def note_silence(self, upstream: str, now: int) -> None:
        """The upstream took a request and left it without an answer; nothing known explains it."""
        self._doubt(upstream, now, silent=True)

    def _doubt(self, upstream: str, now: int, silent: bool) -> None:
        standing = self.find_standing(upstream)
        if standing.unreachable_at is None:
            self.on_doubt()
        self._standings[upstream] = replace(standing, unreachable_at=now, silent=silent)

    def find_standing(self, upstream: str) -> Standing:
        """Return how an upstream has done of late."""
        return self._standings.get(upstream, Standing())

    def is_unreachable(self, upstream: str) -> bool:
        """Tell whether an upstream waits for a probe."""
        return self.find_standing(upstream).unreachable_at is not None

    def keep_only(self, listed: Container[str]) -> None:
        """Forget all upstreams but those listed."""
        self._standings = {name: one for name, one in self._standings.items() if name in listed}

    def admit(self, usable: Sequence[Upstream], now: int) -> list[Upstream]:
        """Return the upstreams that may take requests; none while all are known out of reach."""
        reachable = [upstream for upstream in usable if not self.is_unreachable(upstream.name)]
        if not reachable:
            return [upstream for upstream in usable if not self._is_doubt_fresh(upstream, now)]
        admitted = [upstream for upstream in reachable if not self._is_out(upstream, now)]
        least = (len(reachable) + 1) // 2
        if len(admitted) < least:
            out = [upstream for upstream in reachable if self._is_out(upstream, now)]
            out.sort(key=lambda upstream: self._standings[upstream.name].ejected_until)
            admitted.extend(out[: least - len(admitted)])
        return admitted

    def find_doubtful_centres(self, usable: Sequence[Upstream], now: int) -> frozenset[str]:
        """Return the data centres in which several upstreams have become unreachable just now."""
        counts: dict[str, int] = {}
        for upstream in usable:
            at = self.find_standing(upstream.name).unreachable_at
            if at is not None and now - at < NEIGHBOUR_MS:
                counts[upstream.data_centre] = counts.get(upstream.data_centre, 0) + 1
        return frozenset(centre for centre, count in counts.items() if count >= NEIGHBOURS_OUT)

    def _is_doubt_fresh(self, upstream: Upstream, now: int) -> bool:
        at = self.find_standing(upstream.name).unreachable_at
        return at is not None and now - at < FRESH_DOUBT_MS

    def _is_out(self, upstream: Upstream, now: int) -> bool:
        return self.find_standing(upstream.name).ejected_until > now
