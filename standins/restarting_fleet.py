"""Stand-in upstreams that leave the list a while after they have ended, and come back."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

from standins.received_request import ReceivedRequest

EXPIRY_S = 2.0
RESTART_S = 3.0


OnCrash = Callable[[ReceivedRequest | None], None]


class EndingServer(Protocol):
    """A server that can end at any time."""

    name: str
    address: str
    connections: set[asyncio.StreamWriter]

    async def start(self) -> str:
        """Listen and return the address."""

    def close(self) -> None:
        """Stop listening."""

    def crash(self) -> None:
        """End at once."""


ServerT = TypeVar("ServerT", bound=EndingServer)


@dataclass(frozen=True)
class ListedServer(Generic[ServerT]):
    """A server in the list; ``start`` numbers all starts of a fleet, from 1 on."""

    server: ServerT
    start: int


@dataclass
class RestartingFleet(Generic[ServerT]):
    """Servers of one service, and their list, which ``publish`` is called with.

    ``build`` returns a new server of a name, which calls the given function when it ends. One that
    has ended leaves the list after ``expiry_s`` and comes back ``restart_s`` after its end, under a
    new name if ``is_renamed`` says so for the number of its end. ``on_end`` is called at each end.
    """

    prefix: str
    count: int
    build: Callable[[str, OnCrash], ServerT]
    publish: Callable[[Sequence[ListedServer[ServerT]]], Awaitable[None]]
    is_renamed: Callable[[int], bool] = lambda end: False
    on_end: Callable[[ServerT, ReceivedRequest | None], None] = lambda server, cause: None
    expiry_s: float = EXPIRY_S
    restart_s: float = RESTART_S
    listed: dict[str, ListedServer[ServerT]] = field(default_factory=dict)
    ends: int = 0
    away: int = 0
    _names: Iterator[int] = field(default_factory=itertools.count)
    _starts: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def servers(self) -> list[ServerT]:
        """Return the listed servers, of which some may have ended."""
        return [one.server for one in self.listed.values()]

    async def start(self) -> None:
        """Start all servers and list them."""
        for _ in range(self.count):
            await self._start_server(f"{self.prefix}{next(self._names)}")
        await self._publish()

    def close(self) -> None:
        """End all servers, for good."""
        for task in self._tasks:
            task.cancel()
        for server in self.servers:
            server.close()
            for writer in list(server.connections):
                writer.close()

    async def wait_whole(self) -> None:
        """Wait until every server that ended is back and listed."""
        while self.away:
            await asyncio.sleep(0.01)

    async def _start_server(self, name: str) -> None:
        server = self.build(name, lambda cause: self._replace(name, cause))
        await server.start()
        self.listed[name] = ListedServer(server, next(self._starts))

    def _replace(self, old_name: str, cause: ReceivedRequest | None) -> None:
        self.on_end(self.listed[old_name].server, cause)
        self.ends += 1
        self.away += 1
        renamed = self.is_renamed(self.ends)
        name = f"{self.prefix}{next(self._names)}" if renamed else old_name
        self._tasks.add(asyncio.ensure_future(self._restart(old_name, name)))

    async def _restart(self, old_name: str, name: str) -> None:
        await asyncio.sleep(self.expiry_s)
        del self.listed[old_name]
        await self._publish()
        await asyncio.sleep(self.restart_s - self.expiry_s)
        await self._start_server(name)
        await self._publish()
        self.away -= 1

    async def _publish(self) -> None:
        await self.publish(list(self.listed.values()))
