"""Estimates the share of requests that each upstream refuses. Pure logic, no I/O.

An upstream can shed part of its requests while it passes its health checks. It then has few
requests in progress, so balancing by load alone would send it the most.

The estimate uses answers and refusals with exponential decay, so an upstream that refused
everything is tried again some seconds later. The counts that peers report are added.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass

HALF_LIFE_MS = 4_000
# Answers that every upstream is assumed to have given before the first observation.
PRIOR_ANSWERS = 1.0
# Decayed refusal counts below this are ignored, as they do not affect the choice of an upstream.
MIN_REFUSED = 0.1
# Bound on the tallies that are reported to peers in one digest.
MAX_REPORTED = 32


@dataclass(frozen=True)
class Tally:
    """Counts of refusals and answers of an upstream, decayed up to the time ``at`` in ms."""

    refused: float = 0.0
    answered: float = 0.0
    at: int = 0

    def decay(self, now: int) -> Tally:
        """Return the same counts decayed to a later time."""
        factor: float = 0.5 ** ((now - self.at) / HALF_LIFE_MS)
        return Tally(self.refused * factor, self.answered * factor, now)


@dataclass(frozen=True)
class ReportedTally:
    """The tally of an upstream as one instance reports it to its peers."""

    upstream: str
    tally: Tally


class Refusals:
    """The tallies of all upstreams: those of this instance, and the last report of each peer."""

    def __init__(self) -> None:
        self._own: dict[str, Tally] = {}
        self._reported: dict[str, dict[str, Tally]] = {}

    def record(self, upstream: str, refused: bool, now: int) -> None:
        """Count one refusal or one answer of an upstream."""
        tally = self._own.get(upstream, Tally(at=now)).decay(now)
        self._own[upstream] = Tally(
            tally.refused + int(refused), tally.answered + int(not refused), now
        )

    def update_peer(self, peer: str, tallies: Iterable[ReportedTally]) -> None:
        """Replace the tallies that a peer reports; an empty report removes them."""
        reported = {one.upstream: one.tally for one in tallies}
        if reported:
            self._reported[peer] = reported
        else:
            self._reported.pop(peer, None)

    def estimate_share(self, upstream: str, now: int) -> float:
        """Return the estimated probability that a request is refused, from 0 up to 1."""
        tallies = [
            reported[upstream] for reported in self._reported.values() if upstream in reported
        ]
        if upstream in self._own:
            tallies.append(self._own[upstream])
        decayed = [tally.decay(now) for tally in tallies]
        refused = sum(tally.refused for tally in decayed)
        if refused < MIN_REFUSED:
            return 0.0
        return refused / (refused + sum(tally.answered for tally in decayed) + PRIOR_ANSWERS)

    def list_reportable(self, now: int) -> tuple[ReportedTally, ...]:
        """Return the tallies to report to peers, those with the most refusals first."""
        # Decay only lowers counts, so small ones are skipped before it is computed: digests are
        # sent often, and most upstreams refuse nothing.
        decayed = [
            ReportedTally(name, tally.decay(now))
            for name, tally in self._own.items()
            if tally.refused >= MIN_REFUSED
        ]
        reportable = [one for one in decayed if one.tally.refused >= MIN_REFUSED]
        reportable.sort(key=_count_refused, reverse=True)
        return tuple(reportable[:MAX_REPORTED])

    def keep_only(self, listed: Container[str]) -> None:
        """Remove this instance's tallies of all upstreams that are not listed."""
        self._own = {name: tally for name, tally in self._own.items() if name in listed}


def _count_refused(reported: ReportedTally) -> float:
    return reported.tally.refused
