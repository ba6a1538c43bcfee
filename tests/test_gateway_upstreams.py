"""The directory of upstreams: which may get requests through changes, outages and restores."""

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


def test_draining_upstream_is_not_usable():
    directory = apply_listing(Directory(), [ONE, TWO], now=0)
    directory = apply_changes(directory, [ListingChange("one", replace(ONE, leaving=True))], now=1)
    assert names(directory, 1) == ["two"]


def test_removed_upstream_is_not_usable():
    directory = apply_listing(Directory(), [ONE, TWO], now=0)
    assert names(apply_changes(directory, [GONE], now=1), 1) == ["two"]


def test_upstream_with_an_unreadable_entry_is_not_usable():
    directory = apply_listing(Directory(), [ONE, TWO], now=0)
    assert names(apply_changes(directory, [ListingChange("one", None)], now=1), 1) == ["two"]


def test_entries_that_expired_in_an_outage_stay_until_they_could_register_again():
    directory = apply_listing(Directory(), [ONE, TWO], now=0)
    directory = record_store_recovery(directory, now=10_000)
    directory = apply_changes(directory, [GONE], now=10_000)
    assert names(directory, 10_000 + RELIST_MS - 1) == ["one", "two"]
    assert names(directory, 10_000 + RELIST_MS) == ["two"]
    assert "one" not in drop_missing(directory, 10_000 + RELIST_MS).listed


def test_entry_that_is_registered_again_in_time_stays():
    directory = record_store_recovery(apply_listing(Directory(), [ONE, TWO], now=0), now=10_000)
    directory = apply_changes(directory, [GONE], now=10_100)
    directory = apply_changes(directory, [ListingChange("one", ONE)], now=11_000)
    assert names(drop_missing(directory, 20_000), 20_000) == ["one", "two"]


def test_complete_listing_after_an_outage_keeps_missing_upstreams_for_the_same_time():
    directory = record_store_recovery(apply_listing(Directory(), [ONE, TWO], now=0), now=10_000)
    directory = apply_listing(directory, [TWO], now=10_010)
    assert names(directory, 10_500) == ["one", "two"]
    assert names(directory, 10_000 + RELIST_MS) == ["two"]


def test_complete_listing_without_an_outage_removes_missing_upstreams():
    directory = apply_listing(apply_listing(Directory(), [ONE, TWO], now=0), [TWO], now=100)
    assert names(directory, 100) == ["two"]


def test_drain_during_an_outage_is_effective_at_once():
    directory = record_store_recovery(apply_listing(Directory(), [ONE, TWO], now=0), now=10_000)
    directory = apply_changes(
        directory, [ListingChange("one", replace(ONE, leaving=True)), GONE], 10_001
    )
    assert names(directory, 10_002) == ["two"]


STARTED = replace(ONE, born_ms=7)


def restore(directory, found, now, era=2):
    return apply_listing(record_store_recovery(begin_era(directory, era), now), found, now)


def test_upstream_missing_from_a_restored_listing_has_time_to_register_again():
    directory = apply_listing(begin_era(Directory(), 1), [STARTED, TWO], now=0)
    directory = restore(directory, [TWO], now=10_000)
    assert names(directory, 10_000 + RELIST_MS - 1) == ["one", "two"]
    assert names(directory, 10_000 + RELIST_MS) == ["two"]
    registered = apply_changes(directory, [ListingChange("one", STARTED)], now=11_000)
    assert names(registered, 30_000) == ["one", "two"]


def test_restored_listing_without_an_outage_keeps_missing_upstreams_for_a_time():
    clock = ManualClock(5_000)
    shards = ShardView("i", "dc")
    fleet = Fleet(clock, "dc", BudgetRules(0.2, 100, 10_000), "least_cost", shards)
    listener = UpstreamListener(fleet)
    both = tuple(Entry(upstream.name, upstream) for upstream in (STARTED, TWO))
    listener.handle_listing(Listing(both, 9, era=1))
    listener.handle_listing(Listing(both[1:], 4, era=2))
    assert names(fleet.directory, clock.now()) == ["one", "two"]
    clock.advance(RELIST_MS)
    fleet.remove_unlisted()
    assert names(fleet.directory, clock.now()) == ["two"]


def test_first_listing_lets_the_instance_tell_its_peers_of_its_start_at_once():
    shards = ShardView("i", "dc")
    fleet = Fleet(ManualClock(5_000), "dc", BudgetRules(0.2, 100, 10_000), "least_cost", shards)
    told = []
    fleet.on_new_report = lambda: told.append(shards.peers)
    shards.update_members({"i": "dc", "j": "dc"})
    UpstreamListener(fleet).handle_listing(Listing((Entry("one", STARTED),), 9))
    assert told == [{"j"}]


def test_upstream_that_was_draining_stays_so_in_a_restored_listing():
    directory = apply_listing(begin_era(Directory(), 1), [STARTED, TWO], now=0)
    directory = apply_changes(
        directory, [ListingChange("one", replace(STARTED, leaving=True))], now=1
    )
    directory = restore(directory, [STARTED, TWO], now=10_000)
    assert names(directory, 60_000) == ["two"] and list_still_leaving(directory) == ["one"]
    again = apply_changes(directory, [ListingChange("one", STARTED)], now=11_000)
    assert names(again, 60_000) == ["two"]


def test_new_incarnation_of_a_drained_upstream_is_usable():
    directory = apply_listing(begin_era(Directory(), 1), [STARTED], now=0)
    directory = apply_changes(
        directory, [ListingChange("one", replace(STARTED, leaving=True)), GONE], now=1
    )
    directory = restore(directory, [STARTED], now=10_000)
    directory = apply_changes(
        directory, [ListingChange("one", replace(STARTED, born_ms=8))], now=10_500
    )
    assert names(directory, 10_500) == ["one"]


def test_removed_upstream_is_usable_again_once_its_entry_changed_or_was_kept():
    directory = apply_changes(apply_listing(begin_era(Directory(), 1), [STARTED], 0), [GONE], now=1)
    directory = restore(directory, [STARTED], now=10_000)
    assert names(directory, 10_000 + QUARANTINE_MS - 1) == []
    assert names(directory, 10_000 + QUARANTINE_MS) == ["one"]
    assert names(apply_changes(directory, [ListingChange("one", STARTED)], 10_100), 10_100) == [
        "one"
    ]
    assert names(apply_changes(directory, [GONE], 10_000 + RELIST_MS), 60_000) == []


def test_second_read_of_a_restored_listing_does_not_end_the_quarantine():
    directory = apply_changes(apply_listing(begin_era(Directory(), 1), [STARTED], 0), [GONE], now=1)
    directory = apply_listing(restore(directory, [STARTED], now=10_000), [STARTED], now=10_100)
    assert names(directory, 10_000 + QUARANTINE_MS - 1) == []


def test_new_incarnation_in_a_second_read_is_not_quarantined():
    directory = apply_changes(apply_listing(begin_era(Directory(), 1), [STARTED], 0), [GONE], now=1)
    directory = restore(directory, [STARTED], now=10_000)
    directory = apply_listing(directory, [replace(STARTED, born_ms=8)], now=10_100)
    assert names(directory, 10_100) == ["one"]


def test_upstream_that_returned_before_the_restore_is_not_quarantined():
    directory = apply_changes(apply_listing(begin_era(Directory(), 1), [STARTED], 0), [GONE], now=1)
    directory = apply_changes(directory, [ListingChange("one", STARTED)], now=2)
    assert names(restore(directory, [STARTED], now=10_000), 10_000) == ["one"]


def test_reused_address_belongs_to_the_newer_upstream():
    directory = apply_changes(apply_listing(begin_era(Directory(), 1), [STARTED], 0), [GONE], now=1)
    reused = replace(TWO, address=ONE.address, born_ms=9)
    directory = apply_changes(directory, [ListingChange("two", reused)], now=2)
    assert names(restore(directory, [STARTED], now=10_000), 10_100) == ["two"]


def test_remembered_departures_are_bounded():
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
def test_no_sequence_of_changes_keeps_a_removed_upstream(steps):
    """Compare random listings, changes and outages with the last known state of each upstream."""
    directory, now, recovered_at = Directory(), 0, None
    states: dict[str, str] = {}
    for step, value in steps:
        if step == "wait":
            now += value
        elif step == "regain":
            directory, recovered_at = record_store_recovery(directory, now), now
        elif step == "list":
            found = [replace(ONE, name=name) for name in sorted(value)]
            directory = apply_listing(directory, found, now)
            for name in states:
                if name not in value:
                    states[name] = "gone"
            states.update(dict.fromkeys(value, "ready"))
        else:
            upstream = replace(ONE, name=value, leaving=step == "leave")
            entry = upstream if step in ("ready", "leave") else None
            change = ListingChange(value, entry, removed=step == "remove")
            directory = apply_changes(directory, [change], now)
            states[value] = {"ready": "ready", "leave": "leaving"}.get(step, "gone")
        usable = set(names(directory, now))
        for name, state in states.items():
            if state == "ready":
                assert name in usable
            if state == "leaving":
                assert name not in usable
            if state == "gone" and name in usable:
                assert recovered_at is not None and now < recovered_at + RELIST_MS
