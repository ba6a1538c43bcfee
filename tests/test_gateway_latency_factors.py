"""Latency factors: learned from first events, used for placement, and decayed over time."""

from lentilwell.gateway._latency_factors import DECAY_MS, MAX_FACTOR, LatencyFactors
from lentilwell.gateway._least_cost import choose_least_cost
from lentilwell.gateway._load_tracker import Load
from lentilwell.gateway._messages import Prompt
from lentilwell.gateway._placement_policies import Candidate, PlacementRequest
from lentilwell.gateway._upstreams import Upstream
from standins.batch import ENGINE


def test_factor_of_a_slow_upstream_is_learned_and_decays():
    factors = LatencyFactors()
    for now in (0, 100, 200):
        factors.record_sample("u", 100.0, 400.0, now)
    assert 2.5 <= factors.find("u", 200) <= 4.0
    assert factors.find("u", 200 + DECAY_MS) == 1.0
    assert factors.find("other", 200) == 1.0


def test_one_sample_moves_a_factor_by_a_bounded_step():
    factors = LatencyFactors()
    factors.record_sample("u", 100.0, 1e9, 0)
    assert factors.find("u", 0) < MAX_FACTOR / 2
    factors.record_sample("v", 1.0, 1_000.0, 0)
    assert factors.find("v", 0) == 1.0


def test_prompts_go_to_a_slow_engine_only_if_the_others_are_busy():
    upstreams = [Upstream(f"u{n}", "s", f"127.0.0.1:{n}", "dc", 8, False) for n in (1, 2)]
    request = PlacementRequest(Prompt(5_000, 100), ENGINE, 300, 250, 0, 0, 0.0)
    slow = Candidate(upstreams[0], Load(), True, latency_factor=4.0)
    idle = Candidate(upstreams[1], Load(), True)
    busy = Candidate(upstreams[1], Load(backlog_ms=3_000.0), True)
    assert choose_least_cost(request, [slow, idle]).upstream.name == "u2"
    assert choose_least_cost(request, [slow, busy]).upstream.name == "u1"


def test_factors_of_unlisted_upstreams_are_removed():
    factors = LatencyFactors()
    factors.record_sample("gone", 100.0, 400.0, 0)
    factors.record_sample("listed", 100.0, 400.0, 0)
    factors.keep_only({"listed"})
    assert factors.find("gone", 0) == 1.0 and factors.find("listed", 0) > 1.0
