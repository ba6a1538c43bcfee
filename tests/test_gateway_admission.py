"""What surely comes too late is refused at once, and told when to come back."""

from dataclasses import replace

import pytest

from lentilwell.gateway._admission import find_leaving_ms, judge_choice
from lentilwell.gateway._choice import Choice
from lentilwell.gateway._upstreams import Upstream
from tests.gateway_harness import make_route

SHORT = replace(make_route("stream"), objective_ms=300, pause_ms=250)
LONG = replace(make_route("stream"), objective_ms=3_000, pause_ms=1_000)
UPSTREAM = Upstream("u", "s", "127.0.0.1:1", "dc", 8, False)


def judge(route, first_event_ms, left_ms):
    return judge_choice(route, Choice(UPSTREAM, first_event_ms=first_event_ms), left_ms)


@pytest.mark.parametrize(("route", "leaving_ms"), [(SHORT, 2_000), (LONG, 12_000)])
def test_when_callers_leave(route, leaving_ms):
    assert find_leaving_ms(route) == leaving_ms


@pytest.mark.parametrize(
    ("route", "first_event_ms", "left_ms", "sent"),
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
def test_only_the_hopeless_is_refused(route, first_event_ms, left_ms, sent):
    assert (judge(route, first_event_ms, left_ms) is None) == sent


@pytest.mark.parametrize("first_event_ms", [3_000, 5_000, 50_000])
def test_callers_return_while_they_have_time(first_event_ms):
    hopeless = judge(SHORT, first_event_ms, 10_000)
    assert 200 <= hopeless.retry_after_ms <= 10_000 / 3


def test_plain_services_are_not_judged():
    assert judge(make_route("whole"), 50_000, 100) is None
