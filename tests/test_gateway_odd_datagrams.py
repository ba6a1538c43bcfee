"""Datagrams with odd contents: they change nothing, and the exchange with the others goes on."""

import asyncio

import pytest

from lentilwell.gateway._peers import COALESCE_MS
from lentilwell.gateway._work_digest import (
    UnreadableDigest,
    WorkDigest,
    decode_digest,
    encode_digest,
)
from standins.simulated_time import LoopClock
from tests.gateway_scripts import in_loop
from tests.test_gateway_addresses import NOT_ADDRESSES
from tests.test_gateway_peers import make_peers

SENDER = ("127.0.0.1", 2)


@pytest.mark.parametrize("address", NOT_ADDRESSES)
def test_digest_with_an_odd_address_is_unreadable(address):
    with pytest.raises(UnreadableDigest):
        decode_digest(encode_digest(WorkDigest("i", "l", address, 7, ()), 0), 0)


@pytest.mark.parametrize("address", ["nowhere", "127.0.0.1:65536", "127.0.0.1\0:80"])
@in_loop
async def test_digest_with_an_odd_address_neither_closes_the_socket_nor_fails_a_send(address):
    """Sending to such an address ended the process, or closed its socket for datagrams."""
    loop = asyncio.get_running_loop()
    failures = []
    loop.set_exception_handler(lambda loop, context: failures.append(context))
    peers = make_peers(LoopClock())
    transport, _ = await loop.create_datagram_endpoint(lambda: peers, ("127.0.0.1", 0))
    digest = WorkDigest("odd", "l", address, 1, ())
    peers.datagram_received(encode_digest(digest, LoopClock().now()), SENDER)
    peers.schedule_send()
    await asyncio.sleep(5 * COALESCE_MS / 1_000)
    assert not failures and not transport.is_closing()
    peers.close()
