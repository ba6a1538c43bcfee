"""Rate limits that upstreams name: read from any answer, shared, and ended by later answers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilwell.gateway._rate_limits import (
    ENDED_REPORT_MS,
    MAX_INCARNATIONS,
    MAX_RATE,
    MAX_REPORTED,
    LimitChange,
    LimitReport,
    RateLimits,
    read_rate,
)
from lentilwell.gateway._upstreams import Incarnation
from lentilwell.gateway._work_digest import (
    UnreadableDigest,
    UpstreamReports,
    WorkDigest,
    decode_digest,
    encode_digest,
)
from tests.gateway_harness import run_gateway
from tests.gateway_scripts import answer_ok, in_loop

U = Incarnation("u", 7)


@pytest.mark.parametrize(
    ("text", "rate"),
    [
        ("1", 1.0),
        ("0", 0.0),
        ("0.05", 0.05),
        ("5e-2", 0.05),
        ("1e308", MAX_RATE),
        ("9" * 400, MAX_RATE),
        ("5, 2", 2.0),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("", None),
        ("5,", None),
        ("5, many", None),
        ("1 a second", None),
        ("\u0661", None),
    ],
)
def test_rate_is_a_decimal_number_and_the_least_of_several(text, rate):
    assert read_rate(text) == rate


@given(st.text(max_size=20))
def test_any_text_gives_a_rate_in_bounds_or_none(text):
    rate = read_rate(text)
    assert rate is None or 0 <= rate <= MAX_RATE


def test_limit_is_named_changed_and_ended():
    limits = RateLimits()
    assert limits.record_named(U, 5.0, 100) is LimitChange.NAMED
    assert limits.record_named(U, 5.0, 200) is None
    assert limits.record_named(U, 1.0, 300) is LimitChange.CHANGED
    assert limits.find(U) == 1.0
    assert limits.record_unnamed(U, 301, 400) is LimitChange.ENDED
    assert limits.find(U) is None


def test_answer_to_a_request_sent_before_the_naming_does_not_end_the_limit():
    limits = RateLimits()
    limits.record_named(U, 5.0, 100)
    assert limits.record_unnamed(U, 99, 150) is None
    assert limits.find(U) == 5.0


def test_limit_of_an_earlier_incarnation_does_not_hold():
    limits = RateLimits()
    limits.record_named(U, 5.0, 100)
    assert limits.find(Incarnation("u", 8)) is None
    limits.keep_only({Incarnation("u", 8)}.__contains__)
    assert limits.get_report(U) is None


@given(
    st.lists(st.tuples(st.sampled_from([None, 0.0, 1.0, 5.0]), st.integers(0, 50)), max_size=12),
    st.randoms(),
)
def test_instances_that_hear_the_same_reports_in_any_order_agree(heard, order):
    reports = [LimitReport(U, rate, at) for at, rate in {at: rate for rate, at in heard}.items()]
    newest = max(reports, key=lambda report: report.heard_at, default=LimitReport(U, None, 0))
    shuffled = list(reports)
    order.shuffle(shuffled)
    limits = RateLimits()
    for report in shuffled:
        limits.update(report)
    assert limits.find(U) == newest.rate


def test_memory_and_reports_stay_bounded():
    limits = RateLimits()
    for number in range(MAX_INCARNATIONS + 100):
        limits.record_named(Incarnation(f"u{number}", 0), 1.0, number)
    assert limits.find(Incarnation("u0", 0)) is None
    reported = limits.list_reportable(MAX_INCARNATIONS)
    assert len(reported) == MAX_REPORTED
    assert reported[0].incarnation.name == f"u{MAX_INCARNATIONS + 99}"


def test_end_of_a_limit_is_reported_for_some_seconds():
    limits = RateLimits()
    limits.record_named(U, 5.0, 100)
    limits.record_unnamed(U, 200, 300)
    assert limits.list_reportable(300 + ENDED_REPORT_MS) == (LimitReport(U, None, 300),)
    assert limits.list_reportable(301 + ENDED_REPORT_MS) == ()


@pytest.mark.parametrize("rate", [None, 0.0, 2.5])
def test_reports_reach_other_instances_by_their_clocks(rate):
    reports = UpstreamReports(limits=(LimitReport(U, rate, 9_000),))
    digest = WorkDigest("i", "l", "127.0.0.1:1", 7, (), reports=reports)
    got = decode_digest(encode_digest(digest, 9_400), 20_000).reports
    assert got.limits == (LimitReport(U, rate, 19_600),)


@pytest.mark.parametrize("rate", [-1.0, float("nan"), float("inf"), 1e300])
def test_limit_out_of_range_makes_a_digest_unreadable(rate):
    reports = UpstreamReports(limits=(LimitReport(U, rate, 0),))
    digest = WorkDigest("i", "l", "127.0.0.1:1", 7, (), reports=reports)
    with pytest.raises(UnreadableDigest):
        decode_digest(encode_digest(digest, 0), 0)


@in_loop
async def test_limit_is_learned_from_an_answer_and_ends_with_a_later_one():
    limits = ["40", "20", "nonsense", "20", None]

    async def name_limit(arrival):
        limit = limits.pop(0)
        headers = {} if limit is None else {"Server_Limit": limit}
        await arrival.answer(body=b"hello", **headers)

    async with run_gateway(name_limit) as harness:
        fleet = harness.gateway.fleet
        for expected in (40.0, 20.0, 20.0, 20.0, None):
            assert (await harness.call("/whole/x", method="GET")).status == 200
            assert fleet.rate_limits.find(Incarnation("u0", 0)) == expected


@in_loop
async def test_limited_upstream_is_shown_in_metrics_and_state():
    async def name_limit(arrival):
        await arrival.answer(body=b"hello", Server_Limit="40")

    async with run_gateway(name_limit, answer_ok) as harness:
        for _ in range(6):
            await harness.call("/whole/x", method="GET")
        metrics = harness.gateway.metrics.render().decode()
        assert "lentilwell_gateway_upstreams_limited 1.0" in metrics
        assert 'lentilwell_gateway_limited_sends_total{service="s"}' in metrics
