"""The other entry instances: whom to send to, what arrives, and asks that get no answer."""

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
    decode_answer,
    decode_ask,
    decode_digest,
    encode,
    encode_answer,
    encode_ask,
    encode_digest,
)
from lentilwell.peers._link import PeerLink, PeerUnreachable
from lentilwell.peers._membership import MAXIMUM_PEERS, select_peers
from lentilwell.peers._server import Caller, PeerServer
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
ANSWER_TIMEOUT_MS = 2_000
LEARNED_FOR_MS = 60_000
PART_BYTES = 262_144
MAXIMUM_CONTENT_BYTES = 67_108_864
FETCH_TIMEOUT_S = 5.0
REFRESH_INTERVAL_MS = 250
MAXIMUM_TOLD = 1_024


@dataclass(frozen=True)
class PeersContext:
    """What the peers' side needs of the rest of the process."""

    post: Callable[[Event], object]
    version: Callable[[], int]
    head: Callable[[], bytes | None]
    content: Callable[[str], bytes | None]
    heard_version: Callable[[str, int, int], None]


@dataclass(frozen=True)
class _Ask:
    """An ask whose answer has not come."""

    ask: GrantAsk
    owner: str
    due_at: int


class PeerNetwork(Peers):
    """Keeps one link to each peer and takes in what peers send.

    Peers come from the platform's list, from the settings' seeds, and from authenticated
    greetings, so that instances find each other while the platform is down.
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
        self._learned: dict[str, tuple[str, int]] = {}
        self._links: dict[str, PeerLink] = {}
        self._asks: dict[str, _Ask] = {}
        self._told: dict[str, int] = {}
        self._lock = Lock()
        self._budget = ByteBudget(clock, DIGEST_BYTES_PER_SECOND)
        self._turn = 0
        self._closed = False
        self._workers = ThreadPoolExecutor(2 * MAXIMUM_PEERS, thread_name_prefix="peer-link")
        self.server = PeerServer(
            settings.host, settings.port, self._key, identity, clock, self._receive
        )
        self.address = f"{settings.host}:{self.server.port}"

    def note_members(self, members: tuple[Member, ...]) -> None:
        """Take the platform's newest list."""
        self._members = members
        self.refresh()

    def refresh(self) -> None:
        """Open links to new peers, close those to peers that are gone, end overdue asks."""
        self._expire_asks()
        with self._lock:
            wanted = [] if self._closed else self._list_addresses()
            for address in [a for a in self._links if a not in wanted]:
                self._links.pop(address).close()
            for address in wanted:
                if address not in self._links:
                    self._open_link(address)

    def send_digest(self, digest: Digest) -> None:
        """Send to every peer: own data centre first, the others in turn while bytes are left."""
        body = encode_digest(digest)
        links = list(self._links.values())
        self._turn += 1
        start = self._turn % max(1, len(links))
        links = links[start:] + links[:start]
        for link in sorted(links, key=self._is_far):
            if self._budget.take(len(body)):
                link.put_digest(body)

    def ask_grant(self, owner: str, ask: GrantAsk) -> None:
        """Ask a peer for memory; no link, no reply or no answer becomes GrantUnanswered."""
        link = self._find_link(owner)
        if link is None:
            self._context.post(GrantUnanswered(self._clock.now(), ask.grant_id, ask.engine))
            return
        due_at = self._clock.now() + ANSWER_TIMEOUT_MS
        with self._lock:
            self._asks[ask.grant_id] = _Ask(ask, owner, due_at)
        link.call(encode_ask(ask)).add_done_callback(lambda reply: self._note_sent(ask, reply))

    def answer_grant(self, peer: str, answer: GrantAnswer) -> None:
        """Answer a peer; an answer that is lost lets the peer's ask run out."""
        link = self._find_link(peer)
        if link is not None:
            link.call(encode_answer(answer))

    def list_peers(self) -> tuple[str, ...]:
        """Return the names of the peers that have answered on their link."""
        return tuple(link.peer.instance for link in self._links.values() if link.peer is not None)

    def fetch_head(self, peer: str) -> bytes | None:
        """Return the head that a peer has accepted, or None. Blocks."""
        reply = self._request(peer, ttypes.Message(head_ask=ttypes.HeadAsk()))
        head: bytes | None = None if reply is None else reply.head
        return head

    def fetch_content(self, peer: str, digest: str) -> bytes | None:
        """Return stored content from a peer, or None. Blocks; the caller checks the digest."""
        data = bytearray()
        while True:
            ask = ttypes.ContentAsk(digest, len(data))
            reply = self._request(peer, ttypes.Message(content_ask=ask))
            if reply is None or reply.content is None or reply.content.size < 0:
                return None
            data += reply.content.part
            if len(data) == reply.content.size:
                return bytes(data)
            if not reply.content.part or reply.content.size > MAXIMUM_CONTENT_BYTES:
                return None

    def close(self) -> None:
        """Close the listener and every link."""
        self.server.close()
        with self._lock:
            self._closed = True
            for link in self._links.values():
                link.close()
            self._links.clear()
        self._workers.shutdown(wait=True)

    def _request(self, peer: str, message: Any) -> Any:
        link = self._find_link(peer)
        if link is None:
            return None
        try:
            return link.call(encode(message)).result(FETCH_TIMEOUT_S)
        except (PeerUnreachable, TimeoutError):
            return None

    def _receive(self, caller: Caller, message: Any) -> Any:
        """Take in one authenticated message and return the reply."""
        self._learn(caller)
        name = caller.identity.instance
        reply = ttypes.Reply(self._context.version(), told=self._told.get(name, 0))
        now = self._clock.now()
        if message.digest is not None:
            digest = decode_digest(message.digest)
            _check_sender(caller, digest.sender)
            self._context.post(DigestReceived(now, digest))
            self._note_told(name, digest.configuration)
            self._context.heard_version(name, digest.configuration, 0)
        elif message.ask is not None:
            ask = decode_ask(message.ask)
            _check_sender(caller, ask.sender)
            self._context.post(GrantAsked(now, ask))
        elif message.answer is not None:
            self._take_answer(caller, decode_answer(message.answer))
        elif message.head_ask is not None:
            reply.head = self._context.head()
        elif message.content_ask is not None:
            reply.content = self._read_part(message.content_ask)
        return reply

    def _take_answer(self, caller: Caller, answer: GrantAnswer) -> None:
        """Post an answer only if its ask is open and went to this peer."""
        with self._lock:
            asked = self._asks.get(answer.grant_id)
            if asked is None or asked.owner != caller.identity.instance:
                return
            del self._asks[answer.grant_id]
        self._context.post(GrantAnswered(self._clock.now(), answer))

    def _read_part(self, ask: Any) -> Any:
        content = self._context.content(ask.digest)
        if content is None or ask.offset < 0:
            return ttypes.Content(-1, b"")
        return ttypes.Content(len(content), content[ask.offset : ask.offset + PART_BYTES])

    def _learn(self, caller: Caller) -> None:
        """Remember where a peer listens, so that it is reached without the platform's list."""
        name = caller.identity.instance
        if name not in self._learned and len(self._learned) >= MAXIMUM_PEERS:
            return
        self._learned[name] = (caller.address, self._clock.now())

    def _note_sent(self, ask: GrantAsk, reply: Future[Any]) -> None:
        if reply.exception() is None:
            return
        with self._lock:
            known = self._asks.pop(ask.grant_id, None)
        if known is not None:
            self._context.post(GrantUnanswered(self._clock.now(), ask.grant_id, ask.engine))

    def _expire_asks(self) -> None:
        now = self._clock.now()
        with self._lock:
            due = [asked for asked in self._asks.values() if asked.due_at <= now]
            for asked in due:
                del self._asks[asked.ask.grant_id]
        for asked in due:
            self._context.post(GrantUnanswered(now, asked.ask.grant_id, asked.ask.engine))

    def _list_addresses(self) -> list[str]:
        """Return the addresses to keep a link to, the most trusted source first."""
        oldest = self._clock.now() - LEARNED_FOR_MS
        learned = [a for a, heard_at in list(self._learned.values()) if heard_at >= oldest]
        listed = [member.address for member in select_peers(self._identity, self._members)]
        known = dict.fromkeys([*listed, *self._seeds, *learned])
        addresses = [a for a in known if a != self.address and is_address(a)]
        return addresses[: 2 * MAXIMUM_PEERS]

    def _open_link(self, address: str) -> None:
        link = PeerLink(address, self._key, self._identity, self.address, self._note_reply)
        self._links[address] = link
        self._workers.submit(link.run)

    def _note_told(self, name: str, version: int) -> None:
        """Remember the highest version that an instance said it had, whatever its incarnation."""
        if name in self._told or len(self._told) < MAXIMUM_TOLD:
            self._told[name] = max(version, self._told.get(name, 0))

    def _note_reply(self, peer: Identity, version: int, told: int) -> None:
        self._context.heard_version(peer.instance, version, told)

    def _find_link(self, name: str) -> PeerLink | None:
        for link in list(self._links.values()):
            if link.peer is not None and link.peer.instance == name:
                return link
        return None

    def _is_far(self, link: PeerLink) -> bool:
        return link.peer is not None and link.peer.data_centre != self._identity.data_centre


def register_peer_runners(core: ReducerWorker, peers: Peers) -> None:
    """Register how the effects towards peers are carried out."""

    @core.register_runner(SendDigest)
    def send_digest(_state: State, effect: SendDigest) -> None:
        peers.send_digest(effect.digest)

    @core.register_runner(AskGrant)
    def ask_grant(_state: State, effect: AskGrant) -> None:
        peers.ask_grant(effect.owner, effect.ask)

    @core.register_runner(AnswerGrant)
    def answer_grant(_state: State, effect: AnswerGrant) -> None:
        peers.answer_grant(effect.peer, effect.answer)


def is_address(text: str) -> bool:
    """Tell whether the text is ``host:port``."""
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdecimal() and len(port) <= 5 and 0 < int(port) <= 65_535


def _check_sender(caller: Caller, sender: Identity) -> None:
    if caller.identity != sender:
        raise ValueError("a message names another sender than its connection")
