"""How long answers take: what is learned of it, and which requests a stop still accepts by it."""

import math
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilwell.gateway import InboundRequest, RequestFacts
from lentilwell.gateway._answer_times import (
    FEW_SAMPLES_FACTOR,
    MARGIN_FACTOR,
    MAX_KINDS,
    MIN_SAMPLES,
    QUANTILE,
    WINDOW,
    AnswerTimes,
    RequestKind,
)
from lentilwell.gateway._messages import Prompt
from lentilwell.gateway._routing import RoutedRequest
from lentilwell.gateway._stopping import can_finish, estimate_bound_ms, record_time
from standins.batch import ENGINE
from tests.gateway_harness import make_route

KIND = RequestKind("route", "service", False)
OTHER = replace(KIND, route="other")
SAMPLES = st.lists(st.integers(0, 60_000), max_size=3 * WINDOW)
PRIOR_MS = 600.0


def learn(samples, kind=KIND):
    times = AnswerTimes()
    for sample in samples:
        times.record(kind, sample)
    return times


@given(SAMPLES)
def test_few_of_the_latest_requests_took_longer_than_the_bound(samples):
    bound = learn(samples).find_bound(KIND, PRIOR_MS)
    latest = samples[-WINDOW:]
    exceeding = sum(one > bound for one in latest)
    if len(latest) < MIN_SAMPLES:
        assert not exceeding and bound >= PRIOR_MS
    else:
        assert exceeding <= math.floor((1 - QUANTILE) * len(latest) + 1e-9)


@given(SAMPLES)
def test_bound_is_no_more_than_the_margin_allows(samples):
    bound = learn(samples).find_bound(KIND, PRIOR_MS)
    latest = samples[-WINDOW:]
    if not latest:
        assert bound == PRIOR_MS
    elif len(latest) < MIN_SAMPLES:
        assert bound == max(PRIOR_MS, FEW_SAMPLES_FACTOR * max(latest))
    else:
        assert bound <= MARGIN_FACTOR * max(latest)


@given(SAMPLES, st.lists(st.integers(0, 60_000), min_size=WINDOW, max_size=WINDOW))
def test_what_was_long_ago_has_no_effect(before, latest):
    assert learn(before + latest).find_bound(KIND, 0) == learn(latest).find_bound(KIND, 0)


@given(SAMPLES)
def test_kinds_are_learned_apart(samples):
    times = learn(samples)
    assert times.find_bound(OTHER, PRIOR_MS) == PRIOR_MS
    times.record(OTHER, 5)
    assert times.find_bound(KIND, PRIOR_MS) == learn(samples).find_bound(KIND, PRIOR_MS)


def test_kinds_and_times_that_are_remembered_are_bounded():
    times = learn(range(10 * WINDOW))
    for number in range(MAX_KINDS - 1):
        times.record(replace(KIND, route=str(number)), 7)
        times.record(KIND, 7)
    assert times.find_bound(KIND, 0) < 8
    times.record(OTHER, 7)
    assert len(times._windows) == MAX_KINDS
    assert times.find_bound(replace(KIND, route="0"), PRIOR_MS) == PRIOR_MS
    assert all(len(window.samples) <= WINDOW for window in times._windows.values())


def make_request(kind="once", prompt=None, engine=None, timeout_ms=30_000, **changes):
    """Return a request that arrived at 0."""
    request = InboundRequest(b"GET", b"/", (), 0)
    facts = RequestFacts("id1", "", None, prompt, None)
    route = make_route(kind, **changes)
    return RoutedRequest(request, facts, route, None, "s", engine, 1, timeout_ms)


def test_bound_moves_from_what_is_assumed_to_what_was_seen():
    times, routed = AnswerTimes(), make_request(objective_ms=300)
    assert estimate_bound_ms(routed, times) == 600
    record_time(routed, times, 1_800)
    assert estimate_bound_ms(routed, times) > 1_800
    for _ in range(WINDOW):
        record_time(routed, times, 50)
    assert estimate_bound_ms(routed, times) < 200


@pytest.mark.parametrize(
    "routed",
    [
        make_request(objective_ms=0),
        make_request("stream", objective_ms=50),
        make_request("stream", Prompt(30_000, 10), ENGINE, objective_ms=0),
    ],
)
def test_objective_that_says_nothing_of_the_end_is_not_used(routed):
    """Such requests were once accepted up to the last moment of a stop."""
    times = AnswerTimes()
    assert not can_finish(routed, times, 0, 150)
    assert can_finish(routed, times, 0, 2_500)


def test_slow_engines_are_learned_as_a_multiple_of_their_estimates():
    times, short = AnswerTimes(), make_request("stream", Prompt(1_000, 200), ENGINE)
    long = make_request("stream", Prompt(1_000, 2_000), ENGINE)
    before = estimate_bound_ms(long, times)
    for _ in range(MIN_SAMPLES):
        record_time(short, times, round(3 * estimate_bound_ms(short, AnswerTimes())))
    assert estimate_bound_ms(long, times) > 2.5 * before


@given(SAMPLES, st.integers(0, 9_000), st.integers(0, 9_000), st.integers(1, 9_000))
def test_more_time_never_turns_an_accepted_request_away(samples, sent_at, more_ms, timeout_ms):
    times, routed = AnswerTimes(), make_request(timeout_ms=timeout_ms)
    for sample in samples:
        record_time(routed, times, sample)
    if can_finish(routed, times, sent_at, 5_000):
        assert can_finish(routed, times, sent_at, 5_000 + more_ms)
    assert can_finish(routed, times, sent_at, timeout_ms)
