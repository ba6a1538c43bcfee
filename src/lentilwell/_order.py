"""Which waiting request runs next: length classes, and order policies that a rule selects.

Within one team and one length class requests wait in order of arrival, so a policy compares only
the heads of the classes. A policy returns a score; the lowest runs first.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lentilwell._messages import Request

OrderPolicy = Callable[["Candidate"], float]
ORDERS: dict[str, OrderPolicy] = {}


@dataclass(frozen=True)
class Candidate:
    """The head of one class: the request, the clock and the estimate of its service, in ms."""

    request: Request
    now: int
    estimate_ms: float


def length_class(prompt_tokens: int) -> int:
    """Return the class of a prompt: the whole part of the base-2 logarithm of its tokens."""
    return max(1, prompt_tokens).bit_length() - 1


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
    """Run the request with the shortest estimate first; long ones may starve."""
    return candidate.estimate_ms


@order("earliest_deadline")
def score_earliest_deadline(candidate: Candidate) -> float:
    """Run the request with the nearest deadline first."""
    return float(candidate.request.deadline_at)


@order("response_ratio")
def score_response_ratio(candidate: Candidate) -> float:
    """Run the highest (wait + estimate) / estimate first, so that nothing starves."""
    wait_ms = candidate.now - candidate.request.arrived_at
    return -(wait_ms + candidate.estimate_ms) / candidate.estimate_ms
