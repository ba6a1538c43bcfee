"""Tests of the soak's fault plan and checks, and a short run of real processes."""

import asyncio
from types import SimpleNamespace

import pytest

from lentilwell._clock import BootClock
from soak.checks import ANNOUNCEMENT_SLACK_MS, CHECKS, find_violations
from soak.faults import FAULT_ACTIONS
from soak.faulty_server import FaultyServer
from soak.observations import (
    Announcement,
    Arrival,
    Call,
    DeadlyArrival,
    Kind,
    LimitNaming,
    LimitPeriod,
    Observations,
    PausedAnswer,
    RouteProbe,
    Trouble,
)
from soak.plan import DEADLY_FAULT, FAULT_WEIGHTS, Fault, draw_plan
from soak.run import run_seed
from standins.answer_reader import read_answer
from standins.pauses import NO_PAUSE, Pause, PausePoint

FAULT_FREE_SINCE = 20_000


def make_call(request="a", kind=Kind.BOOKING, sent_at=1_000, took_ms=50, **changes):
    fields = {"status": 200, "whole": True, **changes}
    return Call(request, kind, "n0", sent_at, sent_at + took_ms, 2_000, **fields)


def make_arrival(request="a", at=1_010, ran=True, upstream="d0"):
    return Arrival(request, upstream, 1, "n0", at, ran)


def make_deadly(*times, instance="n0"):
    return [DeadlyArrival("/w/d", f"d{at % 3}", instance, at) for at in times]


def make_pause(until=2_000):
    return PausedAnswer("a", "d0", 1_010, until)


def make_observations(**changes):
    """Return the observations of a run without violations, extended by ``changes``."""
    calls = [make_call(f"calm{n}", Kind.LOOKUP, FAULT_FREE_SINCE + n) for n in range(20)]
    observations = Observations(calls=calls, fault_free_since=FAULT_FREE_SINCE)
    for name, values in changes.items():
        getattr(observations, name).extend(values)
    observations.logged_requests.update(call.request for call in observations.calls)
    return observations


def test_fault_free_run_has_no_violations():
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
            "pauses are waited for",
            {"calls": [make_call(status=502)], "pauses": [make_pause()]},
        ),
        (
            "pauses are waited for",
            {"calls": [make_call(kind=Kind.STREAM, whole=False)], "pauses": [make_pause()]},
        ),
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
        (
            "deadly requests reach few servers",
            {"deadly_arrivals": make_deadly(500, 1_000, 1_500, 4_501, 4_502, 4_503, 4_504)},
        ),
        ("retry budget", {"arrivals": [make_arrival(f"r{n % 110}", at=n) for n in range(400)]}),
    ],
)
def test_each_violation_is_found(name, changes):
    assert {
        violation.split(":")[0] for violation in find_violations(make_observations(**changes))
    } == {name}


def test_memory_configuration_and_recovery_are_checked():
    leaking = make_observations()
    leaking.unreleased_tickets = ("e0/t",)
    assert find_violations(leaking) == ["memory is given back: e0/t is still held"]
    outdated = make_observations(probes=[RouteProbe(2, "n0", 1, 9_000, 404)])
    outdated.version_times[2] = 1_000
    assert find_violations(outdated)
    reverted = make_observations(
        probes=[RouteProbe(2, "n0", 1, 1_100, 200), RouteProbe(2, "n0", 1, 1_200, 404)]
    )
    reverted.version_times[2] = 1_000
    assert find_violations(reverted)
    unserved = Observations(
        calls=[make_call(f"c{n}", Kind.LOOKUP, FAULT_FREE_SINCE, status=503) for n in range(20)],
        fault_free_since=FAULT_FREE_SINCE,
    )
    assert find_violations(unserved)


def test_trouble_excuses_violations_only_at_its_target_and_in_its_period():
    unanswered = make_call(status=None, whole=False)
    assert not find_violations(
        make_observations(calls=[unanswered], troubles=[Trouble("n0", 0, 1_000)])
    )
    assert find_violations(
        make_observations(calls=[unanswered], troubles=[Trouble("n1", 0, 5_000)])
    )
    assert find_violations(make_observations(calls=[unanswered], troubles=[Trouble("n0", 0, 900)]))


def test_call_sent_while_its_connection_is_closed_needs_no_answer_if_never_read():
    """Soak seeds 1808274705 and 1: a call was sent on an idle connection closed by a stop."""
    unanswered = make_call(status=None, whole=False)
    observations = make_observations(calls=[unanswered])
    assert find_violations(observations)
    observations.logged_requests.discard(unanswered.request)
    assert not find_violations(observations)
    observations.arrivals.append(make_arrival())
    assert find_violations(observations)


def test_announcement_blocked_on_its_way_does_not_bind_the_instance():
    """Soak seed 62067747: a one-way link fault held back a refusal with its Retry-After."""
    changes = {
        "calls": [make_call(sent_at=2_000)],
        "arrivals": [make_arrival(at=2_001)],
        "announcements": [Announcement("d0", 1, "n0", 1_000, leaving=True)],
    }
    assert find_violations(make_observations(**changes))
    assert not find_violations(make_observations(**changes, troubles=[Trouble("d0", 900, 2_500)]))
    assert find_violations(make_observations(**changes, troubles=[Trouble("d1", 900, 2_500)]))


def make_limited_run(count, incarnation=1, **changes):
    """Return a run in which a limited upstream gets ``count`` requests in 2 s from one instance."""
    return make_observations(
        arrivals=[make_arrival(f"r{n}", at=3_000 + n * 2_000 // count) for n in range(count)],
        namings=[LimitNaming("d0", 1, "n0", 2_000)],
        limit_periods=[LimitPeriod("d0", incarnation, 1_000, 9_000, 1.0)],
        **changes,
    )


def test_end_of_a_limit_leaves_a_later_one_of_the_same_rate_in_force():
    """The first end cleared the second limit, whose record went on: seed 1079249335 failed."""
    upstream = SimpleNamespace(name="e0", rate_limit=None)
    deployment = SimpleNamespace(
        clock=BootClock(),
        observations=Observations(),
        named_limits={},
        pick_upstream=lambda fault: upstream,
    )

    async def overlap():
        first = asyncio.create_task(FAULT_ACTIONS["limit"](deployment, Fault(0, 13, "limit", 0.0)))
        await asyncio.sleep(0.026)
        second = asyncio.create_task(FAULT_ACTIONS["limit"](deployment, Fault(0, 13, "limit", 0.0)))
        await first
        assert upstream.rate_limit == 1.0
        await second
        assert upstream.rate_limit is None

    asyncio.run(overlap())
    first, second = deployment.observations.limit_periods
    assert first.begin < first.end == second.begin < second.end


def test_rate_limit_is_checked_in_windows_of_instances_that_were_told():
    assert not find_violations(make_limited_run(11))
    assert find_violations(make_limited_run(12))
    for trouble in ("n0", "d0"):
        assert not find_violations(make_limited_run(12, troubles=[Trouble(trouble, 0, 6_000)]))
    assert find_violations(make_limited_run(12, troubles=[Trouble(None, 0, 6_000)]))
    untold = make_limited_run(12)
    untold.namings.clear()
    assert not find_violations(untold)
    assert not find_violations(make_limited_run(12, incarnation=2))


@pytest.mark.parametrize("field", ["troubles", "breakages"])
def test_pause_needs_no_wait_past_the_deadline_or_beside_other_faults(field):
    failed = {"calls": [make_call(status=502)], "pauses": [make_pause()]}
    assert find_violations(make_observations(**failed))
    assert find_violations(make_observations(**failed, **{field: [Trouble("d1", 0, 9_000)]}))
    assert find_violations(make_observations(**failed, **{field: [Trouble("n0", 0, 900)]}))
    for name in ("n0", "d0"):
        assert not find_violations(
            make_observations(**failed, **{field: [Trouble(name, 0, 1_500)]})
        )
    late = {"calls": [make_call(status=502)], "pauses": [make_pause(until=2_900)]}
    assert not find_violations(make_observations(**late))


def test_plan_depends_on_its_seed_alone_and_every_fault_kind_has_an_action():
    assert draw_plan(7, 8_000) == draw_plan(7, 8_000) != draw_plan(8, 8_000)
    assert {*FAULT_WEIGHTS, DEADLY_FAULT} == set(FAULT_ACTIONS)
    assert len(CHECKS) == 13


def test_plan_with_a_deadly_request_has_the_same_faults_and_one_more():
    plan, deadly = draw_plan(7, 8_000), draw_plan(7, 8_000, deadly=True)
    added = [fault for fault in deadly if fault not in plan]
    assert [fault.kind for fault in added] == [DEADLY_FAULT]
    assert [fault for fault in deadly if fault not in added] == list(plan)


def test_deadly_request_may_come_late_through_instances_out_of_touch():
    late = make_deadly(4_501, 4_502, 4_503, 4_504, instance="n1")
    for count in (2, 3):
        known = make_deadly(*(500, 1_000, 1_500)[:count])
        found = find_violations(make_observations(deadly_arrivals=known + late))
        assert bool(found) == (count == 3)
    three_late = make_observations(deadly_arrivals=known + late[1:])
    assert not find_violations(three_late)
    for trouble in (Trouble("n1", 2_000, 3_000), Trouble("n0", 0, 600), Trouble("d2", 0, 600)):
        observations = make_observations(deadly_arrivals=known + late, troubles=[trouble])
        assert not find_violations(observations)
    for trouble in (Trouble("n2", 0, 9_000), Trouble("d0", 0, 400), Trouble(None, 0, 9_000)):
        observations = make_observations(deadly_arrivals=known + late, troubles=[trouble])
        assert find_violations(observations)


@pytest.mark.timeout(120)
def test_short_run_of_real_processes_has_no_violations():
    assert run_seed(1, 4_000, instances=2).violations == ()


def test_second_copy_of_an_answer_is_not_written_into_a_paused_one():
    """Soak seed 173397622: a copy of an earlier answer became the body of a paused one."""

    async def read_after_a_copy():
        server = FaultyServer("d0", Observations())
        pauses = iter([NO_PAUSE, Pause(PausePoint.AFTER_HEAD, 300)])
        server.mode, server.draw_pause = "twice", lambda: next(pauses)
        host, port = (await server.start()).split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for request in ("a", "b"):
            writer.write(f"GET / HTTP/1.1\r\nRequest-Id: {request}\r\n".encode())
            writer.write(b"Expect-Instance: d0\r\n\r\n")
        answers = [await read_answer(reader) for _ in range(4)]
        writer.close()
        server.close()
        return [(answer.headers["request-id"], answer.body) for answer in answers]

    answers = asyncio.run(read_after_a_copy())
    assert sorted(answers) == 2 * [("a", b"answer to a")] + 2 * [("b", b"answer to b")]
