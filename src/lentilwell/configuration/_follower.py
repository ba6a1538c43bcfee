"""Follows the accepted configuration on the platform and, during an outage of it, on peers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from threading import Lock

from loguru import logger

from lentilwell._clock import Clock
from lentilwell._ports import Platform
from lentilwell.configuration._problems import InventoryError
from lentilwell.configuration._versions import (
    HEAD_KEY,
    OBJECT_PREFIX,
    ChainError,
    Configuration,
    Head,
    ReadRecord,
    decode_head,
    encode_head,
    find_record,
    load_configuration,
    should_adopt,
)
from lentilwell.reducer import Event, InventoryAccepted

CONFIGURATION_INTERVAL_MS = 1_000
FIRST_OFFER_WAIT_MS = 1_000
MAX_OFFERS = 64
MAX_CONCURRENT_FETCHES = 2


@dataclass(frozen=True)
class PeerSource:
    """Callbacks that read the head or a record of a peer; None if the peer does not answer.

    The first argument is the name of the peer; ``read_record`` also takes the record's digest.
    """

    read_head: Callable[[str], bytes | None]
    read_record: Callable[[str, str], bytes | None]


class ConfigurationFollower:
    """Adopts the highest accepted version from the platform or a peer; never an older one."""

    def __init__(
        self,
        platform: Platform,
        peers: PeerSource,
        clock: Clock,
        post_event: Callable[[Event], object],
    ) -> None:
        self._platform = platform
        self._peers = peers
        self._clock = clock
        self._post_event = post_event
        self._lock = Lock()
        self._fetching: set[str] = set()
        self._min_version = 0
        self._offers: dict[str, int] = {}
        self._first_offer_at: int | None = None
        self._last_served = ("", b"")
        self.configuration: Configuration | None = None

    @property
    def version(self) -> int:
        """Return the number of the active version, 0 if there is none."""
        current = self.configuration
        return 0 if current is None else current.head.version

    def poll(self) -> None:
        """Adopt the head on the platform; if it cannot be read or loaded, fetch from peers."""
        answer = self._platform.read_row(HEAD_KEY)
        if answer.is_err():
            self._fetch_offered()
            return
        row = answer.unwrap()
        head = decode_head(row.value) if row is not None else None
        if head is None:
            return
        if not self._adopt(head, make_platform_reader(self._platform)):
            self._fetch_offered()

    def record_offer(self, peer: str, version: int, min_version: int = 0) -> bool:
        """Record the version that a peer has; return True if the caller should fetch it now.

        ``min_version`` is the highest version that the peer has seen on this instance, perhaps
        before a restart; lower versions are never adopted. Before the first version is active,
        offers are only recorded here; ``poll`` fetches them if the platform's version cannot be
        loaded.
        """
        with self._lock:
            self._min_version = max(self._min_version, min_version)
            if version <= self.version:
                return False
            if peer in self._offers or len(self._offers) < MAX_OFFERS:
                self._offers[peer] = version
            if self._first_offer_at is None:
                self._first_offer_at = self._clock.now()
            if self.configuration is None or len(self._fetching) >= MAX_CONCURRENT_FETCHES:
                return False
            already_fetching = peer in self._fetching
            self._fetching.add(peer)
            return not already_fetching

    def fetch(self, peer: str) -> bool:
        """Adopt the version of a peer if it is higher; return False if it cannot be loaded."""
        try:
            return self._fetch(peer)
        finally:
            with self._lock:
                self._fetching.discard(peer)

    def _fetch(self, peer: str) -> bool:
        data = self._peers.read_head(peer)
        head = decode_head(data) if data is not None else None
        if head is None:
            return False
        return self._adopt(head, lambda digest: self._peers.read_record(peer, digest))

    def read_head(self) -> bytes | None:
        """Return the encoded head of the active version, None if no version is active."""
        current = self.configuration
        return None if current is None else encode_head(current.head)

    def read_record(self, digest: str) -> bytes | None:
        """Return the record of the active version with this digest, None if there is none."""
        if self._last_served[0] == digest:
            return self._last_served[1]
        current = self.configuration
        data = None if current is None else find_record(current, digest)
        if data is not None:
            self._last_served = (digest, data)
        return data

    def _fetch_offered(self) -> None:
        """Fetch from the peers with higher versions, the highest first, until one succeeds.

        An instance without a configuration first waits FIRST_OFFER_WAIT_MS for further offers, so
        that it starts with the highest version among its peers.
        """
        if self._first_offer_at is None:
            return
        waited_ms = self._clock.now() - self._first_offer_at
        if self.configuration is None and waited_ms < FIRST_OFFER_WAIT_MS:
            return
        with self._lock:
            offers = dict(self._offers)
        for peer in sorted(offers, key=lambda name: -offers[name]):
            if offers[peer] > self.version and self.fetch(peer):
                return

    def _adopt(self, head: Head, read: ReadRecord) -> bool:
        """Load and activate a head if its version is higher; return False if it cannot be loaded.

        A head that is not higher is ignored and counts as success.
        """
        current = self.configuration
        if not should_adopt(head, current, self._min_version):
            return True
        try:
            loaded = load_configuration(head, current, read)
        except (ChainError, InventoryError) as error:
            logger.warning("version not taken", version=head.version, reason=str(error))
            return False
        with self._lock:
            if should_adopt(head, self.configuration, self._min_version):
                self._activate(loaded)
        return True

    def _activate(self, loaded: Configuration) -> None:
        event = InventoryAccepted(
            self._clock.now(), loaded.inventory, loaded.base_version, loaded.changed_engines
        )
        self._post_event(event)
        self.configuration = loaded
        self._offers = {p: v for p, v in self._offers.items() if v > loaded.head.version}
        logger.info("version in force", version=loaded.head.version)


def make_platform_reader(platform: Platform) -> ReadRecord:
    """Return a function that reads records by digest from the platform's object store."""

    def read(digest: str) -> bytes | None:
        answer = platform.get_object(OBJECT_PREFIX + digest)
        return answer.unwrap() if answer.is_ok() else None

    return read
