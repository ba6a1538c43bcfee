"""Progress, completion and failure of attempts, with resumption and retries after a failure."""

from __future__ import annotations

from lentilwell._failures import UpstreamFailed
from lentilwell._messages import Cause
from lentilwell.decisions._backlogs import remove_backlog
from lentilwell.decisions._cancellations import cancel_streams
from lentilwell.decisions._deferrals import defer_request
from lentilwell.decisions._estimates import learn_prefill
from lentilwell.decisions._health import record_failure, record_refusal, record_success
from lentilwell.decisions._leaving import mark_leaving
from lentilwell.decisions._queues import enqueue
from lentilwell.decisions._retry_budget import spend_retry
from lentilwell.decisions._termination import end_request, release_attempt, stop_attempt
from lentilwell.reducer import (
    Attempt,
    AttemptFailed,
    AttemptFinished,
    FirstTokenSeen,
    ProgressSeen,
    ResumeAttempt,
    State,
    Step,
    WaitingRequest,
    handles,
    replace,
)

MAX_FAILURES = 3
MAX_RESUMES = 2
SPAN_DEFERRAL_MS = 200


@handles(FirstTokenSeen)
def record_first_token(state: State, event: FirstTokenSeen) -> Step:
    """Record the end of the prefill and subtract its tokens from the engines' backlogs."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None or attempt.first_token_at is not None:
        return state, ()
    engines = state.engines
    for share in attempt.placements:
        view = engines.get(share.engine)
        if view is not None:
            view = replace(view, own_backlog=view.own_backlog - share.memory_tokens)
            engines = engines.set(share.engine, view)
    state = remove_backlog(state, attempt)
    attempt = replace(attempt, first_token_at=state.now)
    attempts = state.attempts.set(event.attempt_id, attempt)
    state = replace(state, engines=engines, attempts=attempts)
    return learn_prefill(record_successes(state, attempt), attempt), ()


@handles(ProgressSeen)
def record_progress(state: State, event: ProgressSeen) -> Step:
    """Record how many tokens of the answer have been received."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        return state, ()
    attempt = replace(attempt, tokens=max(attempt.tokens, event.tokens))
    return replace(state, attempts=state.attempts.set(event.attempt_id, attempt)), ()


@handles(AttemptFinished)
def finish_attempt(state: State, event: AttemptFinished) -> Step:
    """Release a completed attempt.

    For a span, also cancel the streams on the engines after the primary, so that these free the
    memory of their segments.
    """
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        return state, ()
    state = record_successes(release_attempt(state, event.attempt_id, event.tokens), attempt)
    segments = (share.engine for share in attempt.placements[1:])
    return cancel_streams(state, segments, event.attempt_id)


@handles(AttemptFailed)
def handle_attempt_failure(state: State, event: AttemptFailed) -> Step:
    """Handle the failure of an attempt by its cause.

    A stalled attempt is resumed on a new connection, up to ``MAX_RESUMES`` times. If the engine did
    not run the attempt, the request is requeued without using the retry budget. Otherwise the
    request is retried within its limits or ended.
    """
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None or event.attempt_id in state.asks:
        return state, ()
    attempt = replace(attempt, tokens=max(attempt.tokens, event.tokens))
    if event.cause is Cause.STALLED and attempt.resumes < MAX_RESUMES:
        attempt = replace(attempt, resumes=attempt.resumes + 1)
        state = replace(state, attempts=state.attempts.set(event.attempt_id, attempt))
        return state, (ResumeAttempt(event.attempt_id),)
    state = replace(state, attempts=state.attempts.set(event.attempt_id, attempt))
    if event.cause is Cause.LEAVING:
        view = state.engines.get(event.engine)
        state = mark_leaving(state, event.engine, view.incarnation if view is not None else "")
        return requeue_refused_attempt(state, attempt)
    if event.cause is Cause.REFUSED:
        return requeue_refused_attempt(record_refusal(state, event.engine), attempt)
    state = record_failure(state, event.engine)
    if event.cause is Cause.CONNECT and attempt.first_token_at is None:
        return requeue_refused_attempt(state, attempt)
    return retry_broken_attempt(state, event.attempt_id)


def requeue_refused_attempt(state: State, attempt: Attempt) -> Step:
    """Put a request that an engine did not run back at the front of the queue.

    A request on a span is also deferred, so that two spans do not collide again.
    """
    state, effects = stop_attempt(state, attempt.attempt_id)
    if len(attempt.placements) > 1:
        state = defer_request(state, attempt.request.request_id, SPAN_DEFERRAL_MS)
    waiting = WaitingRequest(attempt.request, attempt.tokens, attempt.failures)
    return enqueue(state, waiting, at_front=True), effects


def retry_broken_attempt(state: State, attempt_id: str) -> Step:
    """Requeue the request of a broken attempt, within ``MAX_FAILURES`` and the retry budget.

    If either is exhausted, the request ends with a failure.
    """
    attempt = state.attempts[attempt_id]
    request = attempt.request
    failures = attempt.failures + 1
    allowed = False
    if failures < MAX_FAILURES:
        state, allowed = spend_retry(state, request.team)
    if not allowed:
        return end_request(state, request.request_id, UpstreamFailed())
    state, effects = stop_attempt(state, attempt_id)
    waiting = WaitingRequest(request, attempt.tokens, failures)
    return enqueue(state, waiting, at_front=True), effects


def record_successes(state: State, attempt: Attempt) -> State:
    """Record a success for each engine of an attempt."""
    for share in attempt.placements:
        state = record_success(state, share.engine)
    return state
