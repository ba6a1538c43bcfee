"""``lentilwell explain``: from a request's id and the logs of several instances to its story."""

import io
import json
from dataclasses import fields
from datetime import datetime

import pytest

from lentilwell._log_lines import LINES
from lentilwell.cli import main
from lentilwell.cli._story import MEANINGS, find_story, parse_line, render_story, tell_line
from lentilwell.gateway._request_state import Outcome

PLACED = {
    "event": "request placed",
    "request": "r1",
    "service": "chat",
    "configuration": 7,
    "listing": 40,
    "upstream": "u1",
    "helpers": "u2 u3",
    "expected_first_ms": 90,
    "upstream_jobs": 3,
    "upstream_backlog_ms": 12,
    "upstream_pace": 1.0,
    "oldest_digest_ms": 150,
    "excluded": 0,
}
SILENT = {
    "event": "attempt ended",
    "request": "r1",
    "upstream": "u1",
    "reason": "nothing came for 640 ms",
    "sends": 1,
    "next": "not_run",
}
ENDED = {
    "event": "request ended",
    "request": "r1",
    "route": "chat",
    "configuration": 7,
    "upstream": "u1",
    "outcome": "not_run",
    "team": "blue",
    "service": "chat",
    "sends": 1,
    "first_ms": None,
    "expected_first_ms": 90,
    "longest_pause_ms": 0,
    "helpers": 2,
    "tokens": 4000,
    "total_ms": 700,
}


def write(second, line, instance="a"):
    at = f"2026-12-04T07:00:{second:06.3f}+00:00"
    return json.dumps({"at": at, "level": "INFO", "instance": instance, **line}) + "\n"


def unreachable(upstream):
    return {"event": "upstream unreachable", "upstream": upstream, "reason": "refused"}


@pytest.fixture
def logs(tmp_path):
    first = tmp_path / "a.log"
    second = tmp_path / "b.log"
    first.write_text(
        write(11.7, ENDED)
        + "no line of ours\n"
        + write(11.0, PLACED)
        + write(11.6, SILENT)
        + write(10.0, unreachable("u2"))
        + write(10.1, unreachable("u9"))
        + write(1.0, unreachable("u3"))
    )
    second.write_text(
        "  14.2 b "
        + write(11.1, {**PLACED, "request": "r2"}, "b")
        + write(10.5, unreachable("u1"), "b")
    )
    return first, second


def test_story_is_told_in_the_order_of_its_events(logs, capsys):
    assert main(["explain", "r1", *map(str, logs)]) == 0
    rows = capsys.readouterr().out.splitlines()
    assert [row.split("ms")[0].strip() for row in rows[1:]] == ["-1000", "+0", "+600", "+700"]
    assert "read with u2 u3" in rows[2] and "digests up to 150 ms old" in rows[2]
    assert "nothing came for 640 ms" in rows[3]
    assert "no upstream has run it" in rows[4]


def test_beliefs_are_told_where_they_concern_the_request(logs, capsys):
    main(["explain", "r1", *map(str, logs)])
    told = capsys.readouterr().out
    assert "upstream=u2" in told
    assert "upstream=u9" not in told and "upstream=u3" not in told and " b " not in told


def test_restore_of_the_store_is_told_with_what_was_kept(logs, capsys):
    restored = {"event": "store restore seen", "era": 2, "previous": 1, "call": "/rows-feed"}
    kept = {
        "event": "configuration kept",
        "version": 31,
        "found": 26,
        "era": 2,
        "reason": "was read before the restore",
        "until_ms": None,
    }
    with logs[0].open("a") as log:
        log.write(write(11.2, restored) + write(11.3, kept))
    main(["explain", "r1", *map(str, logs)])
    told = capsys.readouterr().out
    assert "era=2 previous=1" in told and "found=26" in told


def test_lines_after_a_collectors_prefix_are_read(logs, capsys):
    assert main(["explain", "r2", *map(str, logs)]) == 0
    assert "placed at u1" in capsys.readouterr().out


def test_logs_come_from_standard_input_where_no_file_is_named(logs, capsys, monkeypatch):
    monkeypatch.setattr("sys.stdin", io.StringIO(logs[0].read_text()))
    assert main(["explain", "r1"]) == 0
    assert "request r1 arrived" in capsys.readouterr().out


def test_unknown_request_is_an_error_that_says_what_to_do(logs, capsys):
    assert main(["explain", "r9", *map(str, logs)]) == 1
    assert "logs of all instances" in capsys.readouterr().err


def test_missing_file_is_named(tmp_path, capsys):
    assert main(["explain", "r1", str(tmp_path / "none.log")]) == 2
    assert "none.log" in capsys.readouterr().err


@pytest.mark.parametrize("event", sorted(LINES))
def test_every_kind_of_line_is_read_back_and_told(event):
    kind = LINES[event]
    values = {field.name: _SAMPLES[str(field.type)] for field in fields(kind)}
    logged = parse_line(write(3.0, {"event": event, **values}))
    assert logged.line == kind(**values)
    assert logged.at == datetime.fromisoformat("2026-12-04T07:00:03+00:00")
    assert tell_line(logged.line)


_SAMPLES = {
    "str": "x",
    "int": 4,
    "float": 1.5,
    "int | None": None,
    "str | None": None,
    "bool": True,
}


def test_every_outcome_has_a_meaning():
    assert set(MEANINGS) == {ending.value for ending in Outcome}


def test_arrival_is_told_though_its_first_line_was_dropped():
    story = find_story("r1", [parse_line(write(11.7, ENDED))])
    assert story.arrived_at == datetime.fromisoformat("2026-12-04T07:00:11+00:00")
    assert len(render_story(story)) == 2
