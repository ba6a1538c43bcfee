"""Everything that can happen to an instance, as frozen data. ``at`` is the clock in ms."""

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
    """Base of all events."""

    at: int


@dataclass(frozen=True)
class RequestArrived(Event):
    """A caller's request was read whole and is valid."""

    request: Request


@dataclass(frozen=True)
class CallerGone(Event):
    """The caller closed its connection before the answer was whole."""

    request_id: str


@dataclass(frozen=True)
class FirstTokenSeen(Event):
    """The first chunk of an attempt came."""

    attempt_id: str


@dataclass(frozen=True)
class ProgressSeen(Event):
    """An attempt has come this far; ``tokens`` counts all tokens the caller's answer has by now."""

    attempt_id: str
    tokens: int


@dataclass(frozen=True)
class AttemptFinished(Event):
    """An attempt delivered its last token; the answer is whole."""

    attempt_id: str
    tokens: int


@dataclass(frozen=True)
class AttemptFailed(Event):
    """An attempt failed on ``engine``; ``tokens`` counts all tokens the answer has by now."""

    attempt_id: str
    engine: str
    cause: Cause
    tokens: int


@dataclass(frozen=True)
class TickPassed(Event):
    """A short interval has passed; timers that are due fire now."""


@dataclass(frozen=True)
class LoadReported(Event):
    """An engine reported its load."""

    report: LoadReport


@dataclass(frozen=True)
class LoadUnreadable(Event):
    """An engine's report could not be read."""

    engine: str


@dataclass(frozen=True)
class CacheChanged(Event):
    """An engine published cache events; a gap in the sequence means that some were lost."""

    engine: str
    incarnation: str
    events: tuple[CacheEvent, ...]


@dataclass(frozen=True)
class DigestReceived(Event):
    """A peer sent its digest."""

    digest: Digest


@dataclass(frozen=True)
class GrantAsked(Event):
    """A peer asks for memory on an engine that this instance may own."""

    ask: GrantAsk


@dataclass(frozen=True)
class GrantAnswered(Event):
    """An owner answered this instance's ask."""

    answer: GrantAnswer


@dataclass(frozen=True)
class GrantUnanswered(Event):
    """An ask could not be delivered, or no answer came."""

    grant_id: str
    engine: str


@dataclass(frozen=True)
class InventoryAccepted(Event):
    """A configuration of a higher version was fetched and checked.

    ``changed_engines`` names the engines that differ from version ``base``; None: not known.
    """

    inventory: Inventory
    base: int = 0
    changed_engines: tuple[str, ...] | None = None


@dataclass(frozen=True)
class MembersListed(Event):
    """The platform's list was read."""

    members: tuple[Member, ...]


@dataclass(frozen=True)
class CancelConfirmed(Event):
    """An engine says that a stream is cancelled or unknown."""

    engine: str
    stream: str


@dataclass(frozen=True)
class DrainStarted(Event):
    """The instance was told to stop: it finishes what it has."""
