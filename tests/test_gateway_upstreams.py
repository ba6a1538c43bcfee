"""Which upstreams may take requests, whatever the listing says and when."""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from lentilwell._clock import ManualClock
from lentilwell.gateway import BudgetRules, Entry, Listing
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._shards import ShardView
from lentilwell.gateway._table_listeners import UpstreamListener
from lentilwell.gateway._upstreams import (
    MAX_DEPARTURES,
    QUARANTINE_MS,
    RELIST_MS,
    Directory,
    ListingChange,
    Upstream,
    apply_changes,
    apply_listing,
    begin_era,
    drop_missing,
    list_still_leaving,
    record_store_recovery,
)

ONE = Upstream("one", "s", "127.0.0.1:1", "dc", 8, False)
TWO = Upstream("two", "s", "127.0.0.1:2", "dc", 8, False)
GONE = ListingChange("one", None, removed=True)


def names(directory, now, service="s"):
    return [upstream.name for upstream in directory.find_usable(service, now)]


def test_listed_upstreams_of_the_service_are_usable():
    other = replace(TWO, name="other", service="t")
    directory = apply_listing(Directory(), [ONE, TWO, other], now=0)
    assert names(directory, 0) == ["one", "two"]


def test_leaving_upstream_takes_nothing_at_once():
    directory = apply_listing(Directory(), [ONE, TWO], now=0)
    directory = apply_changes(directory, [ListingChange("one", replace(ONE, leaving=True))], now=1)
    assert names(directory, 1) == ["two"]


def test_removed_entry_takes_nothing_at_once():
    directory = apply_listing(Directory(), [ONE, TWO], now=0)
    assert names(apply_changes(directory, [GONE], now=1), 1) == ["two"]


def test_unreadable_entry_names_no_upstream():
    directory = apply_listing(Directory(), [ONE, TWO], now=0)
    assert names(apply_changes(directory, [ListingChange("one", None)], now=1), 1) == ["two"]


def test_entries_lapsed_in_an_outage_stay_until_they_had_time_to_return():
    directory = apply_listing(Directory(), [ONE, TWO], now=0)
    directory = record_store_recovery(directory, now=10_000)
    directory = apply_changes(directory, [GONE], now=10_000)
    assert names(directory, 10_000 + RELIST_MS - 1) == ["one", "two"]
    assert names(directory, 10_000 + RELIST_MS) == ["two"]
    assert "one" not in drop_missing(directory, 10_000 + RELIST_MS).listed


def test_entry_that_returns_in_time_stays_for_good():
    directory = record_store_recovery(apply_listing(Directory(), [ONE, TWO], now=0), now=10_000)
    directory = apply_changes(directory, [GONE], now=10_100)
    directory = apply_changes(directory, [ListingChange("one", ONE)], now=11_000)
    assert names(drop_missing(directory, 20_000), 20_000) == ["one", "two"]


def test_whole_listing_after_an_outage_spares_the_lapsed_for_the_same_time():
    directory = record_store_recovery(apply_listing(Directory(), [ONE, TWO], now=0), now=10_000)
    directory = apply_listing(directory, [TWO], now=10_010)
    assert names(directory, 10_500) == ["one", "two"]
    assert names(directory, 10_000 + RELIST_MS) == ["two"]


def test_whole_listing_without_an_outage_drops_what_it_lacks():
    directory = apply_listing(apply_listing(Directory(), [ONE, TWO], now=0), [TWO], now=100)
    assert names(directory, 100) == ["two"]


def test_leaving_mark_of_an_outage_is_believed():
    directory = record_store_recovery(apply_listing(Directory(), [ONE, TWO], now=0), now=10_000)
    directory = apply_changes(
        directory, [ListingChange("one", replace(ONE, leaving=True)), GONE], 10_001
    )
    assert names(directory, 10_002) == ["two"]


BORN = replace(ONE, born_ms=7)


def restore(directory, found, now, era=2):
    return apply_listing(record_store_recovery(begin_era(directory, era), now), found, now)


def test_upstream_missing_from_a_restored_list_has_time_to_list_itself_again():
    directory = apply_listing(begin_era(Directory(), 1), [BORN, TWO], now=0)
    directory = restore(directory, [TWO], now=10_000)
    assert names(directory, 10_000 + RELIST_MS - 1) == ["one", "two"]
    assert names(directory, 10_000 + RELIST_MS) == ["two"]
    back = apply_changes(directory, [ListingChange("one", BORN)], now=11_000)
    assert names(back, 30_000) == ["one", "two"]


def test_restored_list_that_no_outage_announced_spares_what_it_lacks():
    clock = ManualClock(5_000)
    shards = ShardView("i", "dc")
    fleet = Fleet(clock, "dc", BudgetRules(0.2, 100, 10_000), "least_cost", shards)
    listener = UpstreamListener(fleet)
    both = tuple(Entry(upstream.name, upstream) for upstream in (BORN, TWO))
    listener.handle_listing(Listing(both, 9, era=1))
    listener.handle_listing(Listing(both[1:], 4, era=2))
    assert names(fleet.directory, clock.now()) == ["one", "two"]
    clock.advance(RELIST_MS)
    fleet.remove_unlisted()
    assert names(fleet.directory, clock.now()) == ["two"]


def test_upstream_that_was_leaving_stays_so_whatever_the_restored_list_says():
    directory = apply_listing(begin_era(Directory(), 1), [BORN, TWO], now=0)
    directory = apply_changes(directory, [ListingChange("one", replace(BORN, leaving=True))], now=1)
    directory = restore(directory, [BORN, TWO], now=10_000)
    assert names(directory, 60_000) == ["two"] and list_still_leaving(directory) == ["one"]
    again = apply_changes(directory, [ListingChange("one", BORN)], now=11_000)
    assert names(again, 60_000) == ["two"]


def test_new_life_of_an_upstream_that_left_is_used():
    directory = apply_listing(begin_era(Directory(), 1), [BORN], now=0)
    directory = apply_changes(
        directory, [ListingChange("one", replace(BORN, leaving=True)), GONE], now=1
    )
    directory = restore(directory, [BORN], now=10_000)
    directory = apply_changes(
        directory, [ListingChange("one", replace(BORN, born_ms=8))], now=10_500
    )
    assert names(directory, 10_500) == ["one"]


def test_removed_upstream_is_used_again_once_its_entry_changed_or_has_stood():
    directory = apply_changes(apply_listing(begin_era(Directory(), 1), [BORN], 0), [GONE], now=1)
    directory = restore(directory, [BORN], now=10_000)
    assert names(directory, 10_000 + QUARANTINE_MS - 1) == []
    assert names(directory, 10_000 + QUARANTINE_MS) == ["one"]
    assert names(apply_changes(directory, [ListingChange("one", BORN)], 10_100), 10_100) == ["one"]
    assert names(apply_changes(directory, [GONE], 10_000 + RELIST_MS), 60_000) == []


def test_second_reading_of_a_restored_list_ends_no_doubt():
    directory = apply_changes(apply_listing(begin_era(Directory(), 1), [BORN], 0), [GONE], now=1)
    directory = apply_listing(restore(directory, [BORN], now=10_000), [BORN], now=10_100)
    assert names(directory, 10_000 + QUARANTINE_MS - 1) == []


def test_new_life_in_a_second_reading_is_not_doubted():
    directory = apply_changes(apply_listing(begin_era(Directory(), 1), [BORN], 0), [GONE], now=1)
    directory = restore(directory, [BORN], now=10_000)
    directory = apply_listing(directory, [replace(BORN, born_ms=8)], now=10_100)
    assert names(directory, 10_100) == ["one"]


def test_upstream_that_came_back_before_the_restore_is_not_doubted():
    directory = apply_changes(apply_listing(begin_era(Directory(), 1), [BORN], 0), [GONE], now=1)
    directory = apply_changes(directory, [ListingChange("one", BORN)], now=2)
    assert names(restore(directory, [BORN], now=10_000), 10_000) == ["one"]


def test_address_used_by_another_life_belongs_to_the_newer_one():
    directory = apply_changes(apply_listing(begin_era(Directory(), 1), [BORN], 0), [GONE], now=1)
    taker = replace(TWO, address=ONE.address, born_ms=9)
    directory = apply_changes(directory, [ListingChange("two", taker)], now=2)
    assert names(restore(directory, [BORN], now=10_000), 10_100) == ["two"]


def test_departures_that_are_remembered_are_bounded():
    directory = begin_era(Directory(), 1)
    for number in range(MAX_DEPARTURES + 50):
        upstream = replace(ONE, name=f"u{number}", born_ms=1)
        gone = ListingChange(upstream.name, None, removed=True)
        directory = apply_changes(
            directory, [ListingChange(upstream.name, upstream), gone], now=number
        )
    assert len(directory.departures) == MAX_DEPARTURES and not directory.listed


NAMES = st.sampled_from(["a", "b", "c"])
STEPS = st.one_of(
    st.tuples(st.just("list"), st.frozensets(NAMES)),
    st.tuples(st.just("ready"), NAMES),
    st.tuples(st.just("leave"), NAMES),
    st.tuples(st.just("remove"), NAMES),
    st.tuples(st.just("unreadable"), NAMES),
    st.tuples(st.just("regain"), st.none()),
    st.tuples(st.just("wait"), st.integers(1, 3_000)),
)


@settings(max_examples=2_000)
@given(st.lists(STEPS, max_size=60))
def test_no_sequence_of_listings_keeps_an_upstream_that_is_gone(steps):
    """Play listings, changes and outages beside a plain account of what was last said of each."""
    directory, now, regained_at = Directory(), 0, None
    said: dict[str, str] = {}
    for what, value in steps:
        if what == "wait":
            now += value
        elif what == "regain":
            directory, regained_at = record_store_recovery(directory, now), now
        elif what == "list":
            found = [replace(ONE, name=name) for name in sorted(value)]
            directory = apply_listing(directory, found, now)
            for name in said:
                if name not in value:
                    said[name] = "gone"
            said.update(dict.fromkeys(value, "ready"))
        else:
            upstream = replace(ONE, name=value, leaving=what == "leave")
            told = upstream if what in ("ready", "leave") else None
            change = ListingChange(value, told, removed=what == "remove")
            directory = apply_changes(directory, [change], now)
            said[value] = {"ready": "ready", "leave": "leaving"}.get(what, "gone")
        usable = set(names(directory, now))
        for name, state in said.items():
            if state == "ready":
                assert name in usable
            if state == "leaving":
                assert name not in usable
            if state == "gone" and name in usable:
                assert regained_at is not None and now < regained_at + RELIST_MS
