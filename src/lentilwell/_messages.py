"""The messages that pass through ports: requests, reports, digests and grants.

Unless stated otherwise, times are in milliseconds of the clock of the instance that receives the
message.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

BYTES_PER_TOKEN = 4


def count_tokens(text: bytes) -> int:
    """Estimate the number of tokens of a prompt from its UTF-8 bytes: rounded up, at least 1."""
    return max(1, -(-len(text) // BYTES_PER_TOKEN))


@dataclass(frozen=True)
class Identity:
    """The identity of an entry instance. ``incarnation`` differs on each start of the instance."""

    instance: str
    incarnation: str
    data_centre: str

    @property
    def incarnation_id(self) -> str:
        """Return the id of this incarnation, with which the ids of its attempts begin."""
        return f"{self.instance}.{self.incarnation}"


@dataclass(frozen=True)
class Request:
    """The properties of a caller's request on which decisions depend, without the prompt itself.

    ``prefix`` contains the chained block hashes of the prompt, salted with the cache group.
    """

    request_id: str
    team: str
    model: str
    prompt_tokens: int
    answer_tokens: int
    arrived_at: int
    deadline_at: int
    prefix: tuple[int, ...] = ()

    @property
    def memory_tokens(self) -> int:
        """Return the KV memory that the request needs for its prompt and answer, in tokens."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(frozen=True)
class Placement:
    """A share of an engine's KV memory, in tokens.

    An attempt has one placement for each of its engines, the primary engine's first.
    """

    engine: str
    memory_tokens: int


class Cause(Enum):
    """The reason why an attempt failed at its engines."""

    REFUSED = "refused"
    LEAVING = "leaving"
    CONNECT = "connect"
    BROKEN = "broken"
    STALLED = "stalled"
    GAP = "gap"


@dataclass(frozen=True)
class StreamReport:
    """A stream as its engine reports it.

    ``owner`` and ``incarnation`` identify the instance that opened the stream.
    """

    stream: str
    owner: str
    incarnation: str
    memory_tokens: int
    prompt_tokens: int
    prefilled_tokens: int
    generated_tokens: int

    @property
    def incarnation_id(self) -> str:
        """Return the id of the incarnation that opened the stream."""
        return f"{self.owner}.{self.incarnation}"


@dataclass(frozen=True)
class LoadReport:
    """The load of an engine as it reported it, which may be outdated."""

    engine: str
    incarnation: str
    sequence: int
    leaving: bool
    memory_tokens: int
    memory_used: int
    slots: int
    streams: tuple[StreamReport, ...]
    models: tuple[str, ...]


@dataclass(frozen=True)
class CacheEvent:
    """An engine stored or evicted the block with this hash. Sequence numbers increase by 1."""

    sequence: int
    stored: bool
    block: int


@dataclass(frozen=True)
class EngineUse:
    """The streams, reserved KV memory and tokens still to prefill of one instance on one engine."""

    engine: str
    streams: int
    memory_tokens: int
    backlog_tokens: int


@dataclass(frozen=True)
class LeavingMark:
    """States that an upstream is leaving. ``incarnation`` is empty if it is not known."""

    upstream: str
    incarnation: str


@dataclass(frozen=True)
class Digest:
    """The state that an instance sends to its peers several times a second.

    Sequence numbers increase by 1.
    """

    sender: Identity
    sequence: int
    configuration: int
    leaving: bool
    uses: tuple[EngineUse, ...]
    leaving_upstreams: tuple[LeavingMark, ...]
    waiting: int
    waiting_tokens: int


@dataclass(frozen=True)
class GrantAsk:
    """A request to the owner of an engine for memory for a long prefill.

    Repeated requests with the same ``grant_id`` are idempotent.
    """

    grant_id: str
    sender: Identity
    engine: str
    memory_tokens: int
    wait_ms: int


@dataclass(frozen=True)
class GrantAnswer:
    """The answer of an engine's owner to a ``GrantAsk``.

    A grant is valid for ``valid_ms`` after its receipt. A request that is not granted may be
    repeated after ``retry_ms``.
    """

    grant_id: str
    engine: str
    granted: bool
    valid_ms: int
    retry_ms: int


class MemberKind(Enum):
    """The kind of an entry in the platform's list of instances."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True)
class Member:
    """An entry in the platform's list of instances, which may be outdated."""

    name: str
    kind: MemberKind
    address: str
    data_centre: str
    incarnation: str
    leaving: bool
