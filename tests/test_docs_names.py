"""What the pages name in code spans exists: tests, modules, identifiers, commands and metrics."""

import re
from pathlib import Path

import pytest

from lentilwell._clock import ManualClock
from lentilwell.gateway import BudgetRules
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._metrics import Metrics as GatewayMetrics
from lentilwell.gateway._shards import ShardView
from lentilwell.reducer import State
from lentilwell.shell._metrics import Counts, Metrics

ROOT = Path(__file__).parent.parent
PAGES = sorted(ROOT.glob("*.md")) + sorted(ROOT.glob("docs/**/*.md"))
SOURCES = [
    path
    for folder in ("src", "platform", "standins", "soak", "bench", "tests", "examples")
    for path in (ROOT / folder).rglob("*.py")
    if "_wire" not in path.parts
]
METRIC_SUFFIXES = ("", "_total", "_bucket", "_sum", "_count")


def list_spans(page, pattern):
    """Return the matches of a pattern within the code spans and blocks of a page."""
    text = page.read_text()
    spans = re.findall(r"```.*?```", text, re.S) + re.findall(r"`[^`\n]+`", text)
    return sorted({match for span in spans for match in re.findall(pattern, span)})


def list_names(pattern):
    """Return a parameter for each page and match, so that a failure names both."""
    return [
        pytest.param(name, id=f"{page.name}-{name}")
        for page in PAGES
        for name in list_spans(page, pattern)
    ]


@pytest.fixture(scope="module")
def words():
    """Return all identifiers and module names of the sources."""
    found = {path.stem for path in SOURCES}
    for path in SOURCES:
        found.update(re.findall(r"\w+", path.read_text()))
    return found


@pytest.mark.parametrize("name", list_names(r"(?<![\w.])test_\w+(?:\.\.\.)?"))
def test_named_test_exists(name):
    tests = [path for path in SOURCES if path.parent.name == "tests"]
    is_module = any(path.stem == name for path in tests)
    assert is_module or any(f"def {name}(" in path.read_text() for path in tests)


@pytest.mark.parametrize("name", list_names(r"(?<![\w./<])_[a-z][a-z_]+\b(?!\*)"))
def test_named_module_or_identifier_exists(name, words):
    assert name in words


@pytest.mark.parametrize("name", list_names(r"(?<![\w/])(?:[\w]+/)+\w+\.(?:py|toml|thrift)\b"))
def test_named_file_exists(name):
    assert any((ROOT / folder / name).exists() for folder in ("", "src", "src/lentilwell"))


@pytest.mark.parametrize("name", list_names(r"python3? -m ((?!pytest|venv|pip)[\w.]+)"))
def test_named_program_exists(name):
    path = ROOT / name.replace(".", "/")
    assert path.with_suffix(".py").exists() or (path / "__main__.py").exists()


@pytest.mark.parametrize("name", list_names(r"\bmake ([a-z]\w*)"))
def test_named_make_target_exists(name):
    assert re.search(rf"^{name}:", (ROOT / "Makefile").read_text(), re.M)


def list_metric_names():
    entry = Metrics(lambda: State(None), lambda: Counts(0, 0, 0))
    fleet = Fleet(ManualClock(), "a", BudgetRules(0.2, 1, 1_000), "p", ShardView("i", "a"))
    gateway = GatewayMetrics(fleet, lambda: 0, lambda: ())
    families = [*entry.registry.collect(), *gateway.registry.collect()]
    return {family.name + suffix for family in families for suffix in METRIC_SUFFIXES}


@pytest.mark.parametrize(
    "name", list_names(r"\blentilwell_(?!gateway_\.\.\.)(?:[a-z]+_)*[a-z]+\b(?!\.)")
)
def test_named_metric_exists(name):
    assert name in list_metric_names() or name == "lentilwell_instances"
