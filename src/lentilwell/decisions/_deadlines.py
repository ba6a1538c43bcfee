"""Deadlines: refusal of requests that cannot end in time, and end of requests that are late.

Every waiting request has a timer at its latest possible start, every running request has one at its
deadline. A timer that fires too early is set again, so an event costs only as much as the timers
that are due.
"""

from __future__ import annotations

from lentilwell._failures import DeadlineExceeded, Failure, Overloaded
from lentilwell._messages import Request
from lentilwell.decisions._backlogs import sum_ahead
from lentilwell.decisions._estimates import estimate_service_ms, is_trusted
from lentilwell.decisions._fairness import find_weight
from lentilwell.decisions._queues import latest_start_at
from lentilwell.decisions._termination import end_request
from lentilwell.reducer import (
    Capacity,
    Effect,
    State,
    Step,
    TeamQueue,
    WaitingRequest,
    after_each_event,
    draw_random,
    find_capacity,
    replace,
)

MIN_RETRY_MS = 100
JITTER_DIVISOR = 2
MAX_SAMPLED_PEERS = 16


def estimate_wait_ms(state: State, request: Request, capacity: Capacity) -> float:
    """Estimate how long a request would wait: the engine time ahead of it divided by the engines.

    Ahead of it are attempts that have started and are not prefilled yet, and requests that wait
    here or, by their digests, at peers, each in its length class or a shorter one. A team waits for
    at most the time in which its fair share of the engines serves its own queue. While requests
    wait, slots or memory are fully used, and on average half of the occupancy of the running
    attempts remains.
    """
    started_ms = sum_ahead(state.model_backlogs.get(request.model), request)
    queued_ms = sum_ahead(state.queued_ms.get(request.model), request)
    if queued_ms:
        queue = state.queues.get(request.team, TeamQueue())
        weight = find_weight(state, request.team)
        other_weight = max(0, state.waiting_weight - (queue.weight if queue.indexed else 0))
        fair_share_ms = sum_ahead(queue.queued_ms, request) * (weight + other_weight) / weight
        occupancy_ms = sum_ahead(state.model_holds.get(request.model), request) / 2
        queued_ms = occupancy_ms + min(queued_ms, fair_share_ms) * estimate_queue_ratio(state)
    return (started_ms + queued_ms) / capacity.engines


def estimate_queue_ratio(state: State) -> float:
    """Return the ratio of requests waiting at all instances to those waiting at this instance.

    The digests of at most ``MAX_SAMPLED_PEERS`` peers are read; their mean is used for the other
    peers.
    """
    own_waiting = len(state.waiting)
    sampled = 0
    waiting = 0
    for peer in state.peers.values():
        sampled += 1
        waiting += peer.digest.waiting
        if sampled == MAX_SAMPLED_PEERS:
            break
    if not sampled:
        return 1.0
    return 1.0 + waiting * (len(state.peers) / sampled) / max(1, own_waiting)


def find_overload(state: State, request: Request) -> Failure | None:
    """Return the refusal of a request that is estimated to miss its deadline, or None."""
    capacity = find_capacity(state.capacities, request.team, request.model)
    if capacity is None or not is_trusted(state, request):
        return None
    wait_ms = estimate_wait_ms(state, request, capacity)
    lateness_ms = state.now + wait_ms + estimate_service_ms(state, request) - request.deadline_at
    return make_overload_failure(state, lateness_ms) if lateness_ms > 0 else None


def make_overload_failure(state: State, lateness_ms: float) -> Overloaded:
    """Return a refusal with a retry time: when the queue should be short enough, plus jitter."""
    retry_ms = max(MIN_RETRY_MS, int(lateness_ms))
    _, jitter_ms = draw_random(state.random, max(1, retry_ms // JITTER_DIVISOR))
    return Overloaded(retry_ms + jitter_ms)


def advance_random(state: State) -> State:
    """Advance the random seed after a draw."""
    return replace(state, random=draw_random(state.random, 1)[0])


@after_each_event
def handle_due_timers(state: State) -> Step:
    """Check the requests whose timers are due; a request at its deadline always ends."""
    effects: tuple[Effect, ...] = ()
    while state.timers.key <= state.now:
        request_id, rest = state.timers.pop()
        state, more_effects = check_request(replace(state, timers=rest), request_id)
        effects += more_effects
    return state, effects


def check_request(state: State, request_id: str) -> Step:
    """End a request that is late or can no longer end in time, else set its timer again."""
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


def check_waiting(state: State, waiting: WaitingRequest) -> Step:
    """End a waiting request that can no longer start in time, else set its timer again."""
    request = waiting.request
    if request.deadline_at <= state.now:
        return end_request(state, request.request_id, DeadlineExceeded())
    due_at = latest_start_at(state, waiting)
    if due_at < state.now and is_trusted(state, request):
        failure = (
            make_overload_failure(state, state.now - due_at)
            if has_never_run(waiting)
            else DeadlineExceeded()
        )
        return end_request(advance_random(state), request.request_id, failure)
    due_at = due_at if due_at > state.now else request.deadline_at
    return replace(state, timers=state.timers.push(due_at, request.request_id)), ()


def has_never_run(waiting: WaitingRequest) -> bool:
    """Return whether no attempt of a request has run, so that it may be reported as not run."""
    return waiting.tokens == 0 and waiting.failures == 0
