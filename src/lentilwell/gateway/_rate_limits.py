"""Tracks the rate limits that upstreams name in their answers. Pure logic, no I/O.

A limit holds for one incarnation of the upstream, until an answer to a later request no longer
names it. Instances report to each other what they heard; of two reports the newer one counts.

Beside it, an upstream may have a temporary limit, which ends at a time that is known: see
``cold_start``. The lower of the two is in force.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from lentilwell.gateway._upstreams import Incarnation

# No instance sends as much to one upstream, so a higher limit has no effect.
MAX_RATE = 100_000.0
# Bound on the remembered incarnations; those heard of least recently are dropped first.
MAX_INCARNATIONS = 4_096
# Bound on the limits that are reported to peers in one digest, the newest first.
MAX_REPORTED = 32
# For this long, peers are told that a limit has ended.
ENDED_REPORT_MS = 5_000
# Bound on the age of a report; older ones are treated as this old.
MAX_AGE_MS = 86_400_000
# Bound on the remaining time of a temporary limit.
MAX_TEMPORARY_MS = 600_000
_DECIMAL = re.compile(r"\d{1,400}(\.\d{1,400})?([eE][+-]?\d{1,3})?", re.ASCII)


def read_rate(text: str) -> float | None:
    """Parse the requests per second that an upstream names; return None for an invalid text.

    The values of a header that occurs several times are separated by commas; the least one counts.
    """
    rates = [_read_decimal(part.strip()) for part in text.split(",")]
    valid = [rate for rate in rates if rate is not None]
    return min(valid) if valid and len(valid) == len(rates) else None


def _read_decimal(text: str) -> float | None:
    if _DECIMAL.fullmatch(text) is None:
        return None
    return min(float(text), MAX_RATE)


class LimitChange(Enum):
    """How an answer or a report changed the limit of an upstream."""

    NAMED = "named"
    CHANGED = "changed"
    ENDED = "ended"


@dataclass(frozen=True)
class LimitReport:
    """The newest knowledge of an upstream's limit.

    ``rate`` is in requests per second, None if the limit has ended. ``heard_at`` is when the answer
    that told so arrived, in ms. ``until`` is the end of a temporary limit, None for a named one.
    """

    incarnation: Incarnation
    rate: float | None
    heard_at: int
    until: int | None = None


@dataclass(frozen=True)
class TemporaryLimit:
    """A limit in requests per second that the gateway itself imposes until a time in ms."""

    rate: float
    until: int


class RateLimits:
    """The rate limits of all upstreams, as this instance or its peers heard of them last."""

    def __init__(self) -> None:
        self._reports: dict[Incarnation, LimitReport] = {}
        self.find_temporary: Callable[[Incarnation], TemporaryLimit | None] = lambda one: None

    def find(self, incarnation: Incarnation) -> float | None:
        """Return the limit of an incarnation in requests per second, None if it has none."""
        named, temporary = self.find_named(incarnation), self.find_temporary(incarnation)
        if temporary is None:
            return named
        return temporary.rate if named is None else min(named, temporary.rate)

    def find_named(self, incarnation: Incarnation) -> float | None:
        """Return the limit that an incarnation names, None if it names none."""
        report = self._reports.get(incarnation)
        return report.rate if report is not None else None

    def is_limited(self, incarnation: Incarnation) -> bool:
        """Tell whether an incarnation has a limit that can have an effect."""
        rate = self.find(incarnation)
        return rate is not None and rate < MAX_RATE

    def get_named_report(self, incarnation: Incarnation) -> LimitReport | None:
        """Return the newest knowledge of the limit that an incarnation names, None without any."""
        return self._reports.get(incarnation)

    def get_report(self, incarnation: Incarnation) -> LimitReport | None:
        """Return what is known of the limit in force, None if the incarnation never had one."""
        known, temporary = self._reports.get(incarnation), self.find_temporary(incarnation)
        named = known.rate if known is not None else None
        if temporary is None or (named is not None and named <= temporary.rate):
            return known
        heard_at = known.heard_at if known is not None else 0
        return LimitReport(incarnation, temporary.rate, heard_at, temporary.until)

    def record_named(self, incarnation: Incarnation, rate: float, now: int) -> LimitChange | None:
        """Record that an answer named a limit; return what changed."""
        return self.update(LimitReport(incarnation, rate, now))

    def record_unnamed(
        self, incarnation: Incarnation, sent_at: int, now: int
    ) -> LimitChange | None:
        """Record an answer without a limit to a request sent at ``sent_at``; return what changed.

        An answer may have been written before the upstream named its limit, so it ends the limit
        only if its request was sent after that.
        """
        known = self._reports.get(incarnation)
        if known is None or known.rate is None or sent_at <= known.heard_at:
            return None
        return self.update(LimitReport(incarnation, None, now))

    def update(self, report: LimitReport) -> LimitChange | None:
        """Take over a report, unless a newer one is known; return what changed."""
        known = self._reports.get(report.incarnation)
        if known is not None and known.heard_at >= report.heard_at:
            return None
        self._reports.pop(report.incarnation, None)
        self._reports[report.incarnation] = report
        if len(self._reports) > MAX_INCARNATIONS:
            del self._reports[next(iter(self._reports))]
        return _compare(known.rate if known is not None else None, report.rate)

    def list_reportable(self, now: int) -> tuple[LimitReport, ...]:
        """Return the limits in force and those that ended lately, the newest first."""
        reportable = [
            report
            for report in reversed(self._reports.values())
            if report.rate is not None or now - report.heard_at <= ENDED_REPORT_MS
        ]
        return tuple(reportable[:MAX_REPORTED])

    def keep_only(self, is_listed: Callable[[Incarnation], bool]) -> None:
        """Remove the limits of incarnations that are not listed."""
        for incarnation in [one for one in self._reports if not is_listed(one)]:
            del self._reports[incarnation]


def _compare(before: float | None, after: float | None) -> LimitChange | None:
    if before is None:
        return LimitChange.NAMED if after is not None else None
    if after is None:
        return LimitChange.ENDED
    return None if math.isclose(before, after) else LimitChange.CHANGED
