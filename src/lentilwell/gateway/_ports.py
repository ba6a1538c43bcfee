"""Interfaces that the embedding program implements: header conventions and store tables."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

import h11

from lentilwell.gateway._catalog import Catalog
from lentilwell.gateway._eras import EraTracker
from lentilwell.gateway._messages import (
    AnswerHead,
    Envelope,
    Headers,
    InboundRequest,
    Lease,
    MemoryOrder,
    RequestFacts,
)
from lentilwell.gateway._peers import Membership
from lentilwell.gateway._store_point import StorePoint
from lentilwell.gateway._upstreams import Upstream
from lentilwell.gateway.evacuation import EvacuationOrder

ValueT = TypeVar("ValueT")
# The values of the operator's table.
OperatorRow = Catalog | EvacuationOrder


@dataclass(frozen=True)
class Entry(Generic[ValueT]):
    """A decoded row of a table. ``value`` is None if it was removed or cannot be decoded."""

    key: str
    value: ValueT | None
    removed: bool = False


@dataclass(frozen=True)
class Listing(Generic[ValueT]):
    """Rows of a table at one version of the store.

    ``version`` is the position from which later changes can be read. ``era`` is the number of times
    that the store has been restored from an older copy. ``newest_row`` is the version of the newest
    of the rows, 0 if it is not known, and ``longest_row`` the length in bytes of the longest one
    that could be decoded. ``raw`` is the rows of ``Feed.read_changes`` in a form for
    ``Feed.decode_changes`` of other instances, empty if there is none.
    """

    entries: tuple[Entry[ValueT], ...]
    version: int
    era: int = 0
    newest_row: int = 0
    raw: bytes = b""
    longest_row: int = 0

    @property
    def at(self) -> StorePoint:
        """Return the era and the version as one value that can be compared."""
        return StorePoint(self.era, self.version)

    @property
    def newest(self) -> StorePoint:
        """Return the era and the version of the newest row, of the listing if it is not known."""
        return StorePoint(self.era, self.newest_row or self.version)


class Feed(Protocol[ValueT]):
    """A table that can be read and followed. Methods raise subclasses of ``StoreError``."""

    async def read_all(self) -> Listing[ValueT]:
        """Return all rows."""

    async def read_changes(self, after: int, wait_ms: int) -> Listing[ValueT]:
        """Return the rows changed after version ``after``; wait up to ``wait_ms`` for a change."""

    def decode_changes(self, raw: bytes, after: int) -> Listing[ValueT]:
        """Return the rows in the ``raw`` of another instance's listing, without version and era.

        Rows that are known to be written at version ``after`` or before are left out. Raise
        ``UnreadableRow`` if ``raw`` is invalid.
        """


class Dialect(Protocol):
    """The header and message conventions of callers and upstreams."""

    def read_facts(self, request: InboundRequest) -> RequestFacts:
        """Parse the caller's headers; raise ``ValueError`` if one is invalid."""

    def write_headers(self, request: InboundRequest, envelope: Envelope) -> Headers:
        """Return the headers with which a request is forwarded to an upstream."""

    def read_head(self, response: h11.Response) -> AnswerHead:
        """Parse the status and the headers of an upstream's answer."""

    def write_reserve(self, lease: Lease) -> MemoryOrder:
        """Return the order that reserves memory for a lease, or renews the lease if it exists."""

    def write_release(self, lease: Lease) -> MemoryOrder:
        """Return the order that releases the memory of a lease."""


@dataclass(frozen=True)
class Feeds:
    """The store tables that the gateway follows, and the list of its instances.

    All of them share ``eras``, which reports a restore of the store to the gateway.
    ``find_evacuated`` returns the data centre that a row of the operator's table with this key
    evacuates, whatever the value of the row, and None for all other keys.
    """

    catalog: Feed[OperatorRow]
    upstreams: Feed[Upstream]
    membership: Membership
    eras: EraTracker = field(default_factory=EraTracker)
    find_evacuated: Callable[[str], str | None] = lambda key: None
