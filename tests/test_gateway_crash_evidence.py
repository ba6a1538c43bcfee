"""Which parts of prompts are condemned by which crashes, answers and messages."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilwell.gateway._condemned_subjects import (
    CONDEMNED_MS,
    FORGOTTEN_MS,
    MAX_CONDEMNED,
    PROBE_INTERVAL_MS,
    PROBE_STAGGER_MS,
)
from lentilwell.gateway._crash_evidence import (
    ALIVE_MARGIN_MS,
    MAX_CRASHES,
    MAX_SOUND_PARTS,
    SETTLE_MS,
)
from lentilwell.gateway._crash_messages import (
    MAX_NOTICE_BYTES,
    UnreadableCrashNotice,
    decode_crash_notice,
    encode_crash_notice,
    is_crash_notice,
)
from tests.crash_observer import STEP_MS, Observer


def condemn(observer, *parts):
    for number in range(3):
        observer.crash((f"r{number}", *parts))


def test_part_is_condemned_by_three_crashes_under_two_requests():
    observer = Observer()
    observer.crash(("r1", "bad"))
    observer.crash(("r1", "bad"))
    assert not observer.refuses("bad") and observer.evidence.suspected == {"bad"}
    observer.crash(("r2", "bad"))
    assert observer.refuses("bad") and not observer.refuses("other")
    assert not observer.evidence.suspected


def test_repeats_of_one_request_do_not_condemn():
    observer = Observer()
    for _ in range(10):
        observer.crash(("r1", "rare"))
    assert not observer.refuses("rare")


def test_crash_that_cuts_many_requests_counts_once():
    observer = Observer()
    observer.crash(*((f"r{number}", "a") for number in range(20)))
    observer.crash(*((f"s{number}", "a") for number in range(20)))
    assert not observer.refuses("a")


def test_same_crash_seen_by_several_instances_counts_once():
    observers = [Observer() for _ in range(5)]
    for number, observer in enumerate(observers):
        observer.crash((f"r{number}", "a"), name="u")
    for observer in observers[1:]:
        observers[0].hear(observer)
    assert not observers[0].refuses("a")


def test_answer_between_crashes_clears_a_part():
    observer = Observer()
    for number in range(12):
        observer.crash((f"r{number}", "a"))
        if number % 2:
            assert observer.answer("a")
    assert not observer.refuses("a")


def test_part_with_answers_before_is_not_blamed_for_crashes_of_another():
    observer = Observer()
    observer.answer("team")
    condemn(observer, "team", "bad")
    assert observer.refuses("team", "bad") and observer.refuses("bad")
    assert not observer.refuses("team") and not observer.refuses("team", "other")


def test_part_with_answers_before_is_condemned_by_five_crashes():
    observer = Observer()
    observer.answer("team", "bad")
    for number in range(5):
        assert not observer.refuses("team", "bad")
        observer.crash((f"r{number}", "team", "bad"), (f"s{number}", "team"))
    assert observer.refuses("team", "bad") and not observer.refuses("team")


def test_parts_that_occur_only_together_are_refused_only_together():
    observer = Observer()
    condemn(observer, "team", "bad")
    assert observer.refuses("team", "bad", "more")
    assert not observer.refuses("team") and not observer.refuses("bad")
    observer.answer("team")
    assert observer.refuses("bad") and not observer.refuses("team")


def test_part_that_more_requests_have_is_not_blamed_before_the_harmful_one():
    observer = Observer()
    for number in range(3):
        observer.crash(
            (f"r{number}", "team", "bad"), (f"s{number}", "team"), (f"t{number}", "team")
        )
    assert observer.refuses("team", "bad") and not observer.refuses("team")


def test_harmful_part_with_different_other_parts_is_refused_alone():
    observer = Observer()
    for number in range(3):
        observer.crash((f"r{number}", f"team{number}", "bad"))
    assert observer.refuses("bad") and not observer.refuses("team0")


def test_request_cut_beside_harmful_ones_is_not_blamed_with_them():
    observer = Observer()
    for number in range(4):
        observer.crash((f"r{number}", "bad"), (f"s{number}", "rare"))
    assert not observer.refuses("rare")
    observer.crash(("r9", "bad"))
    assert observer.refuses("bad") and not observer.refuses("rare")


@pytest.mark.parametrize("parts", [("bad", "rare"), ("rare", "bad")])
def test_order_in_which_requests_of_a_crash_are_seen_decides_nothing(parts):
    observer = Observer()
    for number in range(4):
        observer.crash(*((f"{part}{number}", part) for part in parts))
        assert not observer.refuses("bad") and not observer.refuses("rare")


def test_harmful_part_is_condemned_though_others_crash_more_upstreams():
    observer = Observer()
    condemn(observer, "bad1")
    for number in range(6):
        observer.crash((f"x{number}", "bad1"))
    condemn(observer, "bad2")
    assert observer.refuses("bad1") and observer.refuses("bad2")


def test_power_loss_with_100_requests_in_progress_condemns_nothing():
    draw = random.Random(1)
    observer = Observer()
    parts = ["team", "bundle", "rare"]
    for _ in range(7):
        cut = [(f"r{draw.random()}", *draw.sample(parts, 2)) for _ in range(15)]
        observer.crash(*cut, step_ms=draw.randrange(5, 13), settle_ms=0)
    observer.settle()
    assert not any(observer.refuses(part) for part in parts) and not observer.refuses(*parts)


def test_crashes_one_after_the_other_do_not_condemn_what_is_answered_elsewhere():
    observer = Observer()
    for number in range(30):
        observer.crash((f"r{number}", "team"), (f"s{number}", "team", f"new{number}"))
        observer.now += 2_000
        observer.answer("team")
    assert not observer.refuses("team") and not observer.evidence.condemned


def test_part_in_few_of_the_crashes_is_not_blamed():
    observer = Observer()
    for number in range(9):
        extra = [(f"s{number}", "rare")] if number % 3 == 0 else []
        observer.crash((f"r{number}", f"part{number}"), *extra)
    assert not observer.refuses("rare")


def test_upstream_that_still_answers_did_not_crash():
    observer = Observer()
    for number in range(3):
        upstream = observer.crash((f"r{number}", "a"))
        observer.now += ALIVE_MARGIN_MS
        assert observer.evidence.record_alive(upstream, observer.now)
    assert not observer.refuses("a")


def test_refuted_crash_is_not_believed_again_from_another_instance():
    first, second = Observer(), Observer()
    upstream = first.crash(("r1", "a"))
    second.hear(first)
    second.now += ALIVE_MARGIN_MS
    assert second.evidence.record_alive(upstream, second.now)
    second.hear(first)
    assert not second.evidence.suspected
    first.now = second.now
    first.hear(second)
    assert not first.evidence.suspected


def test_condemnation_outlasts_repeated_messages_but_not_its_time():
    first, second = Observer(), Observer()
    condemn(first, "bad")
    for _ in range(200):
        second.hear(first, late_ms=15)
        first.hear(second, late_ms=15)
    first.now += CONDEMNED_MS - 200 * 30
    assert not first.refuses("bad")


def test_after_its_time_one_request_an_instance_is_tried_in_turn():
    observer = Observer()
    condemn(observer, "bad")
    observer.now += CONDEMNED_MS
    assert observer.refuses("bad", rank=1)
    assert not observer.refuses("bad", request="probe")
    assert not observer.refuses("bad", request="probe") and observer.refuses("bad")
    observer.now += PROBE_STAGGER_MS
    assert observer.refuses("bad", rank=1)
    observer.now += PROBE_INTERVAL_MS
    assert not observer.refuses("bad")


def test_one_crash_renews_a_condemnation_and_one_answer_ends_it():
    observer = Observer()
    condemn(observer, "bad")
    observer.now += CONDEMNED_MS
    assert not observer.refuses("bad", request="probe")
    observer.crash(("probe", "bad"))
    assert observer.refuses("bad", request="probe")
    observer.now += CONDEMNED_MS
    assert not observer.refuses("bad", request="probe 2")
    observer.answer("bad")
    assert not observer.refuses("bad") and not observer.evidence.condemned


def test_evidence_is_forgotten():
    observer = Observer()
    condemn(observer, "bad")
    observer.evidence.forget(observer.now + FORGOTTEN_MS + 1)
    assert not observer.evidence.condemned and observer.evidence.latest_crash_at is None


def test_restarted_instance_learns_condemned_parts_from_one_notice():
    first, second = Observer(), Observer()
    condemn(first, "bad")
    first.now += CONDEMNED_MS // 2
    first.evidence.forget(first.now)
    second.now = 50
    second.hear(first)
    assert second.refuses("bad")


def test_invented_parts_keep_memory_and_messages_bounded():
    observer = Observer()
    for number in range(70):
        parts = [f"{number:08x}{index:08x}" for index in range(64)]
        observer.crash(*((f"r{number}-{index}", *parts) for index in range(3)))
        observer.evidence.record_sound(tuple(parts), observer.now)
        condemn(observer, f"bad{number}")
    notice = observer.evidence.collect(observer.now)
    assert len(notice.crashes) <= MAX_CRASHES and len(notice.condemned) <= MAX_CONDEMNED
    assert len(encode_crash_notice(notice, observer.now)) <= MAX_NOTICE_BYTES
    assert len(observer.evidence._sound) <= MAX_SOUND_PARTS


def test_notice_is_decoded_as_encoded_and_ages_follow_the_clock():
    observer = Observer()
    observer.answer("team")
    condemn(observer, "team", "bad")
    upstream = observer.crash(("r7", "team", "other"))
    observer.now += ALIVE_MARGIN_MS
    observer.evidence.record_alive(upstream, observer.now)
    notice = observer.evidence.collect(observer.now)
    data = encode_crash_notice(notice, observer.now)
    assert is_crash_notice(data) and decode_crash_notice(data, observer.now) == notice
    later = decode_crash_notice(data, observer.now + 70)
    assert [one.at for one in later.crashes] == [one.at + 70 for one in notice.crashes]


@pytest.mark.parametrize("cut", [1, 2, 10, -1])
def test_malformed_notice_is_unreadable(cut):
    observer = Observer()
    condemn(observer, "bad")
    data = encode_crash_notice(observer.evidence.collect(observer.now), observer.now)
    with pytest.raises(UnreadableCrashNotice):
        decode_crash_notice(data[:cut], observer.now)
    with pytest.raises(UnreadableCrashNotice):
        decode_crash_notice(data + bytes(2 * MAX_NOTICE_BYTES), observer.now)


TEAMS = ("t1", "t2", "t3")
SHARED = ("d1", "d2")
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["harmful", "harmful", "crash", "answer", "hear", "restart"]),
        st.integers(0, 2),
        st.integers(0, 2),
        st.sampled_from(TEAMS),
        st.lists(st.tuples(st.sampled_from(TEAMS), st.sampled_from(SHARED)), max_size=3),
        st.integers(10, 900),
    ),
    max_size=40,
)


@given(EVENTS)
def test_harmful_part_is_refused_and_sound_ones_are_not_whatever_the_order(events):
    observers = [Observer() for _ in range(3)]
    for number, (kind, one, other, team, riders, step_ms) in enumerate(events):
        for observer in observers:
            observer.now += step_ms
        cut = [(f"s{number}-{index}", *rider) for index, rider in enumerate(riders)]
        if kind == "harmful":
            observers[one].crash((f"h{number}", team, "bad"), name=f"e{number}")
            if cut:
                observers[other].crash(*cut, step_ms=0, name=f"e{number}")
        elif kind == "crash" and cut:
            observers[one].crash(*cut, name=f"e{number}")
        elif kind == "answer":
            observers[one].answer(team, *SHARED)
        elif kind == "hear":
            observers[one].hear(observers[other])
        elif kind == "restart":
            now = observers[one].now
            observers[one] = Observer()
            observers[one].now = now
    _check_end(observers)


def _check_end(observers):
    """Let answers be written on all sound parts and crashes go on, then tell everything to all."""
    now = max(observer.now for observer in observers) + 1_000
    for observer in observers:
        observer.now = now
        observer.answer(*TEAMS, *SHARED)
    for number in range(4):
        observers[0].now = now = now + STEP_MS
        observers[0].crash((f"end{number}", "t1", "bad"), step_ms=0, name=f"end{number}")
    for _ in range(2):
        for observer in observers:
            observer.now = now + 10
            for other in observers:
                if other is not observer:
                    observer.hear(other)
    for observer in observers:
        observer.settle(2 * SETTLE_MS)
        assert observer.refuses("t1", "bad") and observer.refuses("t2", "bad")
        assert not any(observer.refuses(team, part) for team in TEAMS for part in SHARED)
