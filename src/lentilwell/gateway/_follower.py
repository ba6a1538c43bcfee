"""Follows a table of the store: reads it completely, then its changes by long polling.

The table is read completely again if the store no longer has the history of changes, or if that
history is too long to arrive in time.

Hundreds of instances follow the same tables, so each call waits long for a change to limit the load
on the store. A failure of the store or of the path to it is detected by the few instances whose
waits end first; the others learn of it by their reports and then check the store themselves.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, Protocol

from lentilwell._clock import MS_PER_SECOND, Clock
from lentilwell._log_lines import (
    DependencyLost,
    DependencyRecovered,
    DependencyStillLost,
    TableChangesTooLong,
    TableHistoryUnavailable,
    TableRechecked,
    write_line,
)
from lentilwell.gateway._failures import (
    AnswerUnfinished,
    HistoryGone,
    StoreError,
    StoreRestored,
)
from lentilwell.gateway._ports import Feed, Listing, ValueT
from lentilwell.gateway._store_point import StorePoint
from lentilwell.gateway._store_waits import InstanceRank, find_first_wait_ms, find_wait_ms

FIRST_RETRY_MS = 50
MAX_RETRY_MS = 800
# After a change, the next call is delayed by this time to read successive changes together.
CHANGE_BATCH_MS = 300
# A change reaches every follower within this time, unless the connection to the store is dead.
PROPAGATION_MS = 300
# Minimum time between two checks of the store that interrupt a wait.
CHECK_INTERVAL_MS = 1_000


@dataclass(frozen=True)
class TableReport:
    """An instance's report of a table: the store's version at the last change of the table.

    ``unavailable`` is set if the store does not answer the instance.
    """

    changed: StorePoint = field(default_factory=StorePoint)
    unavailable: bool = False


@dataclass(frozen=True)
class TableStatus:
    """The status of following a table; times are in milliseconds of the clock.

    ``at`` is the store's version as last read, None before a complete listing. ``answered_at`` is
    when the store last answered, ``asked_at`` when the current call began, and ``wait_ms`` for how
    long that call lets the store wait for a change. ``failures`` counts the failed calls since the
    last answer.
    """

    name: str
    at: StorePoint | None
    answered_at: int | None
    asked_at: int
    wait_ms: int
    failures: int


class Listener(Protocol[ValueT]):
    """Receives the contents of a table and its changes."""

    def handle_listing(self, listing: Listing[ValueT]) -> None:
        """Handle a complete listing of the table."""

    def handle_changes(self, listing: Listing[ValueT]) -> None:
        """Handle changed rows."""

    def handle_store_recovery(self) -> None:
        """Handle the first answer of the store after an outage."""


class Follower(Generic[ValueT]):
    """Keeps one listener up to date until the task of ``run`` is cancelled."""

    def __init__(
        self,
        name: str,
        feed: Feed[ValueT],
        listener: Listener[ValueT],
        clock: Clock,
        find_rank: Callable[[], InstanceRank] = InstanceRank,
    ) -> None:
        self._name = name
        self._feed = feed
        self._listener = listener
        self._clock = clock
        self._find_rank = find_rank
        self._at: StorePoint | None = None
        self._changed = StorePoint()
        self._retry_ms = 0
        self._read_timeout: asyncio.Timeout | None = None
        self._asked_at = clock.now()
        self._answered_at: int | None = None
        self._wait_ms = 0
        # Set if the last call ended for a reason that also ended the calls of other instances.
        self._synchronized = True
        self._failures = 0
        self._checked_at = clock.now() - CHECK_INTERVAL_MS
        self._checking = False

    @property
    def report(self) -> TableReport:
        """Return this instance's report of the table for its peers."""
        return TableReport(self._changed, bool(self._retry_ms))

    @property
    def status(self) -> TableStatus:
        """Return the status of following the table."""
        return TableStatus(
            self._name,
            self._at,
            self._answered_at,
            self._asked_at,
            self._wait_ms,
            self._failures,
        )

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            try:
                listing = await self._read_until_check()
            except TimeoutError:
                continue  # the wait was interrupted to check the store
            except HistoryGone:
                write_line(TableHistoryUnavailable(self._name, self._known_version))
                self._at = None
            except StoreRestored:
                self._at = None
            except AnswerUnfinished as error:
                await self._handle_unfinished(error)
            except StoreError as error:
                await self._back_off(error)
            else:
                await self._handle_listing(listing)

    def handle_report(self, report: TableReport) -> None:
        """Handle a peer's report: check the store if the peer is ahead or gets no answers."""
        if report.unavailable:
            self.check("the store does not answer another instance")
        elif self._is_behind(report.changed):
            loop = asyncio.get_running_loop()
            loop.call_later(PROPAGATION_MS / MS_PER_SECOND, self._check_if_behind, report.changed)

    def handle_era(self, era: int) -> None:
        """Read the table again if it was read in an era of the store before ``era``."""
        if self._at is None or self._at.era >= era:
            return
        self._at = None
        if self._is_waiting:
            self._interrupt()

    def check(self, reason: str) -> None:
        """Interrupt a wait for changes and call the store at once, over a new connection."""
        now = self._clock.now()
        just_asked = now - self._asked_at < PROPAGATION_MS
        if self._retry_ms or not self._is_waiting or just_asked:
            return
        if now - self._checked_at < CHECK_INTERVAL_MS:
            return
        self._checked_at = now
        write_line(TableRechecked(self._name, reason, self._known_version))
        self._interrupt()

    @property
    def _is_waiting(self) -> bool:
        return self._read_timeout is not None and self._read_timeout.when() is None

    @property
    def _known_version(self) -> int | None:
        return None if self._at is None else self._at.version

    def _interrupt(self) -> None:
        assert self._read_timeout is not None
        self._checking = True
        self._read_timeout.reschedule(asyncio.get_running_loop().time())

    def _check_if_behind(self, changed: StorePoint) -> None:
        if self._is_behind(changed):
            self.check(f"another instance has seen version {changed.version} of era {changed.era}")

    def _is_behind(self, changed: StorePoint) -> bool:
        return self._at is not None and self._at < changed

    async def _read_until_check(self) -> Listing[ValueT]:
        """Read from the table; raise ``TimeoutError`` if the call is interrupted for a check."""
        try:
            async with asyncio.timeout(None) as self._read_timeout:
                return await self._read()
        finally:
            self._read_timeout = None

    async def _read(self) -> Listing[ValueT]:
        self._asked_at = self._clock.now()
        self._wait_ms = self._choose_wait_ms()
        self._checking = False
        after = self._at
        if after is None:
            return await self._feed.read_all()
        listing = await self._feed.read_changes(after.version, self._wait_ms)
        if listing.era != after.era:
            raise StoreRestored(f"changes of era {listing.era} after a version of era {after.era}")
        return listing

    def _choose_wait_ms(self) -> int:
        # The call waits for a change only if the store answered the last call.
        if self._checking or self._failures or self._at is None:
            return 0
        rank = self._find_rank()
        if self._synchronized:
            return find_first_wait_ms(rank, random.random())
        return find_wait_ms(rank.instances, random.random())

    async def _handle_listing(self, listing: Listing[ValueT]) -> None:
        followed = self._at is not None
        self._answered_at = self._clock.now()
        self._failures = 0
        self._synchronized = bool(listing.entries) or not self._wait_ms
        if self._retry_ms:
            write_line(DependencyRecovered(self._name, listing.version))
            self._retry_ms = 0
            self._listener.handle_store_recovery()
        if followed:
            self._listener.handle_changes(listing)
        else:
            self._listener.handle_listing(listing)
        self._at = listing.at
        if listing.entries:
            self._changed = listing.at
        if listing.entries and followed:
            await asyncio.sleep(CHANGE_BATCH_MS / MS_PER_SECOND)

    async def _handle_unfinished(self, error: AnswerUnfinished) -> None:
        """Read the whole table instead of changes that are too long for the link.

        The changes contain every version of a row, so after many versions of a large row they are
        far longer than the table, and grow with each further one.
        """
        if self._at is None:
            await self._back_off(error)
            return
        write_line(TableChangesTooLong(self._name, str(error), self._known_version))
        self._at = None

    async def _back_off(self, error: StoreError) -> None:
        self._failures += 1
        self._log_failure(str(error))
        self._retry_ms = min(MAX_RETRY_MS, max(FIRST_RETRY_MS, 2 * self._retry_ms))
        await asyncio.sleep(self._retry_ms * (0.5 + random.random() / 2) / MS_PER_SECOND)

    def _log_failure(self, reason: str) -> None:
        if self._failures == 1:
            write_line(DependencyLost(self._name, reason))
            return
        took_ms = self._clock.now() - self._asked_at
        write_line(DependencyStillLost(self._name, reason, self._failures, took_ms))
