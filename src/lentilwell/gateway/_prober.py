"""Probes unreachable upstreams, and uses them again once they accept a connection.

While connections go through other instances, the path to the upstreams is probed, too.

Upstreams of an evacuated data centre are probed once the evacuation has ended.
"""

from __future__ import annotations

import asyncio
import contextlib
import random

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
    """Probes by opening a connection, which goes to the pool for the next request.

    Each upstream is probed in a task of its own: a dead one takes long to fail, and those that were
    only silent must not wait for it.
    """

    def __init__(self, fleet: Fleet, connections: ConnectionPool) -> None:
        self._fleet = fleet
        self._connections = connections
        self._probing: set[str] = set()
        self._refused: set[str] = set()

    async def run(self) -> None:
        """Run forever: probe each upstream that becomes unreachable, then at an interval."""
        probe_needed = asyncio.Event()
        probe_needed.set()  # for those that became unreachable before
        self._fleet.ejection.on_unreachable = probe_needed.set
        self._probing = set()
        async with asyncio.TaskGroup() as probes:
            probes.create_task(self._probe_path())
            while True:
                await probe_needed.wait()
                probe_needed.clear()
                for name in self._list_unreachable() - self._probing:
                    self._probing.add(name)
                    probes.create_task(self._probe_until_reached(name))

    async def _probe_path(self) -> None:
        """Look for a direct path to any upstream while there is none."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_MS / 1_000)
            if not self._connections.path_cut:
                continue
            listed = self._fleet.directory.listed
            usable = [one for one in listed.values() if not self._fleet.is_evacuated(one)]
            if usable:
                with contextlib.suppress(Unreachable):
                    await self._connections.probe_path(random.choice(usable).address)

    def _list_unreachable(self) -> set[str]:
        """Return the names of the listed upstreams that are unreachable and may be probed."""
        listed = self._fleet.directory.listed
        return {name for name in listed if self._find_unreachable(name)}

    async def _probe_until_reached(self, name: str) -> None:
        """Probe an upstream until it is reached, no longer listed or evacuated."""
        while (upstream := self._find_unreachable(name)) and not await self._probe(upstream):
            await asyncio.sleep(PROBE_INTERVAL_MS / 1_000)
        self._probing.discard(name)
        self._refused.discard(name)

    def _find_unreachable(self, name: str) -> Upstream | None:
        if not self._fleet.ejection.is_unreachable(name):
            return None
        upstream = self._fleet.directory.listed.get(name)
        return None if upstream is None or self._fleet.is_evacuated(upstream) else upstream

    async def _probe(self, upstream: Upstream) -> bool:
        was_cut = self._connections.path_cut
        try:
            connection = await self._connections.probe(upstream.address)
        except Unreachable as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                self._refused.add(upstream.name)
            self._fleet.ejection.record_unreachable(upstream.name, self._fleet.clock.now())
            self._connections.report_silence(upstream.address, UNREACHABLE_SILENCE_MS)
            return False
        if self._connections.path_cut and not was_cut:
            self._connections.leave_path(UNREACHABLE_SILENCE_MS)
        self._connections.release(upstream.address, connection)
        write_line(UpstreamReached(upstream.name, upstream.address))
        self._record_restart(upstream)
        if self._fleet.ejection.record_connection(upstream.name, self._fleet.clock.now()):
            write_line(UpstreamEjected(upstream.name, "accepts connections but does not answer"))
        return True

    def _record_restart(self, upstream: Upstream) -> None:
        """Record a new start of an upstream that refused connections: its port was closed."""
        if upstream.name in self._refused:
            self._refused.discard(upstream.name)
            self._fleet.cold_watch.handle_restart(upstream)
