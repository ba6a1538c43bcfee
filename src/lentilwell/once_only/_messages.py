"""The messages of the claim protocol: rows, the phases of one attempt, inputs and actions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lentilwell._failures import (
    Failure,
)


class ClaimStatus(Enum):
    """What a claim's row says of its key.

    ``HELD``: an attempt may send or has sent. ``FINISHED``: the answer is recorded. ``UNKNOWN``:
    sent, and no answer came. ``FREE``: not run, any attempt may claim. ``RAN``: settled by an
    operator, no answer known.
    """

    HELD = "held"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    FREE = "free"
    RAN = "ran"


@dataclass(frozen=True)
class RecordedAnswer:
    """A service's whole answer; ``object_key`` names the body in the object store if not inline."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""
    object_key: str = ""


@dataclass(frozen=True)
class Claim:
    """The content of a claim's row.

    ``claimed_at`` is wall time; after the patience the attempt neither sends nor records. ``call``
    is method and path, for operators.
    """

    status: ClaimStatus
    team: str
    key: str
    request_digest: str
    attempt_id: str
    instance: str
    claimed_at: int
    patience_ms: int
    answer: RecordedAnswer | None = None
    call: str = ""


@dataclass(frozen=True)
class FoundClaim:
    """A claim's row as read; version 0 and no claim where there is no row."""

    version: int = 0
    claim: Claim | None = None


class Phase(Enum):
    """How far an attempt has come. The last four run in the background."""

    NEW = "new"
    CLAIMING = "claiming"
    READING = "reading"
    CONFIRMING = "confirming"
    CONNECTING = "connecting"
    SENT = "sent"
    RECORDING = "recording"
    RELEASING = "releasing"
    FREEING = "freeing"
    RECORDING_AGAIN = "recording_again"
    MARKING = "marking"
    DONE = "done"


@dataclass(frozen=True)
class ClaimState:
    """One attempt. ``version`` is the row version that its next write expects."""

    attempt_id: str
    request_digest: str
    deadline_at: int
    phase: Phase = Phase.NEW
    version: int = 0
    claim_writes: int = 0
    acknowledged_at: int = 0
    acknowledged_wall: int = 0
    answer: RecordedAnswer | None = None
    replied: bool = False


@dataclass(frozen=True)
class Input:
    """Base of what can happen to an attempt. ``at`` is monotonic, ``wall`` wall time, in ms."""

    at: int
    wall: int


@dataclass(frozen=True)
class Began(Input):
    """The caller's call was read whole."""


@dataclass(frozen=True)
class RowWritten(Input):
    """The write took effect; ``version`` is the row's version now."""

    version: int


@dataclass(frozen=True)
class WriteRefused(Input):
    """The row had another version than expected; nothing was written."""


@dataclass(frozen=True)
class WriteLost(Input):
    """No answer: the write took effect, or may still, or never will."""


@dataclass(frozen=True)
class WriteUnavailable(Input):
    """The table refused before it wrote; nothing was written nor will be."""


@dataclass(frozen=True)
class RowRead(Input):
    """The row was read."""

    found: FoundClaim


@dataclass(frozen=True)
class ReadFailed(Input):
    """The row could not be read or understood."""


@dataclass(frozen=True)
class Connected(Input):
    """A new connection to the service is open and not a byte has been sent on it."""


@dataclass(frozen=True)
class NotConnected(Input):
    """No connection could be opened; not a byte has left."""


@dataclass(frozen=True)
class Answered(Input):
    """The service's whole answer came."""

    answer: RecordedAnswer


@dataclass(frozen=True)
class Unanswered(Input):
    """The connection ended without a whole answer."""


@dataclass(frozen=True)
class DeadlinePassed(Input):
    """The caller's time is over; it must have a reply now."""


@dataclass(frozen=True)
class Resumed(Input):
    """The time has come to go on with what was deferred."""


@dataclass(frozen=True)
class Action:
    """Base of what an attempt can ask for."""


@dataclass(frozen=True)
class WriteRow(Action):
    """Write the row with this status if its version is ``expected_version``."""

    status: ClaimStatus
    expected_version: int
    answer: RecordedAnswer | None = None


@dataclass(frozen=True)
class ReadRow(Action):
    """Read the row."""


@dataclass(frozen=True)
class Connect(Action):
    """Open a new connection to one instance of the service."""


@dataclass(frozen=True)
class Transmit(Action):
    """Send the request on the open connection, at once."""


@dataclass(frozen=True)
class ReplyFailure(Action):
    """Give the caller a failure."""

    failure: Failure


@dataclass(frozen=True)
class ReplyAnswer(Action):
    """Give the caller the service's answer; ``replayed`` when it comes from the row."""

    answer: RecordedAnswer
    replayed: bool


@dataclass(frozen=True)
class Defer(Action):
    """Go on later in the background with ``Resumed``."""
