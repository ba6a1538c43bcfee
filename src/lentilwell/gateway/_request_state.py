"""State machine of one request: the state of its sends, and the effect of each event. Pure.

``advance`` is the only place that decides whether a request may be sent again and what the caller
is told. Both depend on whether an upstream may have run the request: from before the first byte is
written to it, unless it reports that it did not run the request.

A send whose upstream is silent stays open while the request is sent to another upstream. As long as
a send is open, nothing but the deadline and the caller ends the request.
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


class Outcome(Enum):
    """The final result of a request, which decides what the caller is told."""

    WHOLE = "whole"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    TIMED_OUT = "timed_out"
    CUT_OFF = "cut_off"
    CALLER_GONE = "caller_gone"


@dataclass(frozen=True)
class RequestState:
    """The state of one request.

    ``sends`` counts the upstreams that it was sent to, of which ``max_sends`` are allowed.
    ``open_sends`` counts the sends whose answer is still awaited, ``cancelled_sends`` those that
    were cancelled and may be made again. ``delivered`` is true once the
    caller has the head of an answer. ``ran_before`` is true if an upstream whose answer is no
    longer awaited may have run the request. ``outcome`` is set when the request has ended.
    """

    repeat: Repeat
    max_sends: int
    sends: int = 0
    open_sends: int = 0
    cancelled_sends: int = 0
    phase: Phase = Phase.PLACING
    ran_before: bool = False
    delivered: bool = False
    outcome: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        """Tell whether an upstream may have run the request, or may be running it."""
        return self.open_sends > 0 or self.ran_before


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
class UpstreamSilent:
    """An upstream has made no progress within the silence timeout; its send stays open.

    Comes again later if the upstream is still silent and no other one could be used.
    """


@dataclass(frozen=True)
class OtherSendsCancelled:
    """One upstream answers the caller; all other sends and placements were cancelled."""


@dataclass(frozen=True)
class ExchangeBroken:
    """The connection broke, or the answer was invalid or a failure."""


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
class RequestCondemned:
    """The request must not be sent to any upstream from now on."""


@dataclass(frozen=True)
class DeadlinePassed:
    """The caller's deadline or the route's timeout has passed."""


@dataclass(frozen=True)
class CallerDisconnected:
    """The caller closed its connection."""


@dataclass(frozen=True)
class RequestFailed:
    """An unexpected error in the gateway itself ended the request."""


Event = (
    SendStarted
    | ConnectionFailed
    | ReportedNotRun
    | UpstreamSilent
    | OtherSendsCancelled
    | ExchangeBroken
    | AnswerStarted
    | AnswerCompleted
    | NoUpstream
    | RequestCondemned
    | DeadlinePassed
    | CallerDisconnected
    | RequestFailed
)


@dataclass(frozen=True)
class ChooseUpstream:
    """Choose an upstream; ``is_retry`` is true if the retry budget must allow it.

    ``among_cancelled`` is true if only upstreams whose sends were cancelled may be chosen.
    """

    is_retry: bool
    among_cancelled: bool = False


@dataclass(frozen=True)
class Finish:
    """Tell the caller how its request ended."""

    outcome: Outcome


Effect = ChooseUpstream | Finish


def advance(state: RequestState, event: Event) -> tuple[RequestState, Effect | None]:
    """Apply one event; return the next state and the effect, None to wait for the open sends.

    After the end of the request, every event has the effect of its outcome.
    """
    if state.outcome is not None:
        return state, Finish(state.outcome)
    match event:
        case SendStarted(new_upstream):
            sends = state.sends + int(new_upstream)
            open_sends = state.open_sends + 1
            return replace(state, phase=Phase.SENT, sends=sends, open_sends=open_sends), None
        case AnswerStarted():
            return replace(state, phase=Phase.ANSWERING, delivered=True), None
        case AnswerCompleted():
            return _finish(state, Outcome.WHOLE)
        case CallerDisconnected():
            return _finish(state, Outcome.CALLER_GONE)
        case DeadlinePassed():
            return _give_up(state, Outcome.TIMED_OUT)
        case RequestFailed():
            return _give_up(state, Outcome.UNKNOWN)
        case NoUpstream() | RequestCondemned():
            return _wait_or_give_up(replace(state, phase=Phase.SENT))
        case ConnectionFailed():
            return replace(state, phase=Phase.PLACING), ChooseUpstream(is_retry=state.sends > 0)
        case UpstreamSilent():
            return _retry(state) if _may_repeat(state) else (state, None)
        case OtherSendsCancelled():
            return _cancel_other_sends(state), None
        case ReportedNotRun(helper_at_fault):
            return _retry(replace(state, open_sends=state.open_sends - 1), helper_at_fault)
        case ExchangeBroken():
            return _recover(replace(state, open_sends=state.open_sends - 1, ran_before=True))


def _may_repeat(state: RequestState) -> bool:
    """Tell whether a request that may have run may be sent again."""
    if state.repeat is Repeat.NEVER:
        return False
    return not state.delivered or state.repeat is Repeat.RESUME


def _recover(state: RequestState) -> tuple[RequestState, Effect | None]:
    """Retry a request that may have run, if the route allows it."""
    return _retry(state) if _may_repeat(state) else _wait_or_give_up(state)


def _retry(state: RequestState, same_upstream: bool = False) -> tuple[RequestState, Effect | None]:
    """Choose an upstream, unless one is being chosen or the limit on upstreams is reached."""
    if state.phase is Phase.PLACING:
        return state, None
    if state.sends < state.max_sends or same_upstream:
        return replace(state, phase=Phase.PLACING), ChooseUpstream(is_retry=True)
    if state.cancelled_sends and not state.open_sends:
        placing = replace(state, phase=Phase.PLACING, cancelled_sends=0)
        return placing, ChooseUpstream(is_retry=True, among_cancelled=True)
    return _wait_or_give_up(state)


def _cancel_other_sends(state: RequestState) -> RequestState:
    cancelled = state.open_sends - 1
    return replace(
        state,
        phase=Phase.SENT,
        open_sends=1,
        cancelled_sends=state.cancelled_sends + cancelled,
        ran_before=state.ran_before or cancelled > 0,
    )


def _wait_or_give_up(state: RequestState) -> tuple[RequestState, Effect | None]:
    """Wait for the open sends; without one, finish the request."""
    return (state, None) if state.open_sends else _give_up(state, Outcome.UNKNOWN)


def _give_up(state: RequestState, outcome: Outcome) -> tuple[RequestState, Effect]:
    """Finish a request that failed.

    ``outcome`` applies if the request may have run and no part of an answer was delivered.
    """
    if state.delivered:
        return _finish(state, Outcome.CUT_OFF)
    if not state.may_have_run:
        return _finish(state, Outcome.NOT_RUN)
    return _finish(state, outcome)


def _finish(state: RequestState, outcome: Outcome) -> tuple[RequestState, Effect]:
    return replace(state, phase=Phase.ENDED, outcome=outcome), Finish(outcome)
