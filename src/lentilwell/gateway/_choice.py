"""Which upstream takes a request: policies in a registry, each a pure function.

A policy sees the upstreams that may be used, with their loads, and returns the chosen one with
those that help it to read. ``None`` means that no upstream can take the request.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from lentilwell.gateway._books import Job, Load
from lentilwell.gateway._catalog import EngineSpec
from lentilwell.gateway._messages import Prompt
from lentilwell.gateway._upstreams import Upstream

# The share of a far upstream's slots that count as taken.
OTHER_DATA_CENTRE_SHARE = 0.35
# What a request that is turned away costs, in full upstreams: it is placed again, or lost.
PLACED_AGAIN_COST = 1.0
LOST_COST = 4.0


@dataclass(frozen=True)
class Candidate:
    """An upstream that may take the request.

    ``pace`` is how slow it is, 1 as specified, ``refusing`` the share of requests that it turns
    away.
    """

    upstream: Upstream
    load: Load
    near: bool
    pace: float = 1.0
    refusing: float = 0.0


@dataclass(frozen=True)
class Wish:
    """What is to be placed; ``engine`` is None for a plain service.

    ``waited_ms`` is the time since the request arrived, ``now`` the moment of the choice, ``point``
    a random number from 0 up to 1. ``last_send`` tells that a request which is turned away is lost.
    """

    prompt: Prompt | None
    engine: EngineSpec | None
    objective_ms: int
    pause_ms: int
    waited_ms: int
    now: int
    point: float
    last_send: bool = False


@dataclass(frozen=True)
class Helper:
    """An upstream that reads a part; it also keeps ``memory_tokens`` of the prompt, if any."""

    upstream: Upstream
    memory_tokens: int = 0


@dataclass(frozen=True)
class Choice:
    """The chosen upstream, those that help it to read, and the estimate of each one's reading.

    ``first_event_ms`` is the estimate of the time to the first event from now on, ``weight`` what
    the request counts against others, ``pace`` how slow the chosen upstream was taken to be.
    """

    upstream: Upstream
    helpers: tuple[Helper, ...] = ()
    read_ms: float = 0.0
    first_event_ms: float = 0.0
    weight: float = 1.0
    pace: float = 1.0

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of all upstreams concerned, the chosen one first."""
        return (self.upstream.name, *(helper.upstream.name for helper in self.helpers))


def list_jobs(
    choice: Choice, name: str, memory_tokens: int, now: int, due_at: int, pause_ms: int
) -> list[Job]:
    """Return the work that a request begins now at each upstream of a choice, for the books.

    ``memory_tokens`` is what the whole request needs, ``due_at`` when its first event is due.
    """
    spread = bool(choice.helpers)
    kept = sum(helper.memory_tokens for helper in choice.helpers)
    held = [memory_tokens - kept, *(helper.memory_tokens for helper in choice.helpers)]
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
        for upstream, tokens in zip(choice.names, held, strict=True)
    ]


Policy = Callable[[Wish, Sequence[Candidate]], Choice | None]
POLICIES: dict[str, Policy] = {}


def policy(name: str) -> Callable[[Policy], Policy]:
    """Register a policy under a name."""

    def register(choose: Policy) -> Policy:
        POLICIES[name] = choose
        return choose

    return register


@policy("least_outstanding")
def choose_least_outstanding(wish: Wish, candidates: Sequence[Candidate]) -> Choice | None:
    """Take the upstream with the fewest jobs for its slots; far ones as if busier than they are."""
    if not candidates:
        return None
    start = int(wish.point * len(candidates))
    turned = [*candidates[start:], *candidates[:start]]
    best = min(turned, key=lambda candidate: _cost(wish, candidate))
    return Choice(best.upstream)


def _cost(wish: Wish, candidate: Candidate) -> float:
    """Return what a candidate costs, in full upstreams."""
    busy = len(candidate.load.jobs) / max(1, candidate.upstream.slots)
    far = 0.0 if candidate.near else OTHER_DATA_CENTRE_SHARE
    refused = candidate.refusing * (LOST_COST if wish.last_send else PLACED_AGAIN_COST)
    return busy * candidate.pace + far + refused
