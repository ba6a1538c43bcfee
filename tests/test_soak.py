"""The soak's plan and checks, and one short run of real processes by a fixed seed."""

import pytest

from soak.checks import CHECKS, SAID_SLACK_MS, find_violations
from soak.observations import Arrival, Call, Kind, Look, Observations, Said, Trouble
from soak.plan import WEIGHTS, draw_plan
from soak.run import run_seed
from soak.world import FAULTS

CALM_AT = 20_000


def call(request="a", kind=Kind.BOOKING, sent_at=1_000, took_ms=50, **changes):
    known = {"status": 200, "whole": True, **changes}
    return Call(request, kind, "n0", sent_at, sent_at + took_ms, 2_000, **known)


def arrival(request="a", at=1_010, ran=True, upstream="d0"):
    return Arrival(request, upstream, 1, "n0", at, ran)


def sound(**changes):
    """Return what a sound run leaves behind."""
    calm = [call(f"calm{n}", Kind.LOOKUP, CALM_AT + n) for n in range(20)]
    seen = Observations(calls=calm, calm_since=CALM_AT)
    for name, more in changes.items():
        getattr(seen, name).extend(more)
    seen.logged.update(one.request for one in seen.calls)
    return seen


def test_sound_run_breaks_nothing():
    assert find_violations(sound(calls=[call()], arrivals=[arrival()])) == []


@pytest.mark.parametrize(
    ("name", "changes"),
    [
        ("at most once", {"calls": [call()], "arrivals": [arrival(), arrival(at=1_020)]}),
        ("not run is true", {"calls": [call(status=503)], "arrivals": [arrival()]}),
        ("whole and own answers", {"calls": [call(missing="it belongs to b")]}),
        ("ended in time", {"calls": [call(took_ms=3_500)]}),
        ("answered", {"calls": [call(status=None, whole=False)]}),
        (
            "nothing new after its word",
            {
                "calls": [call(sent_at=2_000)],
                "arrivals": [arrival(at=2_001)],
                "said": [Said("d0", 1, "n0", 2_000 - 2 * SAID_SLACK_MS, leaving=True)],
            },
        ),
        ("retry budget", {"arrivals": [arrival(f"r{n % 110}", at=n) for n in range(400)]}),
    ],
)
def test_each_broken_promise_is_found(name, changes):
    assert {what.split(":")[0] for what in find_violations(sound(**changes))} == {name}


def test_memory_configuration_and_recovery_are_checked():
    held = sound()
    held.held_tickets = ("e0/t",)
    assert find_violations(held) == ["memory is given back: e0/t is still held"]
    old = sound(looks=[Look(2, "n0", 1, 9_000, 404)])
    old.versions[2] = 1_000
    assert find_violations(old)
    fallen_back = sound(looks=[Look(2, "n0", 1, 1_100, 200), Look(2, "n0", 1, 1_200, 404)])
    fallen_back.versions[2] = 1_000
    assert find_violations(fallen_back)
    unserved = Observations(
        calls=[call(f"c{n}", Kind.LOOKUP, CALM_AT, status=503) for n in range(20)],
        calm_since=CALM_AT,
    )
    assert find_violations(unserved)


def test_trouble_excuses_only_its_instance_and_time():
    cut = call(status=None, whole=False)
    assert not find_violations(sound(calls=[cut], troubles=[Trouble("n0", 0, 1_000)]))
    assert find_violations(sound(calls=[cut], troubles=[Trouble("n1", 0, 5_000)]))
    assert find_violations(sound(calls=[cut], troubles=[Trouble("n0", 0, 900)]))


def test_call_that_crossed_the_close_of_its_connection_was_read_by_nobody():
    """Soak seeds 1808274705 and 1: written into a kept connection that a stop was closing."""
    cut = call(status=None, whole=False)
    seen = sound(calls=[cut])
    assert find_violations(seen)
    seen.logged.discard(cut.request)
    assert not find_violations(seen)
    seen.arrivals.append(arrival())
    assert find_violations(seen)


def test_word_that_a_cut_held_back_binds_nobody():
    """Soak seed 62067747: the refusal with its time stood in a connection cut one way."""
    told = {
        "calls": [call(sent_at=2_000)],
        "arrivals": [arrival(at=2_001)],
        "said": [Said("d0", 1, "n0", 1_000, leaving=True)],
    }
    assert find_violations(sound(**told))
    assert not find_violations(sound(**told, troubles=[Trouble("d0", 900, 2_500)]))
    assert find_violations(sound(**told, troubles=[Trouble("d1", 900, 2_500)]))


def test_plan_depends_on_its_seed_alone_and_every_kind_can_be_played():
    assert draw_plan(7, 8_000) == draw_plan(7, 8_000) != draw_plan(8, 8_000)
    assert set(WEIGHTS) == set(FAULTS)
    assert len(CHECKS) == 10


@pytest.mark.timeout(120)
def test_short_run_of_real_processes_keeps_all_promises():
    assert run_seed(1, 4_000, instances=2).violations == ()
