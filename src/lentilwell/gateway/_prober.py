"""Tries to reach upstreams that took no connection, and lets back those that do again."""

from __future__ import annotations

import asyncio

from loguru import logger

from lentilwell.gateway._failures import Unreachable
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._links import Links
from lentilwell.gateway._upstreams import Upstream

PROBE_INTERVAL_MS = 500


class Prober:
    """Probes by connecting; the connection is kept for the next request."""

    def __init__(self, fleet: Fleet, links: Links) -> None:
        self._fleet = fleet
        self._links = links

    async def run(self) -> None:
        """Probe for good."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_MS / 1_000)
            listed = self._fleet.directory.listed.values()
            ejection = self._fleet.ejection
            lost = [one for one in listed if ejection.is_unreachable(one.name)]
            await asyncio.gather(*(self._probe(upstream) for upstream in lost))

    async def _probe(self, upstream: Upstream) -> None:
        try:
            link = await self._links.take(upstream.address, fresh=True)
        except Unreachable:
            return
        self._links.give_back(upstream.address, link)
        self._fleet.ejection.note_success(upstream.name)
        logger.info("upstream reached again", upstream=upstream.name, address=upstream.address)
