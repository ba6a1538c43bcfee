"""Checks of a configuration before it is sent: findings, changes, exit statuses, the manual."""

import json
import re
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest
from check import check_configuration

from lentilwell.cli import main
from lentilwell.gateway import ColdRules, Limits, Share, Team
from lentilwell.gateway.config_check import RULES, find_contradictions, list_changes
from tests.gateway_harness import CATALOG, make_route
from tests.gateway_scripts import with_engines

ROOT = Path(__file__).parent.parent


def with_service(**changes):
    """Return the configuration with its service changed."""
    return replace(CATALOG, services={"s": replace(CATALOG.services["s"], **changes)})


def with_routes(*routes):
    """Return the configuration with other routes."""
    return replace(CATALOG, routes=routes)


def with_engine(**changes):
    """Return the configuration with its engines changed."""
    catalog = with_engines()
    spec = catalog.services["s"]
    return replace(catalog, services={"s": replace(spec, engine=replace(spec.engine, **changes))})


FOUND = [
    (
        "unknown service",
        with_routes(make_route("whole"), make_route("once", shares=(Share("t", 1),))),
    ),
    ("unused service", with_routes()),
    ("weight", with_routes(make_route("whole", shares=(Share("s", 0.0),)))),
    ("weight", with_routes(make_route("whole", shares=(Share("s", 1.0), Share("s", -1.0))))),
    ("never matches", with_routes(make_route("whole", prefix="/a"))),
    ("never matches", with_routes(make_route("whole", prefix="a/"))),
    ("never matches", with_routes(make_route("whole", host="a.example:80"))),
    (
        "never matches",
        with_routes(make_route("once", prefix="/a/"), make_route("whole", prefix="/a/")),
    ),
    ("limits of a route", with_routes(make_route("whole", objective_ms=3_001))),
    ("limits of a route", with_routes(make_route("stream", pause_ms=3_001))),
    ("limits of a route", with_routes(make_route("whole", max_upstreams=0))),
    ("limits of a route", with_routes(make_route("whole", rank=10))),
    ("keys", replace(CATALOG, teams=(*CATALOG.teams, Team("red", (), None)))),
    ("keys", replace(CATALOG, teams=(*CATALOG.teams, Team("red", ("key-1",), None)))),
    ("cold upstreams", with_service(cold=ColdRules(3_000, 0.0))),
    ("cold upstreams", with_service(cold=ColdRules(0, 14.0))),
    ("cold upstreams", with_service(cold=ColdRules(3_000, 0.1))),
    ("engines", with_engine(slots=0)),
    ("engines", with_engine(memory_tokens=100)),
    ("limits of callers", replace(CATALOG, limits=Limits(body_bytes=0))),
]


def test_sound_configuration_has_no_findings():
    """Guards against findings that operators learn to overlook."""
    assert find_contradictions(CATALOG) == []
    assert find_contradictions(with_engines()) == []


def test_every_rule_has_a_case():
    assert {rule for rule, _ in FOUND} == set(RULES)


@pytest.mark.parametrize(("rule", "catalog"), FOUND)
def test_contradiction_is_found_once(rule, catalog):
    [finding] = find_contradictions(catalog)
    assert finding.rule == rule


def test_findings_and_changes_do_not_show_keys():
    shared = replace(CATALOG, teams=(*CATALOG.teams, Team("red", ("key-1",), None)))
    reports = [*find_contradictions(shared), *list_changes(CATALOG, shared)]
    assert reports
    assert not any("key-1" in report.text for report in reports)


@pytest.mark.parametrize(
    ("after", "text"),
    [
        (with_routes(*CATALOG.routes[1:]), "removed: its requests are rejected"),
        (with_routes(*CATALOG.routes, make_route("whole", prefix="/x/")), "added, to s"),
        (
            with_routes(*CATALOG.routes[:2], make_route("stream", shares=(Share("t", 1.0),))),
            "moved from s to t",
        ),
        (
            with_routes(*CATALOG.routes[:2], make_route("stream", timeout_ms=9_000)),
            "timeout_ms raised from 3000 to 9000",
        ),
        (with_service(cold=ColdRules(0, 2.0)), "cold_per_s raised from 0.0 to 2.0"),
        (replace(CATALOG, limits=Limits(body_bytes=9)), "body_bytes lowered from 4194304 to 9"),
        (
            replace(CATALOG, teams=(Team("blue", ("k",), None),)),
            "keys removed: 1; their callers are rejected",
        ),
    ],
)
def test_change_says_what_callers_notice(after, text):
    assert text in [change.text for change in list_changes(CATALOG, replace(after, version=2))]


def test_equal_configurations_differ_in_nothing_and_an_older_version_is_told():
    assert list_changes(CATALOG, replace(CATALOG, version=2)) == []
    [change] = list_changes(CATALOG, CATALOG)
    assert change.location == "version"


@pytest.mark.parametrize(
    ("text", "status"),
    [
        ('{"version": 1}', 0),
        ('{"version": "one"}', 1),
        ('{"version": 1, "services": [{"name": "s", "cold_per_s": -1}]}', 1),
        ("{", 2),
        ("[" * 100_000, 2),
    ],
)
def test_exit_status_tells_findings_from_unreadable_files(tmp_path, text, status):
    path = tmp_path / "new.json"
    path.write_text(text)
    assert check_configuration(path, None, as_json=True) == status
    assert check_configuration(tmp_path / "none.json", None, as_json=False) == 2


def test_json_report_can_be_read_by_scripts(capsys):
    new, old = ROOT / "examples/configuration-new.json", ROOT / "examples/configuration.json"
    assert check_configuration(new, old, as_json=True) == 1
    report = json.loads(capsys.readouterr().out)
    assert {one["rule"] for one in report["findings"]} <= set(RULES)
    assert all(one["location"] and one["text"] for one in report["changes"])


def test_example_of_the_manual_is_what_the_program_prints():
    """Guards against a manual that shows another output than the program's."""
    page = (ROOT / "docs/OPERATIONS.md").read_text()
    [(command, output)] = re.findall(
        r"```\n\$ python3 (platform/check\.py .*)\n((?s:.*?))```", page
    )
    completed = subprocess.run(
        [sys.executable, *command.split()], capture_output=True, text=True, cwd=ROOT, timeout=60
    )
    assert completed.stdout == output
    assert completed.returncode == 1


def test_inventory_is_checked_by_the_command(tmp_path, capsys):
    sound = ROOT / "examples/cwmni-sipiau.ini"
    assert main(["config", "check", str(sound), "--against", str(sound)]) == 0
    assert capsys.readouterr().out == "right\n"
    odd = tmp_path / "odd.ini"
    odd.write_text(sound.read_text() + "\n[nonsense]\nx = 1\n")
    assert main(["config", "check", str(odd), "--format", "json"]) == 1
    [finding] = json.loads(capsys.readouterr().out)["findings"]
    assert "line" in finding
    assert main(["config", "check", str(tmp_path / "none.ini")]) == 2
