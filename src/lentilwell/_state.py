"""The state of the reducer: frozen data over persistent maps, so that no event copies it all."""

from __future__ import annotations

from dataclasses import dataclass, field

from pyrsistent import PDeque, PMap, PVector, pdeque, pmap, pvector

from lentilwell._inventory import Engine, Inventory
from lentilwell._messages import Digest, Identity, LoadReport, Placement, Request

_MASK_64 = (1 << 64) - 1
_GOLDEN_GAMMA = 0x9E3779B97F4A7C15


@dataclass(frozen=True)
class Waiting:
    """A request that waits for an engine; ``tokens`` of its answer are delivered already."""

    request: Request
    tokens: int = 0
    failures: int = 0


@dataclass(frozen=True)
class Attempt:
    """A request in hand on one engine, or on a span of them; the first placement leads."""

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


@dataclass(frozen=True)
class PeerView:
    """What this instance knows of one peer by its digests."""

    digest: Digest
    heard_at: int


@dataclass(frozen=True)
class TeamQueue:
    """A team's waiting requests: per length class, the ids in order of arrival."""

    classes: PMap[int, PDeque[str]] = field(default_factory=pmap)
    service_ms: float = 0.0


@dataclass(frozen=True)
class State:
    """All that one entry instance knows. ``random`` is the seed of the next draw."""

    identity: Identity
    random: int = 1
    now: int = 0
    next_attempt: int = 1
    inventory: Inventory | None = None
    draining: bool = False
    waiting: PMap[str, Waiting] = field(default_factory=pmap)
    queues: PMap[str, TeamQueue] = field(default_factory=pmap)
    attempts: PMap[str, Attempt] = field(default_factory=pmap)
    in_hand: PMap[str, str] = field(default_factory=pmap)
    engines: PMap[str, EngineView] = field(default_factory=pmap)
    by_model: PMap[str, PVector[str]] = field(default_factory=pmap)
    model_places: PMap[str, PMap[str, int]] = field(default_factory=pmap)
    peers: PMap[str, PeerView] = field(default_factory=pmap)
    deadlines: PMap[int, PVector[str]] = field(default_factory=pmap)
    digest_sequence: int = 0


def draw(state_random: int, below: int) -> tuple[int, int]:
    """Return the next seed and a number in ``range(below)``, by the SplitMix64 generator."""
    seed = (state_random + _GOLDEN_GAMMA) & _MASK_64
    mixed = seed
    mixed = ((mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9) & _MASK_64
    mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & _MASK_64
    mixed ^= mixed >> 31
    return seed, mixed % below


def empty_queue() -> PDeque[str]:
    """Return an empty queue of request ids."""
    return pdeque()


def empty_ids() -> PVector[str]:
    """Return an empty vector of request ids."""
    return pvector()
