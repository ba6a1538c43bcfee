"""The state of the reducer: frozen data over persistent maps, so that no event copies it all."""

from __future__ import annotations

from dataclasses import dataclass, field

from pyrsistent import PMap, PSet, PVector, pmap, pset

from lentilwell._inventory import Engine, Inventory
from lentilwell._messages import (
    Digest,
    EngineUse,
    GrantAsk,
    Identity,
    LoadReport,
    Placement,
    Request,
)
from lentilwell.reducer._capacities import Capacities
from lentilwell.reducer._fifo import Fifo
from lentilwell.reducer._heap import Heap

_MASK_64 = (1 << 64) - 1
_GOLDEN_GAMMA = 0x9E3779B97F4A7C15


@dataclass(frozen=True)
class WaitingRequest:
    """A request that waits for an engine; ``tokens`` of its answer are delivered already.

    ``cost_ms`` is the engine time that the queues' totals count for it.
    """

    request: Request
    tokens: int = 0
    failures: int = 0
    cost_ms: float = 0.0


@dataclass(frozen=True)
class Attempt:
    """A request in hand on one engine, or on a span of them; the first placement leads.

    ``cost_ms`` is the engine time charged at the start, ``alone`` says that this instance had
    nothing else to prefill on the lead then. ``prefill_ms`` is the estimate for each engine.
    """

    attempt_id: str
    request: Request
    placements: tuple[Placement, ...]
    started_at: int
    priority: int
    first_index: int
    tokens: int
    failures: int
    first_token_at: int | None = None
    resumes: int = 0
    cost_ms: float = 0.0
    prefill_ms: float = 0.0
    ends_at: int = 0
    alone: bool = False


@dataclass(frozen=True)
class EngineView:
    """What this instance knows of one engine: its own use exactly, the rest by reports."""

    spec: Engine
    own_streams: int = 0
    own_memory: int = 0
    own_backlog: int = 0
    report: LoadReport | None = None
    reported_at: int = 0
    leaving: bool = False
    failures: int = 0
    ejected_until: int = 0
    ejections: int = 0
    unreadable: int = 0
    avoided_until: int = 0
    crowded_until: int = 0
    incarnation: str = ""
    past_incarnations: tuple[str, ...] = ()
    past_reports: int = 0
    partly_prefilled: int = 0
    unclaimed_memory: int = 0
    unclaimed_streams: int = 0


@dataclass(frozen=True)
class PeerView:
    """What this instance knows of one life of a peer by its digests; ``uses`` is by engine."""

    digest: Digest
    heard_at: int
    uses: PMap[str, EngineUse] = field(default_factory=pmap)
    forgotten: bool = False


@dataclass(frozen=True)
class Timer:
    """Base of the timers; each subclass lives in the module that handles it."""


@dataclass(frozen=True)
class PendingCancel:
    """A stream that is being cancelled until its engine is known to have freed it."""

    engine: str
    stream: str
    tries: int = 0
    absent_reports: int = 0


@dataclass(frozen=True)
class PendingAsk:
    """An attempt that is booked here and waits for the owner's grant before it starts."""

    attempt_id: str
    owner: str
    asked_at: int


@dataclass(frozen=True)
class IssuedGrant:
    """Memory that this instance, as owner, has promised to a peer and not yet seen in use."""

    ask: GrantAsk
    expires_at: int


@dataclass(frozen=True)
class EngineCache:
    """The blocks that an engine has cached, by its events up to ``sequence``; 0 is stale."""

    incarnation: str
    sequence: int = 0
    blocks: PSet[int] = field(default_factory=pset)


@dataclass(frozen=True)
class LocalLeavingMark:
    """An upstream is leaving by this instance's own knowledge; holds for one incarnation."""

    incarnation: str
    marked_at: int


@dataclass(frozen=True)
class TeamQueue:
    """A team's waiting requests: per length class, the ids in order of arrival.

    ``tag`` is the virtual time at which the team's next request starts, in ms of engine time over
    weight; None before its first. ``queued_ms`` is the engine time that waits, by class.
    ``credits`` is what each waiting class is owed, ``lanes`` what the short and the long lane had.
    """

    classes: PMap[int, Fifo] = field(default_factory=pmap)
    service_ms: float = 0.0
    tag: float | None = None
    indexed: bool = False
    weight: int = 1
    queued_ms: PMap[int, float] = field(default_factory=pmap)
    credits: PMap[int, float] = field(default_factory=pmap)
    lanes: PMap[bool, float] = field(default_factory=pmap)
    stale: int = 0
    retry_percents: int = 3_200


@dataclass(frozen=True)
class LearnedRate:
    """A learned figure: its weighted mean, how many samples it has and when the last came."""

    value: float
    samples: int
    learned_at: int


@dataclass(frozen=True)
class EngineRates:
    """What one engine has shown: prefill tokens per ms by length band, decode ms per token."""

    prefill: PMap[int, LearnedRate] = field(default_factory=pmap)
    decode: LearnedRate | None = None


@dataclass(frozen=True)
class Reservation:
    """Memory of one engine kept for a long reading, which is expected to start at ``until_at``."""

    until_at: int
    request_id: str
    memory_tokens: int
    set_at: int


@dataclass(frozen=True, eq=False)
class CompletedScan:
    """The engines as they were when everything that waits had been tried, and when that was."""

    engines: PMap[str, EngineView] | None = None
    at: int = 0


@dataclass(frozen=True)
class State:
    """All that one entry instance knows. ``random`` is the seed of the next draw."""

    identity: Identity
    random: int = 1
    now: int = 0
    next_attempt: int = 1
    inventory: Inventory | None = None
    draining: bool = False
    waiting: PMap[str, WaitingRequest] = field(default_factory=pmap)
    queues: PMap[str, TeamQueue] = field(default_factory=pmap)
    attempts: PMap[str, Attempt] = field(default_factory=pmap)
    in_hand: PMap[str, str] = field(default_factory=pmap)
    engines: PMap[str, EngineView] = field(default_factory=pmap)
    by_model: PMap[str, PVector[str]] = field(default_factory=pmap)
    model_places: PMap[str, PMap[str, int]] = field(default_factory=pmap)
    peers: PMap[str, PeerView] = field(default_factory=pmap)
    timers: Heap = field(default_factory=Heap)
    digest_sequence: int = 0
    digest_due_at: int = 0
    ticked_at: int | None = None
    awake_at: int = 0
    wheel: PMap[int, PVector[Timer]] = field(default_factory=pmap)
    wheel_passed: int = 0
    by_place: PMap[tuple[str, str], PVector[str]] = field(default_factory=pmap)
    place_places: PMap[tuple[str, str], PMap[str, int]] = field(default_factory=pmap)
    by_engine: PMap[str, PSet[str]] = field(default_factory=pmap)
    peer_use: PMap[str, EngineUse] = field(default_factory=pmap)
    members_changed_at: int = 0
    cancels: PMap[str, PMap[str, PendingCancel]] = field(default_factory=pmap)
    sightings: PMap[str, PMap[str, int]] = field(default_factory=pmap)
    signs: PMap[str, int] = field(default_factory=pmap)
    ejected: PMap[str, PSet[str]] = field(default_factory=pmap)
    leaving: PMap[str, LocalLeavingMark] = field(default_factory=pmap)
    peer_marks: PMap[str, PMap[str, str]] = field(default_factory=pmap)
    asks: PMap[str, PendingAsk] = field(default_factory=pmap)
    grants: PMap[str, PMap[str, IssuedGrant]] = field(default_factory=pmap)
    held_until: PMap[str, int] = field(default_factory=pmap)
    caches: PMap[str, EngineCache] = field(default_factory=pmap)
    capacities: Capacities = field(default_factory=pmap)
    paces: PMap[str, EngineRates] = field(default_factory=pmap)
    virtual_ms: float = 0.0
    ready: Heap = field(default_factory=Heap)
    parked: Heap = field(default_factory=Heap)
    waiting_weight: int = 0
    queued_ms: PMap[str, PMap[int, float]] = field(default_factory=pmap)
    backlogs: PMap[str, PMap[int, float]] = field(default_factory=pmap)
    model_backlogs: PMap[str, PMap[int, float]] = field(default_factory=pmap)
    model_holds: PMap[str, PMap[int, float]] = field(default_factory=pmap)
    reservations: PMap[str, Reservation] = field(default_factory=pmap)
    reserved: PMap[str, tuple[str, ...]] = field(default_factory=pmap)
    scanned: CompletedScan = field(default_factory=CompletedScan)
    untried: str = ""
    raises: Heap = field(default_factory=Heap)
    raised_at: int = 0
    retry_percents: int = 6_400


def draw_random(seed: int, below: int) -> tuple[int, int]:
    """Return the next seed and a number in ``range(below)``, by the SplitMix64 generator."""
    next_seed = (seed + _GOLDEN_GAMMA) & _MASK_64
    mixed = next_seed
    mixed = ((mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9) & _MASK_64
    mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & _MASK_64
    mixed ^= mixed >> 31
    return next_seed, mixed % below
