"""What the heads of upstreams' answers tell the fleet, and what instances tell each other of it."""

from __future__ import annotations

from lentilwell._log_lines import (
    RetryAfterIgnored,
    UpstreamClosed,
    UpstreamLeaving,
    write_line,
)
from lentilwell.gateway._availability import read_retry_after
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._messages import AnswerHead
from lentilwell.gateway._upstreams import Upstream
from lentilwell.gateway._work_digest import Reports

# Statuses with which an upstream turns work away and may name a time to come back.
TURNED_AWAY = frozenset((429, 503))


class Evidence:
    """Learns from every answer, to a request or to an order, and from the reports of peers."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._availability = fleet.availability

    def take_head(self, upstream: Upstream, head: AnswerHead) -> None:
        """Learn whether the upstream leaves, or wants nothing for a while."""
        if head.leaving and self._availability.note_leaving(upstream.life):
            listing = self._fleet.listing_at.version
            write_line(UpstreamLeaving(upstream.name, upstream.born_ms, head.status, listing))
            self._fleet.on_report()
        if head.status in TURNED_AWAY and head.retry_after is not None:
            self._take_retry_after(upstream, head.status, head.retry_after)

    def _take_retry_after(self, upstream: Upstream, status: int, text: str) -> None:
        wait_ms = read_retry_after(text)
        if wait_ms is None:
            write_line(RetryAfterIgnored(upstream.name, status, text))
            return
        self._availability.note_backoff(upstream.life, wait_ms, self._fleet.clock.now())
        write_line(UpstreamClosed(upstream.name, status, wait_ms))

    def find_reports(self) -> Reports:
        """Return what peers should know of what was learned here."""
        return Reports(
            self._availability.list_leaving(self._fleet.directory.listed),
            self._fleet.refusals.list_own(self._fleet.clock.now()),
        )

    def take_reports(self, peer: str, reports: Reports) -> None:
        """Replace what a peer told before."""
        self._availability.take_peer(peer, reports.leaving)
        self._fleet.refusals.take_peer(peer, reports.refusals)
