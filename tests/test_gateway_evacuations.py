"""The evacuated data centres by themselves: listings, changes and restores of the store."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from start import decode_operator_row
from wire_evacuation import MAX_NAME, find_evacuated

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


class Reader:
    """A process that reads the operator's table; it calls the listener as a follower does."""

    def __init__(self):
        self.clock = ManualClock()
        self.tracker = EvacuationTracker(self.clock)
        self.choice = ConfigurationChoice()
        self.events = []
        self.tracker.on_begin = lambda name: self.events.append(("begin", name))
        self.tracker.on_end = lambda name: self.events.append(("end", name))
        self.listener = OperatorListener(
            EvacuationListener(self.tracker, find_evacuated),
            CatalogListener(self.choice, self.clock),
        )

    def read_listing(self, *names, era=1, version=1):
        entries = [Entry(f"evacuate/{name}", EvacuationOrder(name)) for name in names]
        entries.append(Entry("config", Catalog(version)))
        self.listener.handle_listing(Listing(tuple(entries), 1, era))
        return self

    def read_change(self, key, removed=False, value=None, era=1):
        self.listener.handle_changes(Listing((Entry(key, value, removed),), 1, era))
        return self

    def wait(self, ms):
        self.clock.advance(ms)
        self.tracker.end_kept()
        return self

    @property
    def evacuated(self):
        return "".join(sorted(self.tracker.evacuated))


@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("listing"), st.frozensets(NAMES)),
            st.tuples(st.sampled_from(["put", "remove"]), NAMES),
            st.tuples(st.just("config"), st.integers(1, 9)),
            st.tuples(st.just("wait"), st.integers(0, 2 * REWRITE_MS)),
        )
    )
)
def test_within_an_era_exactly_the_data_centres_with_a_row_are_evacuated(steps):
    """Guards against rows that are missed, and against ends without a removal."""
    reader, rows = Reader().read_listing(), set()
    for kind, value in steps:
        if kind == "listing":
            rows = set(value)
            reader.read_listing(*value)
        elif kind == "wait":
            reader.wait(value)
        elif kind == "config":
            reader.read_change("config", value=Catalog(value))
        else:
            reader.read_change(f"evacuate/{value}", removed=kind == "remove")
            rows = rows | {value} if kind == "put" else rows - {value}
        assert reader.tracker.evacuated == rows
    begun = [name for kind, name in reader.events if kind == "begin"]
    ended = [name for kind, name in reader.events if kind == "end"]
    assert sorted(begun) == sorted([*ended, *rows])


@given(
    st.frozensets(NAMES),
    st.frozensets(NAMES),
    st.lists(st.tuples(st.sampled_from(["put", "remove"]), NAMES), max_size=6),
    st.integers(0, REWRITE_MS - 1),
)
def test_evacuation_survives_a_restore_until_the_operator_has_written(
    before, copied, writes, pause_ms
):
    """Guards against a backup that ends evacuations, and against some that never end."""
    reader = Reader().read_listing(*before).read_listing(*copied, era=2).wait(60_000)
    assert reader.tracker.evacuated == before | copied
    rows = set(copied)
    for kind, name in writes:
        reader.read_change(f"evacuate/{name}", removed=kind == "remove", era=2).wait(pause_ms)
        rows = rows | {name} if kind == "put" else rows - {name}
        assert rows <= reader.tracker.evacuated <= before | rows
        assert (name in reader.tracker.evacuated) == (kind == "put")
    reader.wait(REWRITE_MS)
    assert reader.tracker.evacuated == (rows if writes else before | copied)


def test_rewritten_configuration_does_not_interrupt_an_evacuation_that_is_rewritten_after_it():
    """Guards against requests sent there between the two rows."""
    reader = Reader().read_listing("a").read_listing(era=2)
    reader.read_change("config", value=Catalog(2), era=2).wait(REWRITE_MS - 1)
    reader.read_change("evacuate/a", era=2).wait(60_000)
    assert reader.events == [("begin", "a")]


def test_kept_evacuation_ends_once_any_row_was_written_in_the_new_era():
    reader = Reader().read_listing("a").read_listing(era=2)
    reader.read_change("config", value=Catalog(2), era=2).wait(REWRITE_MS)
    assert reader.evacuated == ""


def test_second_restore_keeps_an_evacuation_that_was_about_to_end():
    reader = Reader().read_listing("a").read_listing(era=2)
    reader.read_change("config", value=Catalog(2), era=2).read_listing(era=3).wait(60_000)
    assert reader.evacuated == "a"


@pytest.mark.parametrize(("version", "left"), [(1, "a"), (2, "")])
def test_compacted_history_shows_a_write_of_the_new_era_only_by_a_changed_row(version, left):
    reader = Reader().read_listing("a").read_listing(era=2)
    reader.read_listing(era=2, version=version).wait(REWRITE_MS)
    assert reader.evacuated == left


def test_instance_that_starts_after_a_restore_follows_the_copy():
    assert Reader().read_listing("b", era=2).evacuated == "b"


@pytest.mark.parametrize("value", [b"{}", b'{"x": 1}'])
def test_row_of_an_evacuation_is_read(value):
    assert decode_operator_row("evacuate/z1", value) == EvacuationOrder("z1")


@pytest.mark.parametrize("value", [b"", b"\xff", b"[]", b"7", b"null", b"[" * 5_000])
def test_unreadable_value_is_reported_but_the_key_still_names_the_data_centre(value):
    with pytest.raises(UnreadableRow):
        decode_operator_row("evacuate/z1", value)
    assert find_evacuated("evacuate/z1") == "z1"


@pytest.mark.parametrize(
    "key", ["evacuate/", "evacuate", "Evacuate/z1", "evacuate/\0", "evacuate/" + "z" * 201, "", "x"]
)
def test_malformed_key_evacuates_nothing(key):
    assert find_evacuated(key) is None
    with pytest.raises(UnreadableRow):
        decode_operator_row(key, b"{}")
    reader = Reader().read_listing("a").read_change(key)
    assert reader.evacuated == "a" and reader.choice.in_force.version == 1


@given(st.text(), st.binary())
def test_no_row_of_the_operator_raises_anything_but_unreadable_row(key, value):
    try:
        row = decode_operator_row(f"evacuate/{key}", value)
    except UnreadableRow:
        return
    assert isinstance(row, EvacuationOrder) and 0 < len(row.data_centre) <= MAX_NAME
