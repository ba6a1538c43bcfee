"""Connections to the other entry instances, their messages, and timeouts of grant requests."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from threading import Lock
from typing import Any

from lentilwell._clock import Clock
from lentilwell._messages import Digest, GrantAnswer, GrantAsk, Identity, Member
from lentilwell._ports import Peers
from lentilwell._wire import ttypes
from lentilwell.configuration import PeersSettings
from lentilwell.peers._byte_budget import ByteBudget
from lentilwell.peers._codec import (
    decode_digest,
    decode_grant_answer,
    decode_grant_ask,
    encode,
    encode_digest,
    encode_grant_answer,
    encode_grant_ask,
)
from lentilwell.peers._link import PeerLink, PeerUnreachable
from lentilwell.peers._membership import MAX_PEERS, select_peers
from lentilwell.peers._server import AuthenticatedPeer, PeerServer
from lentilwell.reducer import (
    AnswerGrant,
    AskGrant,
    DigestReceived,
    Event,
    GrantAnswered,
    GrantAsked,
    GrantUnanswered,
    ReducerWorker,
    SendDigest,
    State,
)

DIGEST_BYTES_PER_SECOND = 10_000
GRANT_ANSWER_TIMEOUT_MS = 2_000
LEARNED_ADDRESS_TTL_MS = 60_000
CONTENT_PART_BYTES = 262_144
MAX_CONTENT_BYTES = 67_108_864
FETCH_TIMEOUT_S = 5.0
REFRESH_INTERVAL_MS = 250
MAX_REPORTED_VERSIONS = 1_024


@dataclass(frozen=True)
class PeersContext:
    """Callbacks into the rest of the process.

    ``record_peer_version`` takes a peer's name, the configuration version that the peer uses, and
    the highest version that this instance has reported to the peer (0 if the message has none).
    """

    post_event: Callable[[Event], object]
    current_version: Callable[[], int]
    read_head: Callable[[], bytes | None]
    read_content: Callable[[str], bytes | None]
    record_peer_version: Callable[[str, int, int], None]


@dataclass(frozen=True)
class _PendingAsk:
    """A request for a grant that has no answer yet, its recipient and its timeout."""

    ask: GrantAsk
    owner: str
    due_at: int


class PeerNetwork(Peers):
    """Keeps one connection to each peer and handles the messages that peers send.

    Peers are known from the platform's list, from the seeds in the settings and from authenticated
    incoming connections, so instances can find each other while the platform is down.
    """

    def __init__(
        self, settings: PeersSettings, identity: Identity, clock: Clock, context: PeersContext
    ) -> None:
        self._key = settings.key.encode()
        self._identity = identity
        self._clock = clock
        self._context = context
        self._seeds = tuple(settings.seeds.split())
        self._members: tuple[Member, ...] = ()
        self._learned_addresses: dict[str, tuple[str, int]] = {}
        self._links: dict[str, PeerLink] = {}
        self._pending_asks: dict[str, _PendingAsk] = {}
        self._reported_versions: dict[str, int] = {}
        self._lock = Lock()
        self._budget = ByteBudget(clock, DIGEST_BYTES_PER_SECOND)
        self._rotation = 0
        self._closed = False
        self._workers = ThreadPoolExecutor(2 * MAX_PEERS, thread_name_prefix="peer-link")
        self.server = PeerServer(
            settings.host, settings.port, self._key, identity, clock, self._handle_message
        )
        self.address = f"{settings.host}:{self.server.port}"

    def update_members(self, members: tuple[Member, ...]) -> None:
        """Replace the list of instances with the platform's newest one."""
        self._members = members
        self.refresh()

    def refresh(self) -> None:
        """Connect to new peers, disconnect from removed ones and expire overdue grant requests."""
        self._expire_asks()
        with self._lock:
            wanted = [] if self._closed else self._list_addresses()
            for address in [a for a in self._links if a not in wanted]:
                self._links.pop(address).close()
            for address in wanted:
                if address not in self._links:
                    self._open_link(address)

    def send_digest(self, digest: Digest) -> None:
        """Send the digest to peers as far as the byte budget allows.

        Peers in this instance's data centre come first. The order within both groups
        rotates, so that a short budget does not always skip the same peers.
        """
        body = encode_digest(digest)
        links = list(self._links.values())
        self._rotation += 1
        offset = self._rotation % max(1, len(links))
        links = links[offset:] + links[:offset]
        for link in sorted(links, key=self._is_remote):
            if self._budget.try_acquire(len(body)):
                link.set_next_digest(body)

    def ask_grant(self, owner: str, ask: GrantAsk) -> None:
        """Request memory of an engine from the owner of the engine.

        Posts ``GrantUnanswered`` if there is no connection, no reply or no answer in time.
        """
        link = self._find_link(owner)
        if link is None:
            self._context.post_event(GrantUnanswered(self._clock.now(), ask.grant_id, ask.engine))
            return
        due_at = self._clock.now() + GRANT_ANSWER_TIMEOUT_MS
        with self._lock:
            self._pending_asks[ask.grant_id] = _PendingAsk(ask, owner, due_at)
        link.call(encode_grant_ask(ask)).add_done_callback(
            lambda reply: self._handle_delivery(ask, reply)
        )

    def answer_grant(self, peer: str, answer: GrantAnswer) -> None:
        """Send an answer to a peer. If it is lost, the peer's request times out."""
        link = self._find_link(peer)
        if link is not None:
            link.call(encode_grant_answer(answer))

    def list_peers(self) -> tuple[str, ...]:
        """Return the names of the peers to which a connection has been authenticated."""
        return tuple(link.peer.instance for link in self._links.values() if link.peer is not None)

    def fetch_head(self, peer: str) -> bytes | None:
        """Return the configuration head that a peer has accepted, or None. Blocks."""
        reply = self._send_request(peer, ttypes.Message(head_ask=ttypes.HeadAsk()))
        head: bytes | None = None if reply is None else reply.head
        return head

    def fetch_content(self, peer: str, digest: str) -> bytes | None:
        """Return stored content from a peer, or None. Blocks. The caller must verify the digest."""
        data = bytearray()
        while True:
            ask = ttypes.ContentAsk(digest, len(data))
            reply = self._send_request(peer, ttypes.Message(content_ask=ask))
            if reply is None or reply.content is None or reply.content.size < 0:
                return None
            data += reply.content.part
            if len(data) == reply.content.size:
                return bytes(data)
            if not reply.content.part or reply.content.size > MAX_CONTENT_BYTES:
                return None

    def close(self) -> None:
        """Close the server and every connection."""
        self.server.close()
        with self._lock:
            self._closed = True
            for link in self._links.values():
                link.close()
            self._links.clear()
        self._workers.shutdown(wait=True)

    def _send_request(self, peer: str, message: Any) -> Any:
        link = self._find_link(peer)
        if link is None:
            return None
        try:
            return link.call(encode(message)).result(FETCH_TIMEOUT_S)
        except (PeerUnreachable, TimeoutError):
            return None

    def _handle_message(self, peer: AuthenticatedPeer, message: Any) -> Any:
        """Handle one authenticated message and return the reply."""
        self._record_address(peer)
        name = peer.identity.instance
        reply = ttypes.Reply(
            self._context.current_version(), told=self._reported_versions.get(name, 0)
        )
        now = self._clock.now()
        if message.digest is not None:
            digest = decode_digest(message.digest)
            _check_sender(peer, digest.sender)
            self._context.post_event(DigestReceived(now, digest))
            self._record_reported_version(name, digest.configuration)
            self._context.record_peer_version(name, digest.configuration, 0)
        elif message.ask is not None:
            ask = decode_grant_ask(message.ask)
            _check_sender(peer, ask.sender)
            self._context.post_event(GrantAsked(now, ask))
        elif message.answer is not None:
            self._handle_answer(peer, decode_grant_answer(message.answer))
        elif message.head_ask is not None:
            reply.head = self._context.read_head()
        elif message.content_ask is not None:
            reply.content = self._read_content_part(message.content_ask)
        return reply

    def _handle_answer(self, peer: AuthenticatedPeer, answer: GrantAnswer) -> None:
        """Post an answer if its request is still pending and was sent to this peer."""
        with self._lock:
            pending = self._pending_asks.get(answer.grant_id)
            if pending is None or pending.owner != peer.identity.instance:
                return
            del self._pending_asks[answer.grant_id]
        self._context.post_event(GrantAnswered(self._clock.now(), answer))

    def _read_content_part(self, ask: Any) -> Any:
        content = self._context.read_content(ask.digest)
        if content is None or ask.offset < 0:
            return ttypes.Content(-1, b"")
        return ttypes.Content(len(content), content[ask.offset : ask.offset + CONTENT_PART_BYTES])

    def _record_address(self, peer: AuthenticatedPeer) -> None:
        """Record where a peer listens, so that it can be reached without the platform's list."""
        name = peer.identity.instance
        if name not in self._learned_addresses and len(self._learned_addresses) >= MAX_PEERS:
            return
        self._learned_addresses[name] = (peer.address, self._clock.now())

    def _handle_delivery(self, ask: GrantAsk, reply: Future[Any]) -> None:
        if reply.exception() is None:
            return
        with self._lock:
            pending = self._pending_asks.pop(ask.grant_id, None)
        if pending is not None:
            self._context.post_event(GrantUnanswered(self._clock.now(), ask.grant_id, ask.engine))

    def _expire_asks(self) -> None:
        now = self._clock.now()
        with self._lock:
            due = [pending for pending in self._pending_asks.values() if pending.due_at <= now]
            for pending in due:
                del self._pending_asks[pending.ask.grant_id]
        for pending in due:
            self._context.post_event(GrantUnanswered(now, pending.ask.grant_id, pending.ask.engine))

    def _list_addresses(self) -> list[str]:
        """Return the addresses to connect to, from the most trusted source first.

        Sources are the platform's list, then the seeds, then incoming connections.
        """
        cutoff = self._clock.now() - LEARNED_ADDRESS_TTL_MS
        learned = [
            a
            for a, last_seen_at in list(self._learned_addresses.values())
            if last_seen_at >= cutoff
        ]
        listed = [member.address for member in select_peers(self._identity, self._members)]
        candidates = dict.fromkeys([*listed, *self._seeds, *learned])
        addresses = [a for a in candidates if a != self.address and is_address(a)]
        return addresses[: 2 * MAX_PEERS]

    def _open_link(self, address: str) -> None:
        link = PeerLink(address, self._key, self._identity, self.address, self._handle_reply)
        self._links[address] = link
        self._workers.submit(link.run)

    def _record_reported_version(self, name: str, version: int) -> None:
        """Record the highest configuration version reported by any incarnation of an instance."""
        if name in self._reported_versions or len(self._reported_versions) < MAX_REPORTED_VERSIONS:
            self._reported_versions[name] = max(version, self._reported_versions.get(name, 0))

    def _handle_reply(self, peer: Identity, version: int, reported_version: int) -> None:
        self._context.record_peer_version(peer.instance, version, reported_version)

    def _find_link(self, name: str) -> PeerLink | None:
        for link in list(self._links.values()):
            if link.peer is not None and link.peer.instance == name:
                return link
        return None

    def _is_remote(self, link: PeerLink) -> bool:
        return link.peer is not None and link.peer.data_centre != self._identity.data_centre


def register_peer_runners(reducer: ReducerWorker, peers: Peers) -> None:
    """Register the functions that carry out effects by sending messages to peers."""

    @reducer.register_runner(SendDigest)
    def send_digest(_state: State, effect: SendDigest) -> None:
        peers.send_digest(effect.digest)

    @reducer.register_runner(AskGrant)
    def ask_grant(_state: State, effect: AskGrant) -> None:
        peers.ask_grant(effect.owner, effect.ask)

    @reducer.register_runner(AnswerGrant)
    def answer_grant(_state: State, effect: AnswerGrant) -> None:
        peers.answer_grant(effect.peer, effect.answer)


def is_address(text: str) -> bool:
    """Return whether the text has the form ``host:port`` with a valid port."""
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdecimal() and len(port) <= 5 and 0 < int(port) <= 65_535


def _check_sender(peer: AuthenticatedPeer, sender: Identity) -> None:
    if peer.identity != sender:
        raise ValueError("the sender of the message is not the peer of the connection")
