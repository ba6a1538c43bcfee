"""A pause of the gateway's own process is not taken for a silent upstream, owner or store."""

import asyncio
import socket
import threading
import time

import pytest

from lentilwell._clock import BootClock
from lentilwell._timeouts import allow_ms
from lentilwell.gateway import HttpConnectionError
from lentilwell.gateway._connection import CONNECT_TIMEOUT_MS, open_http_connection
from tests.gateway_scripts import in_loop


async def let_loop_run():
    for _ in range(3):
        await asyncio.sleep(0)


def hold_up_loop(ms):
    """Keep the event loop from running, as a pause of the process would."""
    time.sleep(ms / 1_000)


@in_loop
async def test_connection_that_was_accepted_during_a_pause_is_used():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = "{}:{}".format(*listener.getsockname())
        opening = asyncio.create_task(open_http_connection(address, BootClock()))
        await let_loop_run()
        hold_up_loop(CONNECT_TIMEOUT_MS + 150)
        connection = await opening
        connection.close()


@in_loop
async def test_answer_that_arrived_during_a_pause_is_taken():
    loop = asyncio.get_running_loop()
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    threading.Timer(0.05, writer.send, (b"x",)).start()

    async def receive():
        async with allow_ms(100):
            return await loop.sock_recv(reader, 1)

    receiving = asyncio.create_task(receive())
    await let_loop_run()
    hold_up_loop(300)
    assert await receiving == b"x"
    reader.close()
    writer.close()


@in_loop
async def test_timeout_ends_a_wait_in_time():
    with pytest.raises(TimeoutError):
        async with allow_ms(50):
            await asyncio.sleep(5)


@in_loop
async def test_timeout_ends_a_wait_soon_after_a_pause():
    async def wait():
        async with allow_ms(50):
            await asyncio.sleep(5)

    waiting = asyncio.create_task(wait())
    await let_loop_run()
    hold_up_loop(200)
    with pytest.raises(TimeoutError):
        await waiting


@in_loop
async def test_body_that_ends_in_time_has_no_timeout_afterwards():
    async with allow_ms(30):
        await asyncio.sleep(0)
    await asyncio.sleep(0.06)


@in_loop
async def test_unreachable_upstream_is_still_found():
    with pytest.raises(HttpConnectionError):
        await open_http_connection("127.0.0.1:1", BootClock())
