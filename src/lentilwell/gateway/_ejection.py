"""Outlier ejection: upstreams that fail in a row take no requests for a while. Pure bookkeeping.

At least half of the upstreams of a service are always admitted.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from lentilwell.gateway._upstreams import Upstream

FAILURES_TO_EJECT = 2
FIRST_EJECTION_MS = 1_000
LONGEST_EJECTION_MS = 8_000


@dataclass(frozen=True)
class Standing:
    """How an upstream has done of late."""

    failures: int = 0
    ejections: int = 0
    ejected_until: int = 0


class Ejection:
    """The standing of every upstream, by the name of its life."""

    def __init__(self) -> None:
        self._standings: dict[str, Standing] = {}

    def note_success(self, upstream: str) -> None:
        """An answer came: forget all failures."""
        self._standings.pop(upstream, None)

    def note_failure(self, upstream: str, now: int, severe: bool = False) -> bool:
        """Count a failure and return whether the upstream is ejected by it.

        ``severe`` ejects at once: the upstream could not be reached or said that it leaves.
        """
        standing = self._standings.get(upstream, Standing())
        failures = standing.failures + 1
        if not severe and failures < FAILURES_TO_EJECT:
            self._standings[upstream] = Standing(failures, standing.ejections)
            return False
        away_ms = min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS << min(standing.ejections, 8))
        self._standings[upstream] = Standing(failures, standing.ejections + 1, now + away_ms)
        return True

    def admit(self, usable: Sequence[Upstream], now: int) -> list[Upstream]:
        """Return the upstreams that may take requests; the longest ejected return first."""
        admitted = [upstream for upstream in usable if not self._is_out(upstream, now)]
        least = (len(usable) + 1) // 2
        if len(admitted) < least:
            out = [upstream for upstream in usable if self._is_out(upstream, now)]
            out.sort(key=lambda upstream: self._standings[upstream.name].ejected_until)
            admitted.extend(out[: least - len(admitted)])
        return admitted

    def _is_out(self, upstream: Upstream, now: int) -> bool:
        standing = self._standings.get(upstream.name)
        return standing is not None and standing.ejected_until > now
