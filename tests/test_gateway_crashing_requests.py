"""Which whole requests are condemned by which crashes, answers and messages."""

import itertools
import random
import statistics
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilwell.gateway._condemned_subjects import (
    CONDEMNED_MS,
    MAX_CONDEMNED,
    MAX_CONDEMNED_REQUESTS,
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
    decode_crash_notice,
    encode_crash_notice,
)
from lentilwell.gateway._crash_records import CutRequest, Explanation
from lentilwell.gateway._cut_selection import MAX_CUT_REQUESTS
from lentilwell.gateway._upstreams import Incarnation
from tests.crash_observer import STEP_MS, Observer

DEADLY = "=dead"
PART = "aa"
# Processor time for 100 cut requests.
MAX_RECORDING_S = 0.4


class RequestObserver(Observer):
    """An observer of whole requests; each one that is cut has a new id unless one is given."""

    def __init__(self):
        super().__init__()
        self.ids = itertools.count()

    def end(self, *fingerprints, known_ends=None, step_ms=STEP_MS, settle_ms=SETTLE_MS, **options):
        """End another upstream that cuts these requests, by default sent after all known ends.

        ``parts`` are the parts of all prompts, ``name`` that of the upstream, ``request`` the id.
        """
        self.now += step_ms
        self.number += 1
        upstream = Incarnation(options.get("name", f"u{id(self)}-{self.number}"), 1)
        known = self.evidence.known_ends if known_ends is None else known_ends
        for fingerprint in fingerprints:
            request = options.get("request", f"r{id(self)}-{next(self.ids)}")
            cut = CutRequest(request, options.get("parts", ()), fingerprint, known)
            self.evidence.record_crash(upstream, self.now, cut)
        self.settle(settle_ms)
        return upstream


def condemn(observer, fingerprint=DEADLY):
    for _ in range(3):
        observer.end(fingerprint)
    assert observer.refuses(fingerprint)


def test_request_is_condemned_by_three_crashes_under_two_ids():
    observer = RequestObserver()
    observer.end(DEADLY, request="r1")
    observer.end(DEADLY, request="r1")
    assert not observer.refuses(DEADLY) and observer.evidence.suspected == {DEADLY}
    observer.end(DEADLY, request="r2")
    assert observer.refuses(DEADLY) and not observer.refuses("=other")


def test_crashes_count_however_soon_a_request_was_sent_again():
    observer = RequestObserver()
    for _ in range(3):
        observer.end(DEADLY, step_ms=1, settle_ms=0)
    observer.settle()
    assert observer.refuses(DEADLY)


def test_ends_of_one_cause_that_are_seen_late_condemn_nothing():
    observer = RequestObserver()
    for _ in range(7):
        observer.end(DEADLY, "=other", parts=(PART,), known_ends=frozenset(), step_ms=550)
    assert not observer.evidence.condemned


def test_crash_that_was_not_known_when_a_request_was_sent_does_not_count_as_an_earlier_one():
    observer = RequestObserver()
    observer.end(DEADLY)
    before = observer.evidence.known_ends
    for _ in range(5):
        observer.end(DEADLY, known_ends=before)
    assert not observer.refuses(DEADLY)
    observer.end(DEADLY)
    assert observer.refuses(DEADLY)


def test_answer_clears_a_suspected_and_a_condemned_request():
    observer = RequestObserver()
    observer.end(DEADLY)
    observer.end(DEADLY)
    assert observer.answer(DEADLY)
    observer.end(DEADLY)
    assert not observer.refuses(DEADLY)
    condemn(observer, "=2")
    assert observer.answer("=2") and not observer.refuses("=2")


def test_answers_on_requests_without_suspicion_are_not_remembered():
    observer = RequestObserver()
    observer.end(DEADLY)
    for number in range(100):
        observer.answer(f"={number:04x}")
    assert not observer.evidence._sound


@pytest.mark.parametrize("subject", ["=sound", PART])
def test_cleared_subject_stays_cleared_after_answers_on_many_others(subject):
    observer = Observer()
    for number in range(3):
        observer.crash((f"r{number}", subject))
    assert observer.refuses(subject) and observer.answer(subject)
    for number in range(2 * MAX_SOUND_PARTS):
        observer.answer(f"{number:04x}0")
    observer.settle()
    assert not observer.refuses(subject)
    assert len(observer.evidence._sound) <= MAX_SOUND_PARTS


def test_many_deadly_requests_at_once_are_all_condemned():
    observer = RequestObserver()
    deadly = [f"=dead{number}" for number in range(20)]
    for _ in range(3):
        for fingerprint in deadly:
            observer.end(fingerprint)
    assert all(observer.refuses(fingerprint) for fingerprint in deadly)


def test_requests_cut_beside_a_deadly_one_are_not_refused():
    observer = RequestObserver()
    for number in range(6):
        observer.end(DEADLY, f"=sound{number % 2}")
    assert observer.refuses(DEADLY)
    assert not observer.refuses("=sound0") and not observer.refuses("=sound1")


def test_request_blamed_for_the_crashes_of_others_is_tried_again_once_they_are_known():
    observer = RequestObserver()
    for fingerprint in ("=1", "=2", "=1"):
        observer.end("=sound", fingerprint)
    assert observer.refuses("=sound")
    for fingerprint in ("=1", "=1", "=2", "=2"):
        observer.end(fingerprint)
    assert observer.refuses("=1") and observer.refuses("=2")
    assert observer.refuses("=sound", rank=1) and not observer.refuses("=sound", request="probe")
    assert observer.refuses("=sound", request="another")
    observer.answer("=sound")
    assert not observer.refuses("=sound", request="another")


def test_deadly_request_that_is_tried_again_is_refused_after_one_more_crash():
    observer = RequestObserver()
    for _ in range(3):
        observer.end("=1", "=2")
    for _ in range(2):
        blamed, other = ("=1", "=2") if observer.refuses("=1") else ("=2", "=1")
        observer.end(other)
    assert observer.refuses(other) and not observer.refuses(blamed, request="probe")
    observer.end(blamed, request="probe")
    observer.now += 10 * PROBE_STAGGER_MS
    assert observer.refuses(blamed) and observer.refuses(blamed, request="probe")


@pytest.mark.parametrize("beside", [40, 100])
def test_deadly_request_is_found_beside_more_requests_than_are_remembered_of_a_crash(beside):
    crashes = []
    for seed in range(20):
        draw, observer, count = random.Random(seed), RequestObserver(), 0
        while not observer.refuses(DEADLY):
            cut = [DEADLY, *(f"={draw.getrandbits(90):x}" for _ in range(beside))]
            draw.shuffle(cut)
            observer.end(*cut)
            count += 1
        crashes.append(count)
    lucky = MAX_CUT_REQUESTS / (beside + 1)
    assert statistics.mean(crashes) <= 1 / lucky + 4


def test_crash_that_cuts_many_requests_is_recorded_without_a_pause_of_the_event_loop():
    observer = RequestObserver()
    for number in range(MAX_CRASHES):
        observer.end(*(f"={number % 8}-{index}" for index in range(MAX_CUT_REQUESTS)))
    upstream, known = Incarnation("last", 1), observer.evidence.known_ends
    began_s = time.process_time()
    for number in range(100):
        cut = CutRequest(f"r{number}", (PART,), f"={number}", known)
        observer.evidence.record_crash(upstream, observer.now, cut)
    assert time.process_time() - began_s < MAX_RECORDING_S


def test_part_is_not_blamed_for_one_request_that_comes_again():
    observer = RequestObserver()
    for number in range(8):
        observer.end(DEADLY, f"=sound{number}", parts=(PART,))
    assert observer.refuses(DEADLY) and not observer.refuses(PART)


def test_part_of_different_requests_is_blamed_though_one_came_again():
    observer = RequestObserver()
    for fingerprint in ("=1", "=1", "=1", "=2"):
        observer.end(fingerprint, parts=(PART,))
    assert observer.refuses(PART)


def test_upstream_that_answers_releases_the_request_blamed_for_its_crash():
    first, second = RequestObserver(), RequestObserver()
    for _ in range(3):
        upstream = first.end(DEADLY)
    second.hear(first)
    assert first.refuses(DEADLY) and second.refuses(DEADLY)
    first.now += ALIVE_MARGIN_MS
    assert first.evidence.record_alive(upstream, first.now)
    assert not first.refuses(DEADLY)
    second.now = first.now
    second.hear(first)
    first.hear(second)
    assert not first.refuses(DEADLY) and not second.refuses(DEADLY)


def test_request_with_enough_other_crashes_stays_refused_if_one_is_refuted():
    observer = RequestObserver()
    for _ in range(4):
        upstream = observer.end(DEADLY)
    observer.now += ALIVE_MARGIN_MS
    assert observer.evidence.record_alive(upstream, observer.now)
    assert observer.refuses(DEADLY)


def test_crashes_seen_by_different_instances_add_up():
    observers = [RequestObserver() for _ in range(3)]
    for observer in observers:
        observer.now = max(one.now for one in observers)
        for other in observers:
            if other is not observer:
                observer.hear(other)
        observer.end(DEADLY)
    for observer in observers:
        for other in observers:
            if other is not observer:
                observer.hear(other)
        observer.settle(2 * SETTLE_MS)
        assert observer.refuses(DEADLY)


def test_condemned_request_is_tried_after_its_time():
    observer = RequestObserver()
    condemn(observer)
    observer.now += CONDEMNED_MS
    assert not observer.refuses(DEADLY, request="probe") and observer.refuses(DEADLY)
    observer.end(DEADLY, request="probe")
    assert observer.refuses(DEADLY, request="probe")


def test_invented_requests_keep_memory_and_messages_bounded():
    observer = RequestObserver()
    for number in range(3 * MAX_CONDEMNED_REQUESTS):
        condemn(observer, f"={number:024x}")
        observer.answer(f"={number:023x}f")
    notice = observer.evidence.collect(observer.now)
    assert len(notice.condemned) == MAX_CONDEMNED_REQUESTS
    assert len(encode_crash_notice(notice, observer.now)) <= MAX_NOTICE_BYTES


def test_crash_that_does_not_fit_into_a_notice_is_told_with_the_requests_that_came_again():
    observer, other = RequestObserver(), RequestObserver()
    for number in range(3):
        beside = [f"={number:012x}{index:012x}" for index in range(20)]
        observer.end(DEADLY, *beside, parts=tuple(f"{part:016x}" for part in range(64)))
        other.now = observer.now
        other.hear(observer)
        assert DEADLY in other.evidence.suspected or other.refuses(DEADLY)
    assert len(other.evidence.collect(other.now).crashes) == 3


def test_notice_with_large_condemned_sets_of_parts_keeps_its_bound_and_tells_of_crashes():
    observer = RequestObserver()
    condemn(observer)
    for number in range(MAX_CONDEMNED):
        parts = frozenset(f"{number:08x}{index:08x}" for index in range(64))
        observer.evidence._condemned.add(Explanation(parts, 0, number))
    notice = observer.evidence.collect(observer.now)
    data = encode_crash_notice(notice, observer.now)
    assert len(data) <= MAX_NOTICE_BYTES
    told = decode_crash_notice(data, observer.now)
    assert told.crashes == notice.crashes and notice.condemned[0] in told.condemned


def test_notice_tells_fingerprints_and_what_was_known():
    observer = RequestObserver()
    condemn(observer)
    observer.end("=other")
    observer.answer("=other")
    notice = observer.evidence.collect(observer.now)
    data = encode_crash_notice(notice, observer.now)
    assert decode_crash_notice(data, observer.now) == notice
    known = [cut.known_ends for crash in notice.crashes for cut in crash.cut]
    assert max(map(len, known)) == 2


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["deadly", "deadly", "crash", "power", "answer", "hear", "restart"]),
        st.integers(0, 2),
        st.integers(0, 2),
        st.lists(st.sampled_from(["=s0", "=s1", "=s2"]), max_size=3, unique=True),
        st.integers(1, 900),
    ),
    max_size=40,
)


@given(EVENTS)
def test_deadly_request_is_refused_and_answered_ones_are_not_whatever_the_order(events):
    observers = [RequestObserver() for _ in range(3)]
    for number, (kind, one, other, sound, step_ms) in enumerate(events):
        observer = observers[one]
        for each in observers:
            each.now += step_ms
        if kind == "deadly" and not observer.refuses(DEADLY):
            observer.end(DEADLY, *sound, name=f"e{number}", step_ms=0)
        elif kind == "crash":
            observer.end(*sound, name=f"e{number}", step_ms=0)
        elif kind == "power":
            for index in range(3):
                observer.end(*sound, name=f"e{number}-{index}", step_ms=0, known_ends=frozenset())
        elif kind == "answer":
            observer.answer("=s0", "=s1", "=s2")
        elif kind == "hear":
            observer.hear(observers[other])
        elif kind == "restart":
            observers[one] = RequestObserver()
            observers[one].now = observer.now
    _check_end(observers)


def _check_end(observers):
    """Let the deadly request come until it is refused, answer the others and tell it to all."""
    now = max(observer.now for observer in observers) + 1_000
    for observer in observers:
        observer.now = now
    arrivals = 0
    while not observers[0].refuses(DEADLY):
        observers[0].end(DEADLY)
        arrivals += 1
    assert arrivals <= 4
    now = observers[0].now
    for observer in observers:
        observer.now = now
        for fingerprint in ("=s0", "=s1", "=s2"):
            if not observer.refuses(fingerprint):
                observer.answer(fingerprint)
    for _ in range(2):
        for observer in observers:
            for other in observers:
                if other is not observer:
                    observer.hear(other)
    for observer in observers:
        observer.settle(2 * SETTLE_MS)
        assert observer.refuses(DEADLY)
