"""What is condemned over many simulated crashes, by figures."""

import random

import pytest

from standins.deadly_requests import MAX_LATE_ARRIVALS
from standins.simulated_crashes import HARMFUL, CrashSimulation, Load
from standins.simulated_cuts import CutLoad, CutSimulation

SEEDS = 10
MANY_SEEDS = 100


def play(load, seconds, seeds=SEEDS):
    runs = [CrashSimulation(load, random.Random(seed)) for seed in range(seeds)]
    for run in runs:
        run.run(seconds)
    return runs


@pytest.mark.parametrize(
    "load",
    [
        Load(engine_crashes=1.0),
        Load(rack_crashes=0.2),
        Load(engine_crashes=1.0, documents=2_000),
        Load(requests=100.0, engine_crashes=0.5, rack_crashes=0.1),
    ],
)
def test_crashes_without_a_harmful_part_condemn_nothing(load):
    runs = play(load, 30.0)
    assert sum(run.crashes for run in runs) > 100
    assert not any(run.condemned for run in runs)


@pytest.mark.parametrize("harmful_per_s", [0.3, 1.0, 4.0])
def test_harmful_part_is_condemned_after_few_crashes_and_others_are_served(harmful_per_s):
    runs = play(Load(harmful=harmful_per_s), 40.0, MANY_SEEDS)
    before = sorted(run.crashes_before for run in runs)
    assert before[MANY_SEEDS // 2] <= 4 and before[-1] <= 10
    assert all(HARMFUL in run.condemned for run in runs)
    assert sum(run.refused_sound for run in runs) <= 1


def test_harmful_part_is_found_among_crashes_for_other_reasons():
    runs = play(Load(harmful=1.0, engine_crashes=0.3, rack_crashes=0.05), 40.0)
    assert all(HARMFUL in run.condemned for run in runs)
    served = sum(run.numbers for run in runs)
    assert sum(run.refused_sound for run in runs) <= served / 1_000


def play_cuts(load):
    runs = [CutSimulation(load, random.Random(seed)) for seed in range(MANY_SEEDS)]
    for run in runs:
        run.run(20.0)
    return runs


@pytest.mark.parametrize(
    "load",
    [
        CutLoad(crashes=1.0),
        CutLoad(requests=100.0, hot=0.9, rack_crashes=0.4),
        CutLoad(crashes=0.5, rack_crashes=0.1, power_losses=0.05),
        CutLoad(hot=0.9, crashes=1.0),
        CutLoad(grey=2, reset_share=0.4),
    ],
)
def test_requests_that_come_again_after_crashes_are_not_refused(load):
    runs = play_cuts(load)
    assert sum(run.refused for run in runs) <= sum(run.sound for run in runs) / 1_000


@pytest.mark.parametrize(
    "load",
    [
        CutLoad(deadly=1),
        CutLoad(deadly=4),
        CutLoad(deadly=2, crashes=1.0, rack_crashes=0.1),
        CutLoad(deadly=2, grey=4, reset_share=0.4),
    ],
)
def test_deadly_requests_are_known_after_few_crashes_and_others_are_served(load):
    runs = play_cuts(load)
    assert sum(run.refused for run in runs) <= sum(run.sound for run in runs) / 1_000
    crashes = sorted(len(times) for run in runs for times in run.crashes_under.values())
    assert crashes[len(crashes) // 2] <= 4 and crashes[-1] <= 8
    late = [run.count_late(name) for run in runs for name in run.arrivals]
    assert max(late) <= MAX_LATE_ARRIVALS
