"""Tracks whether the store answers the calls for a table, and its outages. Pure logic, no I/O."""

from __future__ import annotations

FIRST_RETRY_MS = 50
MAX_RETRY_MS = 800
# A call is overdue this long after the end of its wait. Answers take some ms.
OVERDUE_MS = 500
# A complete reading arrives for longer. One that the store does not begin to answer fails before.
COMPLETE_OVERDUE_MS = 2_000
# Recoveries of the store within this time are taken for the same one.
SAME_RECOVERY_MS = 2_000


class StoreContact:
    """The calls for one table; times are in milliseconds of the clock.

    ``answered_at`` is when the store last answered, ``asked_at`` when the current call began, and
    ``wait_ms`` for how long that call lets the store wait for a change. ``failures`` counts the
    failed calls since the last answer, and ``retry_ms`` is the pause after the last of them.
    ``recovered_at`` is when the last outage ended.
    """

    def __init__(self, now: int) -> None:
        self.asked_at = now
        self.wait_ms = 0
        self.answered_at: int | None = None
        self.failures = 0
        self.retry_ms = 0
        self.recovered_at: int | None = None
        # When the store should have answered the calls since its last answer, None if it has.
        self._answer_due_at: int | None = None

    def begin_call(self, wait_ms: int, now: int, overdue_ms: int = OVERDUE_MS) -> None:
        """Record the begin of a call, which is overdue ``overdue_ms`` after the end of its wait."""
        self.asked_at, self.wait_ms = now, wait_ms
        due_at = now + wait_ms + overdue_ms
        self._answer_due_at = min(due_at, self._answer_due_at or due_at)

    def record_answer(self, now: int) -> bool:
        """Record an answer; return whether it ends an outage."""
        recovered = self.retry_ms > 0
        self.answered_at = now
        self._answer_due_at = None
        self.failures = self.retry_ms = 0
        if recovered:
            self.recovered_at = now
        return recovered

    def record_failure(self) -> None:
        """Record a failed call."""
        self.failures += 1
        self.retry_ms = min(MAX_RETRY_MS, max(FIRST_RETRY_MS, 2 * self.retry_ms))

    def record_recovery(self, ago_ms: int | None, now: int) -> bool:
        """Record the end of an outage that another instance noticed, if there was one.

        Return False if it is long ago or known. An instance whose own calls fail notices the end by
        itself.
        """
        if ago_ms is None or ago_ms >= SAME_RECOVERY_MS or self.retry_ms:
            return False
        at, known = now - ago_ms, self.recovered_at
        if known is not None and abs(at - known) < SAME_RECOVERY_MS:
            return False
        self.recovered_at = at
        return True

    def is_answered(self, now: int) -> bool:
        """Tell whether no call has failed or is overdue."""
        if self.failures or self.retry_ms:
            return False
        return self._answer_due_at is None or now <= self._answer_due_at
