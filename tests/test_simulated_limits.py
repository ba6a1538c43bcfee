"""A shared rate limit in simulated time: lost datagrams, cuts, restarts, new instances."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.limit_rule import find_allowed
from standins.simulated_limits import Fault, LimitLoad, play_limits

SIZES = (3, 12, 24, 78, 340)
# The share of the named rate that is to be used when more is asked for.
USED_SHARE = 0.8
SLOW_REFUSAL_MS = 400

FAULTS = st.lists(
    st.builds(
        Fault,
        st.sampled_from(["kill", "freeze", "cut"]),
        st.integers(500, 9_000),
        st.integers(200, 6_000),
        st.sampled_from([0.05, 0.3, 0.6, 1.0]),
    ),
    max_size=4,
)
LOADS = st.builds(
    LimitLoad,
    instances=st.integers(1, 24),
    rate=st.sampled_from([0.0, 0.25, 1.0, 5.0, 40.0]),
    calls_per_s=st.sampled_from([3.0, 30.0, 120.0]),
    seconds=st.just(12.0),
    loss=st.sampled_from([0.0, 0.05, 0.3, 1.0]),
    faults=FAULTS.map(tuple),
    joins=st.sampled_from([0, 0, 1, 6]),
    seed=st.integers(0, 10_000),
)


@pytest.mark.parametrize("instances", SIZES)
@pytest.mark.parametrize("rate", [0.25, 1.0, 5.0, 40.0])
def test_limit_is_kept_and_used_at_every_size(instances, rate):
    result = play_limits(LimitLoad(instances, rate, calls_per_s=max(8.0, 4 * rate)))
    assert result.worst_window <= find_allowed(rate)
    assert result.used >= USED_SHARE
    assert result.slowest_refusal_ms < SLOW_REFUSAL_MS


@settings(max_examples=150)
@given(LOADS)
def test_no_window_is_broken_by_losses_cuts_restarts_and_new_instances(load):
    result = play_limits(load)
    assert result.excused_window <= find_allowed(load.rate)


@pytest.mark.parametrize("kind", ["kill", "cut"])
@pytest.mark.parametrize("rate", [1.0, 40.0])
def test_instances_that_come_back_keep_the_limit_though_nobody_excuses_them(kind, rate):
    faults = tuple(Fault(kind, at_ms, 1_500, 0.5) for at_ms in range(2_000, 17_000, 3_000))
    result = play_limits(LimitLoad(12, rate, calls_per_s=4 * rate + 20, faults=faults))
    assert result.worst_window <= find_allowed(rate)


@pytest.mark.parametrize("instances", [3, 24, 78])
@pytest.mark.parametrize("rate", [1.0, 5.0])
def test_end_of_a_limit_is_learned_within_two_seconds(instances, rate):
    load = LimitLoad(instances, rate, calls_per_s=6.0 * instances, seconds=12.0, ends_at_ms=10_000)
    assert play_limits(load).still_limited == 0


def test_lost_datagrams_leave_a_part_of_the_rate():
    load = LimitLoad(12, 10.0, calls_per_s=60.0, loss=0.3)
    result = play_limits(load)
    assert result.used >= 0.25
    assert result.worst_window <= find_allowed(load.rate)
