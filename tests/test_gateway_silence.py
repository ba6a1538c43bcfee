"""Silence: doubt, probes, and the proof that an upstream lives."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilwell.gateway._silence import (
    PROBE_MS,
    PROOF_MS,
    Silence,
    Verdict,
    find_longest_ms,
    judge_silence,
)
from tests.gateway_world import make_route


@pytest.mark.parametrize(
    ("silence", "verdict"),
    [
        (Silence(0, 600, 1_200, None, None), Verdict(300)),
        (Silence(300, 600, 1_200, None, None), Verdict(600, probe=True)),
        (Silence(500, 600, 1_200, None, 300), Verdict(600)),
        (Silence(600, 600, 1_200, None, 300), Verdict(600)),
        (Silence(600, 600, 1_200, 100, 300), Verdict(1_200)),
        (Silence(600, 600, 9_000, 100, 300), Verdict(1_500)),
        (Silence(1_500, 600, 9_000, 1_000, 300), Verdict(1_800, probe=True)),
        (Silence(1_800, 600, 9_000, 1_300, 1_500), Verdict(1_800)),
        (Silence(1_800, 600, 9_000, 5, 1_500), Verdict(2_795)),
        (Silence(9_000, 600, 9_000, 5, 8_000), Verdict(9_000)),
    ],
)
def test_verdict_on_a_silence(silence, verdict):
    assert judge_silence(silence) == verdict


silences = st.builds(
    Silence,
    silent_ms=st.integers(0, 20_000),
    limit_ms=st.integers(1, 5_000),
    longest_ms=st.integers(5_000, 12_000),
    proof_age_ms=st.none() | st.integers(0, 20_000),
    probed_at_ms=st.none() | st.integers(0, 20_000),
)


@given(silences)
def test_nothing_is_waited_for_beyond_the_longest(silence):
    assert judge_silence(silence).until_ms <= silence.longest_ms


@given(silences)
def test_dead_upstream_is_given_up_within_a_probe_of_its_limit(silence):
    if silence.proof_age_ms is None and silence.probed_at_ms is not None:
        late = silence.silent_ms >= max(silence.limit_ms, silence.probed_at_ms + PROBE_MS)
        fresh = silence.silent_ms - silence.probed_at_ms < PROOF_MS
        if late and fresh:
            assert judge_silence(silence).until_ms <= silence.silent_ms


def test_living_upstream_is_waited_for_while_a_rescue_is_still_in_time():
    assert find_longest_ms(make_route("stream"), 500) == 1_200
    assert find_longest_ms(make_route("stream", objective_ms=3_000), 500) == 11_200
    assert find_longest_ms(make_route("stream"), 3_000) == 3_000
