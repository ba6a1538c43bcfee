"""How long silence is believed: by the kind of request and by the work that is known of."""

from dataclasses import replace

import pytest

from lentilwell.gateway._books import Job, Load
from lentilwell.gateway._patience import explains_silence, find_patience
from standins.batch import ENGINE
from tests.gateway_harness import make_route


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
    assert find_patience(make_route("stream"), ENGINE, busy, None) >= 3_300


def test_long_reading_on_a_slow_engine_is_not_thrown_away():
    """Incident c3a2 of kalye: engines four times slow, prompts left and read again elsewhere."""
    long = replace(make_route("stream"), objective_ms=3_000, pause_ms=1_000)
    assert find_patience(long, ENGINE, Load(backlog_ms=1_200.0), 1_250.0) >= 4_000
    assert find_patience(long, ENGINE, Load(backlog_ms=60_000.0), None) >= 60_000


def test_known_slowness_is_waited_for():
    route = make_route("stream")
    usual, slow = (find_patience(route, ENGINE, Load(), None, pace) for pace in (1.0, 4.0))
    assert slow > usual


def test_request_that_waits_for_a_slot_is_not_taken_for_a_silent_engine():
    """Kalye scale-1, seed 14: 25 streams were taken from engines that had nine for eight slots."""
    queue = Load(jobs=tuple(Job(f"j{n}", "u", 0, 0.0, 5_000) for n in range(11)))
    assert find_patience(make_route("stream"), ENGINE, queue, 100.0) >= 1_000


def test_queue_for_slots_says_nothing_about_a_stream_that_is_written():
    queue = Load(jobs=tuple(Job(f"j{n}", "u", 0, 0.0, 5_000) for n in range(11)))
    written = find_patience(make_route("stream"), ENGINE, queue, None)
    assert written == find_patience(make_route("stream"), ENGINE, Load(), None)


@pytest.mark.parametrize(
    ("load", "explained"),
    [
        (Load(), False),
        (Load(backlog_ms=150.0), False),
        (Load(backlog_ms=900.0), True),
        (Load(memory_tokens=ENGINE.memory_tokens), True),
        (Load(jobs=tuple(Job(f"j{n}", "u", 0, 0.0, 1) for n in range(ENGINE.slots + 1))), True),
    ],
)
def test_engine_is_silent_for_a_reason_where_it_reads_or_is_full(load, explained):
    assert explains_silence(ENGINE, load) is explained


def test_nothing_explains_the_silence_of_a_plain_service():
    assert not explains_silence(None, Load(backlog_ms=900.0))
