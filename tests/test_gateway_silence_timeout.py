"""The silence timeout depends on the kind of request and the known work at the upstream."""

from dataclasses import replace

import pytest

from lentilwell.gateway._load_tracker import Job, Load
from lentilwell.gateway._silence_timeout import explains_silence, find_silence_timeout_ms
from standins.batch import ENGINE
from tests.gateway_harness import make_route


def test_request_that_must_not_run_twice_has_no_silence_timeout():
    assert find_silence_timeout_ms(make_route("once"), None, Load(), None) is None


@pytest.mark.parametrize(("objective_ms", "timeout_ms"), [(100, 250), (200, 400)])
def test_plain_call_has_a_timeout_of_twice_its_objective(objective_ms, timeout_ms):
    route = replace(make_route("whole"), objective_ms=objective_ms)
    assert find_silence_timeout_ms(route, None, Load(), None) == timeout_ms


def test_idle_engine_times_out_before_a_caller_leaves_a_silent_stream():
    """Callers of short streams leave after two seconds of silence."""
    timeout_ms = find_silence_timeout_ms(make_route("stream"), ENGINE, Load(), 100.0)
    assert 400 <= timeout_ms <= 1_000


def test_engine_that_reads_a_long_prompt_does_not_time_out():
    busy = Load(backlog_ms=3_000.0)
    assert find_silence_timeout_ms(make_route("stream"), ENGINE, busy, None) >= 3_300


def test_long_prefill_on_a_slow_engine_does_not_time_out():
    """Prompts were abandoned and read again elsewhere while engines were four times slower.

    This was seen in incident c3a2 of kalye.
    """
    long = replace(make_route("stream"), objective_ms=3_000, pause_ms=1_000)
    assert find_silence_timeout_ms(long, ENGINE, Load(backlog_ms=1_200.0), 1_250.0) >= 4_000
    assert find_silence_timeout_ms(long, ENGINE, Load(backlog_ms=60_000.0), None) >= 60_000


def test_known_slowness_extends_the_timeout():
    route = make_route("stream")
    normal, slow = (
        find_silence_timeout_ms(route, ENGINE, Load(), None, factor) for factor in (1.0, 4.0)
    )
    assert slow > normal


def test_wait_for_a_slot_extends_the_timeout():
    """Engines with nine streams for eight slots lost 25 streams to the silence timeout.

    This was seen in run scale-1 of kalye with seed 14: the ninth stream waited for a slot.
    """
    queue = Load(jobs=tuple(Job(f"j{n}", "u", 0, 0.0, 5_000) for n in range(11)))
    assert find_silence_timeout_ms(make_route("stream"), ENGINE, queue, 100.0) >= 1_000


def test_wait_for_a_slot_does_not_extend_the_timeout_after_the_first_event():
    queue = Load(jobs=tuple(Job(f"j{n}", "u", 0, 0.0, 5_000) for n in range(11)))
    started = find_silence_timeout_ms(make_route("stream"), ENGINE, queue, None)
    assert started == find_silence_timeout_ms(make_route("stream"), ENGINE, Load(), None)


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
def test_silence_of_an_engine_is_explained_by_its_backlog_or_lack_of_capacity(load, explained):
    assert explains_silence(ENGINE, load) is explained


def test_silence_of_a_plain_service_is_never_explained():
    assert not explains_silence(None, Load(backlog_ms=900.0))
