"""Follows a table: reads it whole once, then its changes, and begins anew where history is lost."""

from __future__ import annotations

import asyncio
import random
from typing import Generic, Protocol

from lentilwell._log_lines import (
    DependencyLost,
    DependencyRegained,
    TableHistoryGone,
    write_line,
)
from lentilwell.gateway._failures import HistoryGone, StoreError
from lentilwell.gateway._ports import Feed, Listing, ValueT

FIRST_PAUSE_MS = 50
LONGEST_PAUSE_MS = 800


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

    def __init__(self, name: str, feed: Feed[ValueT], listener: Listener[ValueT]) -> None:
        self._name = name
        self._feed = feed
        self._listener = listener
        self._version: int | None = None
        self._pause_ms = 0

    async def run(self) -> None:
        """Follow the table for good."""
        while True:
            try:
                listing = await self._read()
            except HistoryGone:
                write_line(TableHistoryGone(self._name, self._version))
                self._version = None
            except StoreError as error:
                await self._back_off(error)
            else:
                self._take(listing)

    async def _read(self) -> Listing[ValueT]:
        if self._version is None:
            return await self._feed.read_all()
        return await self._feed.read_changes(self._version)

    def _take(self, listing: Listing[ValueT]) -> None:
        if self._pause_ms:
            write_line(DependencyRegained(self._name, listing.version))
            self._pause_ms = 0
            self._listener.note_regained()
        if self._version is None:
            self._listener.take_all(listing)
        else:
            self._listener.take_changes(listing)
        self._version = listing.version

    async def _back_off(self, error: StoreError) -> None:
        if not self._pause_ms:
            write_line(DependencyLost(self._name, str(error)))
        self._pause_ms = min(LONGEST_PAUSE_MS, max(FIRST_PAUSE_MS, 2 * self._pause_ms))
        await asyncio.sleep(self._pause_ms * (0.5 + random.random() / 2) / 1_000)
