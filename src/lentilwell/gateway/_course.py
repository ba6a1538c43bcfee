"""The course of one request: what is known of its sends, and what follows each event. Pure.

``advance`` is the only place that decides whether a request may be sent again and what the caller
is told. The central fact is ``may_have_run``: it is set the moment bytes of the request may have
reached an upstream, and cleared only by that upstream's own word that it did not run it.
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
class Course:
    """What is known of one request. ``sends`` counts the upstreams that it was sent to.

    ``delivered`` is true once the caller has the head of an answer. ``ran_before`` is true when an
    earlier upstream may have run the request, ``may_have_run`` when the present one may have.
    """

    repeat: Repeat
    most_sends: int
    sends: int = 0
    phase: Phase = Phase.PLACING
    may_have_run: bool = False
    ran_before: bool = False
    delivered: bool = False


class Ending(Enum):
    """What the caller is told at the end."""

    WHOLE = "whole"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    TIMED_OUT = "timed_out"
    CUT_OFF = "cut_off"
    CALLER_GONE = "caller_gone"


@dataclass(frozen=True)
class Sending:
    """The first byte of the request is about to be written to an upstream.

    ``anew`` is false for an upstream that has refused this request before.
    """

    anew: bool = True


@dataclass(frozen=True)
class Unreached:
    """No connection came about: nothing was written."""


@dataclass(frozen=True)
class SaidNotRun:
    """The upstream says that it did not run the request.

    ``elsewhere`` is true where another upstream, a helper, is at fault: the same one may be tried.
    """

    elsewhere: bool = False


@dataclass(frozen=True)
class Broken:
    """The connection broke, went silent or brought bytes that are no answer."""


@dataclass(frozen=True)
class AnswerBegun:
    """The head of an answer goes to the caller."""


@dataclass(frozen=True)
class AnswerWhole:
    """The answer has reached its end."""


@dataclass(frozen=True)
class NoPlace:
    """No upstream can take the request now, or no retry is allowed."""


@dataclass(frozen=True)
class TimeOver:
    """The caller's deadline or the route's timeout has passed."""


@dataclass(frozen=True)
class CallerLeft:
    """The caller closed its connection."""


Event = (
    Sending
    | Unreached
    | SaidNotRun
    | Broken
    | AnswerBegun
    | AnswerWhole
    | NoPlace
    | TimeOver
    | CallerLeft
)


@dataclass(frozen=True)
class Place:
    """Look for an upstream; ``again`` says that this is a retry, which the budget must allow."""

    again: bool


@dataclass(frozen=True)
class End:
    """Tell the caller how it ended."""

    ending: Ending


Effect = Place | End


def advance(course: Course, event: Event) -> tuple[Course, Effect | None]:
    """Apply one event and return the next state and what to do, None for going on."""
    match event:
        case Sending(anew):
            sends = course.sends + int(anew)
            return replace(course, phase=Phase.SENT, may_have_run=True, sends=sends), None
        case AnswerBegun():
            return replace(course, phase=Phase.ANSWERING, delivered=True), None
        case AnswerWhole():
            return _end(course, Ending.WHOLE)
        case CallerLeft():
            return _end(course, Ending.CALLER_GONE)
        case TimeOver():
            return _give_up(course, Ending.TIMED_OUT)
        case NoPlace():
            return _give_up(course, Ending.UNKNOWN)
        case Unreached():
            return replace(course, phase=Phase.PLACING), Place(again=course.sends > 0)
        case SaidNotRun(elsewhere):
            return _try_again(replace(course, may_have_run=False), elsewhere)
        case Broken():
            return _recover(course)


def _recover(course: Course) -> tuple[Course, Effect]:
    if course.repeat is Repeat.NEVER:
        return _give_up(course, Ending.UNKNOWN)
    if course.delivered and course.repeat is not Repeat.RESUME:
        return _give_up(course, Ending.UNKNOWN)
    return _try_again(replace(course, ran_before=True, may_have_run=False))


def _try_again(course: Course, same: bool = False) -> tuple[Course, Effect]:
    if course.sends >= course.most_sends and not same:
        return _give_up(course, Ending.UNKNOWN)
    return replace(course, phase=Phase.PLACING), Place(again=True)


def _give_up(course: Course, ending: Ending) -> tuple[Course, Effect]:
    """End with the failure that is true: cut off, not run, or the given one."""
    if course.delivered:
        return _end(course, Ending.CUT_OFF)
    if not course.may_have_run and not course.ran_before:
        return _end(course, Ending.NOT_RUN)
    return _end(course, ending)


def _end(course: Course, ending: Ending) -> tuple[Course, Effect]:
    return replace(course, phase=Phase.ENDED), End(ending)
