"""The share of requests that an upstream turns away: learned, shared, and forgotten in time."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilwell.gateway._books import Books, Job
from lentilwell.gateway._choice import POLICIES, Candidate, Wish
from lentilwell.gateway._messages import Prompt
from lentilwell.gateway._refusals import HALF_LIFE_MS, MAX_REPORTED, Refusals, ReportedTally, Tally
from lentilwell.gateway._upstreams import Upstream
from standins.batch import ENGINE

REFUSES_MOST = 0.8
REQUESTS = 300
GAP_MS = 150


def test_share_follows_what_is_turned_away():
    refusals = Refusals()
    for turn in range(40):
        refusals.record("u", refused=turn % 2 == 0, now=turn * 10)
    assert refusals.estimate_share("u", 400) == pytest.approx(0.5, abs=0.1)
    assert refusals.estimate_share("other", 400) == 0.0


def test_upstream_that_turned_all_away_is_worth_a_try_some_time_later():
    refusals = Refusals()
    for _ in range(5):
        refusals.record("u", refused=True, now=0)
    shares = [refusals.estimate_share("u", turn * HALF_LIFE_MS) for turn in range(7)]
    assert shares == sorted(shares, reverse=True)
    assert shares[0] > 0.8 and shares[-1] < 0.1


def test_counts_of_peers_are_added_and_replaced():
    refusals = Refusals()
    refusals.update_peer("p", [ReportedTally("u", Tally(4.0, 0.0, 0))])
    assert refusals.estimate_share("u", 0) == pytest.approx(0.8)
    refusals.record("u", refused=False, now=0)
    assert refusals.estimate_share("u", 0) == pytest.approx(4 / 6)
    refusals.update_peer("p", [])
    assert refusals.estimate_share("u", 0) == 0.0


def test_what_is_told_is_bounded_and_leaves_out_sound_upstreams():
    refusals = Refusals()
    refusals.record("sound", refused=False, now=0)
    for number in range(MAX_REPORTED + 5):
        refusals.record(f"u{number}", refused=True, now=0)
    told = refusals.list_reportable(0)
    assert len(told) == MAX_REPORTED
    assert "sound" not in {one.upstream for one in told}


def test_upstreams_that_are_not_listed_are_forgotten():
    refusals = Refusals()
    refusals.record("u", refused=True, now=0)
    refusals.keep_only({})
    assert refusals.estimate_share("u", 0) == 0.0


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 20_000)), max_size=60))
def test_share_is_a_chance_whatever_comes(answers):
    refusals, now = Refusals(), 0
    for refused, step in answers:
        now += step
        refusals.record("u", refused, now)
        assert 0.0 <= refusals.estimate_share("u", now) < 1.0


def play_shedding(last_send, learns, seed):
    """Send requests to three upstreams of which two shed; return how many were turned away."""
    chance, refusals, rejected = random.Random(seed), Refusals(), 0
    upstreams = [Upstream(f"u{n}", "s", f"127.0.0.1:{n}", "dc", 6, False) for n in range(3)]
    books = Books()
    for turn in range(REQUESTS):
        now = turn * GAP_MS
        wish = Wish(None, None, 200, 250, 0, now, chance.random(), last_send)
        candidates = [
            Candidate(
                one,
                books.measure(one.name, now),
                near=one.name != "u0",
                refusing=refusals.estimate_share(one.name, now) if learns else 0.0,
            )
            for one in upstreams
        ]
        name = POLICIES["least_outstanding"](wish, candidates).upstream.name
        refused = name != "u0" and chance.random() < REFUSES_MOST
        refusals.record(name, refused, now)
        rejected += refused
    return rejected


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("last_send", [True, False])
def test_played_shedding_turns_few_requests_away(seed, last_send):
    """Two near upstreams of three shed most of what they get; the sound one is far away."""
    assert play_shedding(last_send, learns=False, seed=seed) > 0.7 * REQUESTS
    assert play_shedding(last_send, learns=True, seed=seed) < 0.08 * REQUESTS


def test_service_of_which_every_upstream_sheds_a_little_uses_all_of_them():
    refusals, used = Refusals(), set()
    upstreams = [Upstream(f"u{n}", "s", f"127.0.0.1:{n}", "dc", 6, False) for n in range(3)]
    chance = random.Random(1)
    books = Books()
    for turn in range(REQUESTS):
        now = turn * GAP_MS
        wish = Wish(None, None, 200, 250, 0, now, chance.random(), last_send=True)
        candidates = [
            Candidate(
                one,
                books.measure(one.name, now),
                True,
                refusing=refusals.estimate_share(one.name, now),
            )
            for one in upstreams
        ]
        name = POLICIES["least_outstanding"](wish, candidates).upstream.name
        used.add(name)
        refusals.record(name, chance.random() < 0.1, now)
    assert used == {"u0", "u1", "u2"}


def test_engine_that_turns_work_away_is_passed_over_for_a_busier_one():
    upstreams = [Upstream(f"u{n}", "s", f"127.0.0.1:{n}", "dc", 8, False) for n in range(2)]
    books = Books()
    books.add(Job("j", "u0", 0, 20.0, 1_000))
    wish = Wish(Prompt(5_000, 100), ENGINE, 300, 250, 0, 0, 0.0, last_send=True)
    candidates = [
        Candidate(one, books.measure(one.name, 0), True, refusing=0.6 * (one.name == "u1"))
        for one in upstreams
    ]
    assert POLICIES["least_cost"](wish, candidates).upstream.name == "u0"
