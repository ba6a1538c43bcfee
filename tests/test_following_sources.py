"""Who is a source, who is fed, and when a fed instance calls the store."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilwell.gateway._store_point import StorePoint
from lentilwell.gateway._store_waits import LONG_WAITS, SHORT_WAITS, find_wait_ms
from lentilwell.gateway.following._call_plan import (
    MAX_MISSING_MS,
    MAX_REPAIR_MS,
    MIN_REPAIR_MS,
    READ_INTERVAL_MS,
    CallPlan,
    CallReason,
)
from lentilwell.gateway.following._sources import (
    END_DELAY_MS,
    LAG_MS,
    MAX_SOURCES,
    MAX_START_DELAY_MS,
    SILENCE_MS,
    SOURCES_PER_CENTRE,
    SourceRole,
    Sources,
    SourceState,
    count_before,
)
from lentilwell.gateway.following._store_contact import OVERDUE_MS, StoreContact
from lentilwell.gateway.following._tables import TableState

KNOWN_MS = 3_000
NAMES = st.sets(st.text("abcdef0123", min_size=1, max_size=6), min_size=1, max_size=30)


def make_state(at=5, heard_at=0, answered=True, sequence=1, incarnation="i", changed=None):
    table = TableState(StorePoint(1, at), StorePoint(1, changed or at), answered)
    return SourceState(incarnation, sequence, heard_at, (table,))


@given(NAMES, st.data())
def test_two_instances_that_can_be_sources_become_so_and_stay(names, data):
    """Roles must not flap, nor depend on who started first."""
    able = data.draw(st.sets(st.sampled_from(sorted(names))))
    roles = {name: SourceRole(name) for name in names}
    for name in data.draw(st.sets(st.sampled_from(sorted(names)))):
        roles[name].active = True
    changed_at = 0
    for now in range(0, 10_000, 100):
        active = {name for name, role in roles.items() if role.active}
        for name, role in roles.items():
            if role.update(name in able, active - {name}, names - {name}, now):
                changed_at = now
    assert {name for name, role in roles.items() if role.active} == {
        name for name in able if count_before(name, able - {name}) < SOURCES_PER_CENTRE
    }
    assert changed_at <= 2 * (MAX_START_DELAY_MS + END_DELAY_MS)


def test_source_feeds_while_it_is_heard_answered_and_not_behind():
    sources = Sources(1)
    sources.record("a", make_state(at=5))
    sources.update_newest([StorePoint(1, 4)], 0)
    assert sources.find_feeding(SILENCE_MS) == ["a"]
    assert sources.find_feeding(SILENCE_MS + 1) == []
    sources.update_newest([StorePoint(1, 9)], 100)
    assert sources.find_feeding(100 + LAG_MS) == []  # not heard
    sources.record("a", make_state(at=5, heard_at=LAG_MS, sequence=2))
    assert sources.find_feeding(100 + LAG_MS) == ["a"]
    assert sources.find_feeding(101 + LAG_MS) == []
    assert sources.describe_absence(101 + LAG_MS) == "the sources are behind"
    sources.record("a", make_state(at=9, heard_at=LAG_MS, answered=False, sequence=3))
    assert sources.describe_absence(LAG_MS) == "the store does not answer the sources"


def test_message_that_arrives_late_does_not_replace_a_newer_one():
    sources = Sources(1)
    assert sources.record("a", make_state(sequence=5, answered=False))
    assert not sources.record("a", make_state(sequence=4, heard_at=9))
    assert sources.find_feeding(9) == []
    assert sources.record("a", make_state(sequence=1, incarnation="j"))


def test_version_of_a_corrupt_message_holds_sources_back_only_until_the_next_message():
    sources = Sources(1)
    sources.record("a", make_state(changed=2**62))
    sources.update_newest([StorePoint(1, 5)], 0)
    sources.record("a", make_state(sequence=2, heard_at=2 * LAG_MS))
    sources.update_newest([StorePoint(1, 5)], 2 * LAG_MS)
    assert sources.find_feeding(2 * LAG_MS) == ["a"]


def test_made_up_names_do_not_fill_the_memory():
    sources = Sources(1)
    for number in range(3 * MAX_SOURCES):
        sources.record(f"n{number}", make_state(heard_at=number))
    assert len(sources.list_answered(0)) == MAX_SOURCES


@pytest.mark.parametrize("waits", [SHORT_WAITS, LONG_WAITS])
def test_dependents_of_a_source_call_in_time_after_the_store_has_fallen_silent(waits):
    """The bound holds for the table with short waits, which ends those of the other one."""
    longest = find_wait_ms(waits.instances, 0.999)
    contact = StoreContact(0)
    contact.begin_call(longest, 0)
    assert contact.is_answered(longest + OVERDUE_MS)
    assert not contact.is_answered(longest + OVERDUE_MS + 1)
    contact.begin_call(0, longest + OVERDUE_MS + 1)
    assert not contact.is_answered(longest + OVERDUE_MS + 2), "a new call is no answer"
    if waits is SHORT_WAITS:
        assert longest + OVERDUE_MS + 2 * MAX_MISSING_MS < KNOWN_MS


@given(st.lists(st.tuples(st.integers(0, 500), st.floats(0, 1, exclude_max=True)), max_size=60))
def test_changes_in_quick_succession_are_read_together_and_none_waits_for_long(steps):
    plan, now = CallPlan(0), 0
    plan.begin_call(0)
    plan.plan_next(True, 0, 0.5)
    asked_at, oldest = 0, None
    for version, (passed_ms, point) in enumerate(steps):
        now += passed_ms
        if plan.find_left_ms(now) <= 0:
            assert plan.begin_call(now) is CallReason.MISSING
            assert now - asked_at >= READ_INTERVAL_MS
            asked_at, oldest = now, None
            plan.plan_next(True, now, point)
        plan.plan_missing(StorePoint(1, version), now, point)
        oldest = now if oldest is None else oldest
        assert now + plan.find_left_ms(now) <= oldest + READ_INTERVAL_MS + MAX_MISSING_MS


def test_call_for_a_change_that_has_arrived_is_put_off_to_the_next_repair():
    plan = CallPlan(0)
    plan.plan_next(True, 0, 0.0)
    assert plan.find_left_ms(0) == MIN_REPAIR_MS
    assert plan.plan_missing(StorePoint(1, 7), 5_000, 0.0)
    plan.drop_missing()
    assert plan.find_left_ms(0) == MIN_REPAIR_MS and plan.reason is CallReason.REPAIR
    plan.plan_next(True, 0, 1.0)
    assert plan.find_left_ms(0) == MAX_REPAIR_MS
    plan.plan_next(False, 0, 0.5)
    assert plan.find_left_ms(0) == 0 and plan.begin_call(0) is CallReason.POLL
