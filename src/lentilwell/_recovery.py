"""The course of attempts: progress, end, failure and what follows a failure."""

from __future__ import annotations

from dataclasses import replace

from lentilwell._backlogs import remove_backlog
from lentilwell._effects import CancelStream, ResumeAttempt
from lentilwell._ending import end_request, release, stop_attempt
from lentilwell._errors import UpstreamFailed
from lentilwell._estimates import learn_prefill
from lentilwell._events import (
    AttemptFailed,
    AttemptFinished,
    FirstTokenSeen,
    LoadReported,
    ProgressSeen,
)
from lentilwell._messages import Cause
from lentilwell._queues import enqueue
from lentilwell._reducer import Step, handles
from lentilwell._state import State, Waiting

MAXIMUM_FAILURES = 3
MAXIMUM_RESUMES = 2
AVOID_MS = 250


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
    return learn_prefill(state, attempt), ()


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
    """The answer is whole: give back what was booked."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        return state, ()
    segments = attempt.placements[1:]
    frees = tuple(CancelStream(share.engine, event.attempt_id) for share in segments)
    return release(state, event.attempt_id, event.tokens), frees


@handles(AttemptFailed)
def recover(state: State, event: AttemptFailed) -> Step:
    """Resume a silent attempt on a fresh connection; else go on elsewhere, or give up."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        return state, ()
    if event.cause is Cause.STALLED and attempt.resumes < MAXIMUM_RESUMES:
        attempt = replace(attempt, resumes=attempt.resumes + 1)
        state = replace(state, attempts=state.attempts.set(event.attempt_id, attempt))
        return state, (ResumeAttempt(event.attempt_id),)
    refused = event.cause in (Cause.REFUSED, Cause.LEAVING)
    failures = attempt.failures if refused else attempt.failures + 1
    if failures >= MAXIMUM_FAILURES:
        request_id = attempt.request.request_id
        return end_request(state, request_id, UpstreamFailed())
    state = avoid_engine(release(state, event.attempt_id), event.engine)
    again = Waiting(attempt.request, max(attempt.tokens, event.tokens), failures)
    return enqueue(state, again, at_front=True), stop_attempt(attempt)


def avoid_engine(state: State, name: str) -> State:
    """Place nothing on an engine for a short while after it refused or failed."""
    view = state.engines.get(name)
    if view is None:
        return state
    view = replace(view, ejected_until=state.now + AVOID_MS)
    return replace(state, engines=state.engines.set(name, view))


@handles(LoadReported)
def note_report(state: State, event: LoadReported) -> Step:
    """Keep the newest report of an engine."""
    view = state.engines.get(event.report.engine)
    if view is None:
        return state, ()
    view = replace(view, report=event.report, reported_at=state.now, leaving=event.report.leaving)
    return replace(state, engines=state.engines.set(event.report.engine, view)), ()
