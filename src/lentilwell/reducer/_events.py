"""Events that the reducer handles, as frozen data classes."""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell._inventory import Inventory
from lentilwell._messages import (
    CacheEvent,
    Cause,
    Digest,
    GrantAnswer,
    GrantAsk,
    LoadReport,
    Member,
    Request,
)


@dataclass(frozen=True)
class Event:
    """Base class of all events; ``at`` is the time on the instance's clock in ms."""

    at: int


@dataclass(frozen=True)
class RequestArrived(Event):
    """A request of a caller was read completely and is valid."""

    request: Request


@dataclass(frozen=True)
class CallerGone(Event):
    """A caller closed its connection before its answer was complete."""

    request_id: str


@dataclass(frozen=True)
class FirstTokenSeen(Event):
    """The first chunk of an attempt arrived."""

    attempt_id: str


@dataclass(frozen=True)
class ProgressSeen(Event):
    """An attempt made progress; ``tokens`` is the length of the caller's whole answer so far."""

    attempt_id: str
    tokens: int


@dataclass(frozen=True)
class AttemptFinished(Event):
    """An attempt delivered its last token; ``tokens`` is the length of the complete answer."""

    attempt_id: str
    tokens: int


@dataclass(frozen=True)
class AttemptFailed(Event):
    """An attempt failed on ``engine``; ``tokens`` is the length of the whole answer so far."""

    attempt_id: str
    engine: str
    cause: Cause
    tokens: int


@dataclass(frozen=True)
class TickPassed(Event):
    """The periodic tick, which fires the timers that are due."""


@dataclass(frozen=True)
class LoadReported(Event):
    """An engine sent its load report."""

    report: LoadReport


@dataclass(frozen=True)
class LoadUnreadable(Event):
    """The load report of an engine could not be read."""

    engine: str


@dataclass(frozen=True)
class CacheChanged(Event):
    """An engine published cache events; a gap in their sequence means that some were lost."""

    engine: str
    incarnation: str
    events: tuple[CacheEvent, ...]


@dataclass(frozen=True)
class DigestReceived(Event):
    """A peer sent its digest."""

    digest: Digest


@dataclass(frozen=True)
class GrantAsked(Event):
    """A peer requests a grant of memory on an engine that this instance may own."""

    ask: GrantAsk


@dataclass(frozen=True)
class GrantAnswered(Event):
    """The owner of an engine answered this instance's request for a grant."""

    answer: GrantAnswer


@dataclass(frozen=True)
class GrantUnanswered(Event):
    """A request for a grant could not be delivered, or was not answered."""

    grant_id: str
    engine: str


@dataclass(frozen=True)
class InventoryAccepted(Event):
    """An inventory of a higher version was fetched and validated.

    ``changed_engines`` lists the engines that differ from version ``base``, or is None if the
    difference is unknown.
    """

    inventory: Inventory
    base: int = 0
    changed_engines: tuple[str, ...] | None = None


@dataclass(frozen=True)
class MembersListed(Event):
    """The platform's list of instances and upstreams was read."""

    members: tuple[Member, ...]


@dataclass(frozen=True)
class CancelConfirmed(Event):
    """An engine confirmed that a stream is cancelled, or that it does not know the stream."""

    engine: str
    stream: str


@dataclass(frozen=True)
class DrainStarted(Event):
    """The instance is to stop: it finishes its requests and accepts no new ones."""
