"""Updates the fleet's state from response heads of upstreams and from the reports of peers."""

from __future__ import annotations

from lentilwell._log_lines import (
    RetryAfterIgnored,
    UpstreamBackoffStarted,
    UpstreamLeaving,
    write_line,
)
from lentilwell.gateway._availability import read_retry_after
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._messages import AnswerHead
from lentilwell.gateway._upstreams import Upstream
from lentilwell.gateway._work_digest import UpstreamReports

# Statuses of a refusal, which may carry a Retry-After header.
REFUSAL_STATUSES = frozenset((429, 503))


class AnswerObserver:
    """Observes the response heads of requests and of lease operations, and the reports of peers."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._availability = fleet.availability

    def handle_head(self, upstream: Upstream, head: AnswerHead) -> None:
        """Record whether the upstream is draining or asks for a backoff."""
        if head.leaving and self._availability.record_leaving(upstream.incarnation):
            listing = self._fleet.listing_point.version
            write_line(UpstreamLeaving(upstream.name, upstream.born_ms, head.status, listing))
            self._fleet.on_new_report()
        if head.status in REFUSAL_STATUSES and head.retry_after is not None:
            self._handle_retry_after(upstream, head.status, head.retry_after)

    def _handle_retry_after(self, upstream: Upstream, status: int, text: str) -> None:
        wait_ms = read_retry_after(text)
        if wait_ms is None:
            write_line(RetryAfterIgnored(upstream.name, status, text))
            return
        self._availability.record_backoff(upstream.incarnation, wait_ms, self._fleet.clock.now())
        write_line(UpstreamBackoffStarted(upstream.name, status, wait_ms))

    def collect_reports(self) -> UpstreamReports:
        """Return the observations of this instance that are reported to peers."""
        return UpstreamReports(
            self._availability.list_reportable(self._fleet.directory.listed),
            self._fleet.refusals.list_reportable(self._fleet.clock.now()),
        )

    def update_reports(self, peer: str, reports: UpstreamReports) -> None:
        """Replace the earlier reports of a peer."""
        self._availability.update_peer(peer, reports.leaving)
        self._fleet.refusals.update_peer(peer, reports.refusals)
