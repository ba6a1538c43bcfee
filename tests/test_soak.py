"""The soak's plan and checks, and one short run of real processes by a fixed seed."""

import pytest

from soak.checks import ANNOUNCEMENT_SLACK_MS, CHECKS, find_violations
from soak.deployment import FAULT_ACTIONS
from soak.observations import Announcement, Arrival, Call, Kind, Observations, RouteProbe, Trouble
from soak.plan import FAULT_WEIGHTS, draw_plan
from soak.run import run_seed

FAULT_FREE_SINCE = 20_000


def make_call(request="a", kind=Kind.BOOKING, sent_at=1_000, took_ms=50, **changes):
    fields = {"status": 200, "whole": True, **changes}
    return Call(request, kind, "n0", sent_at, sent_at + took_ms, 2_000, **fields)


def make_arrival(request="a", at=1_010, ran=True, upstream="d0"):
    return Arrival(request, upstream, 1, "n0", at, ran)


def make_observations(**changes):
    """Return what a sound run leaves behind."""
    calls = [make_call(f"calm{n}", Kind.LOOKUP, FAULT_FREE_SINCE + n) for n in range(20)]
    observations = Observations(calls=calls, fault_free_since=FAULT_FREE_SINCE)
    for name, values in changes.items():
        getattr(observations, name).extend(values)
    observations.logged_requests.update(call.request for call in observations.calls)
    return observations


def test_sound_run_breaks_nothing():
    assert find_violations(make_observations(calls=[make_call()], arrivals=[make_arrival()])) == []


@pytest.mark.parametrize(
    ("name", "changes"),
    [
        (
            "at most once",
            {"calls": [make_call()], "arrivals": [make_arrival(), make_arrival(at=1_020)]},
        ),
        ("not run is true", {"calls": [make_call(status=503)], "arrivals": [make_arrival()]}),
        ("whole and own answers", {"calls": [make_call(missing="it belongs to b")]}),
        ("ended in time", {"calls": [make_call(took_ms=3_500)]}),
        ("answered", {"calls": [make_call(status=None, whole=False)]}),
        (
            "nothing new after its word",
            {
                "calls": [make_call(sent_at=2_000)],
                "arrivals": [make_arrival(at=2_001)],
                "announcements": [
                    Announcement("d0", 1, "n0", 2_000 - 2 * ANNOUNCEMENT_SLACK_MS, leaving=True)
                ],
            },
        ),
        ("retry budget", {"arrivals": [make_arrival(f"r{n % 110}", at=n) for n in range(400)]}),
    ],
)
def test_each_broken_promise_is_found(name, changes):
    assert {
        violation.split(":")[0] for violation in find_violations(make_observations(**changes))
    } == {name}


def test_memory_configuration_and_recovery_are_checked():
    memory_kept = make_observations()
    memory_kept.unreleased_tickets = ("e0/t",)
    assert find_violations(memory_kept) == ["memory is given back: e0/t is still held"]
    outdated = make_observations(probes=[RouteProbe(2, "n0", 1, 9_000, 404)])
    outdated.version_times[2] = 1_000
    assert find_violations(outdated)
    fallen_back = make_observations(
        probes=[RouteProbe(2, "n0", 1, 1_100, 200), RouteProbe(2, "n0", 1, 1_200, 404)]
    )
    fallen_back.version_times[2] = 1_000
    assert find_violations(fallen_back)
    unserved = Observations(
        calls=[make_call(f"c{n}", Kind.LOOKUP, FAULT_FREE_SINCE, status=503) for n in range(20)],
        fault_free_since=FAULT_FREE_SINCE,
    )
    assert find_violations(unserved)


def test_trouble_excuses_only_its_instance_and_time():
    cut_off = make_call(status=None, whole=False)
    assert not find_violations(
        make_observations(calls=[cut_off], troubles=[Trouble("n0", 0, 1_000)])
    )
    assert find_violations(make_observations(calls=[cut_off], troubles=[Trouble("n1", 0, 5_000)]))
    assert find_violations(make_observations(calls=[cut_off], troubles=[Trouble("n0", 0, 900)]))


def test_call_that_crossed_the_close_of_its_connection_was_read_by_nobody():
    """Soak seeds 1808274705 and 1: written into a kept connection that a stop was closing."""
    cut_off = make_call(status=None, whole=False)
    observations = make_observations(calls=[cut_off])
    assert find_violations(observations)
    observations.logged_requests.discard(cut_off.request)
    assert not find_violations(observations)
    observations.arrivals.append(make_arrival())
    assert find_violations(observations)


def test_word_that_a_cut_held_back_binds_nobody():
    """Soak seed 62067747: the refusal with its time stood in a connection cut one way."""
    changes = {
        "calls": [make_call(sent_at=2_000)],
        "arrivals": [make_arrival(at=2_001)],
        "announcements": [Announcement("d0", 1, "n0", 1_000, leaving=True)],
    }
    assert find_violations(make_observations(**changes))
    assert not find_violations(make_observations(**changes, troubles=[Trouble("d0", 900, 2_500)]))
    assert find_violations(make_observations(**changes, troubles=[Trouble("d1", 900, 2_500)]))


def test_plan_depends_on_its_seed_alone_and_every_kind_can_be_played():
    assert draw_plan(7, 8_000) == draw_plan(7, 8_000) != draw_plan(8, 8_000)
    assert set(FAULT_WEIGHTS) == set(FAULT_ACTIONS)
    assert len(CHECKS) == 10


@pytest.mark.timeout(120)
def test_short_run_of_real_processes_keeps_all_promises():
    assert run_seed(1, 4_000, instances=2).violations == ()
