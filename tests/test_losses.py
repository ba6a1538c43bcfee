"""Tests of ``lentilwell losses``, which counts late and unserved requests by cause."""

import json

import pytest

from lentilwell._log_lines import AttemptEnded, RequestPlaced, RequestWaiting, UpstreamRefused
from lentilwell.cli import main
from lentilwell.cli._losses import (
    GROUP_KEYS,
    MAX_OPEN_REQUESTS,
    NO_CAUSE_LOGGED,
    LossCounter,
    find_cause,
    generalize,
    get_length_class,
)
from lentilwell.cli._timeline import parse_line
from tests.test_explain import ATTEMPT_FAILED, ENDED, PLACED, format_line

REFUSED = {
    "event": "upstream refused",
    "request": "r1",
    "upstream": "u1",
    "status": 503,
    "at_fault": "",
}
REJECTED = {"event": "request rejected", "status": 404, "reason": "no route", "request": "r7"}
WHOLE = {**ENDED, "outcome": "whole", "first_ms": 95}


def count_losses(*texts, by="cause"):
    counter = LossCounter(GROUP_KEYS[by])
    for text in texts:
        counter.record_line(parse_line(text))
    return counter


def test_cause_is_the_first_logged_failure():
    counter = count_losses(
        format_line(1, PLACED),
        format_line(2, ATTEMPT_FAILED),
        format_line(3, REFUSED),
        format_line(4, ENDED),
    )
    assert counter.lost == {("nothing came for N ms", "not_run"): 1}


def test_requests_served_in_time_are_no_losses():
    counter = count_losses(format_line(1, REFUSED), format_line(2, WHOLE))
    assert counter.ended == 1 and not counter.lost


def test_first_event_much_later_than_expected_is_late():
    counter = count_losses(format_line(1, REFUSED), format_line(2, {**WHOLE, "first_ms": 400}))
    assert counter.lost == {("refused with 503", "late"): 1}


def test_rejected_requests_and_those_without_a_cause_are_counted():
    counter = count_losses(format_line(1, REJECTED), format_line(2, ENDED))
    assert counter.ended == 2
    assert counter.lost == {
        ("answered 404: no route", "rejected"): 1,
        (NO_CAUSE_LOGGED, "not_run"): 1,
    }


@pytest.mark.parametrize(
    ("by", "key"),
    [
        ("service", "chat"),
        ("team", "blue"),
        ("length", "below 10000"),
        ("instance", "a"),
        ("second", "1796367604"),
    ],
)
def test_losses_are_counted_by_each_key(by, key):
    assert count_losses(format_line(4, ENDED), by=by).lost == {(key, "not_run"): 1}


@pytest.mark.parametrize(
    ("reason", "general"),
    [
        (
            "10.1.64.36:8523 does not accept: TimeoutError()",
            "ADDRESS does not accept: TimeoutError()",
        ),
        ("i-7f sets no memory aside", "UPSTREAM sets no memory aside"),
        ("first event expected in 1812 ms", "first event expected in N ms"),
    ],
)
def test_reasons_are_generalized_to_one_cause(reason, general):
    assert generalize(reason, "i-7f") == general


def test_cause_of_each_line_type():
    types = (RequestPlaced, UpstreamRefused, AttemptEnded, RequestWaiting)
    samples = [
        RequestPlaced("r", "s", 1, 1, "u", "", 1, 1, 1, 1.0, None, 0),
        UpstreamRefused("r", "u", 429, ""),
        AttemptEnded("r", "u", "retry budget spent", 1, "not_run"),
        RequestWaiting("r", "s", 10, 20),
    ]
    assert [type(sample) for sample in samples] == list(types)
    causes = [None, "refused with 429", "retry budget spent", "no upstream wanted work"]
    assert [find_cause(sample) for sample in samples] == causes


def test_number_of_requests_without_an_end_is_bounded():
    counter = LossCounter(GROUP_KEYS["cause"])
    line = json.loads(format_line(1, REFUSED))
    for number in range(MAX_OPEN_REQUESTS + 10):
        counter.record_line(parse_line(json.dumps({**line, "request": f"r{number}"})))
    assert len(counter._causes) == MAX_OPEN_REQUESTS


@pytest.mark.parametrize(
    ("tokens", "name"), [(None, "none"), (999, "below 1000"), (300_000, "from 300000")]
)
def test_length_classes(tokens, name):
    assert get_length_class(tokens) == name


def test_command_prints_the_largest_losses_of_all_files(tmp_path, capsys):
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text(
        "no line of ours\n"
        + format_line(2, ATTEMPT_FAILED)
        + format_line(3, ENDED)
        + format_line(4, REJECTED)
    )
    second.write_text(format_line(1, REJECTED, "b") + format_line(2, WHOLE, "b"))
    assert main(["losses", str(first), str(second), "--most", "1"]) == 0
    rows = capsys.readouterr().out.splitlines()
    assert rows == [
        "3 of 4 requests were late or not served",
        "      2   50.0%  answered 404: no route: rejected",
    ]


def test_empty_logs_have_no_losses(tmp_path, capsys):
    empty = tmp_path / "empty.log"
    empty.write_text("")
    assert main(["losses", str(empty)]) == 0
    assert capsys.readouterr().out == "0 of 0 requests were late or not served\n"
