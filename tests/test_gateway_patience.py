"""How long silence is believed: by the kind of request and by the work that is known of."""

from dataclasses import replace

import pytest

from lentilwell.gateway._books import Load
from lentilwell.gateway._patience import find_patience
from tests.gateway_world import make_route
from tests.played_load import ENGINE


def test_what_may_run_once_is_waited_for_until_its_deadline():
    assert find_patience(make_route("once"), None, Load(), None) is None


@pytest.mark.parametrize(("objective_ms", "patience_ms"), [(100, 250), (200, 400)])
def test_look_ups_are_taken_elsewhere_after_twice_their_objective(objective_ms, patience_ms):
    route = replace(make_route("whole"), objective_ms=objective_ms)
    assert find_patience(route, None, Load(), None) == patience_ms


def test_idle_engine_is_left_before_a_caller_leaves_a_silent_stream():
    """Callers of short streams leave after two seconds of silence."""
    patience_ms = find_patience(make_route("stream"), ENGINE, Load(), 100.0)
    assert 400 <= patience_ms <= 1_000


def test_engine_that_reads_a_long_prompt_is_waited_for():
    busy = Load(backlog_ms=3_000.0)
    assert find_patience(make_route("stream"), ENGINE, busy, None) >= 4_000
