"""What holds for all tests: Hypothesis' examples, and the tests that are known red.

Hypothesis repeats the same examples on every run, so that each run has the same verdict; ``make
search`` asks for other and more examples, see ``searching``.
"""

import gc
from pathlib import Path

import pytest
from hypothesis import settings

from tests.searching import SEARCHED_EXAMPLES

if SEARCHED_EXAMPLES is None:
    settings.register_profile("chosen", derandomize=True, deadline=None)
else:
    settings.register_profile(
        "chosen", max_examples=SEARCHED_EXAMPLES, database=None, deadline=None
    )
settings.load_profile("chosen")

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


@pytest.fixture(autouse=True, scope="module")
def no_collection_of_what_earlier_modules_left():
    """Full collections of the whole run's heap took 150 to 1,000 ms; many waits are shorter."""
    gc.collect()
    gc.freeze()


def list_known_red():
    """Return the ids of the tests in ``KNOWN-RED.txt``: the lines that are not indented."""
    if not KNOWN_RED.exists():
        return []
    return [line for line in KNOWN_RED.read_text().splitlines() if line and not line[0].isspace()]


def pytest_collection_modifyitems(items):
    """Run tests that are known red as well, but let the run pass over their failures."""
    known = set(list_known_red())
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="in KNOWN-RED.txt", strict=False))
