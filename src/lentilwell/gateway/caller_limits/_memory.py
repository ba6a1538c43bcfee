"""Adds up what the connections of callers hold, and decides which of them is given up. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import StrEnum

from lentilwell.gateway.caller_limits._process_limits import MemoryBudget

# A connection that holds no more than this uses the reserve: ordinary requests are this small.
SMALL_BYTES = 32_768
# Progress is this much received; less would let single bytes now and then pass for progress.
PROGRESS_BYTES = 1_024
# Longer than a round trip or a lost packet.
STALLED_MS = 1_000
# What the kernel holds of a connection that is not read from, or that the caller does not read.
KERNEL_BUFFER_BYTES = 131_072


class Reason(StrEnum):
    """Why a connection was given up."""

    STALLED = "stalled"
    LARGEST = "largest"
    OLDEST = "oldest"
    DESCRIPTORS = "descriptors"
    REQUESTS = "requests"


GiveUp = Callable[[Reason], None]


class Account:
    """What one connection holds, in bytes.

    ``reading`` belongs to a request that is being received, ``serving`` to one that is being
    answered, and ``pending`` are pipelined bytes, unsent answers and the kernel's buffers.
    ``give_up`` refuses or closes the connection.
    """

    def __init__(self, give_up: GiveUp, now: int) -> None:
        self.give_up = give_up
        self.reading = self.serving = self.pending = 0
        self.progress_at = now
        self.received = 0

    @property
    def total(self) -> int:
        """Return all that the connection holds."""
        return self.reading + self.serving + self.pending

    @property
    def large(self) -> bool:
        """Tell whether the connection holds more than an ordinary request."""
        return self.total > SMALL_BYTES

    @property
    def evictable(self) -> bool:
        """Tell whether the connection may be given up: a request being served is kept."""
        return not self.serving or self.pending > SMALL_BYTES


class CallerMemory:
    """The accounts of all connections, and the budget that their sum stays within.

    The order of ``_accounts`` is that of their last progress, the oldest first.
    """

    def __init__(self, budget: MemoryBudget, now: Callable[[], int]) -> None:
        self.budget = budget
        self._now = now
        self._accounts: dict[Account, None] = {}
        self._large: dict[Account, None] = {}
        self.total_bytes = 0
        self.large_bytes = 0

    def record_progress(self, account: Account, size_bytes: int) -> None:
        """Record received bytes, or bytes of an answer that the caller has taken."""
        account.received += size_bytes
        if account.received < PROGRESS_BYTES:
            return
        account.received = 0
        account.progress_at = self._now()
        for accounts in (self._accounts, self._large):
            if account in accounts:
                del accounts[account]
                accounts[account] = None

    def update(self, account: Account, reading: int, serving: int, pending: int) -> None:
        """Set what a connection holds, and give up connections until the budget is kept."""
        if self._set(account, reading, serving, pending) > 0:
            self._relieve()

    def close(self, account: Account) -> None:
        """Forget a connection."""
        self._set(account, 0, 0, 0)

    def give_up_stalled(self, reason: Reason) -> bool:
        """Give up the connection without progress for the longest time; return whether one is."""
        account = self._find_stalled(self._accounts)
        if account is None:
            return False
        self._give_up(account, reason)
        return True

    def _set(self, account: Account, reading: int, serving: int, pending: int) -> int:
        """Set the amounts of an account, and return by how much it has grown."""
        before = account.total
        self.total_bytes -= before
        self.large_bytes -= before if account.large else 0
        if not before:
            account.progress_at = self._now()
        account.reading, account.serving, account.pending = reading, serving, pending
        self.total_bytes += account.total
        self.large_bytes += account.total if account.large else 0
        _include(self._accounts, account, account.total > 0)
        _include(self._large, account, account.large)
        return account.total - before

    def _relieve(self) -> None:
        while self.large_bytes > self.budget.large_bytes:
            if not self._give_up_one(self._large):
                break
        while self.total_bytes > self.budget.total_bytes:
            if not self._give_up_one(self._large) and not self._give_up_one(self._accounts):
                return

    def _give_up_one(self, accounts: dict[Account, None]) -> bool:
        """Give up one of the accounts; return False if all are of requests being served."""
        account, reason = self._find_stalled(accounts), Reason.STALLED
        if account is None and accounts is self._large:
            account, reason = find_largest(accounts), Reason.LARGEST
        elif account is None:
            account, reason = find_first_evictable(accounts), Reason.OLDEST
        if account is None:
            return False
        self._give_up(account, reason)
        return True

    def _find_stalled(self, accounts: Iterable[Account]) -> Account | None:
        account = find_first_evictable(accounts)
        if account is None or self._now() - account.progress_at < STALLED_MS:
            return None
        return account

    def _give_up(self, account: Account, reason: Reason) -> None:
        account.give_up(reason)
        self.close(account)


def find_first_evictable(accounts: Iterable[Account]) -> Account | None:
    """Return the account with the oldest progress that may be given up."""
    return next((account for account in accounts if account.evictable), None)


def find_largest(accounts: Iterable[Account]) -> Account | None:
    """Return the account that holds most and may be given up."""
    evictable = (account for account in accounts if account.evictable)
    return max(evictable, key=lambda account: account.total, default=None)


def _include(accounts: dict[Account, None], account: Account, included: bool) -> None:
    if included:
        accounts.setdefault(account, None)
    else:
        accounts.pop(account, None)
