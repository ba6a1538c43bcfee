"""Everything the reducer can ask for, as frozen data. Runners outside carry it out."""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell._failures import Failure
from lentilwell._messages import Digest, GrantAnswer, GrantAsk, Placement, Request


@dataclass(frozen=True)
class Effect:
    """Base of all effects."""


@dataclass(frozen=True)
class StartAttempt(Effect):
    """Open a stream on each placement; the answer goes on at token ``first_index``."""

    attempt_id: str
    request: Request
    placements: tuple[Placement, ...]
    priority: int
    first_index: int


@dataclass(frozen=True)
class ResumeAttempt(Effect):
    """Reconnect a silent attempt on a fresh connection at the next index."""

    attempt_id: str


@dataclass(frozen=True)
class CancelAttempt(Effect):
    """Stop reading an attempt; late chunks of it are dropped."""

    attempt_id: str


@dataclass(frozen=True)
class ChangePriority(Effect):
    """Tell the engines of an attempt its new priority; lower numbers run first."""

    attempt_id: str
    priority: int


@dataclass(frozen=True)
class EndRequest(Effect):
    """Answer the caller with a failure at once; nothing more follows for this request."""

    request_id: str
    failure: Failure


@dataclass(frozen=True)
class CancelStream(Effect):
    """Tell an engine to free a stream; answered by ``CancelConfirmed`` when it has."""

    engine: str
    stream: str


@dataclass(frozen=True)
class SendDigest(Effect):
    """Send this digest to every peer."""

    digest: Digest


@dataclass(frozen=True)
class AskGrant(Effect):
    """Ask the owner of an engine for memory."""

    owner: str
    ask: GrantAsk


@dataclass(frozen=True)
class AnswerGrant(Effect):
    """Answer a peer's ask."""

    peer: str
    answer: GrantAnswer


@dataclass(frozen=True)
class OrderEngine(Effect):
    """Tell an engine which models it shall hold: absolute, with a fencing number."""

    engine: str
    fence: int
    models: tuple[str, ...]
