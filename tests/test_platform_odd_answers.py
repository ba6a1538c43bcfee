"""Answers of the store with odd rows: each odd row is skipped, and the others are read."""

import asyncio
import itertools
import json

import pytest
import wire_store
from wire_store import StoreClient, TableFeed

from lentilwell._clock import ManualClock
from lentilwell.gateway import Entry, StoreUnavailable, UnreadableRow

SOUND = {"table": "t", "part": "", "key": "sound", "value": "eA==", "schema_version": 4}
DEEP = b"[" * 100_000 + b"]" * 100_000
ODD_ROWS = {
    "no fields": {},
    "no key": {"value": "eA=="},
    "a key that is a number": {"key": 7, "value": "eA=="},
    "a value that is null": {"key": "odd", "value": None},
    "a value that is a list": {"key": "odd", "value": []},
    "a value that is not base64": {"key": "odd", "value": "e"},
    "a value that is not ASCII": {"key": "odd", "value": "\u00e9A=="},
    "removed that is not a boolean": {"key": "odd", "removed": "yes"},
    "not an object": "odd",
    "null": None,
}


class ScriptedClient(StoreClient):
    """A client whose calls return the bodies of ``bodies`` in turn, and are kept in ``targets``."""

    def __init__(self, *bodies):
        super().__init__(lambda: "", ManualClock(0))
        self.bodies = list(bodies)
        self.targets = []

    async def _call(self, method, target, timeout_ms, body=b"", pause_ms=None):
        self.targets.append(target)
        return 200, self.bodies.pop(0)


class EndlessBodies:
    """Bodies that never run out; a test reads 100 of them at most."""

    def __init__(self, bodies) -> None:
        self._bodies = itertools.islice(bodies, 100)

    def pop(self, _index):
        return next(self._bodies)


def encode_answer(*rows, more=False, version=9):
    return json.dumps({"rows": rows, "schema_version": version, "has_more": more}).encode()


def decode(key, value):
    if value != b"x":
        raise UnreadableRow(key)
    return value.decode()


def make_feed(*bodies):
    return TableFeed(ScriptedClient(*bodies), "t", decode)


def list_values(listing):
    return {entry.key: entry.value for entry in listing.entries if entry.value is not None}


@pytest.mark.parametrize("odd", ODD_ROWS.values(), ids=ODD_ROWS)
def test_odd_row_is_skipped_and_the_others_are_read(odd):
    """One such row once made the store count as away, or ended the follower, at each reading."""
    answer = encode_answer(odd, SOUND, odd)
    for read in (lambda feed: feed.read_all(), lambda feed: feed.read_changes(3, 0)):
        listing = asyncio.run(read(make_feed(answer)))
        assert list_values(listing) == {"sound": "x"} and listing.version == 9


def test_odd_value_of_a_known_key_is_an_entry_without_a_value():
    answer = encode_answer({"key": "known", "value": "\u00e9"}, {"key": "other", "value": 1})
    listing = asyncio.run(make_feed(answer).read_changes(3, 0))
    assert listing.entries == (Entry("known", None), Entry("other", None))


def test_page_that_ends_with_an_odd_row_is_continued_after_the_last_key():
    pages = (encode_answer(SOUND, {}, more=True), encode_answer({**SOUND, "key": "z"}))
    feed = make_feed(*pages)
    listing = asyncio.run(feed.read_all())
    assert list_values(listing) == {"sound": "x", "z": "x"}
    assert "from=sound%00" in feed._client.targets[1]


def test_page_without_any_key_that_has_more_is_an_unavailable_store():
    with pytest.raises(StoreUnavailable):
        asyncio.run(make_feed(encode_answer({}, more=True)).read_all())


def count_up():
    """Yield pages with ever larger keys, each of which has more."""
    for number in itertools.count():
        yield encode_answer(*({**SOUND, "key": f"{number:09}{n}"} for n in range(50)), more=True)


@pytest.mark.parametrize(
    "bodies", [itertools.repeat(encode_answer(SOUND, more=True)), count_up()], ids=["same", "more"]
)
def test_pages_without_end_are_an_unavailable_store(bodies, monkeypatch):
    """Their rows were kept without end, until the process ran out of memory."""
    monkeypatch.setattr(wire_store, "MAX_TABLE_ROWS", 1_000)
    feed = make_feed()
    feed._client.bodies = EndlessBodies(bodies)
    with pytest.raises(StoreUnavailable, match="no end"):
        asyncio.run(feed.read_all())
    assert len(feed._client.targets) <= 21


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"rows": [], "schema_version": "9"}',
        b'{"rows": [], "schema_version": -1}',
        b'{"rows": [], "schema_version": %d}' % 2**63,
        b'{"rows": 5, "schema_version": 9}',
        b'{"schema_version": 9, "more": %s}' % DEEP,
        b'{"schema_version": 9, "rows": [{"key": "odd", "more": %s}]}' % DEEP,
        b"\xff",
    ],
    ids=lambda body: body[:40],
)
def test_answer_that_is_no_list_of_rows_is_an_unavailable_store(body):
    for read in (lambda feed: feed.read_all(), lambda feed: feed.read_changes(3, 0)):
        with pytest.raises(StoreUnavailable):
            asyncio.run(read(make_feed(body)))


@pytest.fixture
def reasons(monkeypatch):
    """Return the list to which the keys and reasons of logged unreadable rows are added."""
    logged = []
    monkeypatch.setattr(
        wire_store, "write_line", lambda line: logged.append((line.key, line.reason))
    )
    return logged


def refuse_at_length(key, value):
    raise UnreadableRow(value.decode() * 10_000)


def test_reason_and_key_of_a_logged_row_are_bounded(reasons):
    rows = ({**SOUND, "key": "k" * 60_000}, {"key": "k", "x" * 60_000: 1, "value": 1})
    feed = TableFeed(ScriptedClient(encode_answer(*rows)), "t", refuse_at_length)
    asyncio.run(feed.read_all())
    assert len(reasons) == 2
    assert all(len(key) <= 200 and len(reason) <= 200 for key, reason in reasons)


def test_odd_row_is_logged_once_until_it_changes(reasons):
    odd = {**SOUND, "key": "odd", "value": "eQ=="}
    other = {**SOUND, "key": "odd", "value": "!"}
    sound = {**SOUND, "key": "odd"}
    gone = {"key": "odd", "removed": True}
    feed = make_feed(
        *(encode_answer(SOUND, row) for row in (odd, odd, other, sound, odd, gone, odd))
    )
    counts = []
    for _ in range(7):
        asyncio.run(feed.read_all())
        counts.append(len(reasons))
    assert counts == [1, 1, 2, 2, 3, 3, 4]


def test_number_of_remembered_odd_rows_is_bounded(reasons):
    rows = [{"key": f"odd-{number}", "value": 1} for number in range(3_000)]
    feed = make_feed(encode_answer(*rows))
    asyncio.run(feed.read_all())
    assert len(reasons) == 3_000 and len(feed._odd_rows) <= wire_store.MAX_ODD_ROWS
