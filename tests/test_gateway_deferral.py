"""Deferral of long prompts: single decisions, and a simulated load of many long prompts."""

import pytest

from lentilwell.gateway._deferral import MAX_DEFERRAL_MS, find_deferral_ms
from lentilwell.gateway._placement_policies import Choice, Helper
from lentilwell.gateway._upstreams import Upstream
from standins.simulated_load import LONG, LONG_PROMPT_BURSTS, MIDDLE, share_on_time, simulate

SEEDS = (1, 2, 3, 4, 5, 6, 7, 8)


def upstream(number):
    return Upstream(f"u{number}", "s", f"127.0.0.1:{number}", "dc", 8, False)


@pytest.mark.parametrize(
    ("read_ms", "prefill_ahead_ms", "deferred_ms", "deferral_ms"),
    [
        (900.0, 150.0, 0, 150),
        (900.0, 15.0, 0, 0),
        (60.0, 150.0, 0, 0),
        (900.0, 1_700.0, 0, MAX_DEFERRAL_MS),
        (900.0, 400.0, 800, 200),
        (900.0, 400.0, MAX_DEFERRAL_MS, 0),
    ],
    ids=["long", "nearly read", "short passes", "longest", "rest", "no more"],
)
def test_long_prompt_is_deferred_until_the_backlog_is_read(
    read_ms, prefill_ahead_ms, deferred_ms, deferral_ms
):
    choice = Choice(upstream(0), (Helper(upstream(1)),), read_ms=read_ms)
    assert find_deferral_ms(choice, 3_000, prefill_ahead_ms, deferred_ms) == deferral_ms


def test_nothing_is_deferred_for_more_than_half_of_its_objective():
    choice = Choice(upstream(0), (Helper(upstream(1)),), read_ms=900.0)
    assert find_deferral_ms(choice, 300, 800.0, 0) == 150


def test_prompt_that_one_engine_reads_is_not_deferred():
    assert find_deferral_ms(Choice(upstream(0), read_ms=900.0), 3_000, 400.0, 0) == 0


def test_deferral_serves_many_long_prompts_better():
    """Bursts with five times the usual rate of the longest prompts.

    Callers with prompts of typically 45,000 tokens and more must benefit.
    """
    deferred = [
        one
        for seed in SEEDS
        for one in simulate("least_cost", LONG_PROMPT_BURSTS, seed, data_centres=3)
    ]
    immediate = [
        one
        for seed in SEEDS
        for one in simulate("least_cost", LONG_PROMPT_BURSTS, seed, 14, 3, defers=False)
    ]
    assert share_on_time(deferred, LONG) > share_on_time(immediate, LONG)
    assert share_on_time(deferred, MIDDLE) > share_on_time(immediate, MIDDLE)
    assert share_on_time(deferred, LONG) >= 0.9
