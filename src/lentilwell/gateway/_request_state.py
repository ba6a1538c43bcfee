"""State machine of one request: the state of its sends, and the effect of each event. Pure.

``advance`` is the only place that decides whether a request may be sent again and what the caller
is told. Both depend on ``may_have_run``. It is set before the first byte of the request is written
to an upstream, and cleared only when that upstream reports that it did not run the request.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from lentilwell.gateway._catalog import Repeat


class Phase(Enum):
    """How far a request has come."""

    PLACING = "placing"
    SENT = "sent"
    ANSWERING = "answering"
    ENDED = "ended"


@dataclass(frozen=True)
class RequestState:
    """The state of one request.

    ``sends`` counts the upstreams that it was sent to, of which ``max_sends`` are allowed.
    ``delivered`` is true once the caller has the head of an answer. ``ran_before`` is true if an
    earlier upstream may have run the request, ``may_have_run`` if the current one may have.
    """

    repeat: Repeat
    max_sends: int
    sends: int = 0
    phase: Phase = Phase.PLACING
    may_have_run: bool = False
    ran_before: bool = False
    delivered: bool = False


class Outcome(Enum):
    """The final result of a request, which decides what the caller is told."""

    WHOLE = "whole"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    TIMED_OUT = "timed_out"
    CUT_OFF = "cut_off"
    CALLER_GONE = "caller_gone"


@dataclass(frozen=True)
class SendStarted:
    """The first byte of the request is about to be written to an upstream.

    ``new_upstream`` is false if the request was sent to this upstream before.
    """

    new_upstream: bool = True


@dataclass(frozen=True)
class ConnectionFailed:
    """No byte of the request was written, because no connection could be used."""


@dataclass(frozen=True)
class ReportedNotRun:
    """The upstream says that it did not run the request.

    ``helper_at_fault`` is true if the cause is a helper: the same upstream may be tried again.
    """

    helper_at_fault: bool = False


@dataclass(frozen=True)
class ExchangeBroken:
    """The connection broke or went silent, or the answer was invalid or a failure."""


@dataclass(frozen=True)
class AnswerStarted:
    """The head of an answer goes to the caller."""


@dataclass(frozen=True)
class AnswerCompleted:
    """The answer has reached its end."""


@dataclass(frozen=True)
class NoUpstream:
    """No upstream can take the request now, or no retry is allowed."""


@dataclass(frozen=True)
class DeadlinePassed:
    """The caller's deadline or the route's timeout has passed."""


@dataclass(frozen=True)
class CallerDisconnected:
    """The caller closed its connection."""


Event = (
    SendStarted
    | ConnectionFailed
    | ReportedNotRun
    | ExchangeBroken
    | AnswerStarted
    | AnswerCompleted
    | NoUpstream
    | DeadlinePassed
    | CallerDisconnected
)


@dataclass(frozen=True)
class ChooseUpstream:
    """Choose an upstream; ``is_retry`` is true if the retry budget must allow it."""

    is_retry: bool


@dataclass(frozen=True)
class Finish:
    """Tell the caller how its request ended."""

    outcome: Outcome


Effect = ChooseUpstream | Finish


def advance(state: RequestState, event: Event) -> tuple[RequestState, Effect | None]:
    """Apply one event; return the next state and the effect, or None if the send goes on."""
    match event:
        case SendStarted(new_upstream):
            sends = state.sends + int(new_upstream)
            return replace(state, phase=Phase.SENT, may_have_run=True, sends=sends), None
        case AnswerStarted():
            return replace(state, phase=Phase.ANSWERING, delivered=True), None
        case AnswerCompleted():
            return _finish(state, Outcome.WHOLE)
        case CallerDisconnected():
            return _finish(state, Outcome.CALLER_GONE)
        case DeadlinePassed():
            return _give_up(state, Outcome.TIMED_OUT)
        case NoUpstream():
            return _give_up(state, Outcome.UNKNOWN)
        case ConnectionFailed():
            return replace(state, phase=Phase.PLACING), ChooseUpstream(is_retry=state.sends > 0)
        case ReportedNotRun(helper_at_fault):
            return _retry(replace(state, may_have_run=False), helper_at_fault)
        case ExchangeBroken():
            return _recover(state)


def _recover(state: RequestState) -> tuple[RequestState, Effect]:
    """Retry a request that may have run, if the route allows it."""
    if state.repeat is Repeat.NEVER:
        return _give_up(state, Outcome.UNKNOWN)
    if state.delivered and state.repeat is not Repeat.RESUME:
        return _give_up(state, Outcome.UNKNOWN)
    return _retry(replace(state, ran_before=True, may_have_run=False))


def _retry(state: RequestState, same_upstream: bool = False) -> tuple[RequestState, Effect]:
    """Choose an upstream again, if the limit on upstreams allows it."""
    if state.sends >= state.max_sends and not same_upstream:
        return _give_up(state, Outcome.UNKNOWN)
    return replace(state, phase=Phase.PLACING), ChooseUpstream(is_retry=True)


def _give_up(state: RequestState, outcome: Outcome) -> tuple[RequestState, Effect]:
    """Finish a request that failed.

    ``outcome`` applies if the request may have run and no part of an answer was delivered.
    """
    if state.delivered:
        return _finish(state, Outcome.CUT_OFF)
    if not state.may_have_run and not state.ran_before:
        return _finish(state, Outcome.NOT_RUN)
    return _finish(state, outcome)


def _finish(state: RequestState, outcome: Outcome) -> tuple[RequestState, Effect]:
    return replace(state, phase=Phase.ENDED), Finish(outcome)
