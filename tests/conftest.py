"""Configuration for all tests: Hypothesis profiles, and tests that are known to fail.

Hypothesis uses the same examples in every run, from the seed in ``pyproject.toml``: its own way to
repeat examples makes them depend on the names and the text of a test. ``make search`` runs more and
different examples, see ``searching``.
"""

import gc
from pathlib import Path

import pytest
from hypothesis import settings

from tests.schedule import RECORDER
from tests.searching import SEARCH_EXAMPLES

RECORDER.install()
# The last lines of each process's log that a failed test reports.
LOG_LINES = 40

if SEARCH_EXAMPLES is None:
    settings.register_profile("chosen", database=None, deadline=None)
else:
    settings.register_profile("chosen", max_examples=SEARCH_EXAMPLES, database=None, deadline=None)
settings.load_profile("chosen")

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


@pytest.fixture(autouse=True, scope="module")
def freeze_objects_of_earlier_modules():
    """Exclude objects of earlier modules from garbage collection.

    A full collection of the heap of the test run took 150 to 1,000 ms, longer than many timeouts in
    the tests.
    """
    gc.collect()
    gc.freeze()


def list_known_red():
    """Return the ids of the tests in ``KNOWN-RED.txt``, which are its lines without indentation."""
    if not KNOWN_RED.exists():
        return []
    return [line for line in KNOWN_RED.read_text().splitlines() if line and not line[0].isspace()]


def pytest_collection_modifyitems(items):
    """Mark known failing tests so that they run, but do not fail the test run."""
    known = set(list_known_red())
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="in KNOWN-RED.txt", strict=False))


@pytest.fixture(autouse=True)
def start_schedule():
    """Forget the slow rounds of earlier tests."""
    RECORDER.rounds.clear()


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item):
    """Add to a failure what the event loops did, and the logs of the processes of the test."""
    outcome = yield
    report = outcome.get_result()
    if not report.failed:
        return
    report.sections.append(("slow rounds of the event loop", RECORDER.describe()))
    deployment = getattr(item, "funcargs", {}).get("deployment")
    folder = getattr(deployment, "folder", None)
    for log in sorted(folder.glob("*.log")) if folder is not None else ():
        lines = log.read_text(errors="replace").splitlines()[-LOG_LINES:]
        report.sections.append((log.name, "\n".join(lines)))
