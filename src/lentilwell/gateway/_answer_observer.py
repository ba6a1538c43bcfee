"""Updates the fleet's state from response heads of upstreams and from the reports of peers."""

from __future__ import annotations

from lentilwell._log_lines import (
    RetryAfterIgnored,
    UpstreamBackoffStarted,
    UpstreamLeaving,
    UpstreamLimitChanged,
    UpstreamLimitIgnored,
    write_line,
)
from lentilwell.gateway._availability import read_retry_after
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._messages import AnswerHead
from lentilwell.gateway._rate_limits import LimitChange, LimitReport, read_rate
from lentilwell.gateway._upstreams import Upstream
from lentilwell.gateway._work_digest import UpstreamReports

# The source of a change that this instance learned from an answer itself.
OWN_ANSWER = "answer"
MAX_LOGGED_TEXT = 80
# Bound on the upstreams whose last invalid limit is remembered, so that it is logged once.
MAX_IGNORED_LIMITS = 1_024
# Statuses of a refusal, which may carry a Retry-After header.
REFUSAL_STATUSES = frozenset((429, 503))


class AnswerObserver:
    """Observes the response heads of requests and of lease operations, and the reports of peers."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._availability = fleet.availability
        self._ignored_limits: dict[str, str] = {}

    def handle_head(self, upstream: Upstream, head: AnswerHead) -> None:
        """Record whether the upstream is draining, asks for a backoff, names a limit or is cold.

        A misdirected answer comes from another upstream at the address, and tells nothing of this.
        """
        if head.misdirected:
            return
        if head.leaving and self._availability.record_leaving(upstream.incarnation):
            listing = self._fleet.listing_point.version
            write_line(UpstreamLeaving(upstream.name, upstream.born_ms, head.status, listing))
            self._fleet.on_new_report()
        if head.status in REFUSAL_STATUSES and head.retry_after is not None:
            self._handle_retry_after(upstream, head.status, head.retry_after)
        if head.rate_limit is not None:
            self._handle_rate_limit(upstream, head.rate_limit)
        if head.cold_ms is not None:
            self._fleet.cold_watch.handle_answer(upstream, head.cold_ms)

    def handle_answer(self, upstream: Upstream, head: AnswerHead, sent_at: int) -> None:
        """Record the end of a rate limit, from the answer to a request sent at ``sent_at``."""
        if head.rate_limit is not None or head.misdirected:
            return
        now = self._fleet.clock.now()
        change = self._fleet.rate_limits.record_unnamed(upstream.incarnation, sent_at, now)
        if change is not None:
            self._handle_change(upstream, LimitReport(upstream.incarnation, None, now), change)

    def _handle_rate_limit(self, upstream: Upstream, text: str) -> None:
        rate = read_rate(text)
        if rate is None:
            self._ignore_limit(upstream, text[:MAX_LOGGED_TEXT])
            return
        now = self._fleet.clock.now()
        change = self._fleet.rate_limits.record_named(upstream.incarnation, rate, now)
        if change is not None:
            self._handle_change(upstream, LimitReport(upstream.incarnation, rate, now), change)

    def _ignore_limit(self, upstream: Upstream, text: str) -> None:
        """Log an invalid limit, but not each time that the upstream repeats it."""
        if self._ignored_limits.get(upstream.name) == text:
            return
        if len(self._ignored_limits) >= MAX_IGNORED_LIMITS:
            self._ignored_limits.clear()
        self._ignored_limits[upstream.name] = text
        write_line(UpstreamLimitIgnored(upstream.name, text))

    def _handle_change(self, upstream: Upstream, report: LimitReport, change: LimitChange) -> None:
        self._log_limit(report, change, OWN_ANSWER)
        self._fleet.on_new_report()
        self._fleet.on_limit_change(upstream)

    def _log_limit(self, report: LimitReport, change: LimitChange, source: str) -> None:
        incarnation = report.incarnation
        write_line(
            UpstreamLimitChanged(
                incarnation.name, incarnation.born_ms, change.value, report.rate, source
            )
        )

    def _handle_retry_after(self, upstream: Upstream, status: int, text: str) -> None:
        wait_ms = read_retry_after(text)
        if wait_ms is None:
            write_line(RetryAfterIgnored(upstream.name, status, text))
            return
        self._availability.record_backoff(upstream.incarnation, wait_ms, self._fleet.clock.now())
        write_line(UpstreamBackoffStarted(upstream.name, status, wait_ms))

    def update_limit(self, report: LimitReport, source: str) -> None:
        """Take over what another instance knows of a limit, unless something newer is known."""
        if report.until is not None:
            self._fleet.cold_watch.handle_report(report, source)
            return
        change = self._fleet.rate_limits.update(report)
        if change is not None:
            self._log_limit(report, change, source)

    def collect_reports(self) -> UpstreamReports:
        """Return the observations of this instance that are reported to peers."""
        return UpstreamReports(
            self._availability.list_reportable(self._fleet.directory.listed),
            self._fleet.refusals.list_reportable(self._fleet.clock.now()),
            self._fleet.rate_limits.list_reportable(self._fleet.clock.now())
            + self._fleet.cold_watch.list_reports(),
        )

    def update_reports(self, peer: str, reports: UpstreamReports) -> None:
        """Replace the earlier reports of a peer."""
        self._availability.update_peer(peer, reports.leaving)
        self._fleet.refusals.update_peer(peer, reports.refusals)
        for report in reports.limits:
            self.update_limit(report, peer)
