"""Effects that the reducer can request, as frozen data classes; registered runners execute them."""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell._failures import Failure
from lentilwell._messages import Digest, GrantAnswer, GrantAsk, Placement, Request


@dataclass(frozen=True)
class Effect:
    """Base class of all effects."""


@dataclass(frozen=True)
class StartAttempt(Effect):
    """Open a stream on the engine of each placement; the answer continues at ``first_index``."""

    attempt_id: str
    request: Request
    placements: tuple[Placement, ...]
    priority: int
    first_index: int


@dataclass(frozen=True)
class ResumeAttempt(Effect):
    """Reconnect a stalled attempt over a new connection, from its next token on."""

    attempt_id: str


@dataclass(frozen=True)
class CancelAttempt(Effect):
    """Stop reading the streams of an attempt; chunks that still arrive are discarded."""

    attempt_id: str


@dataclass(frozen=True)
class ChangePriority(Effect):
    """Send the new priority of an attempt to its engines; lower numbers run first."""

    attempt_id: str
    priority: int


@dataclass(frozen=True)
class EndRequest(Effect):
    """Answer the caller with a failure immediately; this is the last effect for the request."""

    request_id: str
    failure: Failure


@dataclass(frozen=True)
class CancelStream(Effect):
    """Ask an engine to free a stream; the event ``CancelConfirmed`` follows once it has."""

    engine: str
    stream: str


@dataclass(frozen=True)
class SendDigest(Effect):
    """Send a digest to every peer."""

    digest: Digest


@dataclass(frozen=True)
class AskGrant(Effect):
    """Send a request for a grant of memory to the instance that owns an engine."""

    owner: str
    ask: GrantAsk


@dataclass(frozen=True)
class AnswerGrant(Effect):
    """Answer a peer's request for a grant."""

    peer: str
    answer: GrantAnswer


@dataclass(frozen=True)
class OrderEngine(Effect):
    """Set the complete list of models that an engine is to load.

    ``fence`` is a fencing number, by which the engine can reject an order older than one it has
    already applied.
    """

    engine: str
    fence: int
    models: tuple[str, ...]
