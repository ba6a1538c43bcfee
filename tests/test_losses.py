"""``lentilwell losses``: from the logs of all instances to what was lost, and why."""

import json

import pytest

from lentilwell._log_lines import AttemptEnded, RequestPlaced, RequestWaits, UpstreamRefused
from lentilwell.cli import main
from lentilwell.cli._losses import (
    KEYS,
    MOST_OPEN,
    NOTHING_LOGGED,
    LossCount,
    find_cause,
    generalize,
    name_length,
)
from lentilwell.cli._story import parse_line
from tests.test_explain import ENDED, PLACED, SILENT, write

REFUSED = {
    "event": "upstream refused",
    "request": "r1",
    "upstream": "u1",
    "status": 503,
    "at_fault": "",
}
REJECTED = {"event": "request rejected", "status": 404, "reason": "no route", "request": "r7"}
WHOLE = {**ENDED, "outcome": "whole", "first_ms": 95}


def count(*texts, by="cause"):
    found = LossCount(KEYS[by])
    for text in texts:
        found.take(parse_line(text))
    return found


def test_cause_is_the_first_thing_that_went_wrong():
    found = count(write(1, PLACED), write(2, SILENT), write(3, REFUSED), write(4, ENDED))
    assert found.lost == {("nothing came for N ms", "not_run"): 1}


def test_requests_that_were_served_in_time_are_no_losses():
    found = count(write(1, REFUSED), write(2, WHOLE))
    assert found.ended == 1 and not found.lost


def test_stream_that_began_much_later_than_expected_is_late():
    found = count(write(1, REFUSED), write(2, {**WHOLE, "first_ms": 400}))
    assert found.lost == {("refused with 503", "late"): 1}


def test_rejected_and_unexplained_requests_are_counted():
    found = count(write(1, REJECTED), write(2, ENDED))
    assert found.ended == 2
    assert found.lost == {
        ("answered 404: no route", "rejected"): 1,
        (NOTHING_LOGGED, "not_run"): 1,
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
def test_losses_add_up_by_each_key(by, key):
    assert count(write(4, ENDED), by=by).lost == {(key, "not_run"): 1}


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
def test_reasons_of_one_kind_are_one_cause(reason, general):
    assert generalize(reason, "i-7f") == general


def test_lines_that_tell_of_nothing_wrong_are_no_cause():
    kinds = (RequestPlaced, UpstreamRefused, AttemptEnded, RequestWaits)
    samples = [
        RequestPlaced("r", "s", 1, 1, "u", "", 1, 1, 1, 1.0, None, 0),
        UpstreamRefused("r", "u", 429, ""),
        AttemptEnded("r", "u", "retry budget spent", 1, "not_run"),
        RequestWaits("r", "s", 10, 20),
    ]
    assert [type(sample) for sample in samples] == list(kinds)
    causes = [None, "refused with 429", "retry budget spent", "no upstream wanted work"]
    assert [find_cause(sample) for sample in samples] == causes


def test_requests_that_never_end_are_forgotten_in_time():
    found = LossCount(KEYS["cause"])
    line = json.loads(write(1, REFUSED))
    for number in range(MOST_OPEN + 10):
        found.take(parse_line(json.dumps({**line, "request": f"r{number}"})))
    assert len(found._causes) == MOST_OPEN


@pytest.mark.parametrize(
    ("tokens", "name"), [(None, "none"), (999, "below 1000"), (300_000, "from 300000")]
)
def test_lengths_have_names(tokens, name):
    assert name_length(tokens) == name


def test_command_prints_the_greatest_losses_of_all_files(tmp_path, capsys):
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text("no line of ours\n" + write(2, SILENT) + write(3, ENDED) + write(4, REJECTED))
    second.write_text(write(1, REJECTED, "b") + write(2, WHOLE, "b"))
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
