"""The typed messages that cross a port: requests, reports, digests and grants.

Times are milliseconds of the receiving instance's clock unless a field says otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

BYTES_PER_TOKEN = 4


def count_tokens(text: bytes) -> int:
    """Estimate the tokens of a prompt from its UTF-8 bytes, rounding up; at least one."""
    return max(1, -(-len(text) // BYTES_PER_TOKEN))


@dataclass(frozen=True)
class Identity:
    """One life of one entry instance; ``incarnation`` differs on each start of the same name."""

    instance: str
    incarnation: str
    data_centre: str

    @property
    def life(self) -> str:
        """Return the name of this one life, as the ids of its attempts begin."""
        return f"{self.instance}.{self.incarnation}"


@dataclass(frozen=True)
class Request:
    """What the decisions need to know of a caller's request; the prompt itself stays outside.

    ``prefix`` is the chain of block hashes of the prompt, already salted with the cache group.
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
        """Return the KV memory that the whole request needs, in tokens."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(frozen=True)
class Placement:
    """A share of one engine's KV memory, in tokens; the first of an attempt leads the span."""

    engine: str
    memory_tokens: int


class Cause(Enum):
    """Why an attempt failed at the engines."""

    REFUSED = "refused"
    LEAVING = "leaving"
    CONNECT = "connect"
    BROKEN = "broken"
    STALLED = "stalled"
    GAP = "gap"


@dataclass(frozen=True)
class StreamReport:
    """One stream as its engine sees it; ``owner`` is the instance, ``incarnation`` its life."""

    stream: str
    owner: str
    incarnation: str
    memory_tokens: int
    prompt_tokens: int
    prefilled_tokens: int
    generated_tokens: int

    @property
    def life(self) -> str:
        """Return the life of the instance that opened the stream."""
        return f"{self.owner}.{self.incarnation}"


@dataclass(frozen=True)
class LoadReport:
    """An engine's report of its load; it may lag behind the truth."""

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
    """An engine stored or evicted the block with this hash; sequences rise by one."""

    sequence: int
    stored: bool
    block: int


@dataclass(frozen=True)
class EngineUse:
    """What one instance has in hand on one engine: streams, booked tokens, tokens to prefill."""

    engine: str
    streams: int
    memory_tokens: int
    backlog_tokens: int


@dataclass(frozen=True)
class LeavingMark:
    """An upstream is leaving; ``incarnation`` is its life that leaves, empty where not known."""

    upstream: str
    incarnation: str


@dataclass(frozen=True)
class Digest:
    """What an instance tells its peers a few times a second. Sequences rise by one."""

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
    """Asks the owner of an engine for memory for a long reading; idempotent by ``grant_id``."""

    grant_id: str
    sender: Identity
    engine: str
    memory_tokens: int
    wait_ms: int


@dataclass(frozen=True)
class GrantAnswer:
    """The owner's answer: granted until ``valid_ms`` after its receipt, or asked again later."""

    grant_id: str
    engine: str
    granted: bool
    valid_ms: int
    retry_ms: int


class MemberKind(Enum):
    """What the platform's list can name."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True)
class Member:
    """One line of the platform's list of instances, which lags behind reality."""

    name: str
    kind: MemberKind
    address: str
    data_centre: str
    incarnation: str
    leaving: bool
