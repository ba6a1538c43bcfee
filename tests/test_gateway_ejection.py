"""Upstreams that fail take no requests for a while, but never too few are left."""

from hypothesis import given
from hypothesis import strategies as st

from lentilwell.gateway._ejection import (
    FIRST_EJECTION_MS,
    MAX_EJECTION_MS,
    RECENTLY_UNREACHABLE_MS,
    Ejection,
)
from lentilwell.gateway._upstreams import Upstream

UPSTREAMS = [Upstream(f"u{at}", "s", f"127.0.0.1:{at}", "dc", 8, False) for at in range(1, 5)]


def names(ejection, now):
    return {upstream.name for upstream in ejection.admit(UPSTREAMS, now)}


def test_two_failures_in_a_row_eject_and_time_lets_back():
    ejection = Ejection()
    assert not ejection.record_failure("u1", 0)
    assert names(ejection, 0) == {"u1", "u2", "u3", "u4"}
    assert ejection.record_failure("u1", 10)
    assert names(ejection, 11) == {"u2", "u3", "u4"}
    assert names(ejection, 10 + FIRST_EJECTION_MS) == {"u1", "u2", "u3", "u4"}


def test_success_between_failures_ejects_nobody():
    ejection = Ejection()
    for now in range(10):
        assert not ejection.record_failure("u1", now)
        ejection.record_success("u1")


def test_each_ejection_is_longer_up_to_a_limit():
    ejection = Ejection()
    now, times = 0, []
    for _ in range(6):
        while not ejection.record_failure("u1", now):
            pass
        away = 0
        while "u1" not in names(ejection, now + away):
            away += 100
        times.append(away)
        now += away
    assert times == sorted(times) and times[0] < times[-1] <= MAX_EJECTION_MS


def test_unreachable_upstream_waits_for_a_probe_however_few_are_left():
    ejection = Ejection()
    for name in ("u1", "u2", "u3"):
        ejection.record_unreachable(name, 0)
    assert names(ejection, 1_000_000) == {"u4"}
    ejection.record_success("u2")
    assert names(ejection, 1_000_000) == {"u2", "u4"}


def test_where_none_is_reachable_none_is_tried_while_probes_fail():
    """On trouble-2 of sipiau calls waited 0.5 of their 0.6 s for services behind a cut."""
    ejection = Ejection()
    for upstream in UPSTREAMS:
        ejection.record_unreachable(upstream.name, 0)
    assert names(ejection, RECENTLY_UNREACHABLE_MS - 1) == set()
    assert names(ejection, RECENTLY_UNREACHABLE_MS) == {"u1", "u2", "u3", "u4"}


def test_data_centre_is_doubtful_once_several_of_it_are_unreachable():
    ejection = Ejection()
    ejection.record_unreachable("u1", 0)
    assert not ejection.find_suspect_data_centres(UPSTREAMS, 0)
    ejection.record_unreachable("u2", 100)
    assert ejection.find_suspect_data_centres(UPSTREAMS, 100) == {"dc"}
    assert not ejection.find_suspect_data_centres(UPSTREAMS, 10_000)


@given(st.lists(st.tuples(st.sampled_from("1234"), st.integers(0, 500)), max_size=60))
def test_at_least_half_are_admitted_whatever_fails(steps):
    ejection, now = Ejection(), 0
    for number, later_ms in steps:
        now += later_ms
        ejection.record_failure(f"u{number}", now)
        assert len(names(ejection, now)) >= 2


def test_upstreams_that_are_gone_are_forgotten():
    ejection = Ejection()
    ejection.record_unreachable("u1", 0)
    ejection.record_unreachable("u2", 0)
    ejection.keep_only({"u2"})
    assert names(ejection, 0) == {"u1", "u3", "u4"}


def test_connection_ends_doubt_but_forgets_no_bad_answers():
    ejection = Ejection()
    for _ in range(2):
        ejection.record_failure("u1", 0)
    ejection.record_unreachable("u1", 0)
    assert not ejection.record_connection("u1", 1)
    assert not ejection.is_unreachable("u1")
    assert names(ejection, 1) == {"u2", "u3", "u4"}
    ejection.record_success("u1")
    assert names(ejection, 1) == {"u1", "u2", "u3", "u4"}


def test_upstream_that_takes_connections_but_does_not_answer_is_ejected():
    ejection = Ejection()
    for turn, ejected in ((0, False), (1, True)):
        ejection.record_silence("u1", turn)
        assert names(ejection, turn) == {"u2", "u3", "u4"}
        assert ejection.record_connection("u1", turn) is ejected
    assert names(ejection, 2) == {"u2", "u3", "u4"}
    assert names(ejection, 1 + FIRST_EJECTION_MS) == {"u1", "u2", "u3", "u4"}


def test_silence_of_an_upstream_that_was_cut_off_is_no_failure():
    ejection = Ejection()
    for now in range(0, 50, 10):
        ejection.record_silence("u1", now)
        ejection.record_unreachable("u1", now + 1)  # the probe fails
        assert not ejection.record_connection("u1", now + 2)
    assert names(ejection, 60) == {"u1", "u2", "u3", "u4"}
