"""Permits of rate-limited upstreams: who issues them, how many, and what messages carry."""

import asyncio
import contextlib
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilwell._clock import ManualClock
from lentilwell.gateway._permit_issuer import (
    MAX_DEBT_MS,
    MAX_INCARNATIONS,
    MIN_RATE,
    PermitIssuer,
    find_interval_ms,
)
from lentilwell.gateway._permit_messages import (
    MAX_MESSAGE_BYTES,
    NO_PERMIT,
    PermitAnswer,
    PermitAsk,
    UnreadablePermitMessage,
    Verdict,
    decode_permit_message,
    encode_permit_message,
    is_permit_message,
)
from lentilwell.gateway._permit_owners import (
    PRIMARY_SHARE,
    SETTLING_SHARE,
    STAND_IN_SHARE,
    OwnerRole,
    OwnerTable,
    rank_owners,
)
from lentilwell.gateway._permit_patience import MAX_PATIENCE_MS, find_permit_patience_ms
from lentilwell.gateway._permits import (
    ASK_SPREAD_MS,
    NO_OWNER_RETRY_MS,
    PERMIT_VALID_MS,
    Permits,
)
from lentilwell.gateway._rate_limits import LimitReport, RateLimits
from lentilwell.gateway._upstreams import Incarnation, Upstream
from lentilwell.gateway._work_digest import WorkDigest, encode_digest
from standins.limit_rule import WINDOW_MS, count_worst_window, find_allowed
from tests.gateway_harness import make_route

U = Incarnation("u", 7)
UPSTREAM = Upstream("u", "s", "10.0.0.1:1", "a", 8, False, 7)
RATES = st.sampled_from([0.0, 0.05, 0.25, 1.0, 5.0, 40.0, 3_000.0])
MEMBERS = st.dictionaries(
    st.text(min_size=1, max_size=6), st.sampled_from(["a", "b", "c"]), max_size=30
)


@given(RATES, st.lists(st.tuples(st.integers(0, 1_500), st.integers(0, 2_000)), max_size=120))
def test_permits_of_an_owner_are_an_interval_apart(rate, asks):
    issuer, now, times = PermitIssuer(), 100, []
    interval_ms = find_interval_ms(rate, 1.0)
    for after_ms, patience_ms in asks:
        now += after_ms
        decision = issuer.issue(U, interval_ms, patience_ms, now)
        assert decision.granted == (decision.wait_ms <= patience_ms)
        if decision.granted:
            times.append(now + decision.wait_ms)
    assert times == sorted(times)
    allowed = math.floor(max(rate, MIN_RATE) * WINDOW_MS / 1_000) + 1
    assert count_worst_window(times) <= allowed + 1  # a wait is rounded to whole milliseconds


@pytest.mark.parametrize("rate", [0.0, 0.05, 0.25, 1.0, 5.0, 40.0, 3_000.0])
def test_owners_that_do_not_know_of_each_other_stay_within_the_limit_together(rate):
    shares = (PRIMARY_SHARE, STAND_IN_SHARE, SETTLING_SHARE, SETTLING_SHARE)
    issued = sum(
        math.floor(max(rate, MIN_RATE) * share * WINDOW_MS / 1_000) + 1 for share in shares
    )
    assert issued <= find_allowed(rate)


def test_denied_ask_takes_no_permit_from_others():
    issuer = PermitIssuer()
    assert issuer.issue(U, 1_000.0, 0, 100).granted
    for _ in range(5):
        assert not issuer.issue(U, 1_000.0, 500, 200).granted
    assert issuer.issue(U, 1_000.0, 0, 1_100).granted


def test_requests_without_a_permit_delay_the_next_permits_up_to_a_bound():
    issuer = PermitIssuer()
    issuer.record_unpermitted(U, 1_000.0, 2, 10_000)
    assert issuer.issue(U, 1_000.0, NO_PERMIT, 10_000).wait_ms == 2_000
    issuer.record_unpermitted(U, 1_000.0, 1_000, 10_000)
    assert issuer.issue(U, 1_000.0, NO_PERMIT, 10_000).wait_ms == MAX_DEBT_MS + 1_000


def test_issuer_remembers_a_bounded_number_of_upstreams():
    issuer = PermitIssuer()
    for number in range(MAX_INCARNATIONS + 10):
        issuer.issue(Incarnation(f"u{number}", 0), 1_000.0, 0, 100)
    assert len(issuer._last_at) == MAX_INCARNATIONS


@given(MEMBERS, st.randoms())
def test_instances_with_the_same_list_agree_on_the_owners(members, order):
    names = list(members)
    order.shuffle(names)
    owners = rank_owners(UPSTREAM, members)
    assert owners == rank_owners(UPSTREAM, {name: members[name] for name in names})
    assert owners.primary != owners.stand_in or owners.primary is None
    near = [name for name in members if members[name] == UPSTREAM.data_centre]
    if near:
        assert owners.primary in near
    if len(near) > 1:
        assert owners.stand_in in near


def test_permits_are_spread_over_the_instances():
    members = {f"i{number}": "a" for number in range(10)}
    owners = [
        rank_owners(Upstream(f"u{n}", "s", "x", "a", 1, False, 1), members).primary
        for n in range(500)
    ]
    assert max(owners.count(name) for name in members) < 90


def make_table(*steps):
    """Return the owner table of ``own`` after lists of instances at given times."""
    table = OwnerTable("own")
    for at, names in steps:
        table.update_members(dict.fromkeys(names, "a"), at, 3_000)
    return table


def find_own_upstream(names):
    """Return an upstream whose primary owner among these instances is ``own``."""
    for number in range(1_000):
        upstream = Upstream(f"u{number}", "s", "x", "a", 1, False, 1)
        if rank_owners(upstream, dict.fromkeys(names, "a")).primary == "own":
            return upstream
    raise AssertionError("no upstream found")


def test_new_owner_settles_until_the_others_have_read_the_list():
    names = ["own", "p1", "p2"]
    upstream = find_own_upstream(names)
    table = make_table((1_000, names))
    assert table.find_share(upstream, OwnerRole.PRIMARY, False, 3_999) == SETTLING_SHARE
    assert table.find_share(upstream, OwnerRole.PRIMARY, False, 4_000) == PRIMARY_SHARE


def test_restarted_owner_serves_askers_whose_list_has_not_changed_at_once():
    names = ["own", "p1", "p2"]
    upstream = find_own_upstream(names)
    table = make_table((1_000, names))
    assert table.find_share(upstream, OwnerRole.PRIMARY, True, 1_001) == PRIMARY_SHARE
    assert table.find_share(upstream, OwnerRole.STAND_IN, True, 1_001) == STAND_IN_SHARE


def test_owner_that_stays_one_when_the_list_changes_does_not_settle():
    names = ["own", "p1", "p2", "p3"]
    upstream = find_own_upstream(names)
    table = make_table((1_000, names[:3]), (9_000, names))
    assert table.find_share(upstream, OwnerRole.PRIMARY, False, 9_001) == PRIMARY_SHARE


def test_single_instance_issues_the_whole_limit_at_once():
    table = make_table((1_000, ["own"]))
    assert table.find_share(UPSTREAM, OwnerRole.PRIMARY, False, 1_000) == PRIMARY_SHARE


LIMITS = st.builds(
    LimitReport,
    st.builds(Incarnation, st.text(max_size=20), st.integers(0, 2**40)),
    st.none() | st.floats(0, 1_000),
    st.integers(0, 10_000),
)
MESSAGES = st.builds(
    PermitAsk,
    st.integers(0, 2**62),
    LIMITS,
    st.sampled_from(OwnerRole),
    st.integers(-1, 60_000),
    st.integers(0, 100),
    st.booleans(),
) | st.builds(
    PermitAnswer, st.integers(0, 2**62), st.sampled_from(Verdict), st.integers(0, 60_000), LIMITS
)


@given(MESSAGES)
def test_messages_arrive_unchanged(message):
    data = encode_permit_message(message, 10_000)
    assert is_permit_message(data)
    assert decode_permit_message(data, 10_000) == message


@given(st.binary(max_size=200))
def test_malformed_messages_raise_only_their_error(data):
    with contextlib.suppress(UnreadablePermitMessage):
        decode_permit_message(b"\x00" + data, 0)


def test_digest_is_no_permit_message():
    assert not is_permit_message(encode_digest(WorkDigest("i", "l", "127.0.0.1:1", 7, ()), 0))


def test_oversized_message_is_rejected():
    with pytest.raises(UnreadablePermitMessage):
        decode_permit_message(b"\x00" * (MAX_MESSAGE_BYTES + 1), 0)


@pytest.mark.parametrize(
    ("rate", "waited_ms", "remaining_ms", "expected"),
    [
        (100.0, 0, 3_000, 150),
        (100.0, 200, 2_800, 0),
        (1.0, 0, 3_000, 1_000),
        (0.0, 0, 9_000, 2_000),
        (1.0, 0, 800, 500),
        (1.0, 0, 200, 0),
    ],
)
def test_request_waits_while_it_can_be_on_time_or_for_one_interval(
    rate, waited_ms, remaining_ms, expected
):
    route = make_route("whole")
    assert find_permit_patience_ms(route, rate, waited_ms, remaining_ms) == expected
    assert expected <= MAX_PATIENCE_MS


def make_permits(rate=1.0, members=("own",)):
    """Return the permits of ``own`` before a limited upstream, and their clock and limits."""
    clock, limits, owners = ManualClock(100_000), RateLimits(), OwnerTable("own")
    owners.update_members(dict.fromkeys(members, "a"), 0, 3_000)
    limits.record_named(U, rate, clock.now())
    return Permits("own", clock, limits, owners, lambda name: UPSTREAM), clock, limits


def acquire(permits, patience_ms=0, has_alternative=False):
    return asyncio.run(permits.acquire(UPSTREAM, patience_ms, has_alternative))


def test_lease_orders_count_as_requests():
    permits, clock, _ = make_permits()
    for _ in range(3):
        permits.record_unpermitted(UPSTREAM)
    assert acquire(permits) is None
    clock.advance(2_000)
    assert acquire(permits) is None
    clock.advance(1_000)
    assert acquire(permits) is not None


def test_permit_is_void_once_the_limit_has_changed_or_time_has_passed():
    permits, clock, limits = make_permits()
    permit = acquire(permits)
    assert permits.covers(UPSTREAM, permit)
    assert not permits.covers(UPSTREAM, None)
    clock.advance(PERMIT_VALID_MS)
    assert permits.covers(UPSTREAM, permit)
    clock.advance(1)
    assert not permits.covers(UPSTREAM, permit)
    clock.advance(2_000)
    permit = acquire(permits)
    limits.record_named(U, 0.5, clock.now())
    assert not permits.covers(UPSTREAM, permit)
    limits.record_unnamed(U, clock.now() + 1, clock.now() + 2)
    assert permits.covers(UPSTREAM, None)


def test_denied_instance_asks_again_when_the_next_permit_is_due():
    permits, clock, _ = make_permits()
    acquire(permits)
    assert permits.estimate_wait_ms(UPSTREAM) == 0
    assert acquire(permits, patience_ms=200) is None
    assert permits.estimate_wait_ms(UPSTREAM) == 1_000
    clock.advance(1_000 + ASK_SPREAD_MS + 2)
    assert permits.estimate_wait_ms(UPSTREAM) == 0


def test_without_an_owner_in_reach_nothing_is_sent():
    permits, clock, _ = make_permits(members=("p1", "p2"))
    verdicts = []
    permits.on_verdict = verdicts.append
    assert acquire(permits, patience_ms=1_000) is None
    assert verdicts == ["no_owner"]
    assert permits.estimate_wait_ms(UPSTREAM) == NO_OWNER_RETRY_MS


def test_ask_about_another_incarnation_gets_no_permit():
    permits, clock, _ = make_permits()
    replies = []
    permits.reply = lambda address, data: replies.append(decode_permit_message(data, clock.now()))
    for born_ms, verdict in ((7, Verdict.GRANTED), (8, Verdict.NOT_OWNER)):
        limit = LimitReport(Incarnation("u", born_ms), 1.0, clock.now())
        ask = PermitAsk(born_ms, limit, OwnerRole.PRIMARY, 0)
        permits.handle_datagram(encode_permit_message(ask, clock.now()), ("10.0.0.9", 7))
        assert replies[-1].verdict is verdict
