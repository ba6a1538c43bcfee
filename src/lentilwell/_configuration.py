"""Carries out the configuration protocol: following accepted versions, and editing."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from threading import Lock
from typing import TypeVar

from loguru import logger
from result import Result

from lentilwell._clock import Clock
from lentilwell._documents import Document, check_document
from lentilwell._errors import (
    AnswerLost,
    ConflictError,
    OutcomeUnknownError,
    PlatformFailure,
    RefusedError,
    VersionConflict,
)
from lentilwell._events import Event, InventoryAccepted
from lentilwell._ports import Platform
from lentilwell._problems import InventoryError
from lentilwell._versions import (
    HEAD_KEY,
    OBJECT_PREFIX,
    ChainError,
    Configuration,
    Edit,
    Head,
    Read,
    decode_head,
    diff_documents,
    encode_head,
    find_edit,
    is_higher,
    list_edits,
    load,
    prepare_edit,
    serve_record,
)

CONFIGURATION_INTERVAL_MS = 1_000
START_LISTEN_MS = 1_000
PLATFORM_ATTEMPTS = 5
PLATFORM_PAUSE_MS = 200
MAXIMUM_OFFERS = 64
MAXIMUM_FETCHES = 2

_ValueT = TypeVar("_ValueT")


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


@dataclass(frozen=True)
class Loaded:
    """The accepted version as an editor sees it; no configuration where none was accepted yet."""

    configuration: Configuration | None
    row_version: int

    @property
    def version(self) -> int:
        """Return the accepted version, 0 for none."""
        return 0 if self.configuration is None else self.configuration.head.version


class ConfigurationEditor:
    """Reads the accepted version and puts the next one, against the platform."""

    def __init__(self, platform: Platform, pause: Callable[[int], None]) -> None:
        self._platform = platform
        self._pause = pause

    def get(self) -> Loaded:
        """Return the accepted version, or raise RefusedError where it cannot be read."""
        row = self._retry(lambda: self._platform.read_row(HEAD_KEY), "the head cannot be read")
        if row is None:
            return Loaded(None, 0)
        head = decode_head(row.value)
        if head is None:
            raise RefusedError("the platform's head is not one of this program; nothing changed")
        try:
            return Loaded(load(head, None, self._read), row.version)
        except ChainError as error:
            raise RefusedError(f"version {head.version} cannot be read: {error}") from error

    def put(self, document: Document, base: int, edit_id: str) -> int:
        """Make the document the version after ``base`` and return the version in force.

        Raises InventoryError where the document is wrong, ConflictError where another edit came
        first, RefusedError where nothing was changed, OutcomeUnknownError where that is not known.
        """
        problems = check_document(document, base + 1)[1]
        if problems:
            raise InventoryError(tuple(problems))
        loaded = self.get()
        if loaded.version != base:
            raise self._conflict(document, base)
        current = loaded.configuration
        if current is not None and current.document == document:
            return base
        edit = prepare_edit(current, loaded.row_version, document, edit_id)
        for digest, data in edit.objects:
            self._store(digest, data)
        self._write_head(edit, document, base)
        return edit.head.version

    def _store(self, digest: str, data: bytes) -> None:
        key = OBJECT_PREFIX + digest
        self._retry(
            lambda: self._platform.put_object(key, data),
            "the content cannot be stored; nothing changed",
        )

    def _write_head(self, edit: Edit, document: Document, base: int) -> None:
        """Write the head once; an answer that is lost is settled by writing or reading again."""
        in_doubt = False
        value = encode_head(edit.head)
        for _ in range(PLATFORM_ATTEMPTS):
            written = self._platform.write_row(HEAD_KEY, value, edit.row_version)
            if written.is_ok():
                return
            failure = written.unwrap_err()
            if isinstance(failure, VersionConflict):
                if in_doubt and self._is_accepted(edit):
                    return
                raise self._conflict(document, base)
            in_doubt = in_doubt or isinstance(failure, AnswerLost)
            self._pause(PLATFORM_PAUSE_MS)
        if not in_doubt:
            raise RefusedError("the platform takes no writes now; nothing changed")
        raise OutcomeUnknownError(self._explain_doubt(edit))

    def _is_accepted(self, edit: Edit) -> bool:
        """Tell whether the accepted chain holds this edit; raise where that cannot be read."""
        try:
            row = self._retry(lambda: self._platform.read_row(HEAD_KEY), "")
            head = decode_head(row.value) if row is not None else None
            if head is not None:
                return find_edit(head, edit, self._read)
        except (RefusedError, ChainError) as error:
            raise OutcomeUnknownError(self._explain_doubt(edit)) from error
        raise OutcomeUnknownError(self._explain_doubt(edit))

    def _explain_doubt(self, edit: Edit) -> str:
        version, edit_id = edit.head.version, edit.head.edit_id
        return (
            f"version {version} (edit {edit_id}) may or may not be accepted; "
            "run 'inventory get' and compare before trying again"
        )

    def _conflict(self, document: Document, base: int) -> ConflictError:
        """Return the error that tells what others changed and how the document differs now."""
        try:
            loaded = self.get()
        except RefusedError:
            return ConflictError(f"another edit of version {base} came first; nothing changed")
        lines = [f"version {loaded.version} is accepted, not {base}; nothing changed"]
        current = loaded.configuration
        if current is not None:
            for delta in list_edits(current.head, base, self._read):
                titles = ", ".join(f"[{title}]" for title in (*delta.changed, *delta.removed))
                lines.append(f"version {delta.version} changed {titles}")
            lines.append("your document against the accepted version:")
            lines += diff_documents(current.document, document)
        return ConflictError("\n".join(lines))

    def _read(self, digest: str) -> bytes | None:
        return platform_reader(self._platform)(digest)

    def _retry(self, call: Callable[[], Result[_ValueT, PlatformFailure]], reason: str) -> _ValueT:
        """Repeat an idempotent call, or raise RefusedError."""
        for _ in range(PLATFORM_ATTEMPTS):
            found = call()
            if found.is_ok():
                return found.unwrap()
            self._pause(PLATFORM_PAUSE_MS)
        raise RefusedError(f"the platform does not answer: {reason}")


def platform_reader(platform: Platform) -> Read:
    """Return a function that reads records from the platform's object store."""

    def read(digest: str) -> bytes | None:
        found = platform.get_object(OBJECT_PREFIX + digest)
        return found.unwrap() if found.is_ok() else None

    return read
