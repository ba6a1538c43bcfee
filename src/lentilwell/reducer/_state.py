"""State of the reducer: frozen data classes over persistent maps.

Persistent maps share their unchanged parts, so applying an event does not copy the whole state.
Times are in ms. Names that end in ``_at`` or ``_until`` are points in time on the instance's clock.
"""

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
    """A request that waits for an engine.

    ``tokens`` of its answer were already delivered by earlier attempts, and ``failures`` counts the
    attempts that broke. ``cost_ms`` is its share of the engine time in the totals of the queues.
    """

    request: Request
    tokens: int = 0
    failures: int = 0
    cost_ms: float = 0.0


@dataclass(frozen=True)
class Attempt:
    """A request that runs on one engine or on a span of engines; the first placement is primary.

    ``cost_ms`` is the engine time charged to the team at the start, and ``prefill_ms`` the
    estimated prefill time on each engine. ``alone`` means that this instance had nothing else to
    prefill on the primary engine at the start. ``ends_at`` is the estimated end.
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
    """What this instance knows about one engine.

    Its own use (``own_*``) is exact; the use by others is known from load reports. ``own_backlog``
    is the memory of its attempts that have no first token yet, in tokens.

    ``unclaimed_*`` is reported use that belongs neither to this instance nor to a known peer.
    ``partly_prefilled`` counts prompt tokens of other instances' unfinished prefills that the
    engine has processed already. ``past_reports`` counts the late reports of past incarnations
    since the last report that was accepted.

    ``failures`` and ``unreadable`` count consecutive failed attempts and unreadable reports.
    ``avoided_until`` is set after a failure or refusal; until then, or until the next report, the
    engine gets no new work. ``ejected_until`` is set after repeated failures; 0 means not ejected.
    ``crowded_until`` is set when the owner refuses a grant; until then the engine gets no request
    that needs a grant.
    """

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
    """What this instance knows about one incarnation of a peer, from its digests.

    ``uses`` is keyed by engine. ``forgotten`` means that the peer was silent for so long that its
    use of engines no longer counts.
    """

    digest: Digest
    heard_at: int
    uses: PMap[str, EngineUse] = field(default_factory=pmap)
    forgotten: bool = False


@dataclass(frozen=True)
class Timer:
    """Base class of all timers; each subclass is defined in the module that handles it."""


@dataclass(frozen=True)
class PendingCancel:
    """A cancel that is repeated until the engine is known to have freed the stream.

    ``tries`` counts the repeats, ``absent_reports`` the consecutive load reports without the
    stream.
    """

    engine: str
    stream: str
    tries: int = 0
    absent_reports: int = 0


@dataclass(frozen=True)
class PendingAsk:
    """An attempt that waits for a grant from the owner of its engine before it starts.

    Its memory is already included in this instance's own use.
    """

    attempt_id: str
    owner: str
    asked_at: int


@dataclass(frozen=True)
class IssuedGrant:
    """Memory that this instance, as owner of an engine, has granted to a peer.

    The grant counts as use until it expires; by then the peer's digest shows the use itself.
    """

    ask: GrantAsk
    expires_at: int


@dataclass(frozen=True)
class EngineCache:
    """Hashes of the prompt blocks that an engine has cached, from its events up to ``sequence``.

    A ``sequence`` of 0 means that no event has been applied.
    """

    incarnation: str
    sequence: int = 0
    blocks: PSet[int] = field(default_factory=pset)


@dataclass(frozen=True)
class OwnLeavingMark:
    """This instance's own knowledge that one incarnation of an upstream is leaving.

    An empty ``incarnation`` means that it is unknown.
    """

    incarnation: str
    marked_at: int


@dataclass(frozen=True)
class TeamQueue:
    """The waiting requests of a team, and its account of engine time.

    ``classes`` maps each length class to request ids in order of arrival. ``stale`` counts the ids
    among them whose request no longer waits. ``indexed`` means that the team is in one of the heaps
    ``ready`` and ``parked`` of the state, or has just been popped from one.

    ``service_ms`` is the engine time charged so far. ``tag`` is the virtual time at which the
    team's next request starts, in ms of engine time divided by weight; None before its first
    request. ``queued_ms`` is the engine time that the waiting requests need, by class. ``credits``
    is the engine time that each waiting class has earned while requests of other classes started.
    ``lanes`` is the recent engine time of the lane of long prompts (True) and of short ones
    (False). ``retry_percents`` is the retry budget, in percent of a retry.
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
    """Weighted mean of samples, with their number and the time of the last one."""

    value: float
    samples: int
    learned_at: int


@dataclass(frozen=True)
class EngineRates:
    """Rates learned for one engine.

    ``prefill`` is in tokens per ms, by length band of the prompt; ``decode`` is in ms per token.
    """

    prefill: PMap[int, LearnedRate] = field(default_factory=pmap)
    decode: LearnedRate | None = None


@dataclass(frozen=True)
class Reservation:
    """Memory of one engine reserved for a large waiting request.

    The request is expected to start at ``until_at``; that estimate was made at ``set_at``.
    """

    until_at: int
    request_id: str
    memory_tokens: int
    set_at: int


@dataclass(frozen=True, eq=False)
class CompletedScan:
    """The time of the last scan that tried all waiting requests, and the engines at that time.

    For a short time, while the state has the same ``engines`` map, requests that did not fit in the
    scan are not tried again.
    """

    engines: PMap[str, EngineView] | None = None
    at: int = 0


@dataclass(frozen=True)
class State:
    """The whole state of one entry instance.

    - ``random``: seed of the next random number.
    - ``waiting``, ``queues``, ``attempts``: waiting requests by id, queues by team, running
      attempts by id. ``in_hand`` maps the id of a request to that of its attempt.
    - ``by_model``, ``by_place``: engine names by model, and by model and data centre.
      ``model_places`` and ``place_places`` map each name to its position in those vectors.
    - ``by_engine``: ids of the attempts on each engine.
    - ``peers``: peers by instance and incarnation. ``peer_use``: the sum of their use, by engine.
    - ``members_changed_at``: when the set of live peers last changed, or this process resumed.
    - ``timers``: heap of request ids by the next deadline check. ``wheel``: instances of
      ``Timer`` by bucket; the buckets up to ``wheel_passed`` have fired.
    - ``ticked_at``: time of the last tick. ``awake_at``: when this process last resumed after a
      pause; the silence of others is counted from then at the earliest.
    - ``cancels``: unconfirmed cancels by engine and stream.
    - ``sightings``: by engine and stream, since when a reported stream has been unclaimed.
    - ``signs``: by incarnation of an instance, when a new stream of it last appeared in a report.
    - ``ejected``: names of the ejected engines by model.
    - ``leaving``: leaving upstreams, as this instance knows itself. ``peer_marks``: by upstream and
      incarnation of a peer, which incarnation of the upstream that peer reported as leaving.
    - ``asks``: attempts that wait for a grant. ``grants``: grants issued to peers, by engine or by
      the group of engines that a span uses.
    - ``held_until``: until when a request must not be placed, by request.
    - ``paces``: learned rates by engine; the empty name stands for all engines together.
    - ``virtual_ms``: current virtual time of fair queueing. ``ready`` and ``parked``: heaps of the
      teams with waiting requests by tag; no request of a parked team fitted at the last try.
      ``waiting_weight`` is the sum of the weights of these teams.
    - ``queued_ms``: engine time of the waiting requests, by model and length class.
    - ``backlogs``, ``model_backlogs``: prefill time of the attempts without a first token, by
      engine and by model, each by length class. ``model_holds``: the engine time beyond prefill of
      the running attempts, by model and length class.
    - ``reservations``: by engine. ``reserved``: the engines reserved for each request.
    - ``scanned``: the last scan of all waiting requests. ``untried``: id of the request queued
      last, until it is tried.
    - ``raises``: heap of attempt ids by the time of the next priority change. ``raised_at``: when
      priorities were last changed.
    - ``retry_percents``: retry budget of the instance, in percent of a retry.
    """

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
    leaving: PMap[str, OwnLeavingMark] = field(default_factory=pmap)
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
    """Return the next seed and a random number in ``range(below)``, using SplitMix64."""
    next_seed = (seed + _GOLDEN_GAMMA) & _MASK_64
    mixed = next_seed
    mixed = ((mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9) & _MASK_64
    mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & _MASK_64
    mixed ^= mixed >> 31
    return next_seed, mixed % below
