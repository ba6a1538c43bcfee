"""Tells the instances of the own shard what this one has in hand, by datagrams, and hears the same.

A lost datagram is made good by the next: every one holds all jobs. An instance tells its own jobs
at once where it hears of a new life, so that no process starts blind. A peer that has been silent
is forgotten with its jobs. Peers are found through the store and through the datagrams themselves.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol, TypeVar, cast

from lentilwell._clock import Clock
from lentilwell._log_lines import (
    DigestTooLong,
    DigestUnreadable,
    InstanceListedAgain,
    InstancesNotListed,
    PeerHeard,
    PeerSilent,
    write_line,
)
from lentilwell.gateway._connection import split_address
from lentilwell.gateway._failures import StoreError
from lentilwell.gateway._load_tracker import LoadTracker
from lentilwell.gateway._shards import ShardView
from lentilwell.gateway._store_news import StoreNews
from lentilwell.gateway._store_waits import Place
from lentilwell.gateway._work_digest import (
    LONGEST_DIGEST_BYTES,
    NO_REPORTS,
    Reports,
    UnreadableDigest,
    WorkDigest,
    decode_digest,
    encode_digest,
)

# Several changes of one event go out together.
COALESCE_MS = 4
# What is not urgent waits this long for each peer that hears it, so that datagrams stay few.
LAZY_MS_PER_PEER = 8
REPEAT_MS = 400
REPEAT_MS_PER_PEER = 20
LONGEST_REPEAT_MS = 800
# Three repeats in a row were lost.
SILENT_MS = 2_500
ANNOUNCE_RETRY_MS = 500
# After a restore of the store each instance adds this much to the time in which all write again.
ANNOUNCE_SPREAD_MS = 5
LIST_AGAIN_MS = 15_000
# An instance that nobody listed yet was heard: at a start of many, most come within this time.
NEWCOMER_LIST_MS = 2_000
# Until the list was read once: more than there are on the smallest sites.
ASSUMED_INSTANCES = 8

_T = TypeVar("_T")


@dataclass(frozen=True)
class Member:
    """An instance as it is listed: where it takes datagrams, and its data centre."""

    address: str
    data_centre: str


class Membership(Protocol):
    """The list of instances that the store keeps. Failures are ``StoreError`` classes."""

    async def announce(self, instance: str, member: Member) -> None:
        """List this instance under its name."""

    async def list_members(self) -> dict[str, Member]:
        """Return the listed instances by name."""


@dataclass(frozen=True)
class PeerState:
    """The newest digest heard of one instance."""

    life: str
    sequence: int
    heard_at: int
    stopping: bool


class Peers(asyncio.DatagramProtocol):
    """Exchanges digests of work with the other instances of the shard, and those it hears of."""

    def __init__(
        self,
        instance: str,
        life: str,
        own: Member,
        clock: Clock,
        load_tracker: LoadTracker,
        shards: ShardView,
    ) -> None:
        self._instance = instance
        self._life = life
        self._own = own
        self._clock = clock
        self._load_tracker = load_tracker
        self._shards = shards
        self._sequence = 0
        self._addresses: dict[str, str] = {}
        self._heard: dict[str, PeerState] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._pending: asyncio.TimerHandle | None = None
        self._pending_until = 0
        self._sent_at = 0
        self._listed = False
        self._members: frozenset[str] = frozenset()
        self._newcomer = asyncio.Event()
        self._restored = asyncio.Event()
        self.stopping = False
        self.find_news: Callable[[], StoreNews] = StoreNews
        self.on_news: Callable[[StoreNews], None] = lambda news: None
        self.on_silence: Callable[[str], None] = lambda peer: None
        self.find_reports: Callable[[], Reports] = lambda: NO_REPORTS
        self.on_reports: Callable[[str, Reports], None] = lambda peer, reports: None

    @property
    def instances(self) -> int:
        """Return how many instances there may be, this one included."""
        known = len(self._addresses) + 1
        return known if self._listed else max(ASSUMED_INSTANCES, known)

    @property
    def place(self) -> Place:
        """Return which of the instances that hear each other this one is, by name."""
        before = sum(name < self._instance for name in self._heard)
        return Place(before, len(self._heard) + 1)

    @property
    def others_serve(self) -> bool:
        """Tell whether a peer that is not being stopped is heard."""
        return any(not state.stopping for state in self._heard.values())

    def find_oldest_age(self) -> int | None:
        """Return the age in ms of the oldest digest in use, None where no peer is heard."""
        now = self._clock.now()
        return max((now - state.heard_at for state in self._heard.values()), default=None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a peer's digest, unless a newer one of it came first."""
        now = self._clock.now()
        try:
            digest = decode_digest(data, now)
        except UnreadableDigest as error:
            write_line(DigestUnreadable(addr[0], str(error)))
            return
        known = self._heard.get(digest.instance)
        if known is not None and known.life == digest.life and known.sequence >= digest.sequence:
            return
        if known is None:
            write_line(PeerHeard(digest.instance, digest.address))
        newcomer = known is None or known.life != digest.life
        self._heard[digest.instance] = PeerState(digest.life, digest.sequence, now, digest.stopping)
        if digest.instance not in self._members:
            self._newcomer.set()
        self._addresses[digest.instance] = digest.address
        self._load_tracker.update_peer(digest.instance, digest.jobs)
        self.on_reports(digest.instance, digest.reports)
        self.on_news(digest.news)
        if newcomer:
            self.note_change()

    def error_received(self, exc: Exception) -> None:
        """A datagram could not be delivered; the next one repeats all."""

    def note_change(self, urgent: bool = True) -> None:
        """The own work changed, or a peer does not know it yet: tell all, at once if urgent."""
        if self._transport is None:
            return
        delay_ms = COALESCE_MS
        if not urgent:
            delay_ms = max(COALESCE_MS, min(self._repeat_ms, LAZY_MS_PER_PEER * len(self._heard)))
        due_at = self._clock.now() + delay_ms
        if self._pending is not None:
            if self._pending_until <= due_at:
                return
            self._pending.cancel()
        self._pending_until = due_at
        loop = asyncio.get_running_loop()
        self._pending = loop.call_later(delay_ms / 1_000, self._send)

    @property
    def _repeat_ms(self) -> int:
        return min(LONGEST_REPEAT_MS, REPEAT_MS + REPEAT_MS_PER_PEER * len(self._heard))

    def keep_house(self) -> None:
        """Repeat the digest where nothing was sent of late, and forget silent peers."""
        now = self._clock.now()
        if now - self._sent_at >= self._repeat_ms and self._pending is None:
            self._send()
        for name, state in list(self._heard.items()):
            if now - state.heard_at > SILENT_MS:
                write_line(PeerSilent(name, now - state.heard_at))
                del self._heard[name]
                self._load_tracker.update_peer(name, ())
                self.on_reports(name, NO_REPORTS)
                self.on_silence(name)

    async def keep_listed(self, membership: Membership) -> None:
        """Announce this instance, and look for others now and then, for good."""
        await self._retry(lambda: membership.announce(self._instance, self._own))
        while True:
            self._newcomer.clear()
            self._take_members(await self._retry(membership.list_members))
            await self._wait_to_list_again()
            while self._restored.is_set():
                await self._list_again(membership)

    def announce_again(self) -> None:
        """The store may have lost the entry of this instance, and those of others."""
        self._restored.set()
        self._newcomer.set()

    async def _list_again(self, membership: Membership) -> None:
        """Announce this instance anew, not all at the same moment, and let the others do so."""
        self._restored.clear()
        spread_ms = self.instances * ANNOUNCE_SPREAD_MS
        await asyncio.sleep(random.random() * spread_ms / 1_000)
        await self._retry(lambda: membership.announce(self._instance, self._own))
        write_line(InstanceListedAgain(self._own.address))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout((spread_ms + NEWCOMER_LIST_MS) / 1_000):
                await self._restored.wait()

    async def _retry(self, call: Callable[[], Awaitable[_T]]) -> _T:
        while True:
            try:
                return await call()
            except StoreError as error:
                write_line(InstancesNotListed(str(error)))
                await asyncio.sleep(ANNOUNCE_RETRY_MS / 1_000)

    def _take_members(self, found: dict[str, Member]) -> None:
        found.pop(self._instance, None)
        self._addresses.update((name, member.address) for name, member in found.items())
        self._members = frozenset(found)
        self._shards.take_members({name: member.data_centre for name, member in found.items()})
        if not self._listed:
            self.note_change()
        self._listed = True

    async def _wait_to_list_again(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(NEWCOMER_LIST_MS / 1_000):
                await self._restored.wait()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LIST_AGAIN_MS / 1_000):
                await self._newcomer.wait()

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def _send(self) -> None:
        self._pending = None
        now = self._clock.now()
        self._sent_at = now
        self._sequence += 1
        digest = WorkDigest(
            self._instance,
            self._life,
            self._own.address,
            self._sequence,
            self._load_tracker.list_own_jobs(),
            self.stopping,
            self.find_news(),
            self.find_reports(),
        )
        data = encode_digest(digest, now)
        if len(data) > LONGEST_DIGEST_BYTES:
            write_line(DigestTooLong(len(data)))
            return
        if self._transport is None:
            return
        # An instance that is listed in another shard needs no answer.
        newcomers = self._heard.keys() - self._members
        for name in self._shards.peers | newcomers:
            address = self._addresses.get(name)
            if address is not None and address != self._own.address:
                self._transport.sendto(data, split_address(address))
