"""Outlier ejection: failing upstreams get no requests for a time, and enough stay admitted."""

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


def test_two_failures_in_a_row_eject_until_the_ejection_ends():
    ejection = Ejection()
    assert not ejection.record_failure("u1", 0)
    assert names(ejection, 0) == {"u1", "u2", "u3", "u4"}
    assert ejection.record_failure("u1", 10)
    assert names(ejection, 11) == {"u2", "u3", "u4"}
    assert names(ejection, 10 + FIRST_EJECTION_MS) == {"u1", "u2", "u3", "u4"}


def test_success_between_failures_prevents_ejection():
    ejection = Ejection()
    for now in range(10):
        assert not ejection.record_failure("u1", now)
        ejection.record_success("u1")


def test_ejections_get_longer_up_to_a_limit():
    ejection = Ejection()
    now, times = 0, []
    for _ in range(6):
        while not ejection.record_failure("u1", now):
            pass
        ejected_ms = 0
        while "u1" not in names(ejection, now + ejected_ms):
            ejected_ms += 100
        times.append(ejected_ms)
        now += ejected_ms
    assert times == sorted(times) and times[0] < times[-1] <= MAX_EJECTION_MS


def test_unreachable_upstream_is_excluded_until_a_success_however_few_remain():
    ejection = Ejection()
    for name in ("u1", "u2", "u3"):
        ejection.record_unreachable(name, 0)
    assert names(ejection, 1_000_000) == {"u4"}
    ejection.record_success("u2")
    assert names(ejection, 1_000_000) == {"u2", "u4"}


def test_no_upstream_is_admitted_while_all_are_unreachable_and_probes_fail():
    """Requests to a service behind a cut network path must not spend their deadline connecting.

    Calls with a deadline of 0.6 s once waited 0.5 s for connections to such a service.
    """
    ejection = Ejection()
    for upstream in UPSTREAMS:
        ejection.record_unreachable(upstream.name, 0)
    assert names(ejection, RECENTLY_UNREACHABLE_MS - 1) == set()
    assert names(ejection, RECENTLY_UNREACHABLE_MS) == {"u1", "u2", "u3", "u4"}


def test_data_centre_is_suspect_once_several_of_its_upstreams_are_unreachable():
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


def test_health_of_unlisted_upstreams_is_removed():
    ejection = Ejection()
    ejection.record_unreachable("u1", 0)
    ejection.record_unreachable("u2", 0)
    ejection.keep_only({"u2"})
    assert names(ejection, 0) == {"u1", "u3", "u4"}


def test_connection_makes_an_upstream_reachable_but_keeps_its_failures():
    ejection = Ejection()
    for _ in range(2):
        ejection.record_failure("u1", 0)
    ejection.record_unreachable("u1", 0)
    assert not ejection.record_connection("u1", 1)
    assert not ejection.is_unreachable("u1")
    assert names(ejection, 1) == {"u2", "u3", "u4"}
    ejection.record_success("u1")
    assert names(ejection, 1) == {"u1", "u2", "u3", "u4"}


def test_upstream_that_accepts_connections_but_does_not_answer_is_ejected():
    ejection = Ejection()
    for turn, ejected in ((0, False), (1, True)):
        ejection.record_silence("u1", turn)
        assert names(ejection, turn) == {"u2", "u3", "u4"}
        assert ejection.record_connection("u1", turn) is ejected
    assert names(ejection, 2) == {"u2", "u3", "u4"}
    assert names(ejection, 1 + FIRST_EJECTION_MS) == {"u1", "u2", "u3", "u4"}


def test_silence_of_a_disconnected_upstream_is_no_failure():
    ejection = Ejection()
    for now in range(0, 50, 10):
        ejection.record_silence("u1", now)
        ejection.record_unreachable("u1", now + 1)  # the probe fails
        assert not ejection.record_connection("u1", now + 2)
    assert names(ejection, 60) == {"u1", "u2", "u3", "u4"}
