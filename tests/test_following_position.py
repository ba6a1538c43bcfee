"""The position in a table: no order of answers and messages hides a change or brings one back."""

from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilwell.gateway import Entry, HistoryGone, Listing
from lentilwell.gateway._store_point import StorePoint
from lentilwell.gateway.following._position import Position
from tests.searching import SEARCH_EXAMPLES

KEYS = ("a", "b", "c")


@dataclass
class Table:
    """A table whose rows hold the version at which they were written; it returns all versions."""

    version: int = 1
    written: list[tuple[str, int]] = field(default_factory=list)

    def write(self, key):
        self.version += 1
        self.written.append((key, self.version))

    def list_after(self, after):
        return tuple(Entry(key, version) for key, version in self.written if version > after)

    def answer(self, after):
        entries = self.list_after(after)
        newest = max((entry.value for entry in entries), default=0)
        return Listing(entries, self.version, 1, newest)


class Instance:
    """An instance with its rows; it keeps an answer until it is handled."""

    def __init__(self, table):
        self.position, self.rows = Position(), {}
        self.apply(table.answer(0))
        self.position.apply_complete(table.answer(0))

    def apply(self, listing):
        for entry in listing.entries:
            assert self.rows.get(entry.key, 0) <= entry.value, "a row went back"
            self.rows[entry.key] = entry.value

    def ask(self, table):
        return self.position.at, table.answer(self.position.confirmed.version)

    def handle_answer(self, asked_at, answer):
        """Apply an answer and return the message for others, as a source does."""
        new = self.position.select_new(answer, asked_at)
        if new is None:
            return None
        after = self.position.complete_from
        self.apply(new)
        self.position.apply_answer(new)
        return (after, new.newest.version, answer.entries) if new.entries else None

    def handle_message(self, message):
        after, version, entries = message
        if self.position.accepts(1, after, version):
            newer = tuple(one for one in entries if one.value > self.position.at.version)
            listing = Listing(newer, version, 1)
            self.apply(listing)
            self.position.apply_relayed(listing)


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("write"), st.sampled_from(KEYS)),
        st.tuples(st.just("tick")),
        st.tuples(st.just("source asks"), st.integers(0, 1)),
        st.tuples(st.just("message"), st.integers(0, 30)),
        st.tuples(st.just("ask")),
        st.tuples(st.just("answer")),
    ),
    min_size=30,
    max_size=90,
)


@settings(max_examples=SEARCH_EXAMPLES or 300)
@given(STEPS)
def test_lost_repeated_and_reordered_messages_hide_no_change_and_bring_none_back(steps):
    """Messages are drawn anew from all that were ever sent; an answer may come long after."""
    table = Table()
    sources, dependent = [Instance(table), Instance(table)], Instance(table)
    messages, pending = [], None
    for name, *values in steps:
        if name == "write":
            table.write(values[0])
        elif name == "tick":
            table.version += 1  # another table changed
        elif name == "source asks":
            source = sources[values[0]]
            message = source.handle_answer(*source.ask(table))
            messages.extend([message] if message else [])
        elif name == "message" and messages:
            dependent.handle_message(messages[values[0] % len(messages)])
        elif name == "ask":
            pending = dependent.ask(table)
        elif name == "answer" and pending is not None:
            dependent.handle_answer(*pending)
            pending = None
        at = dependent.position.at.version
        known = {key: version for key, version in table.written if version <= at}
        for key, version in known.items():
            assert dependent.rows.get(key, 0) >= version, "a change up to the position is missing"
    dependent.handle_answer(*dependent.ask(table))
    assert dependent.rows == dict(table.written)


def test_message_with_a_version_that_the_store_does_not_have_is_undone_by_the_next_answer():
    """A corrupt message would otherwise hide every change up to its version for ever."""
    table = Table()
    instance = Instance(table)
    instance.handle_message((0, 10**9, ()))
    table.write("a")
    with pytest.raises(HistoryGone):
        instance.handle_answer(*instance.ask(table))
    instance.position.clear()
    instance.position.apply_complete(table.answer(0))
    assert instance.position.at == instance.position.changed == StorePoint(1, 2)


def test_rows_that_other_instances_sent_are_not_applied_again():
    """Each row would be logged and reported as a change of its own, which makes others call."""
    table = Table()
    source, dependent = Instance(table), Instance(table)
    table.write("a")
    dependent.handle_message(source.handle_answer(*source.ask(table)))
    table.version += 5
    assert dependent.handle_answer(*dependent.ask(table)) is None
    assert dependent.position.changed == source.position.changed == StorePoint(1, 2)


@pytest.mark.parametrize(
    ("era", "after", "version", "accepted"),
    [(1, 4, 9, True), (1, 5, 6, True), (1, 6, 9, False), (1, 3, 5, False), (2, 4, 9, False)],
)
def test_rows_are_accepted_only_without_a_gap_and_in_the_same_era(era, after, version, accepted):
    position = Position()
    assert not position.accepts(1, 4, 9)
    position.apply_complete(Listing((), 5, 1))
    assert position.accepts(era, after, version) is accepted


def test_removal_that_a_complete_reading_has_shown_stays_the_newest_change():
    position = Position()
    position.apply_complete(Listing((Entry("a", 1), Entry("b", 2)), 5, 1, 2))
    position.apply_complete(Listing((Entry("a", 1),), 7, 1, 1))
    assert position.changed == StorePoint(1, 7)
    position.apply_complete(Listing((Entry("a", 1),), 9, 1, 1))
    assert position.changed == StorePoint(1, 7)
