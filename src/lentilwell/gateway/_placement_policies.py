"""Placement policies: pure functions in a registry that choose the upstream for a request.

A policy gets the usable upstreams with their loads. It returns the chosen upstream and those that
help it to read the prompt, or ``None`` if no upstream can take the request.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from lentilwell.gateway._catalog import EngineSpec
from lentilwell.gateway._load_tracker import Job, Load
from lentilwell.gateway._messages import Prompt
from lentilwell.gateway._upstreams import Upstream

# Added to the load of an upstream in another data centre, as a share of its slots.
REMOTE_LOAD_SHARE = 0.35
# The cost of a refused request, in fully loaded upstreams: the request is either sent to another
# upstream or, on the last permitted send, lost.
RETRY_COST = 1.0
LOST_REQUEST_COST = 4.0


@dataclass(frozen=True)
class Candidate:
    """An upstream that may take the request.

    ``is_local`` is true for an upstream in the data centre of this instance. ``latency_factor`` is
    the ratio of actual to specified latency, ``refusal_share`` the share of requests that the
    upstream refuses. A ``limited`` one has a rate limit, so it gets no parts of other prompts. A
    ``cold`` one is the last choice for a long prompt.
    """

    upstream: Upstream
    load: Load
    is_local: bool
    latency_factor: float = 1.0
    refusal_share: float = 0.0
    limited: bool = False
    cold: bool = False


@dataclass(frozen=True)
class PlacementRequest:
    """A request to be placed.

    ``engine`` is None for a plain service. ``objective_ms`` and ``pause_ms`` are the limits of the
    route. ``waited_ms`` is the time since the request arrived, ``now`` the time of the choice,
    ``random_point`` a random number from 0 up to 1. ``last_send`` is true if the request is lost
    when the upstream refuses it. ``expects_ends`` lets the ages of the requests at an engine tell
    when it has a free slot.
    """

    prompt: Prompt | None
    engine: EngineSpec | None
    objective_ms: int
    pause_ms: int
    waited_ms: int
    now: int
    random_point: float
    last_send: bool = False
    expects_ends: bool = False


@dataclass(frozen=True)
class Helper:
    """An upstream that reads part of a prompt.

    It also reserves ``memory_tokens`` for the prompt, or none if that is 0.
    """

    upstream: Upstream
    memory_tokens: int = 0


@dataclass(frozen=True)
class Choice:
    """The chosen upstream and the upstreams that help it to read the prompt.

    ``read_ms`` is the estimated prefill time at each of them, ``first_event_ms`` the estimated time
    from now to the first event. ``weight`` is how much being on time counts for the request
    compared with others. ``latency_factor`` is the factor of the chosen upstream on which the
    estimates are based. ``slot_wait_ms`` is the part of ``first_event_ms`` that the request waits
    for a slot; ``slots`` and ``free_slots`` are those of all upstreams that could be chosen. For a
    plain service, ``excess`` counts the requests there, with this one, that have no slot.
    """

    upstream: Upstream
    helpers: tuple[Helper, ...] = ()
    read_ms: float = 0.0
    first_event_ms: float = 0.0
    weight: float = 1.0
    latency_factor: float = 1.0
    slot_wait_ms: float = 0.0
    excess: int = 0
    slots: int = 0
    free_slots: int = 0

    @property
    def upstreams(self) -> tuple[Upstream, ...]:
        """Return the chosen upstream and its helpers, in this order."""
        return (self.upstream, *(helper.upstream for helper in self.helpers))

    @property
    def upstream_names(self) -> tuple[str, ...]:
        """Return the names of the chosen upstream and its helpers, in this order."""
        return (self.upstream.name, *(helper.upstream.name for helper in self.helpers))


def build_jobs(
    choice: Choice, name: str, memory_tokens: int, now: int, due_at: int, pause_ms: int
) -> list[Job]:
    """Return the jobs that a request starts now, one for each upstream of its choice.

    ``memory_tokens`` is what the whole request needs, ``due_at`` when its first event is due.
    """
    spread = bool(choice.helpers)
    helper_tokens = sum(helper.memory_tokens for helper in choice.helpers)
    reserved = [
        memory_tokens - helper_tokens,
        *(helper.memory_tokens for helper in choice.helpers),
    ]
    return [
        Job(
            name=name,
            upstream=upstream,
            begun_at=now,
            read_ms=choice.read_ms,
            memory_tokens=tokens,
            writes=upstream == choice.upstream.name,
            due_at=due_at,
            pause_ms=pause_ms,
            weight=choice.weight,
            spread=spread,
        )
        for upstream, tokens in zip(choice.upstream_names, reserved, strict=True)
    ]


Policy = Callable[[PlacementRequest, Sequence[Candidate]], Choice | None]
POLICIES: dict[str, Policy] = {}


def policy(name: str) -> Callable[[Policy], Policy]:
    """Return a decorator that registers a policy under a name."""

    def register(choose: Policy) -> Policy:
        POLICIES[name] = choose
        return choose

    return register


@policy("least_outstanding")
def choose_least_outstanding(
    request: PlacementRequest, candidates: Sequence[Candidate]
) -> Choice | None:
    """Choose the upstream with the fewest jobs per slot; ties are broken at random.

    Slow upstreams, those in other data centres and those that refuse requests count as more loaded.
    """
    if not candidates:
        return None
    start = int(request.random_point * len(candidates))
    rotated = [*candidates[start:], *candidates[:start]]
    best = min(rotated, key=lambda candidate: _estimate_cost(request, candidate))
    return Choice(
        best.upstream,
        excess=max(0, len(best.load.jobs) + 1 - best.upstream.slots),
        slots=sum(candidate.upstream.slots for candidate in candidates),
        free_slots=sum(
            max(0, candidate.upstream.slots - len(candidate.load.jobs)) for candidate in candidates
        ),
    )


def _estimate_cost(request: PlacementRequest, candidate: Candidate) -> float:
    """Return the cost of a candidate, in fully loaded upstreams."""
    load = len(candidate.load.jobs) / max(1, candidate.upstream.slots)
    distance = 0.0 if candidate.is_local else REMOTE_LOAD_SHARE
    refusal = candidate.refusal_share * (LOST_REQUEST_COST if request.last_send else RETRY_COST)
    return load * candidate.latency_factor + distance + refusal
