"""Requests that are certain to be late are refused at once, with a time to retry after."""

from dataclasses import replace

import pytest

from lentilwell.gateway._placement_policies import Choice
from lentilwell.gateway._upstreams import Upstream
from lentilwell.gateway.overload._admission import check_admission, find_caller_silence_timeout_ms
from tests.gateway_harness import make_route

SHORT = replace(make_route("stream"), objective_ms=300, pause_ms=250)
LONG = replace(make_route("stream"), objective_ms=3_000, pause_ms=1_000)
UPSTREAM = Upstream("u", "s", "127.0.0.1:1", "dc", 8, False)


def check(route, first_event_ms, remaining_ms):
    return check_admission(route, Choice(UPSTREAM, first_event_ms=first_event_ms), remaining_ms)


@pytest.mark.parametrize(("route", "timeout_ms"), [(SHORT, 2_000), (LONG, 12_000)])
def test_silence_after_which_callers_leave(route, timeout_ms):
    assert find_caller_silence_timeout_ms(route) == timeout_ms


@pytest.mark.parametrize(
    ("route", "first_event_ms", "remaining_ms", "sent"),
    [
        (SHORT, 100, 10_000, True),
        (SHORT, 1_900, 10_000, True),
        (SHORT, 3_000, 10_000, False),
        (SHORT, 900, 500, False),
        (LONG, 11_000, 15_000, True),
        (LONG, 14_500, 15_000, False),
        (LONG, 5_000, 3_000, False),
    ],
)
def test_only_requests_that_are_certain_to_be_late_are_refused(
    route, first_event_ms, remaining_ms, sent
):
    assert (check(route, first_event_ms, remaining_ms) is None) == sent


@pytest.mark.parametrize("first_event_ms", [3_000, 5_000, 50_000])
def test_callers_are_asked_to_retry_within_a_third_of_their_time(first_event_ms):
    refusal = check(SHORT, first_event_ms, 10_000)
    assert 200 <= refusal.retry_after_ms <= 10_000 / 3


def test_requests_for_plain_services_are_not_refused():
    assert check(make_route("whole"), 50_000, 100) is None
