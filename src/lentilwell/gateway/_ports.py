"""What the gateway needs from outside: a dialect on the wire and feeds of a store."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

import h11

from lentilwell.gateway._catalog import Catalog
from lentilwell.gateway._eras import EraTracker
from lentilwell.gateway._messages import (
    AnswerHead,
    Envelope,
    Facts,
    Headers,
    InboundRequest,
    Lease,
    Order,
)
from lentilwell.gateway._peers import Membership
from lentilwell.gateway._store_point import StorePoint
from lentilwell.gateway._upstreams import Upstream

ValueT = TypeVar("ValueT")


@dataclass(frozen=True)
class Entry(Generic[ValueT]):
    """A row of a table, decoded. ``value`` is None where it was removed or cannot be read."""

    key: str
    value: ValueT | None
    removed: bool = False


@dataclass(frozen=True)
class Listing(Generic[ValueT]):
    """Rows of a table as of one moment; ``version`` is where the changes after it begin.

    ``era`` counts the times that the store came back from an older copy.
    """

    entries: tuple[Entry[ValueT], ...]
    version: int
    era: int = 0

    @property
    def at(self) -> StorePoint:
        """Return the moment of the store."""
        return StorePoint(self.era, self.version)


class Feed(Protocol[ValueT]):
    """A table that can be read whole and followed. Failures are ``StoreError`` classes."""

    async def read_all(self) -> Listing[ValueT]:
        """Return all rows."""

    async def read_changes(self, after: int, wait_ms: int) -> Listing[ValueT]:
        """Return the rows changed after a version; wait up to ``wait_ms`` for the first."""


class Dialect(Protocol):
    """How callers and upstreams name things in their headers."""

    def read_facts(self, request: InboundRequest) -> Facts:
        """Return what the caller tells of its request; raise ``ValueError`` for nonsense."""

    def write_headers(self, request: InboundRequest, envelope: Envelope) -> Headers:
        """Return the headers of the request for an upstream."""

    def read_head(self, response: h11.Response) -> AnswerHead:
        """Return the head of an upstream's answer."""

    def write_reserve(self, lease: Lease) -> Order:
        """Return the order that sets memory aside, or renews the lease of a ticket."""

    def write_release(self, lease: Lease) -> Order:
        """Return the order that gives the memory of a ticket back."""


@dataclass(frozen=True)
class Feeds:
    """The tables that the gateway follows, and the list of its instances.

    ``eras`` tells of the store's restores, whichever of them meets one.
    """

    catalog: Feed[Catalog]
    upstreams: Feed[Upstream]
    membership: Membership
    eras: EraTracker = field(default_factory=EraTracker)
