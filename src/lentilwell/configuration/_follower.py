"""Following the accepted configuration, from the platform and from peers."""

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
    Read,
    decode_head,
    encode_head,
    is_higher,
    load,
    serve_record,
)
from lentilwell.reducer import Event, InventoryAccepted

CONFIGURATION_INTERVAL_MS = 1_000
START_LISTEN_MS = 1_000
MAXIMUM_OFFERS = 64
MAXIMUM_FETCHES = 2


@dataclass(frozen=True)
class PeerSource:
    """How to read a peer's head and records; both return None where there is no answer."""

    head: Callable[[str], bytes | None]
    record: Callable[[str, str], bytes | None]


class ConfigurationFollower:
    """Keeps the newest accepted version that any path leads to. Versions only rise."""

    def __init__(
        self,
        platform: Platform,
        peers: PeerSource,
        clock: Clock,
        accept: Callable[[Event], object],
    ) -> None:
        self._platform = platform
        self._peers = peers
        self._clock = clock
        self._accept = accept
        self._lock = Lock()
        self._fetching: set[str] = set()
        self._floor = 0
        self._offers: dict[str, int] = {}
        self._first_offer_at: int | None = None
        self._served = ("", b"")
        self.configuration: Configuration | None = None

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        found = self.configuration
        return 0 if found is None else found.head.version

    def poll(self) -> None:
        """Read the platform's head and take it; without an answer, take what peers offer."""
        row = self._platform.read_row(HEAD_KEY)
        if row.is_err():
            self._take_offers()
            return
        found = row.unwrap()
        head = decode_head(found.value) if found is not None else None
        if head is None:
            return
        if not self._take(head, platform_reader(self._platform)):
            self._take_offers()

    def hear(self, peer: str, version: int, floor: int = 0) -> bool:
        """Note a version that a peer has, and one that this instance once had; True: fetch it."""
        with self._lock:
            self._floor = max(self._floor, floor)
            if version <= self.version:
                return False
            if peer in self._offers or len(self._offers) < MAXIMUM_OFFERS:
                self._offers[peer] = version
            if self._first_offer_at is None:
                self._first_offer_at = self._clock.now()
            if self.configuration is None or len(self._fetching) >= MAXIMUM_FETCHES:
                return False
            known = peer in self._fetching
            self._fetching.add(peer)
            return not known

    def fetch(self, peer: str) -> bool:
        """Take the version that a peer has, if it is higher."""
        try:
            return self._fetch(peer)
        finally:
            with self._lock:
                self._fetching.discard(peer)

    def _fetch(self, peer: str) -> bool:
        data = self._peers.head(peer)
        head = decode_head(data) if data is not None else None
        if head is None:
            return False
        return self._take(head, lambda digest: self._peers.record(peer, digest))

    def read_head(self) -> bytes | None:
        """Return the head in force, for a peer."""
        found = self.configuration
        return None if found is None else encode_head(found.head)

    def read_record(self, digest: str) -> bytes | None:
        """Return a record of the version in force, for a peer."""
        if self._served[0] == digest:
            return self._served[1]
        found = self.configuration
        data = None if found is None else serve_record(found, digest)
        if data is not None:
            self._served = (digest, data)
        return data

    def _take_offers(self) -> None:
        """Fetch from the peers that offer more; a starting instance first listens for a while."""
        if self._first_offer_at is None:
            return
        listened_ms = self._clock.now() - self._first_offer_at
        if self.configuration is None and listened_ms < START_LISTEN_MS:
            return
        with self._lock:
            offers = dict(self._offers)
        for peer in sorted(offers, key=lambda name: -offers[name]):
            if offers[peer] > self.version and self.fetch(peer):
                return

    def _take(self, head: Head, read: Read) -> bool:
        """Load a higher head and put it in force; False where it cannot be read now."""
        current = self.configuration
        if not is_higher(head, current, self._floor):
            return True
        try:
            found = load(head, current, read)
        except (ChainError, InventoryError) as error:
            logger.warning("version not taken", version=head.version, reason=str(error))
            return False
        with self._lock:
            if is_higher(head, self.configuration, self._floor):
                self._put_in_force(found)
        return True

    def _put_in_force(self, found: Configuration) -> None:
        event = InventoryAccepted(
            self._clock.now(), found.inventory, found.base, found.changed_engines
        )
        self._accept(event)
        self.configuration = found
        self._offers = {p: v for p, v in self._offers.items() if v > found.head.version}
        logger.info("version in force", version=found.head.version)


def platform_reader(platform: Platform) -> Read:
    """Return a function that reads records from the platform's object store."""

    def read(digest: str) -> bytes | None:
        found = platform.get_object(OBJECT_PREFIX + digest)
        return found.unwrap() if found.is_ok() else None

    return read
