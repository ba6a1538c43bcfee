"""Follows a table of the store: reads it completely, then its changes.

A follower polls the store with long waits, unless other instances feed it: then their changes are
applied as they arrive, and the store is called rarely, or when a change is missing. The table is
read completely again if the store no longer has the history of changes.

The history has every version of a row. After many versions of a long row it takes far longer to
arrive than the table, and as many versions more are written meanwhile. A table with long rows is
therefore read completely whenever several of its versions may have been written.

Hundreds of instances follow the same tables, so each call waits long for a change to limit the load
on the store. A failure of the store or of the path to it is detected by the few instances whose
waits end first; the others learn of it by their reports and then check the store themselves.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Generic

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
from lentilwell.gateway.following._call_plan import CallPlan, CallReason
from lentilwell.gateway.following._position import Position
from lentilwell.gateway.following._store_contact import (
    COMPLETE_OVERDUE_MS,
    OVERDUE_MS,
    StoreContact,
)
from lentilwell.gateway.following._tables import (
    Listener,
    TableChange,
    TableReport,
    TableState,
    TableStatus,
)

# After a change, the next call is delayed by this time to read successive changes together.
CHANGE_BATCH_MS = 300
# A change reaches every follower within this time, unless the connection to the store is dead.
PROPAGATION_MS = 300
# Minimum time between two checks of the store that interrupt a wait.
CHECK_INTERVAL_MS = 1_000
# Rows from this length on are long: 32 versions of one take a small link more than a second.
LONG_ROW_BYTES = 32_768


class Follower(Generic[ValueT]):
    """Keeps one listener up to date until the task of ``run`` is cancelled.

    ``on_call`` is called with the table's name and the reason of each call, ``on_change`` after a
    change that the store sent.
    """

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
        self._position: Position[ValueT] = Position()
        self._contact = StoreContact(clock.now())
        self._read_timeout: asyncio.Timeout | None = None
        # Set if the last call ended for a reason that also ended the calls of other instances.
        self._synchronized = True
        self._checked_at = clock.now() - CHECK_INTERVAL_MS
        self._checking = False
        self._fed = False
        self._paused = False
        self._has_long_rows = False
        # Set if the last call returned changes, so that more of them may follow at once.
        self._changing = False
        # Set if the call in progress reads the whole table.
        self._complete = False
        self._wake = asyncio.Event()
        self._plan = CallPlan(clock.now())
        self.on_call: Callable[[str, CallReason], None] = lambda name, reason: None
        self.on_change: Callable[[TableChange], None] = lambda change: None

    @property
    def report(self) -> TableReport:
        """Return this instance's report of the table for its peers."""
        return TableReport(self._position.changed, bool(self._contact.retry_ms))

    @property
    def status(self) -> TableStatus:
        """Return the status of following the table."""
        return TableStatus(
            self._name,
            self._position.at,
            self._contact.answered_at,
            self._contact.asked_at,
            self._contact.wait_ms,
            self._contact.failures,
        )

    @property
    def state(self) -> TableState:
        """Return what a source tells of the table."""
        at, now = self._position.at, self._clock.now()
        recovered_at = self._contact.recovered_at
        return TableState(
            at or StorePoint(),
            self._position.changed,
            at is not None and self._contact.is_answered(now),
            None if recovered_at is None else now - recovered_at,
        )

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            await self._wait_until_due()
            asked_at = self._position.at
            try:
                listing = await self._read_until_check()
                new = self._select_new(listing, asked_at)
            except TimeoutError:
                continue  # the wait was interrupted to check the store
            except HistoryGone:
                write_line(TableHistoryUnavailable(self._name, self._known_version))
                self._position.clear()
            except StoreRestored:
                self._position.clear()
            except AnswerUnfinished as error:
                await self._handle_unfinished(error)
            except StoreError as error:
                await self._back_off(error)
            else:
                await self._handle_answer(new)

    def handle_report(self, report: TableReport) -> None:
        """Handle a peer's report: check the store if the peer is ahead or gets no answers.

        A fed follower relies on its sources for the latter, which check the store then.
        """
        if report.unavailable and not self._fed:
            self.check("the store does not answer another instance")
        elif self._position.is_behind(report.changed):
            loop = asyncio.get_running_loop()
            loop.call_later(PROPAGATION_MS / MS_PER_SECOND, self._check_if_behind, report.changed)

    def handle_era(self, era: int) -> None:
        """Read the table again if it was read in an era of the store before ``era``."""
        at = self._position.at
        if at is None or at.era >= era:
            return
        self._position.clear()
        self._wake.set()
        if self._is_waiting:
            self._interrupt()

    def check(self, reason: str) -> None:
        """Interrupt a wait for changes and call the store at once, over a new connection.

        A call that does not wait for a change is not interrupted: it fails by itself if the store
        does not answer, and a series of interrupted calls would never fail.
        """
        now = self._clock.now()
        just_asked = now - self._contact.asked_at < PROPAGATION_MS
        if self._contact.retry_ms or not self._is_waiting or just_asked:
            return
        if not self._contact.wait_ms or now - self._checked_at < CHECK_INTERVAL_MS:
            return
        self._checked_at = now
        write_line(TableRechecked(self._name, reason, self._known_version))
        self._interrupt()

    def set_fed(self, fed: bool) -> None:
        """Rely on other instances for changes, or follow the store again."""
        if fed:
            self._plan.drop_unfed()
        elif self._plan.plan_unfed(self._clock.now(), random.random()):
            self._wake.set()
        self._fed = fed

    def handle_change(self, change: TableChange) -> None:
        """Apply rows that another instance read, if none are missing before them.

        Raise ``UnreadableRow`` if they cannot be decoded.
        """
        at = self._position.at
        if at is None or not self._position.accepts(change.era, change.after, change.version):
            return
        rows = self._feed.decode_changes(change.raw, at.version)
        listing = replace(rows, version=change.version, era=change.era)
        self._listener.handle_changes(listing)
        self._position.apply_relayed(listing)

    def handle_source(self, state: TableState) -> None:
        """Handle what a source tells of the table, after its rows were applied."""
        if self._contact.record_recovery(state.recovered_ms, self._clock.now()):
            self._listener.handle_store_recovery()
        # A new era is news even if the table has no rows in it.
        newest = max(state.changed, StorePoint(state.at.era, 0))
        if not self._position.is_behind(newest):
            return
        if self._paused:
            self._plan_missing(newest)
        else:
            self.handle_report(TableReport(newest))

    @property
    def _is_waiting(self) -> bool:
        return self._read_timeout is not None and self._read_timeout.when() is None

    @property
    def _known_version(self) -> int | None:
        return None if self._position.at is None else self._position.at.version

    def _interrupt(self) -> None:
        assert self._read_timeout is not None
        self._checking = True
        self._read_timeout.reschedule(asyncio.get_running_loop().time())

    def _check_if_behind(self, changed: StorePoint) -> None:
        if not self._position.is_behind(changed):
            return
        if self._paused:
            self._plan_missing(changed)
        else:
            self.check(f"another instance has seen version {changed.version} of era {changed.era}")

    def _plan_missing(self, changed: StorePoint) -> None:
        if self._plan.plan_missing(changed, self._clock.now(), random.random()):
            self._wake.set()

    async def _wait_until_due(self) -> None:
        """Wait until the next call is due; it is at once while the follower is not fed."""
        self._paused = True
        try:
            while self._position.at is not None and not self._contact.failures:
                if not self._position.is_behind(self._plan.missing):
                    self._plan.drop_missing()
                left_ms = self._plan.find_left_ms(self._clock.now())
                if left_ms <= 0:
                    return
                self._wake.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(left_ms / MS_PER_SECOND):
                        await self._wake.wait()
        finally:
            self._paused = False

    async def _read_until_check(self) -> Listing[ValueT]:
        """Read from the table; raise ``TimeoutError`` if the call is interrupted for a check."""
        try:
            async with asyncio.timeout(None) as self._read_timeout:
                return await self._read()
        finally:
            self._read_timeout = None

    async def _read(self) -> Listing[ValueT]:
        now = self._clock.now()
        reason = self._find_reason(self._plan.begin_call(now))
        wait_ms = self._choose_wait_ms() if reason is CallReason.POLL else 0
        after = self._position.confirmed
        self._complete = after is None or (self._has_long_rows and not wait_ms)
        overdue_ms = COMPLETE_OVERDUE_MS if self._complete else OVERDUE_MS
        self._contact.begin_call(wait_ms, now, overdue_ms)
        self._checking = False
        self.on_call(self._name, reason)
        if after is None or self._complete:
            return await self._feed.read_all()
        listing = await self._feed.read_changes(after.version, wait_ms)
        if listing.era != after.era:
            raise StoreRestored(f"changes of era {listing.era} after a version of era {after.era}")
        return listing

    def _find_reason(self, planned: CallReason) -> CallReason:
        # The call waits for a change only if the store answered the last call.
        if self._position.at is None:
            return CallReason.COMPLETE
        if self._changing and self._has_long_rows:
            return CallReason.COMPLETE
        if self._contact.failures:
            return CallReason.RETRY
        if self._checking:
            return CallReason.CHECK
        return planned

    def _choose_wait_ms(self) -> int:
        rank = self._find_rank()
        if self._synchronized:
            return find_first_wait_ms(rank, random.random())
        return find_wait_ms(rank.instances, random.random())

    def _select_new(
        self, listing: Listing[ValueT], asked_at: StorePoint | None
    ) -> Listing[ValueT] | None:
        """Return the new rows of an answer, None if there is nothing to apply."""
        if asked_at is None:
            return listing
        if self._position.at is None:
            return None  # a new era has begun during the call
        if self._complete:
            outdated = self._position.is_outdated(listing, asked_at)
            return None if outdated else listing
        return self._position.select_new(listing, asked_at)

    async def _handle_answer(self, listing: Listing[ValueT] | None) -> None:
        now = self._clock.now()
        if self._contact.record_answer(now):
            version = self._known_version if listing is None else listing.version
            write_line(DependencyRecovered(self._name, version or 0))
            self._listener.handle_store_recovery()
        self._synchronized = not self._contact.wait_ms or bool(listing and listing.entries)
        self._plan.plan_next(self._fed, now, random.random())
        self._changing = False
        if listing is None:
            return
        if listing.entries:
            self._has_long_rows = listing.longest_row >= LONG_ROW_BYTES
        if self._complete:
            await self._handle_complete(listing)
        else:
            await self._handle_changes(listing)

    async def _handle_complete(self, listing: Listing[ValueT]) -> None:
        """Apply a complete listing, and pass on its version if it has changes.

        A change that was written while it arrived is read at once, and by the next call.
        """
        is_first = self._position.at is None
        before = self._position.changed
        self._listener.handle_listing(listing)
        self._position.apply_complete(listing)
        newest = self._position.changed
        if is_first or newest <= before:
            return
        # Without the versions of the rows, each reading seems to bring a change.
        self._changing = not self._fed and listing.newest_row > 0
        self.on_change(TableChange(newest.era, before.version, newest.version, b""))
        took_ms = self._clock.now() - self._contact.asked_at
        await asyncio.sleep(max(0, CHANGE_BATCH_MS - took_ms) / MS_PER_SECOND)

    async def _handle_changes(self, listing: Listing[ValueT]) -> None:
        after = self._position.complete_from
        self._listener.handle_changes(listing)
        self._position.apply_answer(listing)
        if listing.entries:
            self._changing = not self._fed
            newest = listing.newest
            self.on_change(TableChange(newest.era, after, newest.version, listing.raw))
            await asyncio.sleep(CHANGE_BATCH_MS / MS_PER_SECOND)

    async def _handle_unfinished(self, error: AnswerUnfinished) -> None:
        """Read the whole table instead of changes that are too long for the link."""
        if self._complete:
            await self._back_off(error)
            return
        write_line(TableChangesTooLong(self._name, str(error), self._known_version))
        self._has_long_rows = self._changing = True

    async def _back_off(self, error: StoreError) -> None:
        self._contact.record_failure()
        self._log_failure(str(error))
        await asyncio.sleep(self._contact.retry_ms * (0.5 + random.random() / 2) / MS_PER_SECOND)

    def _log_failure(self, reason: str) -> None:
        failures = self._contact.failures
        if failures == 1:
            write_line(DependencyLost(self._name, reason))
            return
        took_ms = self._clock.now() - self._contact.asked_at
        write_line(DependencyStillLost(self._name, reason, failures, took_ms))
