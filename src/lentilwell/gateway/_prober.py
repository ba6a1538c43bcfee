"""Tries to reach upstreams in doubt: lets back those that answer, leaves those that do not."""

from __future__ import annotations

import asyncio

from lentilwell._log_lines import UpstreamEjected, UpstreamReached, write_line
from lentilwell.gateway._failures import Unreachable
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._links import Links
from lentilwell.gateway._upstreams import Upstream

PROBE_INTERVAL_MS = 500
SILENT_MS = 350


class Prober:
    """Probes by connecting; the connection is kept for the next request."""

    def __init__(self, fleet: Fleet, links: Links) -> None:
        self._fleet = fleet
        self._links = links

    async def run(self) -> None:
        """Probe for good, at once after an upstream has come into doubt."""
        doubt = asyncio.Event()
        self._fleet.ejection.on_unreachable = doubt.set
        while True:
            await doubt.wait()
            doubt.clear()
            if await self._probe_all():
                asyncio.get_running_loop().call_later(PROBE_INTERVAL_MS / 1_000, doubt.set)

    async def _probe_all(self) -> bool:
        """Probe all that are in doubt; return whether some still are."""
        listed = self._fleet.directory.listed.values()
        lost = [one for one in listed if self._fleet.ejection.is_unreachable(one.name)]
        reached = await asyncio.gather(*(self._probe(upstream) for upstream in lost))
        return not all(reached)

    async def _probe(self, upstream: Upstream) -> bool:
        try:
            link = await self._links.take(upstream.address, fresh=True)
        except Unreachable:
            self._fleet.ejection.record_unreachable(upstream.name, self._fleet.clock.now())
            self._links.give_up_silent(upstream.address, SILENT_MS)
            return False
        self._links.give_back(upstream.address, link)
        write_line(UpstreamReached(upstream.name, upstream.address))
        if self._fleet.ejection.record_connection(upstream.name, self._fleet.clock.now()):
            write_line(UpstreamEjected(upstream.name, "takes connections but does not answer"))
        return True
