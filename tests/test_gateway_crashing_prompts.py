"""A part of prompts that crashes engines is kept from them, and the other prompts are served."""

import asyncio
import json

import pytest

from lentilwell._clock import ManualClock
from lentilwell.gateway import Upstream
from lentilwell.gateway._crash_evidence import SETTLE_MS, CrashEvidence
from lentilwell.gateway._crash_records import CutRequest
from lentilwell.gateway._crash_watch import CrashWatch
from lentilwell.gateway._metrics import dump_fleet
from lentilwell.gateway._upstreams import Incarnation
from tests.crashing_engines import HARMFUL, run_group
from tests.gateway_harness import run_gateway
from tests.gateway_scripts import in_loop
from tests.test_gateway_crash_watch import make_work

CALM_S = 1.5
INCIDENT_S = 9.0
# Half of the users' time, since the instances of the tests are close to each other.
CONTACT_MS = 1_500
MAX_LATE_SENDS = 3
MIN_SERVED = 0.5
OTHER_PART = "aaa0"
FIRST = (HARMFUL, OTHER_PART)
MIDDLE = (OTHER_PART, HARMFUL)


@pytest.mark.parametrize("parts", [FIRST, MIDDLE], ids=["first", "middle"])
@pytest.mark.parametrize("instances", [3, 12])
@in_loop
async def test_part_that_crashes_engines_reaches_few_more_and_others_are_served(instances, parts):
    async with run_group(instances) as group:
        sound = asyncio.create_task(group.press(CALM_S + INCIDENT_S, 12.0, OTHER_PART))
        await asyncio.sleep(CALM_S)
        await group.press(INCIDENT_S, 4.0, *parts)
        await sound
        check(group)


@in_loop
async def test_part_that_was_answered_before_it_became_harmful_reaches_few_more():
    async with run_group(3) as group:
        group.fleet.set_harmful(False)
        sound = asyncio.create_task(group.press(CALM_S + INCIDENT_S, 12.0, OTHER_PART))
        await group.press(CALM_S, 4.0, *MIDDLE)
        group.fleet.set_harmful(True)
        await group.press(INCIDENT_S - CALM_S, 4.0, *MIDDLE)
        await sound
        check(group)


@in_loop
async def test_power_loss_of_half_the_engines_under_100_requests_condemns_nothing():
    async with run_group(3) as group:
        calls = [group.call(f"i{number % 3}", OTHER_PART) for number in range(100)]
        calls = asyncio.gather(*calls)
        while sum(len(engine.batch.jobs) for engine in group.fleet.engines.values()) < 100:
            await asyncio.sleep(0.002)
        for name in list(group.fleet.engines)[:7]:
            group.fleet.crash(name)
        await calls
        assert not any(list_condemned(gateway) for gateway in group.gateways.values())
        await group.press(2.0, 15.0, OTHER_PART)
        assert group.find_served_share(group.calls[-30].at, OTHER_PART) == 1.0


@in_loop
async def test_started_instance_learns_what_the_others_condemned_before_it_sends_any():
    async with run_group(3, late=1) as group:
        await group.press(2.0, 4.0, *MIDDLE)
        assert all(list_condemned(gateway) for gateway in group.gateways.values())
        received = len(group.fleet.harmful)
        async with group.run_late_instance("i3"):
            await asyncio.sleep(0.1)
            for _ in range(5):
                assert (await group.call("i3", *MIDDLE)).status == 503
            assert len(group.fleet.harmful) == received


@in_loop
async def test_refused_prompt_is_told_when_to_come_back_and_is_seen_by_operators():
    async with run_group(1) as group:
        await group.press(1.5, 4.0, *MIDDLE)
        refused = await group.call("i0", *MIDDLE)
        assert refused.status == 503 and 500 < float(refused.retry_after) <= 600
        gateway = group.gateways["i0"]
        metrics = gateway.metrics.render().decode()
        assert "lentilwell_gateway_prompt_parts_condemned 1.0" in metrics
        assert 'lentilwell_gateway_refused_prompts_total{service="s"}' in metrics
        state = json.loads(dump_fleet(gateway.fleet, ()))
        assert [set(one["parts"]) for one in state["condemned_parts"]] == [set(MIDDLE)]


async def refuse_for_a_while(arrival):
    await arrival.answer(503, signed=False, Not_Run=1, Retry_After="0.3")


@in_loop
async def test_request_that_waits_while_its_part_is_condemned_is_not_sent():
    async with run_gateway(refuse_for_a_while) as one:
        await one.call("/whole/x")
        call = asyncio.create_task(one.call("/whole/x", Prompt_Prefix=f"{HARMFUL}:1,cc:1"))
        await asyncio.sleep(0.1)
        assert len(one.arrivals) == 1 and not call.done()
        evidence, now = one.gateway.fleet.crash_evidence, one.gateway.clock.now()
        for number in range(3):
            cut = CutRequest(f"r{number}", (HARMFUL,))
            evidence.record_crash(Incarnation(f"e{number}", 1), now - 1_000 * number, cut)
        evidence.judge(now + SETTLE_MS)
        assert (await call).status == 503 and len(one.arrivals) == 1


def test_upstream_that_stops_as_announced_is_no_evidence():
    evidence = CrashEvidence()
    watch = CrashWatch(ManualClock(), evidence)
    work = make_work(HARMFUL)
    upstream = Upstream("u", "s", "127.0.0.1:1", "dc", 8, leaving=True, born_ms=1)
    watch.record_cut(upstream, work, 0, frozenset())
    assert not evidence.suspected


@pytest.mark.parametrize(
    ("events", "suspected"), [(0, {HARMFUL, "=0"}), (1, {HARMFUL, "=0"}), (2, set())]
)
@in_loop
async def test_only_requests_at_the_beginning_of_their_answers_are_suspects(events, suspected):
    evidence = CrashEvidence()
    watch = CrashWatch(ManualClock(), evidence)
    upstream = Upstream("u", "s", "127.0.0.1:1", "dc", 8, False, born_ms=1)
    watch.record_cut(upstream, make_work(HARMFUL), events, frozenset())
    assert evidence.suspected == suspected


def list_condemned(gateway):
    return gateway.fleet.crash_evidence.condemned


def check(group):
    """Check the users' rules about the part and about the requests that share the other one."""
    fleet = group.fleet
    begin = fleet.find_fifth_crash() or fleet.crashes[-1]
    late = fleet.count_late_sends(CONTACT_MS)
    served = group.find_served_share(begin + 2 * CONTACT_MS, OTHER_PART)
    seen = f"{late} late sends, {served:.2f} of the others served, {len(fleet.crashes)} ends"
    print(seen)
    assert late <= MAX_LATE_SENDS and served >= MIN_SERVED, seen
