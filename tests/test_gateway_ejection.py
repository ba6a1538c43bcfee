"""Upstreams that fail take no requests for a while, but never too few are left."""

from hypothesis import given
from hypothesis import strategies as st

from lentilwell.gateway._ejection import (
    FIRST_EJECTION_MS,
    LONGEST_EJECTION_MS,
    Ejection,
)
from lentilwell.gateway._upstreams import Upstream

UPSTREAMS = [Upstream(f"u{at}", "s", f"127.0.0.1:{at}", "dc", 8, False) for at in range(1, 5)]


def names(ejection, now):
    return {upstream.name for upstream in ejection.admit(UPSTREAMS, now)}


def test_two_failures_in_a_row_eject_and_time_lets_back():
    ejection = Ejection()
    assert not ejection.note_failure("u1", 0)
    assert names(ejection, 0) == {"u1", "u2", "u3", "u4"}
    assert ejection.note_failure("u1", 10)
    assert names(ejection, 11) == {"u2", "u3", "u4"}
    assert names(ejection, 10 + FIRST_EJECTION_MS) == {"u1", "u2", "u3", "u4"}


def test_success_between_failures_ejects_nobody():
    ejection = Ejection()
    for now in range(10):
        assert not ejection.note_failure("u1", now)
        ejection.note_success("u1")


def test_severe_failure_ejects_at_once_and_for_longer_each_time():
    ejection = Ejection()
    now, times = 0, []
    for _ in range(6):
        ejection.note_failure("u1", now, severe=True)
        away = 0
        while "u1" not in names(ejection, now + away):
            away += 100
        times.append(away)
        now += away
    assert times == sorted(times) and times[0] < times[-1] <= LONGEST_EJECTION_MS


@given(
    st.lists(st.tuples(st.sampled_from("1234"), st.booleans(), st.integers(0, 500)), max_size=60)
)
def test_at_least_half_are_admitted_whatever_fails(steps):
    ejection, now = Ejection(), 0
    for number, severe, later_ms in steps:
        now += later_ms
        ejection.note_failure(f"u{number}", now, severe)
        assert len(names(ejection, now)) >= 2
