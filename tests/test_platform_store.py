"""The store client with a store that is silent, breaks connections, refuses or loses history."""

import asyncio
import json

import pytest
import wire_store
from wire_rows import StoreRow, encode_relayed_rows
from wire_store import StoreClient, TableFeed

from lentilwell._clock import BootClock
from lentilwell.gateway import (
    AnswerUnfinished,
    Entry,
    EraTracker,
    HistoryGone,
    StoreRestored,
    StoreUnavailable,
    UnreadableRow,
)
from lentilwell.gateway._store_point import StorePoint
from standins.rows import Row, RowStore
from tests.gateway_scripts import in_loop

TIMEOUT_MS = 80
WAIT_MS = 0
ROWS = {
    "rows": [{"table": "t", "key": "a", "value": "eA==", "schema_version": 4}],
    "schema_version": 7,
    "has_more": False,
}


class ScriptedStore:
    """Answers each request as the next of ``behaviours`` says, with status 200 after the last."""

    def __init__(self, *behaviours: str) -> None:
        self.behaviours = list(behaviours)
        self.connections = 0
        self.calls: list[str] = []

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_) -> None:
        self.server.close()

    async def serve(self, reader, writer) -> None:
        self.connections += 1
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            self.calls.append(head.split(b" ")[1].decode())
            await self.answer(self.behaviours.pop(0) if self.behaviours else "200", writer)

    async def answer(self, behaviour, writer) -> None:
        if behaviour == "silent":
            return
        if behaviour == "reset":
            writer.transport.abort()
            return
        if behaviour == "unfinished":
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 1000\r\n\r\n{")
            return
        if behaviour == "late":
            await asyncio.sleep(2 * TIMEOUT_MS / 1_000)
        kind, _, era = behaviour.partition(" era ")
        rows = {**ROWS, "has_more": kind == "more"}
        body = b"nonsense" if kind == "garbage" else json.dumps(rows).encode()
        era_header = b"Store-Era: %s\r\n" % era.encode() if era else b""
        status = kind if kind.isdigit() else "200"
        head = b"HTTP/1.1 %s X\r\n%sContent-Length: %d\r\n\r\n"
        writer.write(head % (status.encode(), era_header, len(body)))
        pieces = int(kind.removeprefix("slow ")) if kind.startswith("slow ") else 1
        size = -(-len(body) // pieces)
        for begin in range(0, len(body), size):
            writer.write(body[begin : begin + size])
            await asyncio.sleep(0 if pieces == 1 else TIMEOUT_MS / 4 / 1_000)


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch):
    monkeypatch.setattr(wire_store, "CALL_TIMEOUT_MS", TIMEOUT_MS)


def decode(key, value):
    if value != b"x":
        raise UnreadableRow(key)
    return value.decode()


def make_feed(store):
    return TableFeed(StoreClient(lambda: store.address, BootClock()), "t", decode)


@pytest.mark.parametrize("behaviour", ["silent", "late", "reset", "503", "429", "garbage"])
@in_loop
async def test_failed_call_is_reported_in_time_and_does_not_affect_the_next_one(behaviour):
    async with ScriptedStore(behaviour) as store:
        feed = make_feed(store)
        begin = asyncio.get_running_loop().time()
        with pytest.raises(StoreUnavailable):
            await feed.read_changes(3, WAIT_MS)
        assert asyncio.get_running_loop().time() - begin < 5 * TIMEOUT_MS / 1_000
        listing = await feed.read_changes(3, WAIT_MS)
        assert listing.version == 7 and listing.entries == (Entry("a", "x"),)


@pytest.mark.parametrize(("behaviour", "connections"), [("silent", 2), ("late", 2), ("503", 1)])
@in_loop
async def test_connection_with_a_pending_answer_is_not_reused(behaviour, connections):
    async with ScriptedStore(behaviour) as store:
        feed = make_feed(store)
        with pytest.raises(StoreUnavailable):
            await feed.read_changes(3, WAIT_MS)
        await feed.read_changes(3, WAIT_MS)
        assert store.connections == connections


@pytest.mark.parametrize(("behaviour", "unfinished"), [("silent", False), ("unfinished", True)])
@in_loop
async def test_answer_that_has_begun_is_told_from_a_silent_store(behaviour, unfinished):
    """Guards against changes that are too long for the link being asked for again and again."""
    async with ScriptedStore(behaviour) as store:
        feed = make_feed(store)
        with pytest.raises(StoreUnavailable) as failure:
            await feed.read_changes(3, WAIT_MS)
        assert isinstance(failure.value, AnswerUnfinished) is unfinished
        assert (await feed.read_changes(3, WAIT_MS)).version == 7


@in_loop
async def test_missing_history_raises_its_own_error():
    async with ScriptedStore("410") as store:
        with pytest.raises(HistoryGone):
            await make_feed(store).read_changes(3, WAIT_MS)


@in_loop
async def test_pages_of_different_eras_are_rejected():
    async with ScriptedStore("more era 1", "200 era 2", "200 era 2") as store:
        feed = make_feed(store)
        with pytest.raises(StoreRestored):
            await feed.read_all()
        assert (await feed.read_all()).at == StorePoint(2, 7)


@in_loop
async def test_era_of_any_answer_is_recorded_for_all_clients():
    async with ScriptedStore("200 era 1", "503 era 2", "200 era 1", "200 era 2") as store:
        eras, new_eras = EraTracker(), []
        eras.on_new_era = new_eras.append
        first, second = (StoreClient(lambda: store.address, BootClock(), eras) for _ in range(2))
        feed = TableFeed(first, "t", decode)
        assert (await feed.read_changes(3, WAIT_MS)).at == StorePoint(1, 7)
        with pytest.raises(StoreUnavailable):
            await second.put_row("t", "a", b"x")
        assert new_eras == [2]
        with pytest.raises(StoreRestored):
            await feed.read_changes(3, WAIT_MS)
        assert (await feed.read_changes(3, WAIT_MS)).era == 2


@pytest.mark.parametrize("era", ["-1", "x", "9" * 5_000, "1.5"])
@in_loop
async def test_invalid_era_is_ignored(era):
    async with ScriptedStore("200 era 3", f"200 era {era}", "200") as store:
        feed = make_feed(store)
        assert [(await feed.read_changes(3, WAIT_MS)).era for _ in range(3)] == [3, 3, 3]


@pytest.mark.parametrize("behaviour", ["silent", "reset", "412", "503"])
@in_loop
async def test_unconfirmed_write_is_reported_as_failed(behaviour):
    async with ScriptedStore(behaviour) as store:
        client = StoreClient(lambda: store.address, BootClock())
        with pytest.raises(StoreUnavailable):
            await client.put_row("t", "a", b"x")
        await client.put_row("t", "a", b"x")
        assert store.calls == ["/rows-tx"] * 2


@in_loop
async def test_changed_store_address_is_used_for_the_next_request():
    async with ScriptedStore() as first, ScriptedStore() as second:
        addresses = [first.address]
        feed = TableFeed(StoreClient(lambda: addresses[-1], BootClock()), "t", decode)
        await feed.read_all()
        addresses.append(second.address)
        await feed.read_all()
        assert first.connections == second.connections == 1


@in_loop
async def test_stand_in_reports_a_change_made_just_as_a_wait_times_out():
    """An answer at the end of a wait once had the version of a change, but not the change.

    The instance then never received the change. Soak seed 2 showed this in a run with a mutation.
    """
    store = RowStore()
    waiting = asyncio.ensure_future(store.wait_changes("t", 0, 0.02))
    await asyncio.sleep(0.005)
    async with store.changed:
        await asyncio.sleep(0.05)
        store.version += 1
        store.rows[("t", "k")] = Row("t", "k", b"x", store.version)
    assert [row.key for row in await waiting] == ["k"]


@in_loop
async def test_rows_of_another_instance_that_are_known_are_left_out():
    rows = [StoreRow("a", "eA==", schema_version=version) for version in (3, 4, 5)]
    async with ScriptedStore() as store:
        listing = make_feed(store).decode_changes(encode_relayed_rows(rows), 4)
    assert listing.entries == (Entry("a", "x"),)


@pytest.mark.parametrize("pieces", [1, 12])
@in_loop
async def test_long_table_is_read_as_long_as_it_keeps_arriving(pieces):
    async with ScriptedStore(f"slow {pieces}") as store:
        listing = await make_feed(store).read_all()
    assert listing.entries == (Entry("a", "x"),)


@in_loop
async def test_table_that_stops_arriving_is_given_up_in_time():
    async with ScriptedStore("unfinished") as store:
        begin = asyncio.get_running_loop().time()
        with pytest.raises(AnswerUnfinished):
            await make_feed(store).read_all()
    assert asyncio.get_running_loop().time() - begin < 5 * TIMEOUT_MS / 1_000
