"""Which upstreams are cold until when, from entries, answers, starts, evacuations and peers."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilwell._clock import ManualClock
from lentilwell.gateway import ColdBounds, ColdRules, Upstream, parse_cold_ms
from lentilwell.gateway._rate_limits import LimitReport
from lentilwell.gateway._upstreams import Incarnation
from lentilwell.gateway._work_digest import decode_limit, encode_limit
from lentilwell.gateway.cold_start import (
    DEFAULT_COLD_BOUNDS,
    MAX_COLD_MS,
    ColdWatch,
    find_permit_rate,
)

U = Upstream("u", "s", "10.0.0.1:1", "a", 8, False, born_ms=1_000)
RULES = ColdRules(start_ms=3_000, per_s=14.0)
NOW = 1_000_000


class Watched:
    """A cold watch with one listed upstream at a time, and the changes that it announced."""

    def __init__(self, rules=RULES):
        self.clock = ManualClock(NOW)
        self.listed = {}
        self.watch = ColdWatch(self.clock, self.listed.get)
        self.rules = rules
        self.watch.cold_upstreams.find_rules = lambda service: self.rules
        self.announced = []
        self.watch.on_cold = lambda upstream, own: self.announced.append((upstream.name, own))

    def read(self, upstream, is_first_listing=False):
        """Read the entry of an upstream."""
        self.listed[upstream.name] = upstream
        self.watch.handle_entries([upstream], is_first_listing)

    def tell(self, born_ms, cold_ms, rate=14.0):
        """Receive a peer's report about a start of the upstream."""
        until = self.clock.now() + cold_ms
        report = LimitReport(Incarnation("u", born_ms), rate, self.clock.now(), until)
        self.watch.handle_report(report, "peer")

    def find_remaining_ms(self):
        """Return how long the listed upstream remains cold, 0 if it is warm."""
        limit = self.watch.find_limit(self.listed["u"].incarnation)
        return limit.until - self.clock.now() if limit is not None else 0


@pytest.mark.parametrize(
    ("text", "cold_ms"),
    [
        ("0", 0),
        ("1500", 1_500),
        ("1500.4", 1_500),
        ("100, 2000", 2_000),
        (str(MAX_COLD_MS), MAX_COLD_MS),
        (str(MAX_COLD_MS + 1), None),
        ("9" * 400, None),
        ("-1", None),
        ("1e3", None),
        ("nan", None),
        ('"1500"', None),
        ("null", None),
        ("", None),
        ("\u0661", None),
    ],
)
def test_remaining_time_is_a_number_of_ms_in_bounds(text, cold_ms):
    assert parse_cold_ms(text) == cold_ms


def test_listing_of_the_start_of_this_process_is_warm_unless_the_entry_says_otherwise():
    """Guards against an instance that restarts and slows warm upstreams down."""
    watched = Watched()
    watched.read(U, is_first_listing=True)
    assert watched.find_remaining_ms() == 0
    watched.read(replace(U, name="u", cold_ms=700))
    assert watched.find_remaining_ms() == 700
    assert watched.announced == [("u", False)]


def test_young_start_in_the_first_listing_is_cold():
    watched = Watched()
    watched.read(replace(U, born_ms=NOW - 2_999), is_first_listing=True)
    assert watched.find_remaining_ms() == 3_000


def test_start_of_unknown_age_in_the_first_listing_is_warm():
    watched = Watched()
    watched.read(replace(U, born_ms=0), is_first_listing=True)
    assert watched.find_remaining_ms() == 0


def test_new_start_is_cold_whatever_its_entry_says_and_turns_warm_by_itself():
    watched = Watched()
    watched.read(U)
    assert watched.find_remaining_ms() == 3_000
    watched.clock.advance(2_999)
    assert watched.find_remaining_ms() == 1
    watched.clock.advance(1)
    assert watched.find_remaining_ms() == 0
    watched.watch.log_warm()
    assert watched.watch.list_reports() == ()


def test_entry_that_lapsed_and_returns_is_no_new_start():
    """Guards against a store outage that makes a whole fleet count as cold."""
    watched = Watched()
    watched.read(U, is_first_listing=True)
    watched.listed.clear()
    watched.clock.advance(60_000)
    watched.read(U)
    assert watched.find_remaining_ms() == 0


def test_older_word_does_not_shorten_the_cold_time():
    """Guards against an entry that was written before an answer and read after it."""
    watched = Watched()
    watched.read(U, is_first_listing=True)
    watched.watch.handle_answer(U, "2000")
    watched.read(replace(U, cold_ms=10))
    watched.watch.handle_answer(U, "0")
    assert watched.find_remaining_ms() == 2_000
    assert watched.announced == [("u", True)]


def test_data_centre_is_cold_after_its_evacuation_and_others_are_not():
    watched = Watched()
    watched.read(U, is_first_listing=True)
    watched.watch.mark_cold("b")
    assert watched.find_remaining_ms() == 0
    watched.watch.mark_cold("a")
    assert watched.find_remaining_ms() == 3_000


@pytest.mark.parametrize("rules", [ColdRules(3_000, 0.0), ColdRules(0, 0.0)])
def test_service_without_cold_starts_is_never_cold_and_nothing_is_told(rules):
    watched = Watched(rules)
    watched.read(replace(U, cold_ms=900))
    watched.watch.handle_answer(U, "900")
    watched.watch.handle_restart(U)
    watched.watch.mark_cold("a")
    watched.tell(U.born_ms, 900)
    assert watched.find_remaining_ms() == 0
    assert watched.watch.list_reports() == ()
    assert watched.announced == []


def test_restart_that_the_store_has_not_told_of_is_a_cold_start():
    """Guards against an upstream that restarts at its address while the store is away."""
    watched = Watched()
    watched.read(U, is_first_listing=True)
    watched.watch.handle_restart(U)
    assert watched.find_remaining_ms() == 3_000
    assert watched.announced == [("u", True)]


def test_earlier_start_gets_next_to_nothing_while_a_later_one_is_cold():
    """Guards against two sets of owners, by the old and the new entry, for one address."""
    watched = Watched()
    watched.read(U, is_first_listing=True)
    watched.tell(U.born_ms + 1, 2_000)
    limit = watched.watch.find_limit(U.incarnation)
    assert limit is not None
    assert limit.rate == 0.0
    watched.read(replace(U, born_ms=U.born_ms + 1), is_first_listing=True)
    assert watched.watch.find_limit(Incarnation("u", U.born_ms + 1)).rate == 14.0


def test_word_about_an_earlier_start_does_not_hold_for_a_later_one():
    watched = Watched()
    watched.read(replace(U, born_ms=5), is_first_listing=True)
    watched.tell(4, 2_000)
    assert watched.find_remaining_ms() == 0


def test_owner_without_a_configuration_uses_the_rate_that_it_is_told():
    """Guards against an owner that has just started and issues permits without a limit."""
    watched = Watched(rules=None)
    watched.read(U, is_first_listing=True)
    watched.tell(U.born_ms, 500, rate=2.0)
    assert watched.watch.find_limit(U.incarnation).rate == 2.0


def test_what_peers_told_is_not_told_on():
    """Guards against a cold time that grows by the delay of each message and never ends."""
    watched = Watched()
    watched.read(U, is_first_listing=True)
    watched.tell(U.born_ms, 2_000)
    assert watched.find_remaining_ms() == 2_000
    assert watched.watch.list_reports() == ()
    watched.watch.handle_answer(U, "1000")
    [report] = watched.watch.list_reports()
    assert report.until == NOW + 1_000


@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("entry"), st.integers(1, 4), st.integers(0, 9_000)),
            st.tuples(st.just("answer"), st.integers(1, 4), st.integers(0, 9_000)),
            st.tuples(st.just("peer"), st.integers(1, 4), st.integers(0, 9_000)),
            st.tuples(st.just("evacuated"), st.just(0), st.just(0)),
        ),
        min_size=1,
        max_size=8,
    ),
    st.randoms(use_true_random=False),
)
def test_any_order_of_words_about_any_starts_gives_the_same_end(words, random):
    """Guards against knowledge that depends on which message came first, or came twice."""
    last = max((born for kind, born, _ in words), default=1) or 1
    ends = []
    for _ in range(2):
        watched = Watched()
        for kind, born, cold_ms in words:
            start = replace(U, born_ms=born, cold_ms=cold_ms if kind == "entry" else 0)
            if kind == "entry":
                watched.watch.handle_entries([start], is_first_listing=False)
            elif kind == "answer":
                watched.watch.handle_answer(start, str(cold_ms))
            elif kind == "peer":
                watched.tell(born, cold_ms)
            else:
                watched.watch.mark_cold("a")
        watched.listed["u"] = replace(U, born_ms=last)
        ends.append((watched.find_remaining_ms(), watched.watch.find_limit(Incarnation("u", last))))
        words = [*words, random.choice(words)]
        random.shuffle(words)
    assert ends[0] == ends[1]
    told = [cold_ms for kind, born, cold_ms in words if born == last]
    assert ends[0][0] >= max(told, default=0)


@given(
    st.floats(0.1, 1_000),
    st.floats(1.0, 3.0),
    st.floats(4.8, 100),
)
def test_permits_of_all_owners_together_fit_the_bounds(per_s, overage, slack):
    rate = find_permit_rate(ColdRules(3_000, per_s), ColdBounds(overage, slack))
    assert rate <= max(per_s, 0.49)
    assert rate * 17 / 12 + 4 <= per_s * overage + slack + 1e-6


def test_usual_bounds_leave_the_rate_as_it_is():
    assert find_permit_rate(RULES, DEFAULT_COLD_BOUNDS) == 14.0


@given(st.integers(1, 700_000), st.floats(0, 1_000))
def test_remaining_time_passes_between_instances(cold_ms, rate):
    report = LimitReport(Incarnation("u", 3), rate, 0, NOW + cold_ms)
    read = decode_limit(encode_limit(report, NOW), 5)
    assert read.until == 5 + min(cold_ms, MAX_COLD_MS)
    assert read.rate == rate


@given(st.integers(0, 2**40), st.one_of(st.none(), st.floats(0, 1_000)))
def test_named_limit_of_any_age_is_not_taken_for_a_cold_upstream(age_ms, rate):
    report = LimitReport(Incarnation("u", 3), rate, NOW - age_ms)
    assert decode_limit(encode_limit(report, NOW), NOW).until is None
