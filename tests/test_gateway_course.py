"""What may be sent again and what callers are told, whatever happens and in whatever order."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilwell.gateway._catalog import Repeat
from lentilwell.gateway._course import (
    AnswerBegun,
    AnswerWhole,
    Broken,
    CallerLeft,
    Course,
    End,
    Ending,
    NoPlace,
    Phase,
    Place,
    SaidNotRun,
    Sending,
    TimeOver,
    Unreached,
    advance,
)


def run(course, *events):
    effect = None
    for event in events:
        course, effect = advance(course, event)
    return course, effect


@pytest.mark.parametrize(
    ("repeat", "events", "expected"),
    [
        (Repeat.NEVER, [Sending(), Broken()], End(Ending.UNKNOWN)),
        (Repeat.NEVER, [Sending(), SaidNotRun()], Place(again=True)),
        (Repeat.NEVER, [Unreached()], Place(again=False)),
        (Repeat.NEVER, [Sending(), SaidNotRun(), NoPlace()], End(Ending.NOT_RUN)),
        (Repeat.NEVER, [Sending(), SaidNotRun(), Sending(), Broken()], End(Ending.UNKNOWN)),
        (Repeat.NEVER, [Sending(), TimeOver()], End(Ending.TIMED_OUT)),
        (Repeat.NEVER, [TimeOver()], End(Ending.NOT_RUN)),
        (Repeat.NEVER, [NoPlace()], End(Ending.NOT_RUN)),
        (Repeat.WHOLE, [Sending(), Broken()], Place(again=True)),
        (Repeat.WHOLE, [Sending(), Broken(), NoPlace()], End(Ending.UNKNOWN)),
        (Repeat.WHOLE, [Sending(), Broken(), Sending(), SaidNotRun()], End(Ending.UNKNOWN)),
        (Repeat.WHOLE, [Sending(), AnswerBegun(), Broken()], End(Ending.CUT_OFF)),
        (Repeat.RESUME, [Sending(), AnswerBegun(), Broken()], Place(again=True)),
        (Repeat.RESUME, [Sending(), AnswerBegun(), Broken(), NoPlace()], End(Ending.CUT_OFF)),
        (Repeat.RESUME, [Sending(), AnswerBegun(), TimeOver()], End(Ending.CUT_OFF)),
        (Repeat.RESUME, [Sending(), AnswerBegun(), AnswerWhole()], End(Ending.WHOLE)),
        (Repeat.WHOLE, [Sending(), CallerLeft()], End(Ending.CALLER_GONE)),
    ],
)
def test_what_follows(repeat, events, expected):
    assert run(Course(repeat, most_sends=2), *events)[1] == expected


@pytest.mark.parametrize("repeat", list(Repeat))
def test_no_more_upstreams_than_allowed(repeat):
    course, effect = run(Course(repeat, most_sends=2), Sending(), SaidNotRun(), Sending())
    course, effect = advance(course, SaidNotRun())
    assert effect == End(Ending.NOT_RUN)


OUTCOMES = st.sampled_from(
    ["unreached", "not_run", "broken", "begun", "begun_broken", "whole", "no_place", "time", "left"]
)


@given(st.sampled_from(list(Repeat)), st.integers(1, 4), st.lists(OUTCOMES, max_size=12))
def test_promises_hold_on_every_course(repeat, most_sends, outcomes):
    """Play a course to its end, keeping count of what really ran."""
    course, effect = Course(repeat, most_sends), Place(again=False)
    sends = perhaps_ran = 0
    for outcome in outcomes:
        if not isinstance(effect, Place):
            break
        if outcome == "no_place":
            course, effect = advance(course, NoPlace())
            continue
        if outcome == "unreached":
            course, effect = advance(course, Unreached())
            continue
        assert repeat is not Repeat.NEVER or perhaps_ran == 0
        assert not (course.delivered and repeat is Repeat.WHOLE)
        course, effect = advance(course, Sending())
        sends += 1
        perhaps_ran += outcome != "not_run"
        if outcome in ("begun", "begun_broken", "whole"):
            course, effect = advance(course, AnswerBegun())
        event = {
            "not_run": SaidNotRun(),
            "broken": Broken(),
            "begun_broken": Broken(),
            "begun": TimeOver(),
            "whole": AnswerWhole(),
            "time": TimeOver(),
            "left": CallerLeft(),
        }[outcome]
        course, effect = advance(course, event)
    assert sends <= most_sends
    if isinstance(effect, End):
        assert course.phase is Phase.ENDED
        if effect.ending is Ending.NOT_RUN:
            assert perhaps_ran == 0 and not course.delivered
        if effect.ending is Ending.WHOLE:
            assert course.delivered
        if effect.ending in (Ending.UNKNOWN, Ending.TIMED_OUT):
            assert not course.delivered
