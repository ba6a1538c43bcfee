"""The estimated share of requests that an upstream refuses: observed, reported and decayed."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilwell.gateway._load_tracker import Job, LoadTracker
from lentilwell.gateway._messages import Prompt
from lentilwell.gateway._placement_policies import POLICIES, Candidate, PlacementRequest
from lentilwell.gateway._refusals import HALF_LIFE_MS, MAX_REPORTED, Refusals, ReportedTally, Tally
from lentilwell.gateway._upstreams import Upstream
from standins.batch import ENGINE

SHED_SHARE = 0.8
REQUESTS = 300
GAP_MS = 150


def test_estimate_follows_the_observed_refusals():
    refusals = Refusals()
    for turn in range(40):
        refusals.record("u", refused=turn % 2 == 0, now=turn * 10)
    assert refusals.estimate_share("u", 400) == pytest.approx(0.5, abs=0.1)
    assert refusals.estimate_share("other", 400) == 0.0


def test_estimate_for_an_upstream_that_refused_everything_decays():
    refusals = Refusals()
    for _ in range(5):
        refusals.record("u", refused=True, now=0)
    shares = [refusals.estimate_share("u", turn * HALF_LIFE_MS) for turn in range(7)]
    assert shares == sorted(shares, reverse=True)
    assert shares[0] > 0.8 and shares[-1] < 0.1


def test_counts_reported_by_peers_are_added_and_replaced():
    refusals = Refusals()
    refusals.update_peer("p", [ReportedTally("u", Tally(4.0, 0.0, 0))])
    assert refusals.estimate_share("u", 0) == pytest.approx(0.8)
    refusals.record("u", refused=False, now=0)
    assert refusals.estimate_share("u", 0) == pytest.approx(4 / 6)
    refusals.update_peer("p", [])
    assert refusals.estimate_share("u", 0) == 0.0


def test_reported_tallies_are_bounded_and_leave_out_upstreams_without_refusals():
    refusals = Refusals()
    refusals.record("sound", refused=False, now=0)
    for number in range(MAX_REPORTED + 5):
        refusals.record(f"u{number}", refused=True, now=0)
    reported = refusals.list_reportable(0)
    assert len(reported) == MAX_REPORTED
    assert "sound" not in {one.upstream for one in reported}


def test_tallies_of_unlisted_upstreams_are_removed():
    refusals = Refusals()
    refusals.record("u", refused=True, now=0)
    refusals.keep_only({})
    assert refusals.estimate_share("u", 0) == 0.0


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 20_000)), max_size=60))
def test_estimate_is_a_probability_for_any_answers(answers):
    refusals, now = Refusals(), 0
    for refused, step in answers:
        now += step
        refusals.record("u", refused, now)
        assert 0.0 <= refusals.estimate_share("u", now) < 1.0


def simulate_shedding(last_send, uses_refusals, seed):
    """Send requests to three upstreams of which two shed load; return how many were refused."""
    rng, refusals, rejected = random.Random(seed), Refusals(), 0
    upstreams = [Upstream(f"u{n}", "s", f"127.0.0.1:{n}", "dc", 6, False) for n in range(3)]
    load_tracker = LoadTracker()
    for turn in range(REQUESTS):
        now = turn * GAP_MS
        request = PlacementRequest(None, None, 200, 250, 0, now, rng.random(), last_send)
        candidates = [
            Candidate(
                one,
                load_tracker.measure_load(one.name, now),
                is_local=one.name != "u0",
                refusal_share=refusals.estimate_share(one.name, now) if uses_refusals else 0.0,
            )
            for one in upstreams
        ]
        name = POLICIES["least_outstanding"](request, candidates).upstream.name
        refused = name != "u0" and rng.random() < SHED_SHARE
        refusals.record(name, refused, now)
        rejected += refused
    return rejected


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("last_send", [True, False])
def test_few_requests_are_refused_while_two_upstreams_shed_load(seed, last_send):
    """Two local upstreams shed most requests; the healthy one is in another data centre."""
    assert simulate_shedding(last_send, uses_refusals=False, seed=seed) > 0.7 * REQUESTS
    assert simulate_shedding(last_send, uses_refusals=True, seed=seed) < 0.08 * REQUESTS


def test_all_upstreams_are_used_if_each_sheds_a_small_share():
    refusals, used = Refusals(), set()
    upstreams = [Upstream(f"u{n}", "s", f"127.0.0.1:{n}", "dc", 6, False) for n in range(3)]
    rng = random.Random(1)
    load_tracker = LoadTracker()
    for turn in range(REQUESTS):
        now = turn * GAP_MS
        request = PlacementRequest(None, None, 200, 250, 0, now, rng.random(), last_send=True)
        candidates = [
            Candidate(
                one,
                load_tracker.measure_load(one.name, now),
                True,
                refusal_share=refusals.estimate_share(one.name, now),
            )
            for one in upstreams
        ]
        name = POLICIES["least_outstanding"](request, candidates).upstream.name
        used.add(name)
        refusals.record(name, rng.random() < 0.1, now)
    assert used == {"u0", "u1", "u2"}


def test_busier_engine_is_preferred_over_one_that_refuses_requests():
    upstreams = [Upstream(f"u{n}", "s", f"127.0.0.1:{n}", "dc", 8, False) for n in range(2)]
    load_tracker = LoadTracker()
    load_tracker.add(Job("j", "u0", 0, 20.0, 1_000))
    request = PlacementRequest(Prompt(5_000, 100), ENGINE, 300, 250, 0, 0, 0.0, last_send=True)
    candidates = [
        Candidate(
            one,
            load_tracker.measure_load(one.name, 0),
            True,
            refusal_share=0.6 * (one.name == "u1"),
        )
        for one in upstreams
    ]
    assert POLICIES["least_cost"](request, candidates).upstream.name == "u0"
