"""Draining and backoffs that upstreams announce in answers: how long and where they apply."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilwell.gateway._availability import (
    MAX_BACKOFF_MS,
    MAX_INCARNATIONS,
    MAX_REPORTED,
    Availability,
    read_retry_after,
)
from lentilwell.gateway._upstreams import Incarnation, Upstream


def upstream(name="u", born_ms=1, leaving=False):
    return Upstream(name, "s", "127.0.0.1:1", "dc", 8, leaving, born_ms)


@pytest.mark.parametrize(
    ("text", "wait_ms"),
    [
        ("0", 0),
        ("1", 1_000),
        ("0.25", 250),
        ("2.0004", 2_000),
        ("86400", MAX_BACKOFF_MS),
        ("9" * 400, MAX_BACKOFF_MS),
    ],
)
def test_seconds_are_read_as_milliseconds_and_bounded(text, wait_ms):
    assert read_retry_after(text) == wait_ms


@pytest.mark.parametrize(
    "text",
    ["", "-1", "1e308", "nan", "inf", "soon", "1,5", "1.", "٣", "Wed, 21 Oct 2026 07:28:00 GMT"],
)
def test_text_that_is_no_number_of_seconds_is_rejected(text):
    assert read_retry_after(text) is None


@given(st.text(max_size=40))
def test_any_text_is_parsed_to_a_bounded_time_or_rejected(text):
    wait_ms = read_retry_after(text)
    assert wait_ms is None or 0 <= wait_ms <= MAX_BACKOFF_MS


def test_drain_applies_only_to_the_incarnation_that_announced_it():
    availability = Availability()
    assert availability.record_leaving(Incarnation("u", 1))
    assert not availability.record_leaving(Incarnation("u", 1))
    assert not availability.accepts_work(upstream(born_ms=1), 0)
    assert availability.accepts_work(upstream(born_ms=2), 0)


def test_draining_incarnation_that_is_listed_again_still_drains():
    availability = Availability()
    availability.record_leaving(Incarnation("u", 1))
    availability.remove_expired({}, 60_000)
    assert not availability.accepts_work(upstream(born_ms=1), 60_000)


def test_incarnation_of_unknown_start_is_removed_once_it_is_not_listed():
    availability = Availability()
    availability.record_leaving(Incarnation("u", 0))
    availability.remove_expired({"u": upstream(born_ms=0)}, 0)
    assert not availability.accepts_work(upstream(born_ms=0), 0)
    availability.remove_expired({}, 0)
    assert availability.accepts_work(upstream(born_ms=0), 0)


def test_remembered_incarnations_are_bounded_and_the_newest_are_kept():
    availability = Availability()
    for number in range(MAX_INCARNATIONS + 500):
        availability.record_leaving(Incarnation(f"u{number}", 1))
    assert not availability.is_leaving(Incarnation("u0", 1))
    assert availability.is_leaving(Incarnation("u500", 1))
    assert availability.is_leaving(Incarnation(f"u{MAX_INCARNATIONS + 499}", 1))


def test_drain_reported_by_a_peer_counts_until_it_is_no_longer_reported():
    availability = Availability()
    availability.update_peer("p", [Incarnation("u", 1)])
    assert not availability.accepts_work(upstream(), 0)
    availability.update_peer("p", [])
    assert availability.accepts_work(upstream(), 0)


def test_only_drains_missing_from_the_listing_are_reported_up_to_a_bound():
    availability = Availability()
    for number in range(MAX_REPORTED + 10):
        availability.record_leaving(Incarnation(f"u{number}", 1))
    availability.update_peer("p", [Incarnation("heard", 1)])
    names = [f"u{number}" for number in range(MAX_REPORTED + 10)] + ["heard"]
    listed = {name: upstream(name, leaving=name == "u3") for name in names}
    reportable = availability.list_reportable(listed)
    assert len(reportable) == MAX_REPORTED
    assert Incarnation("u3", 1) not in reportable and Incarnation("heard", 1) not in reportable


def test_earliest_backoff_end_ignores_draining_upstreams():
    availability = Availability()
    availability.record_backoff(Incarnation("a", 1), 500, 0)
    availability.record_backoff(Incarnation("b", 1), 900, 0)
    availability.record_leaving(Incarnation("a", 1))
    ups = [upstream("a"), upstream("b")]
    assert availability.find_earliest_backoff_end(ups, 0) == 900
    assert availability.find_earliest_backoff_end(ups, 900) is None


EVENTS = st.lists(
    st.tuples(
        st.integers(0, 400),
        st.sampled_from(("a", "b")),
        st.integers(1, 2),
        st.one_of(st.just("leaves"), st.integers(0, 1_500), st.just("ask")),
    ),
    max_size=40,
)


@given(EVENTS)
def test_no_work_is_accepted_during_a_backoff_or_by_a_draining_incarnation(events):
    """Compare with a simple model: every backoff lasts to its end, for any order of answers."""
    availability = Availability()
    now, backoffs, draining = 0, {}, set()
    for step, name, born_ms, event in events:
        now += step
        incarnation = Incarnation(name, born_ms)
        if event == "leaves":
            availability.record_leaving(incarnation)
            draining.add(incarnation)
        elif event != "ask":
            availability.record_backoff(incarnation, event, now)
            backoffs[incarnation] = max(backoffs.get(incarnation, 0), now + event)
        availability.remove_expired({}, now)
        for one in {Incarnation(n, b) for n in "ab" for b in (1, 2)}:
            expected = one not in draining and backoffs.get(one, 0) <= now
            assert availability.accepts_work(upstream(one.name, one.born_ms), now) is expected
