"""Servers that end when they begin to run a deadly request, and come back after some seconds."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import fleet as f

HEARTBEAT_S = 1.2
_STARTS = itertools.count(1)


@dataclass
class Crashes:
    """What the servers of a run saw: crashes, and arrivals of deadly requests with their ids."""

    is_deadly: Callable[[f.Request], bool]
    answer: Callable[[f.Request, asyncio.StreamWriter], Awaitable[bool]]
    back_s: float
    at: list[int] = field(default_factory=list)
    deadly: list[tuple[int, str]] = field(default_factory=list)
    draw: random.Random = field(default_factory=lambda: random.Random(7))

    def list_late(self, allowed: int, contact_ms: int) -> list[tuple[int, str]]:
        """Return the deadly arrivals later than ``contact_ms`` after the crash of this number."""
        if len(self.at) < allowed:
            return []
        return [one for one in self.deadly if one[0] > self.at[allowed - 1] + contact_ms]


class CrashingServer(f.Server):
    """One incarnation. The next one has a new id, and the same address.

    The entry of one that has ended is removed after three heartbeat intervals of silence.
    """

    def __init__(self, fleet: f.Fleet, service: str, crashes: Crashes, slots: int = 8, port: int = 0, ip: str = "") -> None:
        super().__init__(f"i-{next(_STARTS):08x}", service, fleet.record, self._respond, slots=slots)
        self.fleet, self.crashes, self.port, self.ip = fleet, crashes, port, ip or self.ip
        self.open: set[asyncio.StreamWriter] = set()
        self.ended = False

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._keep, self.ip, self.port, limit=8_388_608)
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"

    async def _keep(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        try:
            await self._serve(reader, writer)
        finally:
            self.open.discard(writer)

    async def _respond(self, _server, request, _reader, writer) -> bool:  # type: ignore[no-untyped-def]
        if self.crashes.is_deadly(request):
            self.crashes.deadly.append((request.at, request.id))
            if f.TROUBLE:
                self._end(request)
                return False
        keep = await self.crashes.answer(request, writer)
        return keep and not self.ended

    def _end(self, request: f.Request) -> None:
        if self.ended:
            return
        self.ended = True
        self.crashes.at.append(self.record.now())
        self.record.say(f"{self.name} crashes under {request.id} (crash {len(self.crashes.at)})")
        self.close()
        for writer in list(self.open):
            writer.transport.abort()
        self.fleet.run(self._expire())
        self.fleet.run(self._come_back())

    async def _expire(self) -> None:
        await asyncio.sleep(3 * HEARTBEAT_S - self.crashes.draw.uniform(0, HEARTBEAT_S))
        await self.fleet.store.remove("servers", self.name)
        self.record.write(f"the entry of {self.name} is removed")

    async def _come_back(self) -> None:
        await asyncio.sleep(self.crashes.back_s)
        again = type(self)(self.fleet, self.service, self.crashes, self.slots, self.port, self.ip)
        self.fleet.servers.append(again)
        await again.start()
        self.record.write(f"{again.name} starts at {again.address}, where {self.name} was")
        await self.fleet.store.put("servers", again.name, again.entry())
