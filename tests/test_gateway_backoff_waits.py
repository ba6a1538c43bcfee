"""Requests that wait for the end of a backoff: which ones wait, how long and in which order."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilwell.gateway._backoff_waits import (
    RELEASE_INTERVAL_MS,
    RETRY_AFTER_SPREAD_MS,
    BackoffQueue,
    find_retry_after_ms,
    find_wait_ms,
    may_wait,
)
from tests.gateway_harness import make_route

PLAIN = make_route("whole", objective_ms=200)
STREAM = make_route("stream", objective_ms=250, pause_ms=250)


@pytest.mark.parametrize(
    ("route", "backoff_ms", "waited_ms", "remaining_ms", "waits"),
    [
        (PLAIN, 1_000, 0, 2_500, True),
        (PLAIN, 2_400, 0, 2_500, False),
        (STREAM, 1_000, 0, 10_000, True),
        (STREAM, 1_900, 0, 10_000, False),
        (STREAM, 1_000, 1_000, 9_000, False),
    ],
)
def test_only_requests_that_can_still_be_served_wait(
    route, backoff_ms, waited_ms, remaining_ms, waits
):
    assert may_wait(route, backoff_ms, waited_ms, remaining_ms) is waits


@given(st.integers(1, 5_000), st.floats(0, 1, exclude_max=True))
def test_requests_are_sent_in_order_of_arrival_after_the_backoff(backoff_ms, random_point):
    waits = [find_wait_ms(backoff_ms, requests_ahead, random_point) for requests_ahead in range(5)]
    assert waits[0] > backoff_ms
    assert all(
        later - sooner >= RELEASE_INTERVAL_MS - 1 for sooner, later in itertools.pairwise(waits)
    )


@given(st.integers(0, 5_000), st.floats(0, 1, exclude_max=True))
def test_retry_after_times_are_spread_after_the_backoff(backoff_ms, random_point):
    assert (
        backoff_ms
        <= find_retry_after_ms(backoff_ms, random_point)
        <= backoff_ms + RETRY_AFTER_SPREAD_MS
    )


def test_waiting_requests_are_counted_by_service():
    backoff_queue = BackoffQueue()
    assert [backoff_queue.add("s"), backoff_queue.add("s"), backoff_queue.add("t")] == [0, 1, 0]
    backoff_queue.remove("s")
    assert backoff_queue.add("s") == 1
