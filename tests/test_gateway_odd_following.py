"""A follower beside odd rows: it reads the table whole once, and each change once."""

import asyncio

import pytest
from wire_servers import decode_upstream
from wire_store import StoreClient, TableFeed

from lentilwell._clock import BootClock
from lentilwell.gateway.following._follower import CHANGE_BATCH_MS, Follower
from standins.gateway_process import TIMEOUT_S, build_server_entry
from standins.rows import RowServer, RowStore
from tests.gateway_scripts import in_loop
from tests.test_platform_odd_entries import ODD_ROWS

SOUND = build_server_entry("127.0.0.1:80", "desk")
ODD_VALUES = {name: value for name, (table, value) in ODD_ROWS.items() if table == "servers"}


class CountingFeed(TableFeed):
    """A feed of the servers' table that counts how often it reads the whole table."""

    def __init__(self, address):
        client = StoreClient(lambda: address, BootClock())
        super().__init__(client, "servers", decode_upstream)
        self.whole_reads = 0

    async def read_all(self):
        """Count the call, and read the table."""
        self.whole_reads += 1
        return await super().read_all()


class RecordingListener:
    """Keeps the values of all entries by key."""

    def __init__(self):
        self.values = {}
        self.changed = asyncio.Event()

    def handle_listing(self, listing):
        """Record the entries of a listing."""
        self.handle_changes(listing)

    def handle_changes(self, listing):
        """Record changed entries."""
        self.values.update({entry.key: entry.value for entry in listing.entries})
        self.changed.set()

    def handle_store_recovery(self):
        """Fail: the store answers all the time."""
        raise AssertionError


async def wait_for_key(listener, key):
    """Wait until the listener has an entry."""
    async with asyncio.timeout(TIMEOUT_S):
        while key not in listener.values:
            listener.changed.clear()
            await listener.changed.wait()


@pytest.mark.parametrize("before", [True, False], ids=["before the start", "as a change"])
@pytest.mark.parametrize("odd", ODD_VALUES.values(), ids=ODD_VALUES)
@in_loop
async def test_odd_row_is_read_once_and_does_not_delay_later_changes(odd, before):
    store = RowStore()
    server, listener = RowServer(store), RecordingListener()
    address = await server.start()
    await store.put("servers", "first", SOUND)
    if before:
        await store.put("servers", "odd", odd)
    feed = CountingFeed(address)
    following = asyncio.ensure_future(Follower("t", feed, listener, BootClock()).run())
    await wait_for_key(listener, "first")
    if not before:
        await store.put("servers", "odd", odd)
    await wait_for_key(listener, "odd")
    await store.put("servers", "later", SOUND)
    await wait_for_key(listener, "later")
    await asyncio.sleep(2 * CHANGE_BATCH_MS / 1_000)
    assert not following.done() and listener.values["odd"] is None
    assert listener.values["first"].name == "first" and listener.values["later"].name == "later"
    assert feed.whole_reads == 1
    following.cancel()
    server.close()
