"""Slow upstreams are learned from first events, avoided, and forgiven."""

from lentilwell.gateway._books import Load
from lentilwell.gateway._choice import Candidate, Wish
from lentilwell.gateway._least_cost import choose_least_cost
from lentilwell.gateway._messages import Prompt
from lentilwell.gateway._paces import FORGET_MS, SLOWEST, Paces
from lentilwell.gateway._upstreams import Upstream
from standins.batch import ENGINE


def test_slow_upstream_is_learned_and_forgotten():
    paces = Paces()
    for now in (0, 100, 200):
        paces.learn("u", 100.0, 400.0, now)
    assert 2.5 <= paces.find("u", 200) <= 4.0
    assert paces.find("u", 200 + FORGET_MS) == 1.0
    assert paces.find("other", 200) == 1.0


def test_one_sample_moves_it_by_a_bounded_step():
    paces = Paces()
    paces.learn("u", 100.0, 1e9, 0)
    assert paces.find("u", 0) < SLOWEST / 2
    paces.learn("v", 1.0, 1_000.0, 0)
    assert paces.find("v", 0) == 1.0


def test_prompts_avoid_slow_engines_but_take_them_where_others_are_busy():
    upstreams = [Upstream(f"u{n}", "s", f"127.0.0.1:{n}", "dc", 8, False) for n in (1, 2)]
    wish = Wish(Prompt(5_000, 100), ENGINE, 300, 250, 0, 0, 0.0)
    slow = Candidate(upstreams[0], Load(), True, pace=4.0)
    idle = Candidate(upstreams[1], Load(), True)
    busy = Candidate(upstreams[1], Load(backlog_ms=3_000.0), True)
    assert choose_least_cost(wish, [slow, idle]).upstream.name == "u2"
    assert choose_least_cost(wish, [slow, busy]).upstream.name == "u1"


def test_upstreams_that_are_gone_are_forgotten():
    paces = Paces()
    paces.learn("gone", 100.0, 400.0, 0)
    paces.learn("listed", 100.0, 400.0, 0)
    paces.keep_only({"listed"})
    assert paces.find("gone", 0) == 1.0 and paces.find("listed", 0) > 1.0
