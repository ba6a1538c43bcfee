"""Order of a team's waiting requests: length classes, and policies that the rules select.

Within one team and one length class requests wait in order of arrival, so a policy compares only
the first request of each class. A policy returns a score; the request with the lowest score runs
first.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from pyrsistent import PMap, pmap

from lentilwell._messages import Request
from lentilwell.decisions._estimates import estimate_service_ms, length_class
from lentilwell.reducer import State, TeamQueue, WaitingRequest, replace

OrderPolicy = Callable[["Candidate"], float]
ORDERS: dict[str, OrderPolicy] = {}
CREDIT_SHARE = 0.05
OVERDUE_BONUS = 1e9
LONG_LANE_MIN_TOKENS = 32_768
LONG_LANE_SHARE = 0.5
TIE_BREAK_WEIGHT = 1e-9


@dataclass(frozen=True)
class Candidate:
    """The first request of one length class, with the current time and its service estimate in ms.

    ``overdue`` means that the credit of the class covers the engine time that the request needs.
    ``lane_ms`` is the engine time that the lane of the request, short or long, has used recently.
    """

    request: Request
    now: int
    estimate_ms: float
    overdue: bool = False
    lane_ms: float = 0.0


def order(name: str) -> Callable[[OrderPolicy], OrderPolicy]:
    """Register an order policy under the name that the rules use."""

    def register(policy: OrderPolicy) -> OrderPolicy:
        ORDERS[name] = policy
        return policy

    return register


@order("first_come")
def score_first_come(candidate: Candidate) -> float:
    """Run the oldest request first."""
    return float(candidate.request.arrived_at)


@order("shortest_first")
def score_shortest_first(candidate: Candidate) -> float:
    """Run the request with the shortest service estimate first; long ones may starve."""
    return candidate.estimate_ms


@order("earliest_deadline")
def score_earliest_deadline(candidate: Candidate) -> float:
    """Run the request with the earliest deadline first."""
    return float(candidate.request.deadline_at)


@order("response_ratio")
def score_response_ratio(candidate: Candidate) -> float:
    """Run the highest (wait + estimate) / estimate first, but overdue requests before all others.

    The ratio alone starves a long request if short ones arrive faster than they are served, because
    their ratios grow faster.
    """
    wait_ms = candidate.now - candidate.request.arrived_at
    ratio = (wait_ms + candidate.estimate_ms) / candidate.estimate_ms
    return -(ratio + (OVERDUE_BONUS if candidate.overdue else 0.0))


@order("fixed_lanes")
def score_fixed_lanes(candidate: Candidate) -> float:
    """Run the lane that is furthest below its fixed share, and in it the oldest request first."""
    is_long_lane = is_long(candidate.request)
    share = LONG_LANE_SHARE if is_long_lane else 1.0 - LONG_LANE_SHARE
    return candidate.lane_ms / share + candidate.request.arrived_at * TIE_BREAK_WEIGHT


def is_long(request: Request) -> bool:
    """Return whether a request belongs to the lane of long prompts."""
    return request.prompt_tokens >= LONG_LANE_MIN_TOKENS


def rank_heads(state: State, queue: TeamQueue, heads: list[WaitingRequest]) -> list[WaitingRequest]:
    """Return the first requests of a team's classes, best first by the order policy."""
    assert state.inventory is not None
    score = ORDERS[state.inventory.rules.order]
    ranked: list[tuple[float, int, WaitingRequest]] = []
    for waiting in heads:
        prompt_class = length_class(waiting.request.prompt_tokens)
        ranked.append(
            (score(make_candidate(state, queue, prompt_class, waiting)), prompt_class, waiting)
        )
    ranked.sort(key=lambda entry: entry[:2])
    return [waiting for _, _, waiting in ranked]


def make_candidate(
    state: State, queue: TeamQueue, prompt_class: int, waiting: WaitingRequest
) -> Candidate:
    """Return the first request of a class as the order policies see it."""
    request = waiting.request
    return Candidate(
        request,
        state.now,
        estimate_service_ms(state, request, waiting.tokens),
        queue.credits.get(prompt_class, 0.0) >= waiting.cost_ms,
        queue.lanes.get(is_long(request), 0.0),
    )


def update_credits(state: State, request: Request, cost_ms: float) -> State:
    """Credit the other waiting classes of a team when one of its requests starts.

    Each waiting class earns ``CREDIT_SHARE`` of the engine time that its team uses. Once the credit
    covers the cost of the first request of the class, that request is overdue. This bounds the wait
    of the request, whatever else arrives: until then the team uses at most the cost of the request
    divided by ``CREDIT_SHARE``.
    """
    queue = state.queues[request.team]
    started_class = length_class(request.prompt_tokens)
    credits = queue.credits
    for prompt_class in queue.classes:
        if prompt_class != started_class:
            credits = credits.set(
                prompt_class, credits.get(prompt_class, 0.0) + cost_ms * CREDIT_SHARE
            )
    if started_class in credits:
        credits = credits.set(started_class, max(0.0, credits[started_class] - cost_ms))
    queue = replace(queue, credits=credits, lanes=update_lanes(queue, request, cost_ms))
    return replace(state, queues=state.queues.set(request.team, queue))


def update_lanes(queue: TeamQueue, request: Request, cost_ms: float) -> PMap[bool, float]:
    """Add a start to its lane if the other lane has waiting requests, else reset both lanes."""
    lane = is_long(request)
    boundary = length_class(LONG_LANE_MIN_TOKENS)
    if not any((prompt_class >= boundary) != lane for prompt_class in queue.classes):
        return pmap()
    return queue.lanes.set(lane, queue.lanes.get(lane, 0.0) + cost_ms)
