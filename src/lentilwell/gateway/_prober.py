"""Probes unreachable upstreams, and uses them again once they accept a connection."""

from __future__ import annotations

import asyncio

from lentilwell._log_lines import UpstreamEjected, UpstreamReached, write_line
from lentilwell.gateway._connection_pool import ConnectionPool
from lentilwell.gateway._failures import Unreachable
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._upstreams import Upstream

PROBE_INTERVAL_MS = 500
# When a probe of an upstream fails, the requests there are also sent to other upstreams if nothing
# was received for this long.
UNREACHABLE_SILENCE_MS = 350


class Prober:
    """Probes by opening a connection, which goes to the pool for the next request."""

    def __init__(self, fleet: Fleet, connections: ConnectionPool) -> None:
        self._fleet = fleet
        self._connections = connections

    async def run(self) -> None:
        """Run forever: probe when an upstream becomes unreachable, then at an interval."""
        probe_needed = asyncio.Event()
        self._fleet.ejection.on_unreachable = probe_needed.set
        while True:
            await probe_needed.wait()
            probe_needed.clear()
            if await self._probe_unreachable():
                asyncio.get_running_loop().call_later(PROBE_INTERVAL_MS / 1_000, probe_needed.set)

    async def _probe_unreachable(self) -> bool:
        """Probe all unreachable upstreams; return whether any is still unreachable."""
        listed = self._fleet.directory.listed.values()
        unreachable = [
            upstream for upstream in listed if self._fleet.ejection.is_unreachable(upstream.name)
        ]
        reached = await asyncio.gather(*(self._probe(upstream) for upstream in unreachable))
        return not all(reached)

    async def _probe(self, upstream: Upstream) -> bool:
        try:
            connection = await self._connections.acquire(upstream.address, fresh=True)
        except Unreachable:
            self._fleet.ejection.record_unreachable(upstream.name, self._fleet.clock.now())
            self._connections.report_silence(upstream.address, UNREACHABLE_SILENCE_MS)
            return False
        self._connections.release(upstream.address, connection)
        write_line(UpstreamReached(upstream.name, upstream.address))
        if self._fleet.ejection.record_connection(upstream.name, self._fleet.clock.now()):
            write_line(UpstreamEjected(upstream.name, "accepts connections but does not answer"))
        return True
