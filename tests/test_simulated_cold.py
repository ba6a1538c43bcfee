"""Cold upstreams in simulated time: every sliding second stays within the bounds."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilwell.gateway import ColdBounds, ColdRules
from standins.simulated_cold import ColdLoad, play_cold_start

# The share of ``cold_per_s`` that is to be used when more is asked for.
USED_SHARE = 0.8
SITES = (3, 24)

LOADS = st.builds(
    ColdLoad,
    instances=st.integers(1, 12),
    rules=st.builds(
        ColdRules, st.sampled_from([1_500, 3_000]), st.sampled_from([0.5, 2.0, 14.0, 60.0])
    ),
    bounds=st.sampled_from([ColdBounds(), ColdBounds(1.2, 6.0)]),
    calls_per_s=st.sampled_from([20.0, 60.0]),
    upstreams=st.sampled_from([1, 2]),
    restarts=st.just(True),
    loss=st.sampled_from([0.0, 0.05, 0.3, 1.0]),
    gone_owners=st.integers(0, 2),
    joins=st.sampled_from([0, 0, 1, 6]),
    deaf=st.sampled_from([0.0, 0.0, 0.3, 1.0]),
    seed=st.integers(0, 10_000),
)


@pytest.mark.parametrize("instances", SITES)
@pytest.mark.parametrize("restarts", [True, False])
def test_rate_of_a_cold_upstream_is_kept_and_used(instances, restarts):
    """Guards against shares for each instance: 100 of them have one request each at once."""
    load = ColdLoad(instances, restarts=restarts)
    result = play_cold_start(load)
    assert result.worst_window <= load.allowed
    assert result.sent >= USED_SHARE * load.rules.per_s * load.rules.start_ms / 1_000
    assert result.sent_warm >= load.calls_per_s


@settings(max_examples=40)
@given(LOADS)
def test_no_second_is_over_with_lost_owners_lost_datagrams_and_new_instances(load):
    assert play_cold_start(load).worst_window <= load.allowed


@pytest.mark.parametrize("gone_owners", [1, 2])
def test_lost_owners_leave_the_upstream_to_the_others_once_it_is_warm(gone_owners):
    """Guards against a cold time that does not end because nobody issues permits."""
    load = ColdLoad(12, gone_owners=gone_owners)
    result = play_cold_start(load)
    assert result.worst_window <= load.allowed
    assert result.sent_warm >= load.calls_per_s


@pytest.mark.parametrize("downtime_ms", [0, 500])
@pytest.mark.parametrize("deaf", [0.1, 0.3, 0.6, 1.0])
@pytest.mark.parametrize("calls_per_s", [40.0, 100.0])
@pytest.mark.parametrize("instances", SITES)
def test_instances_that_the_store_does_not_reach_learn_from_answers_and_others(
    deaf, calls_per_s, instances, downtime_ms
):
    """Guards against two sets of owners, and against an earlier start that counts as warm."""
    for seed in range(2):
        load = ColdLoad(
            instances, calls_per_s=calls_per_s, downtime_ms=downtime_ms, deaf=deaf, seed=seed
        )
        assert play_cold_start(load).worst_window <= load.allowed


@pytest.mark.parametrize("calls_per_s", [40.0, 100.0])
@pytest.mark.parametrize("deaf", [0.0, 1.0])
def test_upstream_that_becomes_cold_under_traffic_stays_within_the_bounds(calls_per_s, deaf):
    """Guards against permits on top of what was sent before anyone knew."""
    for seed in range(3):
        load = ColdLoad(24, calls_per_s=calls_per_s, restarts=False, deaf=deaf, seed=seed)
        assert play_cold_start(load).worst_window <= load.allowed


def test_data_centre_that_returns_cold_at_once_uses_every_upstream():
    load = ColdLoad(12, upstreams=12, calls_per_s=20.0)
    result = play_cold_start(load)
    assert result.worst_window <= load.allowed
    sent_each = result.sent / load.upstreams
    assert sent_each >= USED_SHARE * load.rules.per_s * load.rules.start_ms / 1_000


def test_owners_that_the_store_does_not_reach_issue_permits_for_the_new_start():
    """Guards against a restarted upstream that gets nothing since its owners do not list it."""
    for seed in range(4):
        load = ColdLoad(12, deaf=0.3, seed=seed)
        result = play_cold_start(load)
        assert result.sent >= USED_SHARE * load.rules.per_s * load.rules.start_ms / 1_000
