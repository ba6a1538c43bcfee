"""A part that crashes engines is found wherever it stands, in prompts of any number of parts.

Only the first 64 parts of a prompt used to be looked at. What is looked at is bounded all the same,
by what is likely to blame and not by its place.
"""

import asyncio

import pytest

from lentilwell.gateway._crash_evidence import MAX_CUT_PARTS, MAX_SOUND_PARTS
from lentilwell.gateway._crash_messages import (
    MAX_NOTICE_BYTES,
    MAX_TOLD_CUT_BYTES,
    encode_crash_notice,
)
from lentilwell.gateway._crash_records import Crash, CutRequest
from lentilwell.gateway._cut_selection import MAX_CRASH_PARTS, merge_cuts, rank_parts
from lentilwell.gateway._upstreams import Incarnation
from tests.crash_observer import Observer
from tests.crashing_engines import HARMFUL, run_group
from tests.gateway_scripts import in_loop
from tests.test_gateway_crashing_prompts import (
    CALM_S,
    CONTACT_MS,
    INCIDENT_S,
    MAX_LATE_SENDS,
    MIN_SERVED,
)


def name_parts(count, first=0):
    return tuple(f"{0xA0000000 + number:08x}" for number in range(first, first + count))


@pytest.mark.parametrize(("before", "behind"), [(90, 0), (200, 100)])
@in_loop
async def test_part_that_crashes_engines_is_found_in_a_long_prompt(before, behind):
    shared = name_parts(before + behind)
    harmful = (*shared[:before], HARMFUL, *shared[before:])
    async with run_group(3) as group:
        sound = asyncio.create_task(group.press(CALM_S + INCIDENT_S, 8.0, *shared))
        await asyncio.sleep(CALM_S)
        await group.press(INCIDENT_S, 4.0, *harmful)
        await sound
        fleet = group.fleet
        begin = fleet.find_fifth_crash() or fleet.crashes[-1]
        late = fleet.count_late_sends(CONTACT_MS)
        served = group.find_served_share(begin + 2 * CONTACT_MS, *shared)
        seen = f"{late} late sends, {served:.2f} of the others served, {len(fleet.crashes)} ends"
        assert late <= MAX_LATE_SENDS and served >= MIN_SERVED, seen


@pytest.mark.parametrize("count", [70, 1_000, 1_300])
@pytest.mark.parametrize("place", [0.0, 0.5, 1.0])
def test_harmful_part_among_known_ones_is_found_by_its_fifth_crash_and_told(count, place):
    witnesses = Observer(), Observer()
    shared = name_parts(count)
    position = round(place * count)
    harmful = (*shared[:position], "bad", *shared[position:])
    for observer in witnesses:
        observer.answer(*shared)
    for number in range(5):
        witness, other = witnesses[number % 2], witnesses[1 - number % 2]
        witness.crash((f"r{number}", *harmful), name=f"u{number}")
        other.now = witness.now
        other.hear(witness)
        for observer in witnesses:
            observer.answer(*shared)
            observer.settle()
    for observer in witnesses:
        assert observer.refuses(*harmful) and not observer.refuses(*shared)


def test_harmful_part_among_parts_that_never_come_again_is_found():
    observer, crashes = Observer(), 0
    while not observer.refuses("bad"):
        unknown = name_parts(1_500, first=10_000 * crashes)
        observer.crash((f"r{crashes}", *unknown[:900], "bad", *unknown[900:]))
        crashes += 1
        assert crashes < 12
    assert not observer.refuses(*name_parts(1_500))


def test_parts_that_other_crashes_cut_come_first_then_those_without_an_answer():
    parts = name_parts(2 * MAX_CRASH_PARTS)
    suspected, sound = {parts[-1]}, set(parts[:-2])
    ranked = rank_parts(CutRequest("r", parts), 7, suspected, sound.__contains__).parts
    assert ranked[:2] == (parts[-1], parts[-2]) and len(ranked) == MAX_CRASH_PARTS
    other = rank_parts(CutRequest("r", parts), 8, suspected, sound.__contains__).parts
    assert set(other) != set(ranked)


def test_request_of_a_crash_counts_once_though_others_tell_a_part_of_it():
    whole, told = CutRequest("r", name_parts(50)), CutRequest("r", name_parts(20))
    assert merge_cuts((told, whole), ()) == merge_cuts((whole, told), ()) == {whole}


def test_evidence_of_long_prompts_is_bounded_in_memory_and_messages():
    observer = Observer()
    for number in range(40):
        cut = [
            (f"r{number}-{index}", *name_parts(1_300, first=2_000 * (8 * number + index)))
            for index in range(8)
        ]
        observer.crash(*cut)
        observer.answer(*name_parts(1_300, first=2_000 * number))
    evidence = observer.evidence
    assert sum(crash.count_parts() for crash in evidence.collect(observer.now).crashes) <= (
        MAX_CUT_PARTS
    )
    assert len(evidence._sound) <= MAX_SOUND_PARTS
    notice = evidence.collect(observer.now)
    assert len(encode_crash_notice(notice, observer.now)) <= MAX_NOTICE_BYTES


def test_several_crashes_under_long_prompts_fit_into_one_message():
    observer = Observer()
    for number in range(4):
        observer.crash((f"r{number}", *name_parts(1_300, first=2_000 * number)))
    told = Observer()
    told.hear(observer)
    crashes = told.evidence.collect(told.now).crashes
    assert [len(crash.cut) for crash in crashes] == [1, 1, 1, 1]
    assert all(one.count_parts() > MAX_TOLD_CUT_BYTES // 20 for one in crashes)


def test_crash_that_cuts_much_leaves_the_earlier_ones_remembered():
    observer = Observer()
    for number in range(5):
        observer.crash(
            *(
                (f"r{number}-{index}", *name_parts(300, first=400 * (30 * number + index)))
                for index in range(30)
            )
        )
    crashes = observer.evidence.collect(observer.now).crashes
    assert len(crashes) == 5 and max(one.count_parts() for one in crashes) <= MAX_CRASH_PARTS


def test_crash_keeps_its_name_whatever_it_cut():
    upstream = Incarnation("u", 1)
    assert Crash(upstream, 5).mark == Crash(upstream, 9, frozenset((CutRequest("r", ()),))).mark
