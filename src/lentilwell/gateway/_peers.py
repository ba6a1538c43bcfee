"""Exchanges the jobs in progress with the other instances of the shard, by UDP datagrams.

Every datagram contains all jobs of its sender, so the next one makes up for a lost one. An instance
sends its jobs at once when it receives the first digest of a new incarnation, so that no process
starts without knowledge of its peers' jobs. A silent peer is removed together with its jobs. Peers
are found through the store's list of instances and through the datagrams themselves.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Protocol, TypeVar, cast

from lentilwell._clock import Clock
from lentilwell._log_lines import (
    DigestTooLong,
    DigestUnreadable,
    InstanceListFailed,
    InstanceRelisted,
    PeerHeard,
    PeerSilent,
    write_line,
)
from lentilwell.gateway._addresses import split_address
from lentilwell.gateway._crash_messages import is_crash_notice
from lentilwell.gateway._failures import StoreError
from lentilwell.gateway._load_tracker import LoadTracker
from lentilwell.gateway._permit_messages import is_permit_message
from lentilwell.gateway._permit_owners import OwnerTable
from lentilwell.gateway._shards import ShardView
from lentilwell.gateway._store_report import StoreReport
from lentilwell.gateway._store_waits import InstanceRank
from lentilwell.gateway._work_digest import (
    MAX_DIGEST_BYTES,
    NO_UPSTREAM_REPORTS,
    UnreadableDigest,
    UpstreamReports,
    WorkDigest,
    decode_digest,
    encode_digest,
)
from lentilwell.gateway.tunnels import TunnelPeer

# Changes within this time are sent in one datagram.
COALESCE_MS = 4
# A change that is not urgent is deferred by this time per peer, to limit the number of datagrams.
DEFER_MS_PER_PEER = 8
# Without changes the digest is repeated at this interval, which grows with the number of peers.
REPEAT_MS = 400
REPEAT_MS_PER_PEER = 20
MAX_REPEAT_MS = 800
# Time without a digest after which a peer is removed; three repeats in a row were then lost.
PEER_TIMEOUT_MS = 2_500
ANNOUNCE_RETRY_MS = 500
# After a restore of the store, all instances write their entries again within a window of this time
# per instance.
ANNOUNCE_SPREAD_MS = 5
MEMBERS_REFRESH_MS = 15_000
# Added to the time within which other instances read a changed list, for slow reads.
SETTLE_MARGIN_MS = 1_000
# Minimum time between two reads of the list, also after a digest from an unlisted instance. When
# many instances start together, most of them register within this time.
NEWCOMER_REFRESH_MS = 2_000
# Assumed number of instances until the list was read once; the smallest sites have fewer.
ASSUMED_INSTANCES = 8

_T = TypeVar("_T")


@dataclass(frozen=True)
class Member:
    """An entry in the list of instances; ``address`` is where the instance receives datagrams."""

    address: str
    data_centre: str


class Membership(Protocol):
    """The store's list of instances; its methods raise subclasses of ``StoreError``."""

    async def announce(self, instance: str, member: Member) -> None:
        """Write the entry of this instance under its name."""

    async def list_members(self) -> dict[str, Member]:
        """Return the listed instances by name."""


@dataclass(frozen=True)
class PeerState:
    """The newest digest received from one instance, without its jobs."""

    incarnation: str
    sequence: int
    received_at: int
    stopping: bool


class Peers(asyncio.DatagramProtocol):
    """Exchanges work digests with the instances of the shard, and with unlisted senders."""

    def __init__(
        self,
        instance: str,
        incarnation: str,
        own: Member,
        clock: Clock,
        load_tracker: LoadTracker,
        shards: ShardView,
        permit_owners: OwnerTable,
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._own = own
        self._clock = clock
        self._load_tracker = load_tracker
        self._shards = shards
        self._permit_owners = permit_owners
        self._sequence = 0
        self._addresses: dict[str, str] = {}
        self._states: dict[str, PeerState] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._pending_send: asyncio.TimerHandle | None = None
        self._pending_due_at = 0
        self._sent_at = 0
        self._members_known = False
        self._members: frozenset[str] = frozenset()
        self._neighbours: tuple[str, ...] = ()
        self._newcomer_seen = asyncio.Event()
        self._store_restored = asyncio.Event()
        self.stopping = False
        self.collect_store_report: Callable[[], StoreReport] = StoreReport
        self.on_store_report: Callable[[StoreReport], None] = lambda report: None
        self.on_silence: Callable[[str], None] = lambda peer: None
        self.collect_reports: Callable[[], UpstreamReports] = lambda: NO_UPSTREAM_REPORTS
        self.on_reports: Callable[[str, UpstreamReports], None] = lambda peer, reports: None
        self.on_permit_message: Callable[[bytes, tuple[str, int]], None] = lambda data, addr: None
        self.on_crash_notice: Callable[[bytes, tuple[str, int]], None] = lambda data, addr: None
        self.on_new_peer: Callable[[str], None] = lambda peer: None
        self.on_source_message: Callable[[bytes, tuple[str, int]], None] = lambda data, addr: None
        # The first byte of the messages for ``on_source_message``; no digest begins with it.
        self.source_message_prefix = b""

    @property
    def instances(self) -> int:
        """Return how many instances may exist, including this one."""
        known = len(self._addresses) + 1
        return known if self._members_known else max(ASSUMED_INSTANCES, known)

    @property
    def rank(self) -> InstanceRank:
        """Return the rank of this instance by name among the instances in contact."""
        before = sum(name < self._instance for name in self._states)
        return InstanceRank(before, len(self._states) + 1)

    @property
    def neighbours(self) -> tuple[str, ...]:
        """Return the other listed instances of this data centre, whatever their shard."""
        return self._neighbours

    @property
    def in_contact(self) -> int:
        """Return about how many instances are in contact, with this one and those of all shards.

        Only those of this instance's shard are heard; the other shards are of the same size.
        """
        return (len(self._states) + 1) * self._shards.shards

    @property
    def others_serve(self) -> bool:
        """Tell whether this instance is in contact with a peer that is not stopping."""
        return any(not state.stopping for state in self._states.values())

    def list_tunnel_peers(self) -> list[TunnelPeer]:
        """Return the instances in contact that are not stopping."""
        return [
            TunnelPeer(name, self._addresses[name])
            for name, state in self._states.items()
            if not state.stopping and name in self._addresses
        ]

    def find_oldest_digest_age(self) -> int | None:
        """Return the age of the oldest digest in use in ms, None without peers in contact."""
        now = self._clock.now()
        return max((now - state.received_at for state in self._states.values()), default=None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport on which digests are sent."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a message, or a digest unless a newer one was received before."""
        if is_permit_message(data):
            self.on_permit_message(data, addr)
            return
        if is_crash_notice(data):
            self.on_crash_notice(data, addr)
            return
        if self.source_message_prefix and data.startswith(self.source_message_prefix):
            self.on_source_message(data, addr)
            return
        now = self._clock.now()
        try:
            digest = decode_digest(data, now)
        except UnreadableDigest as error:
            write_line(DigestUnreadable(addr[0], str(error)))
            return
        known = self._states.get(digest.instance)
        if (
            known is not None
            and known.incarnation == digest.incarnation
            and known.sequence >= digest.sequence
        ):
            return
        if known is None:
            write_line(PeerHeard(digest.instance, digest.address))
        is_new = known is None or known.incarnation != digest.incarnation
        self._states[digest.instance] = PeerState(
            digest.incarnation, digest.sequence, now, digest.stopping
        )
        if digest.instance not in self._members:
            self._newcomer_seen.set()
        self._addresses[digest.instance] = digest.address
        self._load_tracker.update_peer(digest.instance, digest.jobs)
        self.on_reports(digest.instance, digest.reports)
        self.on_store_report(digest.store_report)
        if is_new:
            self.schedule_send()
            self.on_new_peer(digest.instance)

    def error_received(self, exc: Exception) -> None:
        """Do nothing: the next datagram makes up for one that could not be delivered."""

    def list_known(self) -> list[str]:
        """Return the other instances whose address is known, whatever their shard."""
        return [name for name, address in self._addresses.items() if address != self._own.address]

    def send_to(self, instance: str, data: bytes) -> bool:
        """Send a datagram to one instance; return False if its address is not known."""
        address = self._addresses.get(instance)
        if address is None or self._transport is None:
            return False
        self._transport.sendto(data, split_address(address))
        return True

    def reply_to(self, address: tuple[str, int], data: bytes) -> None:
        """Send a datagram to the address from which one was received."""
        if self._transport is not None:
            self._transport.sendto(data, address)

    def schedule_send(self, urgent: bool = True) -> None:
        """Send the jobs to all peers, almost at once if ``urgent``, else with a short delay."""
        if self._transport is None:
            return
        delay_ms = COALESCE_MS
        if not urgent:
            delay_ms = max(COALESCE_MS, min(self._repeat_ms, DEFER_MS_PER_PEER * len(self._states)))
        due_at = self._clock.now() + delay_ms
        if self._pending_send is not None:
            if self._pending_due_at <= due_at:
                return
            self._pending_send.cancel()
        self._pending_due_at = due_at
        loop = asyncio.get_running_loop()
        self._pending_send = loop.call_later(delay_ms / 1_000, self._send)

    @property
    def _repeat_ms(self) -> int:
        return min(MAX_REPEAT_MS, REPEAT_MS + REPEAT_MS_PER_PEER * len(self._states))

    def run_maintenance(self) -> None:
        """Repeat the digest if none was sent recently, and remove silent peers."""
        now = self._clock.now()
        if now - self._sent_at >= self._repeat_ms and self._pending_send is None:
            self._send()
        for name, state in list(self._states.items()):
            if now - state.received_at > PEER_TIMEOUT_MS:
                write_line(PeerSilent(name, now - state.received_at))
                del self._states[name]
                self._load_tracker.update_peer(name, ())
                self.on_reports(name, NO_UPSTREAM_REPORTS)
                self.on_silence(name)

    def handle_pause(self, pause_ms: int) -> None:
        """Count a pause of this process as no silence of peers: their digests are still unread."""
        for name, state in self._states.items():
            received_at = min(self._clock.now(), state.received_at + pause_ms)
            self._states[name] = replace(state, received_at=received_at)

    async def run_membership(self, membership: Membership) -> None:
        """Announce this instance and read the list of instances regularly, until cancelled."""
        await self._retry(lambda: membership.announce(self._instance, self._own))
        while True:
            self._newcomer_seen.clear()
            self._update_members(await self._retry(membership.list_members))
            await self._wait_for_refresh()
            while self._store_restored.is_set():
                await self._announce_again(membership)

    def handle_store_restored(self) -> None:
        """Announce this instance again, because a restored store may lack its entry."""
        self._store_restored.set()
        self._newcomer_seen.set()

    async def _announce_again(self, membership: Membership) -> None:
        """Announce this instance again after a random delay, then give the others time to do so."""
        self._store_restored.clear()
        spread_ms = self.instances * ANNOUNCE_SPREAD_MS
        await asyncio.sleep(random.random() * spread_ms / 1_000)
        await self._retry(lambda: membership.announce(self._instance, self._own))
        write_line(InstanceRelisted(self._own.address))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout((spread_ms + NEWCOMER_REFRESH_MS) / 1_000):
                await self._store_restored.wait()

    async def _retry(self, call: Callable[[], Awaitable[_T]]) -> _T:
        while True:
            try:
                return await call()
            except StoreError as error:
                write_line(InstanceListFailed(str(error)))
                await asyncio.sleep(ANNOUNCE_RETRY_MS / 1_000)

    def _update_members(self, found: dict[str, Member]) -> None:
        found.pop(self._instance, None)
        self._addresses.update((name, member.address) for name, member in found.items())
        self._members = frozenset(found)
        centre = self._own.data_centre
        self._neighbours = tuple(name for name in found if found[name].data_centre == centre)
        centres = {name: member.data_centre for name, member in found.items()}
        self._shards.update_members(centres)
        centres[self._instance] = self._own.data_centre
        refresh_ms = MEMBERS_REFRESH_MS if self._shards.shards > 1 else NEWCOMER_REFRESH_MS
        settle_ms = refresh_ms + SETTLE_MARGIN_MS
        self._permit_owners.update_members(centres, self._clock.now(), settle_ms)
        if not self._members_known:
            self.schedule_send()
        self._members_known = True

    async def _wait_for_refresh(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(NEWCOMER_REFRESH_MS / 1_000):
                await self._store_restored.wait()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MEMBERS_REFRESH_MS / 1_000):
                await self._newcomer_seen.wait()

    def close(self) -> None:
        """Close the socket; a digest that was scheduled is not sent."""
        if self._pending_send is not None:
            self._pending_send.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def _send(self) -> None:
        self._pending_send = None
        now = self._clock.now()
        self._sent_at = now
        self._sequence += 1
        digest = WorkDigest(
            self._instance,
            self._incarnation,
            self._own.address,
            self._sequence,
            self._load_tracker.list_own_jobs(),
            self.stopping,
            self.collect_store_report(),
            self.collect_reports(),
        )
        data = encode_digest(digest, now)
        if len(data) > MAX_DIGEST_BYTES:
            write_line(DigestTooLong(len(data)))
            return
        if self._transport is None:
            return
        # Instances that are listed in another shard get no digests.
        unlisted = self._states.keys() - self._members
        for name in self._shards.peers | unlisted:
            address = self._addresses.get(name)
            if address is not None and address != self._own.address:
                self._transport.sendto(data, split_address(address))
