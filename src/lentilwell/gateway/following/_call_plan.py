"""Decides when and why the store is called next for a table. Pure logic, no I/O.

A follower that is not fed calls again at once after each answer, and lets the store wait for a
change. A fed one calls rarely, and when a change is missing.
"""

from __future__ import annotations

from enum import Enum

from lentilwell.gateway._store_point import StorePoint

# A fed follower calls the store after a random time in this range since its last call.
MIN_REPAIR_MS = 20_000
MAX_REPAIR_MS = 40_000
# A fed follower that lacks a change calls the store after a random time in this range, so that not
# all call in the same moment, and at the earliest this long after its last call, so that several
# changes in quick succession are read together.
MIN_MISSING_MS = 50
MAX_MISSING_MS = 400
READ_INTERVAL_MS = 1_000
# Followers that are no longer fed call the store within this time.
UNFED_SPREAD_MS = 400


class CallReason(Enum):
    """Why the store is called; the values are labels of a metric."""

    POLL = "poll"
    COMPLETE = "complete"
    RETRY = "retry"
    CHECK = "check"
    REPAIR = "repair"
    MISSING = "missing"
    UNFED = "unfed"


class CallPlan:
    """The next call for one table; times are in milliseconds of the clock.

    ``random_point`` is a random number from 0 up to 1. ``missing`` is the newest version that is
    known to be missing when the reason is ``MISSING``.
    """

    def __init__(self, now: int) -> None:
        self.reason = CallReason.POLL
        self.missing = StorePoint()
        self._due_at = now
        self._repair_at = now
        self._asked_at = now

    def begin_call(self, now: int) -> CallReason:
        """Record the begin of a call, and return its reason."""
        reason, self.reason = self.reason, CallReason.POLL
        self._asked_at = now
        return reason

    def plan_next(self, fed: bool, now: int, random_point: float) -> None:
        """Plan the call after an answer."""
        self._due_at, self.reason = now, CallReason.POLL
        if fed:
            pause_ms = MIN_REPAIR_MS + random_point * (MAX_REPAIR_MS - MIN_REPAIR_MS)
            self._repair_at = now + round(pause_ms)
            self._put_off()

    def plan_missing(self, changed: StorePoint, now: int, random_point: float) -> bool:
        """Plan a call for a missing change, together with others that are missing by then.

        Return whether the call is now due earlier.
        """
        self.missing = max(self.missing, changed)
        if self.reason is CallReason.MISSING:
            return False
        spread_ms = MIN_MISSING_MS + random_point * (MAX_MISSING_MS - MIN_MISSING_MS)
        due_at = max(now + round(spread_ms), self._asked_at + READ_INTERVAL_MS)
        return self._advance(due_at, CallReason.MISSING)

    def plan_unfed(self, now: int, random_point: float) -> bool:
        """Plan a call since no source is there any more; return whether it is due earlier."""
        return self._advance(now + round(random_point * UNFED_SPREAD_MS), CallReason.UNFED)

    def drop_unfed(self) -> None:
        """Put off a call of ``plan_unfed`` since a source is there again."""
        if self.reason is CallReason.UNFED:
            self._put_off()

    def drop_missing(self) -> None:
        """Put off a call of ``plan_missing`` since the changes have arrived."""
        if self.reason is CallReason.MISSING:
            self._put_off()

    def find_left_ms(self, now: int) -> int:
        """Return the time to the next call in ms, 0 or less if it is due."""
        return self._due_at - now

    def _advance(self, due_at: int, reason: CallReason) -> bool:
        if due_at >= self._due_at:
            return False
        self._due_at, self.reason = due_at, reason
        return True

    def _put_off(self) -> None:
        self._due_at, self.reason = self._repair_at, CallReason.REPAIR
