"""Outlier ejection: failing upstreams get no requests for some time. Pure logic, no I/O.

An upstream that returns bad answers is readmitted after a time, and at least half of the reachable
upstreams of a service stay admitted. An unreachable upstream is readmitted only by a successful
probe; ``Ejection.on_unreachable`` is called when there is an upstream to probe.
"""

from __future__ import annotations

from collections.abc import Callable, Container, Sequence
from dataclasses import dataclass, replace

from lentilwell.gateway._upstreams import Upstream

FAILURES_TO_EJECT = 2
FIRST_EJECTION_MS = 1_000
MAX_EJECTION_MS = 8_000
# A single unreachable upstream may have crashed. Several in one data centre within the window mean
# that the network path to the data centre is suspect.
MIN_UNREACHABLE_NEIGHBOURS = 2
NEIGHBOUR_WINDOW_MS = 2_000
# Exceeds the time of a failed probe and the pause after it, so that an upstream whose probes keep
# failing always counts as recently unreachable.
RECENTLY_UNREACHABLE_MS = 1_500


@dataclass(frozen=True)
class UpstreamHealth:
    """The recent failures of an upstream; times are in milliseconds of the clock.

    ``unreachable_at`` is set until a connection succeeds. ``silent`` is set while the upstream has
    left a request unanswered and no later probe has failed.
    """

    failures: int = 0
    ejections: int = 0
    ejected_until: int = 0
    unreachable_at: int | None = None
    silent: bool = False


class Ejection:
    """The health of every upstream, by name."""

    def __init__(self) -> None:
        self._health: dict[str, UpstreamHealth] = {}
        self.on_unreachable: Callable[[], None] = lambda: None

    def record_success(self, upstream: str) -> None:
        """Clear all failures of an upstream, because it answered a request."""
        self._health.pop(upstream, None)

    def record_connection(self, upstream: str, now: int) -> bool:
        """Record a successful connection; return whether the upstream is ejected nevertheless.

        A connection proves nothing about answers, so the failure count stays. An upstream that
        accepts connections but left a request unanswered gets one more failure.
        """
        health = self.get_health(upstream)
        if health.unreachable_at is None:
            return False
        self._health[upstream] = replace(health, unreachable_at=None, silent=False)
        return health.silent and self.record_failure(upstream, now)

    def record_failure(self, upstream: str, now: int) -> bool:
        """Count a failed answer; return whether it ejects the upstream."""
        health = self.get_health(upstream)
        failures = health.failures + 1
        if failures < FAILURES_TO_EJECT:
            self._health[upstream] = UpstreamHealth(failures, health.ejections)
            return False
        ejection_ms = min(MAX_EJECTION_MS, FIRST_EJECTION_MS << min(health.ejections, 8))
        self._health[upstream] = UpstreamHealth(failures, health.ejections + 1, now + ejection_ms)
        return True

    def record_unreachable(self, upstream: str, now: int) -> None:
        """Mark an upstream as unreachable until a probe connects to it."""
        self._set_unreachable(upstream, now, silent=False)

    def record_silence(self, upstream: str, now: int) -> None:
        """Mark an upstream as unreachable that left a request unanswered for no known reason."""
        self._set_unreachable(upstream, now, silent=True)

    def _set_unreachable(self, upstream: str, now: int, silent: bool) -> None:
        health = self.get_health(upstream)
        if health.unreachable_at is None:
            self.on_unreachable()
        self._health[upstream] = replace(health, unreachable_at=now, silent=silent)

    def get_health(self, upstream: str) -> UpstreamHealth:
        """Return the health of an upstream; one without failures gets the defaults."""
        return self._health.get(upstream, UpstreamHealth())

    def is_unreachable(self, upstream: str) -> bool:
        """Tell whether an upstream is unreachable until a probe succeeds."""
        return self.get_health(upstream).unreachable_at is not None

    def keep_only(self, listed: Container[str]) -> None:
        """Remove the health of all upstreams that are not listed."""
        self._health = {name: health for name, health in self._health.items() if name in listed}

    def admit(self, usable: Sequence[Upstream], now: int) -> list[Upstream]:
        """Return the upstreams that may get requests, none if all became unreachable recently."""
        reachable = [upstream for upstream in usable if not self.is_unreachable(upstream.name)]
        if not reachable:
            return [
                upstream for upstream in usable if not self._is_recently_unreachable(upstream, now)
            ]
        admitted = [upstream for upstream in reachable if not self._is_ejected(upstream, now)]
        min_admitted = (len(reachable) + 1) // 2
        if len(admitted) < min_admitted:
            ejected = [upstream for upstream in reachable if self._is_ejected(upstream, now)]
            ejected.sort(key=lambda upstream: self._health[upstream.name].ejected_until)
            admitted.extend(ejected[: min_admitted - len(admitted)])
        return admitted

    def find_suspect_data_centres(self, usable: Sequence[Upstream], now: int) -> frozenset[str]:
        """Return the data centres in which several upstreams became unreachable recently."""
        counts: dict[str, int] = {}
        for upstream in usable:
            at = self.get_health(upstream.name).unreachable_at
            if at is not None and now - at < NEIGHBOUR_WINDOW_MS:
                counts[upstream.data_centre] = counts.get(upstream.data_centre, 0) + 1
        return frozenset(
            centre for centre, count in counts.items() if count >= MIN_UNREACHABLE_NEIGHBOURS
        )

    def _is_recently_unreachable(self, upstream: Upstream, now: int) -> bool:
        at = self.get_health(upstream.name).unreachable_at
        return at is not None and now - at < RECENTLY_UNREACHABLE_MS

    def _is_ejected(self, upstream: Upstream, now: int) -> bool:
        return self.get_health(upstream.name).ejected_until > now
