"""Connections of upstreams that have ended are not used again."""

import asyncio
import socket

from tests.gateway_harness import run_gateway
from tests.gateway_scripts import answer_ok, in_loop


@in_loop
async def test_kept_connection_whose_end_is_not_read_yet_is_not_used():
    async with run_gateway(answer_ok) as harness:
        await harness.call("/whole/x")
        [upstream] = harness.gateway.fleet.directory.listed.values()
        arrival = harness.arrivals[0]
        arrival.writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
        # The event loop does not run between the shutdown and this call.
        connection = await harness.gateway.connections.acquire(upstream.address, False)
        assert not connection.used_before
        await asyncio.sleep(0.05)
        connection.close()
