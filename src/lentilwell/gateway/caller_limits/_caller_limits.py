"""The limits on callers of one process, as its connections use them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from lentilwell.gateway.caller_limits._memory import Account, CallerMemory, Reason
from lentilwell.gateway.caller_limits._process_limits import ProcessLimits
from lentilwell.gateway.caller_limits._slots import CallerSlots


class LimitedCaller(Protocol):
    """A connection of a caller that can be given up."""

    def give_up(self, reason: Reason) -> None:
        """Refuse the request that is being received, or close the connection."""

    def close_unused(self) -> bool:
        """Close the connection if no request has arrived on it; return whether it is closed.

        One that is closed is forgotten at once, so that no further one is closed in its place.
        """


@dataclass(frozen=True)
class GivenUp:
    """A connection was given up; the bytes are those before. ``connections`` are all open ones."""

    reason: Reason
    held_bytes: int
    total_bytes: int
    connections: int


class CallerLimits:
    """Bounds the connections of callers, the requests being served and all that they hold.

    ``on_given_up`` is called for each connection that is given up.
    """

    def __init__(self, limits: ProcessLimits, now: Callable[[], int]) -> None:
        self._now = now
        self._max_requests = limits.max_requests
        self._slots = CallerSlots(limits.max_connections)
        self._accounts: dict[LimitedCaller, Account] = {}
        self._requests = 0
        self.memory = CallerMemory(limits.budget, now)
        self.on_given_up: Callable[[GivenUp], None] = lambda given_up: None

    def change(self, limits: ProcessLimits) -> None:
        """Apply changed limits; what is held already is given up as far as it grows."""
        self._max_requests = limits.max_requests
        self._slots.max_connections = limits.max_connections
        self.memory.budget = limits.budget

    def open(self, caller: LimitedCaller) -> bool:
        """Add a new connection; return False if it must be refused because too many are open."""
        self._accounts[caller] = Account(lambda reason: self._give_up(caller, reason), self._now())
        full = len(self._accounts) > self._slots.max_connections
        if full and not self._shed_one():
            self._record(caller, Reason.DESCRIPTORS)
            return False
        self._slots.add_idle(caller.close_unused)
        return True

    def close(self, caller: LimitedCaller) -> None:
        """Forget a connection."""
        self._slots.remove_idle(caller.close_unused)
        account = self._accounts.pop(caller, None)
        if account is not None:
            self.memory.close(account)

    def record_idle(self, caller: LimitedCaller) -> None:
        """Record that a connection waits for the next request."""
        self._slots.add_idle(caller.close_unused)

    def record_received(self, caller: LimitedCaller, size_bytes: int) -> None:
        """Record that bytes were received on a connection, or taken by the caller."""
        self._slots.remove_idle(caller.close_unused)
        account = self._accounts.get(caller)
        if account is not None:
            self.memory.record_progress(account, size_bytes)

    def update(self, caller: LimitedCaller, reading: int, serving: int, pending: int) -> None:
        """Set what a connection holds, in bytes; it or others may be given up."""
        account = self._accounts.get(caller)
        if account is not None:
            self.memory.update(account, reading, serving, pending)

    def begin_request(self, caller: LimitedCaller) -> bool:
        """Count a request that is about to be served; return False if there are too many."""
        if self._requests >= self._max_requests:
            self._record(caller, Reason.REQUESTS)
            return False
        self._requests += 1
        return True

    def end_request(self) -> None:
        """Count the end of a request."""
        self._requests -= 1

    def _shed_one(self) -> bool:
        if self._slots.close_one():
            return True
        return self.memory.give_up_stalled(Reason.DESCRIPTORS)

    def _give_up(self, caller: LimitedCaller, reason: Reason) -> None:
        self._record(caller, reason)
        caller.give_up(reason)

    def _record(self, caller: LimitedCaller, reason: Reason) -> None:
        account = self._accounts.get(caller)
        held_bytes = account.total if account is not None else 0
        connections = len(self._accounts)
        self.on_given_up(GivenUp(reason, held_bytes, self.memory.total_bytes, connections))
