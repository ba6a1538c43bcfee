"""The pages agree with the code: settings, errors, the example of embedding, links."""

import re
import subprocess
import sys
from dataclasses import MISSING, fields
from pathlib import Path
from typing import get_type_hints

import pytest

from lentilwell import _failures
from lentilwell._inventory import Rules
from lentilwell._log_lines import LINE_TYPES
from lentilwell.cli._timeline import OUTCOME_DESCRIPTIONS
from lentilwell.configuration import Settings
from lentilwell.reducer import State
from lentilwell.shell._metrics import Counts, Metrics
from tests.conftest import list_known_red

ROOT = Path(__file__).parent.parent
OPERATIONS = (ROOT / "docs/OPERATIONS.md").read_text()


def list_settings():
    for section, kind in get_type_hints(Settings).items():
        for field in fields(kind):
            default = "required" if field.default is MISSING else f"`{field.default}`"
            yield f"| `{section}` | `{field.name}` | {default.replace('``', 'empty')} |"


@pytest.mark.parametrize("row", list(list_settings()))
def test_every_setting_is_on_the_page(row):
    assert row in OPERATIONS


@pytest.mark.parametrize("field", fields(Rules), ids=lambda field: field.name)
def test_every_rule_is_on_the_page(field):
    assert f"| `{field.name}` | `{field.default}` |" in OPERATIONS


def list_failures(kind=_failures.Failure):
    yield kind
    for child in kind.__subclasses__():
        yield from list_failures(child)


@pytest.mark.parametrize("failure", list(list_failures()), ids=lambda kind: kind.__name__)
def test_every_error_is_on_the_callers_page(failure):
    page = (ROOT / "docs/INTERFACE.md").read_text()
    rows = [row for row in page.splitlines() if f"`{failure.code}`" in row]
    assert any(row.startswith(f"| {failure.status} |") for row in rows)


def test_every_metric_is_on_the_page():
    metrics = Metrics(lambda: State(None), lambda: Counts(0, 0, 0))
    for family in metrics.registry.collect():
        assert f"`{family.name}" in OPERATIONS, family.name


@pytest.mark.parametrize("event", sorted(LINE_TYPES))
def test_every_kind_of_log_line_is_on_the_page(event):
    assert f"`{event}`" in OPERATIONS


def test_every_outcome_and_its_meaning_is_on_the_page():
    for outcome in OUTCOME_DESCRIPTIONS:
        assert f"| `{outcome}` |" in OPERATIONS


def test_example_of_embedding_runs():
    command = [sys.executable, str(ROOT / "examples/embedding.py")]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=True)
    lines = done.stdout.splitlines()
    assert [line.partition(" ")[0] for line in lines] == ["request-0", "request-1", "request-2"]
    assert lines[2] == "request-2 ends: context_length_exceeded"


@pytest.mark.parametrize(
    "page", sorted(ROOT.glob("*.md")) + sorted(ROOT.glob("docs/*.md")), ids=str
)
def test_links_between_pages_lead_somewhere(page):
    for target in re.findall(r"\]\(([^)#]+)", page.read_text()):
        assert target.startswith("http") or (page.parent / target).exists(), target


def list_named_tests():
    page = (ROOT / "docs/PLATFORM.md").read_text()
    return sorted(set(re.findall(r"`\.\.\._(\w+?)(?:\.\.\.)?`", page)))


@pytest.mark.parametrize("part", list_named_tests())
def test_tests_that_the_page_of_rules_names_exist(part):
    tests = "\n".join(path.read_text() for path in (ROOT / "tests").glob("test_*.py"))
    assert re.search(rf"def test_\w*{part}", tests)


def test_every_entry_of_known_red_names_a_test():
    for name in list_known_red():
        path, _, test = name.partition("::")
        assert f"def {test.partition('[')[0]}(" in (ROOT / path).read_text()
