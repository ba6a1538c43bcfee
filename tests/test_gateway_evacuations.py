"""The evacuated data centres by themselves: listings, changes and restores of the store."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from start import decode_operator_row
from wire_evacuation import find_evacuated

from lentilwell._clock import ManualClock
from lentilwell.gateway import Catalog, Entry, EvacuationOrder, Listing, UnreadableRow
from lentilwell.gateway._configuration_choice import ConfigurationChoice
from lentilwell.gateway._table_listeners import (
    CatalogListener,
    EvacuationListener,
    OperatorListener,
)
from lentilwell.gateway.evacuation import REWRITE_MS, EvacuationTracker

NAMES = st.sampled_from(["a", "b", "c"])
ROWS = st.tuples(st.sampled_from(["put", "remove"]), NAMES)


class Reader:
    """A process that reads the operator's table; it calls the listener as a follower does."""

    def __init__(self, *names):
        self.clock, self.choice, self.events = ManualClock(), ConfigurationChoice(), []
        self.tracker = EvacuationTracker(self.clock)
        self.tracker.on_begin = lambda name: self.events.append(f"+{name}")
        self.tracker.on_end = lambda name: self.events.append(f"-{name}")
        evacuations = EvacuationListener(self.tracker, find_evacuated)
        catalogs = CatalogListener(self.choice, self.clock)
        self.listener = OperatorListener(evacuations, catalogs)
        self.list(names)

    def list(self, names, era=1, version=1):
        entries = [Entry(f"evacuate/{name}", EvacuationOrder(name)) for name in names]
        entries.append(Entry("config", Catalog(version)))
        self.listener.handle_listing(Listing(tuple(entries), 1, era))
        return self

    def change(self, key, removed=False, value=None):
        self.listener.handle_changes(Listing((Entry(key, value, removed),), 1, 1))
        return self

    def wait(self, ms):
        self.clock.advance(ms)
        self.tracker.end_kept()
        return self

    @property
    def evacuated(self):
        return set(self.tracker.evacuated)


@given(st.lists(st.frozensets(NAMES) | ROWS | st.integers(1, 9)))
def test_within_an_era_exactly_the_data_centres_with_a_row_are_evacuated(steps):
    """Guards against rows that are missed, and against ends without a removal."""
    reader, rows = Reader(), set()
    for step in steps:
        if isinstance(step, frozenset):
            rows = set(step)
            reader.list(step)
        elif isinstance(step, int):
            reader.change("config", value=Catalog(step)).wait(REWRITE_MS)
        else:
            reader.change(f"evacuate/{step[1]}", removed=step[0] == "remove")
            rows = rows | {step[1]} if step[0] == "put" else rows - {step[1]}
        assert reader.evacuated == rows
    begun = [event[1] for event in reader.events if event[0] == "+"]
    ended = [event[1] for event in reader.events if event[0] == "-"]
    assert sorted(begun) == sorted([*ended, *rows])


@given(st.frozensets(NAMES), st.frozensets(NAMES), st.lists(ROWS), st.integers(0, REWRITE_MS - 1))
def test_evacuation_survives_a_restore_until_the_operator_has_written(
    before, copied, writes, pause_ms
):
    """Guards against a backup that ends evacuations, and against some that never end."""
    reader, rows = Reader(*before).list(copied, era=2).wait(60_000), set(copied)
    assert reader.evacuated == before | copied
    for kind, name in writes:
        reader.change(f"evacuate/{name}", removed=kind == "remove").wait(pause_ms)
        rows = rows | {name} if kind == "put" else rows - {name}
        assert rows <= reader.evacuated <= before | rows
        assert (name in reader.evacuated) == (kind == "put")
    reader.wait(REWRITE_MS)
    assert reader.evacuated == (rows if writes else before | copied)


def test_rewritten_configuration_does_not_interrupt_an_evacuation_that_is_rewritten_after_it():
    """Guards against requests sent there between the two rows."""
    reader = Reader("a").list("", era=2).change("config", value=Catalog(2)).wait(REWRITE_MS - 1)
    assert reader.change("evacuate/a").wait(60_000).events == ["+a"]


def test_second_restore_keeps_an_evacuation_that_was_about_to_end():
    reader = Reader("a").list("", era=2).change("config", value=Catalog(2))
    assert reader.list("", era=3).wait(60_000).evacuated == {"a"}


@pytest.mark.parametrize(("version", "left"), [(1, {"a"}), (2, {"a"}), (3, set())])
def test_first_listing_of_an_era_shows_a_write_only_by_a_newer_configuration(version, left):
    """Guards against an instance that reads the copy late and keeps the evacuation forever."""
    reader = Reader("a").change("config", value=Catalog(2)).list("", era=2, version=version)
    assert reader.wait(REWRITE_MS - 1).evacuated == {"a"}
    assert reader.wait(1).evacuated == left


@pytest.mark.parametrize(("version", "left"), [(1, {"a"}), (2, set())])
def test_compacted_history_shows_a_write_of_the_new_era_only_by_a_changed_row(version, left):
    reader = Reader("a").list("", era=2).list("", era=2, version=version)
    assert reader.wait(REWRITE_MS).evacuated == left


@pytest.mark.parametrize("value", [b"", b"\xff", b"[]", b"7", b"null", b"[" * 5_000])
def test_unreadable_value_is_reported_but_the_key_still_names_the_data_centre(value):
    assert decode_operator_row("evacuate/z1", b"{}") == EvacuationOrder("z1")
    with pytest.raises(UnreadableRow):
        decode_operator_row("evacuate/z1", value)
    assert find_evacuated("evacuate/z1") == "z1"


@pytest.mark.parametrize("key", ["evacuate/", "evacuate", "evacuate/\0", "evacuate/" + "z" * 201])
def test_malformed_key_evacuates_nothing(key):
    with pytest.raises(UnreadableRow):
        decode_operator_row(key, b"{}")
    reader = Reader("a").change(key)
    assert reader.evacuated == {"a"} and reader.choice.in_force.version == 1
