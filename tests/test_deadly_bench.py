"""The bench of deadly requests: its callers, its counts and its table."""

import random

import pytest

from bench.deadly_requests import (
    CASES,
    DeadlyFigures,
    Outcome,
    SoundFigures,
    format_outcome,
    is_rule_broken,
    summarize,
)
from lentilwell._clock import ManualClock
from standins.deadly_load import DEADLY, FIRST, SECOND, TEAM, Call, Case, DeadlyLoad
from standins.deadly_requests import DeadlyRecord
from standins.received_request import ReceivedRequest
from standins.restarting_fleet import RESTART_S

CASE = CASES["body"]


def make_load(case=CASE):
    clock = ManualClock()
    record = DeadlyRecord(clock, {case.make_deadly(name): name for name in DEADLY})
    return DeadlyLoad(case, record, random.Random(1), clock, "h", {}, lambda: ())


def receive(load, content, request_id, crashes=True):
    request = ReceivedRequest(
        content.path, {"tenant": content.team, "request-id": request_id}, content.body
    )
    load.record.record_request(request)
    if crashes:
        load.record.record_crash(request, 2)


def test_arrivals_are_late_from_the_contact_time_after_the_third_crash_on():
    load = make_load()
    first = load.case.make_deadly(FIRST)
    for number, at in enumerate((1_000, 2_000, 3_000, 4_500, 4_501, 9_000)):
        load.clock.advance(at - load.clock.now())
        receive(load, first, f"r{number}")
    receive(load, load.case.make_sound(1), "r9", crashes=False)
    outcome = summarize(load)
    assert outcome.deadly == [DeadlyFigures(FIRST, 6, 6, 2), DeadlyFigures(SECOND, 0, 0, 0)]
    assert outcome.cut == 12 and outcome.most_sends == 1
    assert load.find_begin(1_500) is None
    receive(load, load.case.make_deadly(SECOND), "r10")
    assert load.find_begin(1_500) == 9_000 + 1_500 + RESTART_S * 1_000


def test_another_team_or_another_body_is_another_request():
    load = make_load()
    contents = [load.case.make_deadly(name) for name in DEADLY]
    contents += [load.case.make_sound(number) for number in range(20)]
    assert len({content.path for content in contents}) == 1
    assert len(set(contents)) == len(contents)
    deadly = ReceivedRequest(contents[0].path, {"tenant": TEAM}, contents[0].body)
    assert load.record.is_deadly(deadly)
    assert not load.record.is_deadly(ReceivedRequest(deadly.path, {"tenant": "t"}, deadly.body))
    assert not load.record.is_deadly(ReceivedRequest("/other", {"tenant": TEAM}, deadly.body))


@pytest.mark.parametrize(
    ("status", "retry_after", "figures"),
    [
        (200, None, SoundFigures(1, 1, 0)),
        (503, "600", SoundFigures(1, 0, 1)),
        (503, "0.5", SoundFigures(1, 0, 0)),
        (502, None, SoundFigures(1, 0, 0)),
    ],
)
def test_sound_requests_count_as_served_refused_for_long_or_failed(status, retry_after, figures):
    load = make_load()
    load.calls.append(Call(1, load.case.make_sound(1), status, True, retry_after))
    load.calls.append(Call(1, load.case.make_deadly(FIRST), 503, True, "600"))
    assert summarize(load).sound == figures


def make_outcome(late=0, served=95, most_sends=1):
    deadly = [DeadlyFigures(name, 3, 3, late) for name in DEADLY]
    return Outcome(deadly, SoundFigures(200, 150, 10), SoundFigures(100, served, 5), 7, most_sends)


@pytest.mark.parametrize(
    ("outcome", "kind", "broken"),
    [
        (make_outcome(late=3), "whole", False),
        (make_outcome(late=4), "whole", True),
        (make_outcome(served=89), "whole", True),
        (make_outcome(most_sends=2), "whole", False),
        (make_outcome(most_sends=2), "once", True),
    ],
)
def test_rule_is_about_late_arrivals_sound_requests_and_second_sends(outcome, kind, broken):
    assert is_rule_broken(outcome, Case(kind)) == broken


def test_table_has_a_line_for_each_deadly_request_and_for_the_sound_ones():
    lines = format_outcome(make_outcome(late=2))
    assert [line.split() for line in lines[1:3]] == [[name, "3", "3", "2"] for name in DEADLY]
    assert lines[4].split() == ["all", "200", "150", "10", "40"]
    assert lines[5].split() == ["later", "100", "95", "5", "0"]
