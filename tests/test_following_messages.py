"""Messages of sources: they arrive unchanged, and malformed or huge ones have no effect."""

import contextlib
import tracemalloc
import zlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilwell._clock import ManualClock
from lentilwell.gateway._crash_messages import is_crash_notice
from lentilwell.gateway._permit_messages import is_permit_message
from lentilwell.gateway._store_point import StorePoint
from lentilwell.gateway.following import Follower, Relay
from lentilwell.gateway.following._messages import (
    MAX_MESSAGE_BYTES,
    PREFIX,
    SourceMessage,
    UnreadableMessage,
    decode_message,
    encode_message,
)
from lentilwell.gateway.following._send_budget import BYTES_PER_S, MAX_BYTES, SendBudget
from lentilwell.gateway.following._tables import TableChange, TableState
from tests.test_gateway_peers import make_peers

COUNTS = st.integers(0, 2**63 - 1)
POINTS = st.builds(StorePoint, COUNTS, COUNTS)
STATES = st.builds(TableState, POINTS, POINTS, st.booleans(), st.none() | COUNTS)
CHANGES = st.builds(TableChange, COUNTS, COUNTS, COUNTS, st.binary(max_size=200))
STATE = TableState(StorePoint(1, 5), StorePoint(1, 4), True)


def make_message(*changes, tables=(STATE, STATE)):
    return SourceMessage("n1", "i1", "z1", 7, tables, changes)


def replace_field(index, value):
    """Return the bytes of a valid message with one field replaced."""
    fields = msgspec.msgpack.decode(encode_message(make_message())[len(PREFIX) :])
    fields[index] = value
    return PREFIX + msgspec.msgpack.encode(fields)


@given(st.tuples(STATES, STATES), st.lists(st.tuples(st.integers(0, 1), CHANGES), max_size=3))
def test_message_arrives_unchanged(tables, changes):
    message = make_message(*changes, tables=tables)
    data = encode_message(message)
    assert decode_message(data, 2) == message
    assert not is_permit_message(data) and not is_crash_notice(data)


@given(st.binary(max_size=300))
def test_malformed_bytes_raise_only_the_declared_error(data):
    """Any other error would be reported as a fault of the program."""
    with contextlib.suppress(UnreadableMessage):
        decode_message(PREFIX + data, 2)


ODD_MESSAGES = {
    "name is a number": replace_field(0, 5),
    "name is long": replace_field(0, "n" * 1_000),
    "sequence is negative": replace_field(3, -1),
    "sequence is huge": replace_field(3, 2**64 - 1),
    "sequence is text": replace_field(3, "7"),
    "no table": replace_field(4, []),
    "a table too many": replace_field(4, [[1, 5, 1, 4, True, None]] * 3),
    "version is negative": replace_field(4, [[1, -5, 1, 4, True, None]] * 2),
    "state lacks fields": replace_field(4, [[1, 5], [1, 5]]),
    "change of a table that does not exist": replace_field(5, [[9, 1, 1, 2, zlib.compress(b"")]]),
    "rows are not compressed": replace_field(5, [[0, 1, 1, 2, b"rows"]]),
    "rows are cut": replace_field(5, [[0, 1, 1, 2, zlib.compress(b"x" * 99)[:-3]]]),
    "too long": PREFIX + bytes(MAX_MESSAGE_BYTES),
    "empty": PREFIX,
}


@pytest.mark.parametrize("data", ODD_MESSAGES.values(), ids=ODD_MESSAGES.keys())
def test_odd_message_is_logged_and_dropped(data, monkeypatch):
    written = []
    monkeypatch.setattr("lentilwell.gateway.following._relay.write_line", written.append)
    followers = [Follower(name, None, None, ManualClock()) for name in ("op", "servers")]
    Relay("n0", "i0", "z1", ManualClock(), followers).handle_datagram(data, ("10.0.0.1", 1))
    assert [line.event for line in written] == ["relay unreadable"]
    with pytest.raises(UnreadableMessage):
        decode_message(data, 2)


def test_rows_that_decompress_to_many_bytes_do_not_fill_the_memory():
    data = replace_field(5, [[0, 1, 1, 2, zlib.compress(bytes(6_000_000))]])
    assert len(data) < MAX_MESSAGE_BYTES
    tracemalloc.start()
    with pytest.raises(UnreadableMessage):
        decode_message(data, 2)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak < 1_000_000


def test_messages_of_sources_are_told_apart_from_digests():
    peers, received = make_peers(), []
    peers.source_message_prefix = PREFIX
    peers.on_source_message = lambda data, addr: received.append(data)
    data = encode_message(make_message())
    peers.datagram_received(data, ("127.0.0.1", 9))
    assert received == [data]


@given(st.lists(st.tuples(st.integers(0, 3_000), st.integers(0, 200_000)), max_size=40))
def test_rows_take_a_bounded_share_of_the_link(sends):
    """Two sources would otherwise fill the smallest links in a storm of configurations."""
    budget, now, taken = SendBudget(), 0, 0
    for passed_ms, size in sends:
        now += passed_ms
        taken += size if budget.take(size, now) else 0
        assert taken <= MAX_BYTES + now * BYTES_PER_S / 1_000 + 1
