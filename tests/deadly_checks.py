"""Checks of the users' rules about requests that end the upstreams that run them."""

from __future__ import annotations

import asyncio

from standins.crashing_server import CrashPoint
from standins.deadly_load import DEADLY, Case
from standins.deadly_requests import MAX_LATE_ARRIVALS
from tests.deadly_requests import INCIDENT_S, DeadlyGroup, run_group

# Half of the users' time, since the instances of the tests are close to each other.
CONTACT_MS = 1_500
MIN_SERVED = 0.9
MIN_CALLS = 20
AFTER_S = 1.0
# So many tries make three ends of servers certain.
MAX_REPEATS = 12


CASES = {
    "idempotent": Case("whole"),
    "not idempotent": Case("once"),
    "only the body differs": Case("whole", one_path=True),
    "not idempotent, only the body differs": Case("once", one_path=True),
    "after the head": Case("whole", CrashPoint.AFTER_HEAD),
    "late": Case("whole", CrashPoint.LATE),
    "stream": Case("stream", CrashPoint.AFTER_HEAD),
}


async def check_incident(instances: int, case: Case) -> None:
    """Play the incident before this many instances, and check it and its end."""
    async with run_group(instances, case) as group:
        await group.run_incident(INCIDENT_S, CONTACT_MS)
        await check_rule(group)
        await check_refusals(group)


async def refuse(group: DeadlyGroup, name: str) -> None:
    """Send a deadly request again and again, until every instance refuses it for long."""
    refusing: set[str] = set()
    for number in range(MAX_REPEATS * len(group.gateways)):
        if group.fleet.away == group.fleet.count:
            await group.fleet.wait_whole()
        instance = group.pick_instance(number)
        call = await group.call(instance, group.case.make_deadly(name))
        refusing = refusing | {instance} if call.is_refused_for_long else set()
        if len(refusing) == len(group.gateways):
            return
        await asyncio.sleep(0 if refusing else 0.15)
    raise AssertionError(f"{name} was not refused: {describe(group)}")


async def check_rule(group: DeadlyGroup) -> None:
    """Check the rule about the deadly requests, and that the sound ones are served.

    Once all upstreams are back, every sound request is served, those too that were cut before.
    """
    record, case = group.record, group.case
    for name in DEADLY:
        await refuse(group, name)
    await group.fleet.wait_whole()
    seen = describe(group)
    print(seen)
    for name in DEADLY:
        assert record.count_late(name, CONTACT_MS) <= MAX_LATE_ARRIVALS, seen
    begin = group.find_begin(CONTACT_MS)
    assert begin is not None, seen
    while len(sound := group.list_sound(begin)) < MIN_CALLS:
        await group.press(AFTER_S)
    assert sum(call.served for call in sound) >= MIN_SERVED * len(sound), seen
    failed = {call.content for call in group.list_sound(0) if not call.served}
    settled = len(group.calls)
    await group.press(AFTER_S)
    await asyncio.gather(
        *(group.call(group.pick_instance(n), one) for n, one in enumerate(sorted(failed)))
    )
    assert all(call.served for call in group.calls[settled:]), seen
    if case.kind == "once":
        assert max(record.sends.values()) == 1, seen


async def check_refusals(group: DeadlyGroup) -> None:
    """Check that every instance refuses both deadly requests for long, and sends neither."""
    received = group.record.count_arrivals()
    for instance in group.gateways:
        for name in DEADLY:
            call = await group.call(instance, group.case.make_deadly(name))
            assert call.is_refused_for_long, (instance, call)
    assert group.record.count_arrivals() == received


def describe(group: DeadlyGroup) -> str:
    """Tell how often each deadly request ended a server and came late, and what was served."""
    record = group.record
    parts = [
        f"{name}: {len(record.list_crashes(name))} ends,"
        f" {record.count_late(name, CONTACT_MS)} late of {len(record.arrivals.get(name, ()))}"
        for name in DEADLY
    ]
    begin = group.find_begin(CONTACT_MS)
    if begin is not None:
        sound = group.list_sound(begin)
        parts.append(f"{sum(call.served for call in sound)} of {len(sound)} sound ones served")
    cut = [crash.cut for crash in record.crashes]
    parts.append(f"{sum(cut)} sound ones cut, at most {max(cut, default=0)} at once")
    return "; ".join(parts)
