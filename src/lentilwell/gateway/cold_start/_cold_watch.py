"""Updates what is known of cold upstreams from entries, answers and peers, and logs the changes."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from lentilwell._clock import Clock
from lentilwell._log_lines import (
    ColdFigureIgnored,
    DataCentreCold,
    UpstreamCold,
    UpstreamWarm,
    write_line,
)
from lentilwell.gateway._rate_limits import LimitReport, TemporaryLimit
from lentilwell.gateway._upstreams import Incarnation, Upstream
from lentilwell.gateway.cold_start._cold_upstreams import ColdUpstreams
from lentilwell.gateway.cold_start._figures import parse_cold_ms

# The sources of a change that this instance learned itself.
FROM_ANSWER = "answer"
FROM_ENTRY = "entry"
FROM_PROBE = "probe"
MAX_LOGGED_TEXT = 80
# Bound on the upstreams whose last invalid figure is remembered, so that it is logged once.
MAX_IGNORED = 1_024
# The age of an incarnation without a published start at the first listing: it counts as warm.
UNKNOWN_AGE_MS = 2**62


class ColdWatch:
    """Applies entries, answers and reports of peers to ``cold_upstreams``.

    ``find_listed`` returns a listed upstream by name. ``on_cold`` is called when an upstream has
    become cold; its second argument is true if other instances may not know it from the entry.
    """

    def __init__(self, clock: Clock, find_listed: Callable[[str], Upstream | None]) -> None:
        self.cold_upstreams = ColdUpstreams()
        self._clock = clock
        self._find_listed = find_listed
        self._ignored: dict[str, str] = {}
        self.on_cold: Callable[[Upstream, bool], None] = lambda upstream, own: None

    def find_limit(self, incarnation: Incarnation) -> TemporaryLimit | None:
        """Return the limit of an incarnation that is cold, else None.

        It is listed, or a later start of a listed upstream of which a peer told.
        """
        upstream = self._find_listed(incarnation.name)
        if upstream is None or not self.cold_upstreams.may_apply_to(upstream.service):
            return None
        if upstream.born_ms > incarnation.born_ms:
            return None
        if upstream.born_ms < incarnation.born_ms:
            upstream = replace(upstream, born_ms=incarnation.born_ms)
        return self.cold_upstreams.find(upstream, self._clock.now())

    def is_cold(self, upstream: Upstream) -> bool:
        """Tell whether an upstream is cold."""
        if not self.cold_upstreams.may_apply_to(upstream.service):
            return False
        return self.cold_upstreams.find(upstream, self._clock.now()) is not None

    def handle_entries(self, upstreams: Iterable[Upstream], is_first_listing: bool) -> None:
        """Handle entries of the listing, the first one of this process or later ones."""
        now = self._clock.now()
        for upstream in upstreams:
            age_ms = self._measure_age_ms(upstream) if is_first_listing else 0
            if self.cold_upstreams.record_listed(upstream, age_ms, now):
                self._announce(upstream, FROM_ENTRY, own=False)
            if upstream.odd_cold is not None and self.cold_upstreams.applies_to(upstream.service):
                self._ignore(upstream.name, FROM_ENTRY, upstream.odd_cold)

    def handle_answer(self, upstream: Upstream, text: str) -> None:
        """Handle the remaining cold time that an answer states."""
        if not self.cold_upstreams.applies_to(upstream.service):
            return
        cold_ms = parse_cold_ms(text)
        if cold_ms is None:
            self._ignore(upstream.name, FROM_ANSWER, text)
            return
        now = self._clock.now()
        if cold_ms and self.cold_upstreams.record_answer(upstream, now + cold_ms, now):
            self._announce(upstream, FROM_ANSWER, own=True)

    def handle_restart(self, upstream: Upstream) -> None:
        """Handle an upstream that refused connections and accepts them again: a new start.

        Its entry may tell so much later, while the store is away.
        """
        now, start_ms = self._clock.now(), self.cold_upstreams.find_start_ms(upstream.service)
        if not start_ms or self.is_cold(upstream):
            return
        if self.cold_upstreams.record_answer(upstream, now + start_ms, now):
            self._announce(upstream, FROM_PROBE, own=True)

    def handle_report(self, report: LimitReport, source: str) -> None:
        """Handle a temporary limit that a peer reports."""
        assert report.until is not None
        listed = self._find_listed(report.incarnation.name)
        became_cold = self.cold_upstreams.record_told(
            report.incarnation, report.until, report.rate or 0.0, listed, self._clock.now()
        )
        if listed is not None and became_cold:
            self._announce(listed, source, own=False)

    def mark_cold(self, data_centre: str) -> None:
        """Count every upstream of a data centre as cold, as after the end of an evacuation."""
        self.cold_upstreams.mark_cold(data_centre, self._clock.now())
        write_line(DataCentreCold(data_centre))

    def list_reports(self) -> tuple[LimitReport, ...]:
        """Return the cold upstreams to report to peers."""
        now = self._clock.now()
        return tuple(
            LimitReport(upstream.incarnation, limit.rate, now, limit.until)
            for upstream, limit in self.cold_upstreams.list_reportable(now)
        )

    def log_warm(self) -> None:
        """Log the upstreams that are no longer cold."""
        for upstream in self.cold_upstreams.pop_warm(self._clock.now()):
            write_line(UpstreamWarm(upstream.name, upstream.born_ms))

    def _measure_age_ms(self, upstream: Upstream) -> int:
        if not upstream.born_ms:
            return UNKNOWN_AGE_MS
        return max(0, self._clock.wall() - upstream.born_ms)

    def _announce(self, upstream: Upstream, source: str, own: bool) -> None:
        now = self._clock.now()
        limit = self.cold_upstreams.find(upstream, now)
        assert limit is not None
        remaining_ms = limit.until - now
        write_line(UpstreamCold(upstream.name, upstream.born_ms, remaining_ms, limit.rate, source))
        self.on_cold(upstream, own)

    def _ignore(self, upstream: str, source: str, text: str) -> None:
        """Log an invalid figure, but not each time that the upstream repeats it."""
        text = text[:MAX_LOGGED_TEXT]
        if self._ignored.get(upstream) == text:
            return
        if len(self._ignored) >= MAX_IGNORED:
            self._ignored.clear()
        self._ignored[upstream] = text
        write_line(ColdFigureIgnored(upstream, source, text))
