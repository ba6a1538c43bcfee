"""The course of attempts: progress, end, failure and what follows a failure."""

from __future__ import annotations

from lentilwell._failures import UpstreamFailed
from lentilwell._messages import Cause
from lentilwell.decisions._backlogs import remove_backlog
from lentilwell.decisions._cancels import cancel_streams
from lentilwell.decisions._ending import end_request, release, stop_attempt
from lentilwell.decisions._estimates import learn_prefill
from lentilwell.decisions._health import note_failure, note_refusal, note_success
from lentilwell.decisions._holds import hold_request
from lentilwell.decisions._leaving import mark_leaving
from lentilwell.decisions._queues import enqueue
from lentilwell.decisions._retries import take_retry
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

MAXIMUM_FAILURES = 3
MAXIMUM_RESUMES = 2
SPAN_RETRY_MS = 200


@handles(FirstTokenSeen)
def note_first_token(state: State, event: FirstTokenSeen) -> Step:
    """The prefill is over: take its tokens off the engines' backlog."""
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
    return learn_prefill(note_successes(state, attempt), attempt), ()


@handles(ProgressSeen)
def note_progress(state: State, event: ProgressSeen) -> Step:
    """Remember how far the answer has come."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        return state, ()
    attempt = replace(attempt, tokens=max(attempt.tokens, event.tokens))
    return replace(state, attempts=state.attempts.set(event.attempt_id, attempt)), ()


@handles(AttemptFinished)
def finish_attempt(state: State, event: AttemptFinished) -> Step:
    """The answer is whole: give back what was booked, and free the segments of a span."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        return state, ()
    state = note_successes(release(state, event.attempt_id, event.tokens), attempt)
    segments = (share.engine for share in attempt.placements[1:])
    return cancel_streams(state, segments, event.attempt_id)


@handles(AttemptFailed)
def recover(state: State, event: AttemptFailed) -> Step:
    """Resume a silent attempt on a fresh connection; else go on elsewhere, or give up."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None or event.attempt_id in state.asks:
        return state, ()
    attempt = replace(attempt, tokens=max(attempt.tokens, event.tokens))
    if event.cause is Cause.STALLED and attempt.resumes < MAXIMUM_RESUMES:
        attempt = replace(attempt, resumes=attempt.resumes + 1)
        state = replace(state, attempts=state.attempts.set(event.attempt_id, attempt))
        return state, (ResumeAttempt(event.attempt_id),)
    state = replace(state, attempts=state.attempts.set(event.attempt_id, attempt))
    if event.cause is Cause.LEAVING:
        view = state.engines.get(event.engine)
        state = mark_leaving(state, event.engine, view.incarnation if view is not None else "")
        return refuse_attempt(state, attempt)
    if event.cause is Cause.REFUSED:
        return refuse_attempt(note_refusal(state, event.engine), attempt)
    state = note_failure(state, event.engine)
    if event.cause is Cause.CONNECT and attempt.first_token_at is None:
        return refuse_attempt(state, attempt)
    return lose_attempt(state, event.attempt_id)


def refuse_attempt(state: State, attempt: Attempt) -> Step:
    """Put a request back of which an engine took nothing; a span waits, so that two do not race."""
    state, effects = stop_attempt(state, attempt.attempt_id)
    if len(attempt.placements) > 1:
        state = hold_request(state, attempt.request.request_id, SPAN_RETRY_MS)
    again = WaitingRequest(attempt.request, attempt.tokens, attempt.failures)
    return enqueue(state, again, at_front=True), effects


def lose_attempt(state: State, attempt_id: str) -> Step:
    """Let a request whose attempt broke go on elsewhere, within its bound and the retry budget."""
    attempt = state.attempts[attempt_id]
    request = attempt.request
    failures = attempt.failures + 1
    allowed = False
    if failures < MAXIMUM_FAILURES:
        state, allowed = take_retry(state, request.team)
    if not allowed:
        return end_request(state, request.request_id, UpstreamFailed())
    state, effects = stop_attempt(state, attempt_id)
    again = WaitingRequest(request, attempt.tokens, failures)
    return enqueue(state, again, at_front=True), effects


def note_successes(state: State, attempt: Attempt) -> State:
    """Every engine of the attempt worked."""
    for share in attempt.placements:
        state = note_success(state, share.engine)
    return state
