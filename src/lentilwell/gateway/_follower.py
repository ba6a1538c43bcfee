"""Follows a table: reads it whole once, then its changes, and begins anew where history is lost.

Load that this answers: hundreds of instances that follow the same tables. Calls to the store are
dear, so each waits long for a change. That the store or the path to it has failed is then found by
few, whose waits end at different moments; the others hear of it and look for themselves.
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
    DependencyRegained,
    DependencyStillLost,
    TableChecked,
    TableHistoryGone,
    write_line,
)
from lentilwell.gateway._failures import HistoryGone, StoreError, StoreRestored
from lentilwell.gateway._ports import Feed, Listing, ValueT
from lentilwell.gateway._store_point import StorePoint
from lentilwell.gateway._store_waits import Place, find_first_wait_ms, find_wait_ms

FIRST_PAUSE_MS = 50
LONGEST_PAUSE_MS = 800
# Changes that come one after another are read together.
GATHER_MS = 300
# A change reaches all that follow within this time, or the connection is dead.
NEWS_SPREAD_MS = 300
CHECK_INTERVAL_MS = 1_000


@dataclass(frozen=True)
class TableNews:
    """What an instance knows of a table: where the store stood at its last change.

    ``away`` tells that the store does not answer it.
    """

    changed: StorePoint = field(default_factory=StorePoint)
    away: bool = False


@dataclass(frozen=True)
class TableStatus:
    """How following a table goes; times in ms of the clock.

    ``at`` is where the store stood as known, None before a whole reading. ``answered_at`` is when
    the store last answered, ``asked_at`` when the call under way began, and ``wait_ms`` for how
    long it asked the store to wait for a change. ``failures`` counts the tries since that answer.
    """

    name: str
    at: StorePoint | None
    answered_at: int | None
    asked_at: int
    wait_ms: int
    failures: int


class Listener(Protocol[ValueT]):
    """What is told of a table."""

    def take_all(self, listing: Listing[ValueT]) -> None:
        """The whole table was read."""

    def take_changes(self, listing: Listing[ValueT]) -> None:
        """Some rows changed."""

    def note_regained(self) -> None:
        """The store answers again after an outage."""


class Follower(Generic[ValueT]):
    """Keeps one listener up to date until it is cancelled."""

    def __init__(
        self,
        name: str,
        feed: Feed[ValueT],
        listener: Listener[ValueT],
        clock: Clock,
        find_place: Callable[[], Place] = Place,
    ) -> None:
        self._name = name
        self._feed = feed
        self._listener = listener
        self._clock = clock
        self._find_place = find_place
        self._at: StorePoint | None = None
        self._changed = StorePoint()
        self._pause_ms = 0
        self._reading: asyncio.Timeout | None = None
        self._asked_at = clock.now()
        self._answered_at: int | None = None
        self._wait_ms = 0
        # The last call ended for a reason that ended those of other instances too.
        self._in_step = True
        self._failures = 0
        self._checked_at = clock.now() - CHECK_INTERVAL_MS
        self._checking = False

    @property
    def news(self) -> TableNews:
        """Return what this instance can tell others of the table."""
        return TableNews(self._changed, bool(self._pause_ms))

    @property
    def status(self) -> TableStatus:
        """Return how following the table goes."""
        return TableStatus(
            self._name,
            self._at,
            self._answered_at,
            self._asked_at,
            self._wait_ms,
            self._failures,
        )

    async def run(self) -> None:
        """Follow the table for good."""
        while True:
            try:
                listing = await self._read_until_check()
            except TimeoutError:
                continue  # a check was asked for
            except HistoryGone:
                write_line(TableHistoryGone(self._name, self._known_version))
                self._at = None
            except StoreRestored:
                self._at = None
            except StoreError as error:
                await self._back_off(error)
            else:
                await self._take(listing)

    def hear(self, news: TableNews) -> None:
        """Take what another instance knows: look anew if it knows more, or finds the store away."""
        if news.away:
            self.check("another instance finds the store away")
        elif self._is_behind(news.changed):
            loop = asyncio.get_running_loop()
            loop.call_later(NEWS_SPREAD_MS / MS_PER_SECOND, self._check_if_behind, news.changed)

    def restore(self, era: int) -> None:
        """The store has begun an era: a wait for changes of an older one is of no use."""
        if self._at is None or self._at.era >= era:
            return
        self._at = None
        if self._waiting:
            self._break_off()

    def check(self, reason: str) -> None:
        """Break off a wait for changes and ask the store at once, over a new connection."""
        now = self._clock.now()
        just_asked = now - self._asked_at < NEWS_SPREAD_MS
        if self._pause_ms or not self._waiting or just_asked:
            return
        if now - self._checked_at < CHECK_INTERVAL_MS:
            return
        self._checked_at = now
        write_line(TableChecked(self._name, reason, self._known_version))
        self._break_off()

    @property
    def _waiting(self) -> bool:
        return self._reading is not None and self._reading.when() is None

    @property
    def _known_version(self) -> int | None:
        return None if self._at is None else self._at.version

    def _break_off(self) -> None:
        assert self._reading is not None
        self._checking = True
        self._reading.reschedule(asyncio.get_running_loop().time())

    def _check_if_behind(self, changed: StorePoint) -> None:
        if self._is_behind(changed):
            self.check(f"another instance has seen version {changed.version} of era {changed.era}")

    def _is_behind(self, changed: StorePoint) -> bool:
        return self._at is not None and self._at < changed

    async def _read_until_check(self) -> Listing[ValueT]:
        """Read; raise ``TimeoutError`` where a check is asked for meanwhile."""
        try:
            async with asyncio.timeout(None) as self._reading:
                return await self._read()
        finally:
            self._reading = None

    async def _read(self) -> Listing[ValueT]:
        self._asked_at = self._clock.now()
        self._wait_ms = self._choose_wait_ms()
        self._checking = False
        after = self._at
        if after is None:
            return await self._feed.read_all()
        listing = await self._feed.read_changes(after.version, self._wait_ms)
        if listing.era != after.era:
            raise StoreRestored(f"changes of era {listing.era} after a point of era {after.era}")
        return listing

    def _choose_wait_ms(self) -> int:
        # Only a store that has answered the last call is trusted with a long wait.
        if self._checking or self._failures or self._at is None:
            return 0
        place = self._find_place()
        if self._in_step:
            return find_first_wait_ms(place, random.random())
        return find_wait_ms(place.of, random.random())

    async def _take(self, listing: Listing[ValueT]) -> None:
        followed = self._at is not None
        self._answered_at = self._clock.now()
        self._failures = 0
        self._in_step = bool(listing.entries) or not self._wait_ms
        if self._pause_ms:
            write_line(DependencyRegained(self._name, listing.version))
            self._pause_ms = 0
            self._listener.note_regained()
        if followed:
            self._listener.take_changes(listing)
        else:
            self._listener.take_all(listing)
        self._at = listing.at
        if listing.entries:
            self._changed = listing.at
        if listing.entries and followed:
            await asyncio.sleep(GATHER_MS / MS_PER_SECOND)

    async def _back_off(self, error: StoreError) -> None:
        self._failures += 1
        self._log_failure(str(error))
        self._pause_ms = min(LONGEST_PAUSE_MS, max(FIRST_PAUSE_MS, 2 * self._pause_ms))
        await asyncio.sleep(self._pause_ms * (0.5 + random.random() / 2) / MS_PER_SECOND)

    def _log_failure(self, reason: str) -> None:
        if self._failures == 1:
            write_line(DependencyLost(self._name, reason))
            return
        took_ms = self._clock.now() - self._asked_at
        write_line(DependencyStillLost(self._name, reason, self._failures, took_ms))
