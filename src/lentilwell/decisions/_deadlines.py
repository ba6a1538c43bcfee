"""Deadlines: whether a request can end in time, and ending those that cannot.

Every waiting request has a timer at the last moment at which it could still start, every request in
hand one at its deadline. A timer that comes too early is set again, so an event costs only as much
as there are timers due.
"""

from __future__ import annotations

from lentilwell._failures import DeadlineExceeded, Failure, Overloaded
from lentilwell._messages import Request
from lentilwell.decisions._backlogs import sum_ahead
from lentilwell.decisions._estimates import estimate_service_ms, is_trusted
from lentilwell.decisions._fairness import find_weight
from lentilwell.decisions._queues import latest_start
from lentilwell.decisions._termination import end_request
from lentilwell.reducer import (
    Capacity,
    Effect,
    State,
    Step,
    TeamQueue,
    Waiting,
    draw,
    find_capacity,
    follows,
    replace,
)

SHORTEST_RETRY_MS = 100
JITTER_DIVISOR = 2
SAMPLE_PEERS = 16


def estimate_wait_ms(state: State, request: Request, capacity: Capacity) -> float:
    """Estimate how long a request would wait: the engine time ahead over the engines at hand.

    Ahead is what is started and not yet prefilled, and what waits, in its class and shorter ones,
    here and, by their digests, at peers; but a team never waits for more of the queue than its
    fair share of the engines takes to serve its own. Where something waits, slots or memory are
    taken, and half of what the attempts in hand hold is still to come on average.
    """
    started_ms = sum_ahead(state.model_backlogs.get(request.model), request)
    queued_ms = sum_ahead(state.queued_ms.get(request.model), request)
    if queued_ms:
        queue = state.queues.get(request.team, TeamQueue())
        weight = find_weight(state, request.team)
        others = max(0, state.waiting_weight - (queue.weight if queue.indexed else 0))
        fair_ms = sum_ahead(queue.queued_ms, request) * (weight + others) / weight
        held_ms = sum_ahead(state.model_holds.get(request.model), request) / 2
        queued_ms = held_ms + min(queued_ms, fair_ms) * count_sharers(state)
    return (started_ms + queued_ms) / capacity.engines


def count_sharers(state: State) -> float:
    """Return how many times this instance's queue waits at all instances together, by digests."""
    own = len(state.waiting)
    heard = 0
    waiting = 0
    for peer in state.peers.values():
        heard += 1
        waiting += peer.digest.waiting
        if heard == SAMPLE_PEERS:
            break
    if not heard:
        return 1.0
    return 1.0 + waiting * (len(state.peers) / heard) / max(1, own)


def find_overload(state: State, request: Request) -> Failure | None:
    """Return the refusal of a request that cannot end by its deadline by the present estimate."""
    capacity = find_capacity(state.capacities, request.team, request.model)
    if capacity is None or not is_trusted(state, request):
        return None
    wait_ms = estimate_wait_ms(state, request, capacity)
    late_ms = state.now + wait_ms + estimate_service_ms(state, request) - request.deadline_at
    return overloaded(state, late_ms) if late_ms > 0 else None


def overloaded(state: State, late_ms: float) -> Overloaded:
    """Return a refusal that asks the caller back once the queue is short enough, plus jitter."""
    after_ms = max(SHORTEST_RETRY_MS, int(late_ms))
    _, jitter_ms = draw(state.random, max(1, after_ms // JITTER_DIVISOR))
    return Overloaded(after_ms + jitter_ms)


def skip_draw(state: State) -> State:
    """Move the seed on after a draw."""
    return replace(state, random=draw(state.random, 1)[0])


@follows
def expire(state: State) -> Step:
    """Handle the timers that are due; the deadline itself always ends a request."""
    effects: tuple[Effect, ...] = ()
    while state.timers.key <= state.now:
        request_id, rest = state.timers.pop()
        state, more = check_timer(replace(state, timers=rest), request_id)
        effects += more
    return state, effects


def check_timer(state: State, request_id: str) -> Step:
    """End one request if it is late or cannot be in time any more, else set its timer again."""
    waiting = state.waiting.get(request_id)
    if waiting is not None:
        return check_waiting(state, waiting)
    attempt_id = state.in_hand.get(request_id)
    if attempt_id is None:
        return state, ()
    deadline_at = state.attempts[attempt_id].request.deadline_at
    if deadline_at <= state.now:
        return end_request(state, request_id, DeadlineExceeded())
    return replace(state, timers=state.timers.push(deadline_at, request_id)), ()


def check_waiting(state: State, waiting: Waiting) -> Step:
    """End a waiting request whose deadline has passed or has come too near to start."""
    request = waiting.request
    if request.deadline_at <= state.now:
        return end_request(state, request.request_id, DeadlineExceeded())
    due_at = latest_start(state, waiting)
    if due_at < state.now and is_trusted(state, request):
        failure = (
            overloaded(state, state.now - due_at) if never_ran(waiting) else DeadlineExceeded()
        )
        return end_request(skip_draw(state), request.request_id, failure)
    due_at = due_at if due_at > state.now else request.deadline_at
    return replace(state, timers=state.timers.push(due_at, request.request_id)), ()


def never_ran(waiting: Waiting) -> bool:
    """Tell whether no attempt of the request has ever run, so that it may be called not run."""
    return waiting.tokens == 0 and waiting.failures == 0
