"""Tests of ``lentilwell explain``, which prints the timeline of a request from several logs."""

import io
import json
from dataclasses import fields
from datetime import datetime

import pytest

from lentilwell._log_lines import LINE_TYPES
from lentilwell.cli import main
from lentilwell.cli._timeline import (
    OUTCOME_DESCRIPTIONS,
    build_timeline,
    describe_line,
    parse_line,
    render_timeline,
)
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
ATTEMPT_FAILED = {
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


def format_line(second, line, instance="a"):
    at = f"2026-12-04T07:00:{second:06.3f}+00:00"
    return json.dumps({"at": at, "level": "INFO", "instance": instance, **line}) + "\n"


def make_unreachable(upstream):
    return {"event": "upstream unreachable", "upstream": upstream, "reason": "refused"}


@pytest.fixture
def logs(tmp_path):
    first = tmp_path / "a.log"
    second = tmp_path / "b.log"
    first.write_text(
        format_line(11.7, ENDED)
        + "no line of ours\n"
        + format_line(11.0, PLACED)
        + format_line(11.6, ATTEMPT_FAILED)
        + format_line(10.0, make_unreachable("u2"))
        + format_line(10.1, make_unreachable("u9"))
        + format_line(1.0, make_unreachable("u3"))
    )
    second.write_text(
        "  14.2 b "
        + format_line(11.1, {**PLACED, "request": "r2"}, "b")
        + format_line(10.5, make_unreachable("u1"), "b")
    )
    return first, second


def test_timeline_rows_are_in_the_order_of_events(logs, capsys):
    assert main(["explain", "r1", *map(str, logs)]) == 0
    rows = capsys.readouterr().out.splitlines()
    assert [row.split("ms")[0].strip() for row in rows[1:]] == ["-1000", "+0", "+600", "+700"]
    assert "read with u2 u3" in rows[2] and "digests up to 150 ms old" in rows[2]
    assert "nothing came for 640 ms" in rows[3]
    assert "no upstream has run it" in rows[4]


def test_only_relevant_state_changes_are_printed(logs, capsys):
    main(["explain", "r1", *map(str, logs)])
    output = capsys.readouterr().out
    assert "upstream=u2" in output
    assert "upstream=u9" not in output and "upstream=u3" not in output and " b " not in output


def test_store_restore_and_kept_configuration_are_printed(logs, capsys):
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
        log.write(format_line(11.2, restored) + format_line(11.3, kept))
    main(["explain", "r1", *map(str, logs)])
    output = capsys.readouterr().out
    assert "era=2 previous=1" in output and "found=26" in output


def test_lines_with_a_collector_prefix_are_parsed(logs, capsys):
    assert main(["explain", "r2", *map(str, logs)]) == 0
    assert "placed at u1" in capsys.readouterr().out


def test_logs_are_read_from_standard_input_without_files(logs, capsys, monkeypatch):
    monkeypatch.setattr("sys.stdin", io.StringIO(logs[0].read_text()))
    assert main(["explain", "r1"]) == 0
    assert "request r1 arrived" in capsys.readouterr().out


def test_unknown_request_is_an_error_with_advice(logs, capsys):
    assert main(["explain", "r9", *map(str, logs)]) == 1
    assert "logs of all instances" in capsys.readouterr().err


def test_missing_file_is_named_in_the_error(tmp_path, capsys):
    assert main(["explain", "r1", str(tmp_path / "none.log")]) == 2
    assert "none.log" in capsys.readouterr().err


@pytest.mark.parametrize("event", sorted(LINE_TYPES))
def test_every_line_type_is_parsed_and_described(event):
    line_type = LINE_TYPES[event]
    values = {field.name: _SAMPLES[str(field.type)] for field in fields(line_type)}
    logged = parse_line(format_line(3.0, {"event": event, **values}))
    assert logged.line == line_type(**values)
    assert logged.at == datetime.fromisoformat("2026-12-04T07:00:03+00:00")
    assert describe_line(logged.line)


_SAMPLES = {
    "str": "x",
    "int": 4,
    "float": 1.5,
    "float | None": 2.5,
    "int | None": None,
    "str | None": None,
    "bool": True,
}


def test_every_outcome_has_a_description():
    assert set(OUTCOME_DESCRIPTIONS) == {outcome.value for outcome in Outcome}


def test_arrival_is_computed_from_the_last_line_alone():
    timeline = build_timeline("r1", [parse_line(format_line(11.7, ENDED))])
    assert timeline.arrived_at == datetime.fromisoformat("2026-12-04T07:00:11+00:00")
    assert len(render_timeline(timeline)) == 2


def test_rate_limit_of_an_upstream_is_told_with_its_source(tmp_path, capsys):
    limit = {"event": "upstream limit", "upstream": "u1", "born_ms": 7, "change": "named"}
    ended = {**limit, "change": "ended", "rate": None, "source": "b"}
    log = tmp_path / "a.log"
    log.write_text(
        format_line(10.5, {**limit, "rate": 2.5, "source": "answer"})
        + format_line(11.0, PLACED)
        + format_line(11.5, ended)
        + format_line(11.7, ENDED)
    )
    assert main(["explain", "r1", str(log)]) == 0
    output = capsys.readouterr().out
    assert "u1 accepts 2.5 requests a second from all instances, by an answer of its own" in output
    assert "u1 names no rate limit any more, as b told" in output
