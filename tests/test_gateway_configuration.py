"""The configuration in force through restores of the store from an older backup."""

from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilwell._clock import ManualClock
from lentilwell.gateway import Catalog, Entry, Listing
from lentilwell.gateway._configuration_choice import (
    RESTORED_SETTLE_MS,
    SETTLE_MS,
    ConfigurationChoice,
)
from lentilwell.gateway._table_listeners import CatalogListener
from tests.gateway_harness import CATALOG


def make_version(number, content=None):
    """Return a version whose content is given by ``content``, by default unique to its number."""
    content = number if content is None else content
    limits = replace(CATALOG.limits, body_bytes=1_000_000 + content)
    return replace(CATALOG, version=number, limits=limits)


class Reader:
    """A process that reads the configuration; it calls the listener as a follower does."""

    def __init__(self):
        self.clock = ManualClock()
        self.choice = ConfigurationChoice()
        self.listener = CatalogListener(self.choice, self.clock)

    def read_listing(self, catalog, era):
        self.listener.handle_listing(Listing((Entry("config", catalog),), 1, era))
        return self

    def read_change(self, catalog, era):
        self.listener.handle_changes(Listing((Entry("config", catalog),), 1, era))
        return self

    def wait(self, ms):
        self.clock.advance(ms)
        self.listener.apply_pending()
        return self

    @property
    def number(self):
        return self.choice.in_force.version


def start_reader(*numbers):
    reader = Reader().read_listing(make_version(numbers[0]), 1)
    for number in numbers[1:]:
        reader.read_change(make_version(number), 1)
    return reader


def test_older_backup_does_not_replace_the_version_in_force():
    reader = start_reader(26, 28, 31)
    assert reader.read_listing(make_version(26), 2).wait(10 * RESTORED_SETTLE_MS).number == 31


def test_rewriting_lost_versions_never_goes_back_and_ends_at_the_last_one():
    reader = start_reader(26, 28, 31).read_listing(make_version(26), 2)
    for number in (28, 31):
        assert reader.read_change(make_version(number), 2).wait(5 * SETTLE_MS).number == 31
    assert reader.read_change(make_version(34), 2).number == 34


def test_new_version_after_a_restore_is_in_force_at_once():
    reader = start_reader(26, 31).read_listing(make_version(26), 2)
    assert reader.read_change(make_version(33), 2).number == 33


def test_reused_number_with_different_content_is_in_force_after_the_settle_time():
    reader = start_reader(26, 28, 31).read_listing(make_version(26), 2)
    again = make_version(28, content=99)
    assert reader.read_change(again, 2).wait(SETTLE_MS - 1).number == 31
    assert reader.wait(1).choice.in_force is again
    assert reader.read_change(make_version(30), 2).number == 30


def test_reading_a_version_again_keeps_it_pending_and_a_change_shortens_the_wait():
    again = make_version(28, content=99)
    reader = start_reader(26, 31).read_listing(again, 2).wait(100)
    reader.read_change(again, 2).wait(SETTLE_MS - 1)
    assert reader.read_change(again, 2).number == 31
    assert reader.wait(1).choice.in_force is again


def test_kept_configuration_is_logged_only_after_a_restore(monkeypatch):
    written = []
    monkeypatch.setattr("lentilwell.gateway._table_listeners.write_line", written.append)
    reader = start_reader(26, 31).read_listing(make_version(31), 1)
    assert {line.event for line in written} == {"configuration in force"}
    reader.read_listing(make_version(26), 2)
    assert (written[-1].event, written[-1].found) == ("configuration kept", 26)


def test_unknown_version_that_is_overwritten_before_the_settle_time_is_skipped():
    reader = start_reader(26, 31).read_listing(make_version(26), 2)
    reader.read_change(make_version(28), 2).wait(SETTLE_MS - 1)
    assert reader.read_change(make_version(31), 2).wait(10 * RESTORED_SETTLE_MS).number == 31


def test_content_reused_under_another_number_does_not_lead_back():
    """Versions 26 and 31 have the same content: the backup's 26 must not make 28 look new."""
    reader = Reader().read_listing(make_version(26, content=1), 1)
    reader.read_change(make_version(28), 1).read_change(make_version(31, content=1), 1)
    reader.read_listing(make_version(26, content=1), 2)
    assert reader.read_change(make_version(28), 2).wait(10 * RESTORED_SETTLE_MS).number == 31


def test_confirmed_version_stays_in_force_in_the_new_era():
    reader = start_reader(26, 31).read_listing(make_version(31), 2)
    assert (
        reader.read_change(make_version(28, content=5), 2).wait(10 * RESTORED_SETTLE_MS).number
        == 31
    )


def test_process_started_with_the_backup_follows_the_rewriting():
    reader = Reader().read_listing(make_version(26), 2)
    assert [reader.read_change(make_version(n), 2).number for n in (28, 31)] == [28, 31]


def test_unknown_content_of_the_backup_is_in_force_after_a_wait():
    reader = start_reader(31).read_listing(make_version(26), 2)
    assert reader.wait(RESTORED_SETTLE_MS - 1).number == 31
    assert reader.wait(1).number == 26


def test_instance_disconnected_during_the_restore_takes_the_newest_version():
    assert start_reader(26).read_listing(make_version(34), 3).number == 34


@pytest.mark.parametrize("era", [1, 2])
def test_late_read_of_an_older_version_is_ignored(era):
    reader = start_reader(26, 31).read_listing(make_version(31), 2)
    assert reader.read_change(make_version(26), era).wait(10 * RESTORED_SETTLE_MS).number == 31


@dataclass
class Operator:
    """An operator and a store that loses versions.

    ``written`` are all versions, ``stored`` is the index of the one that the store holds.
    """

    written: list[Catalog] = field(default_factory=lambda: [make_version(1)])
    stored: int = 0
    era: int = 1

    def write(self):
        number = self.written[-1].version + 3
        # Every other version has the content of the one before it.
        content = None if len(self.written) % 2 else self.written[-1].limits.body_bytes - 1_000_000
        self.written.append(make_version(number, content))
        self.stored = len(self.written) - 1

    def lose(self, steps):
        self.stored = max(0, self.stored - steps)
        self.era += 1

    def rewrite(self):
        self.stored = min(self.stored + 1, len(self.written) - 1)


STEPS = st.one_of(
    st.tuples(st.just("write"), st.none()),
    st.tuples(st.just("lose"), st.integers(0, 3)),
    st.tuples(st.just("rewrite"), st.none()),
    st.tuples(st.just("read"), st.integers(0, 2)),
    st.tuples(st.just("restart"), st.integers(0, 2)),
    st.tuples(st.just("wait"), st.integers(1, 2 * SETTLE_MS)),
)


@settings(max_examples=500)
@given(st.lists(STEPS, max_size=40))
def test_no_order_of_writes_restores_and_reads_goes_back(steps):
    """Three processes read and restart at random times; no read makes one go back a version."""
    operator, readers = Operator(), [start_reader(1) for _ in range(3)]
    eras = [1] * 3
    for step, value in steps:
        if step in ("write", "rewrite"):
            getattr(operator, step)()
        elif step == "lose":
            operator.lose(value)
        elif step == "restart":
            readers[value] = Reader().read_listing(operator.written[operator.stored], operator.era)
            eras[value] = operator.era
        elif step == "wait":
            for reader in readers:
                # The wait for unknown content of a backup has a test of its own.
                reader.wait(value)
        else:
            _read(readers, eras, value, operator)
    for index in range(3):
        while operator.stored < len(operator.written) - 1:
            operator.rewrite()
        _read(readers, eras, index, operator)
        assert readers[index].number == operator.written[-1].version


def _read(readers, eras, index, operator):
    reader, catalog = readers[index], operator.written[operator.stored]
    before = reader.number
    if eras[index] < operator.era:
        reader.read_listing(catalog, operator.era)
        eras[index] = operator.era
    else:
        reader.read_change(catalog, operator.era)
    assert reader.number >= before
