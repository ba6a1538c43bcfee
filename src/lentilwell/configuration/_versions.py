"""Versions of the configuration: the head, the chain of delta records, and snapshots.

The head is a single row that refers to the newest record by the SHA-256 digest of its bytes. A
record is a delta: the sections that one edit changed, its id, and the digest of the previous
record; older builds stored the first version as a full inventory in INI form. A head may also refer
to a snapshot, the full text at one record of the chain. A new snapshot is stored every
MAX_CHAIN_LENGTH versions, which bounds the number of deltas to read. The functions here do no I/O
of their own; callers pass in a function that reads.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from pyrsistent import PMap, pmap

from lentilwell._inventory import Inventory
from lentilwell._json import decode_json
from lentilwell.configuration._documents import (
    Document,
    Section,
    apply_sections,
    parse_document,
    render_document,
    render_section,
)

HEAD_KEY = "configuration.head"
OBJECT_PREFIX = "configuration/"
MAX_CHAIN_LENGTH = 256
_DELTA_PREFIX = b"{"
_ENGINE_TITLE_PREFIX = "engine "

ReadRecord = Callable[[str], bytes | None]


class Head(msgspec.Struct, frozen=True):
    """An accepted version: the digest of its record, the id of its edit, and the newest snapshot.

    ``snapshot`` is the digest of the full text at version ``snapshot_version``, and
    ``snapshot_base`` the digest of the record of that version.
    """

    version: int
    digest: str
    edit_id: str
    snapshot: str = ""
    snapshot_base: str = ""
    snapshot_version: int = 0


class Delta(msgspec.Struct, frozen=True):
    """The changes of one edit: new or changed sections in full, and the titles of removed ones.

    ``base`` is the digest of the previous record, empty for the first version.
    """

    version: int
    base: str
    edit_id: str
    changed: dict[str, dict[str, str]]
    removed: list[str]


@dataclass(frozen=True)
class RecordMissing:
    """The record with this digest cannot be read at present."""

    digest: str


@dataclass(frozen=True)
class ChainBroken:
    """The record with this digest is corrupt or does not fit into the chain of its head."""

    digest: str


class ChainError(Exception):
    """A version cannot be loaded from its records; ``failure`` holds the cause."""

    def __init__(self, failure: RecordMissing | ChainBroken) -> None:
        self.failure = failure
        super().__init__(f"{type(failure).__name__} {failure.digest}")


@dataclass(frozen=True)
class Configuration:
    """A loaded version: its head, its document and the inventory built from it.

    ``records`` holds the records from the snapshot on by digest, and ``snapshot_document`` the
    document at the snapshot; peers can load the version from these two. ``changed_engines`` names
    the engines that changed since ``base_version``, the version that this one was built on; None
    means that any engine may have changed.
    """

    head: Head
    document: Document
    inventory: Inventory
    records: PMap[str, bytes]
    snapshot_document: Document
    base_version: int = 0
    changed_engines: tuple[str, ...] | None = None


@dataclass(frozen=True)
class PreparedEdit:
    """The writes of one edit: first the objects, by digest, then the head.

    ``row_version`` is the version that the head's row must still have at the write.
    """

    head: Head
    row_version: int
    objects: tuple[tuple[str, bytes], ...]


def compute_digest(data: bytes) -> str:
    """Return the SHA-256 digest of the data in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def encode_head(head: Head) -> bytes:
    """Return the head as JSON, the value of its row."""
    return msgspec.json.encode(head)


def decode_head(data: bytes) -> Head | None:
    """Return the decoded head, or None if the data is not a valid head."""
    try:
        head = decode_json(data, Head)
    except msgspec.DecodeError:
        return None
    return head if head.version > 0 else None


def decode_delta(data: bytes) -> Delta | None:
    """Return the decoded delta, or None if the record is a full text.

    Raises ChainError if the record is a malformed delta.
    """
    if not data.startswith(_DELTA_PREFIX):
        return None
    try:
        return decode_json(data, Delta)
    except msgspec.DecodeError as error:
        raise ChainError(ChainBroken(compute_digest(data))) from error


def should_adopt(head: Head, current: Configuration | None, min_version: int) -> bool:
    """Return whether a head is above the current version and not below ``min_version``."""
    return head.version >= min_version and (current is None or head.version > current.head.version)


def load_configuration(
    head: Head, current: Configuration | None, read: ReadRecord
) -> Configuration:
    """Load the configuration that a head refers to.

    Only the deltas since the current version are read if it is part of the head's chain. Each
    record is checked against its digest. Raises ChainError if a record is missing or corrupt,
    and InventoryError if a section is invalid.
    """
    deltas, start = _collect_deltas(head, current, read)
    return _apply_deltas(head, start, deltas)


def _collect_deltas(
    head: Head, current: Configuration | None, read: ReadRecord
) -> tuple[list[tuple[str, bytes, Delta]], Configuration]:
    """Read deltas backwards from the head to the current version, a snapshot or a full record.

    Returns the deltas, the newest first, and the configuration to apply them to.
    """
    deltas: list[tuple[str, bytes, Delta]] = []
    digest = head.digest
    for version in range(head.version, max(0, head.version - 2 * MAX_CHAIN_LENGTH), -1):
        if current is not None and digest == current.head.digest:
            return deltas, current
        if digest == head.snapshot_base and head.snapshot:
            return deltas, _load_full_record(
                head, version, digest, _read_verified(head.snapshot, read)
            )
        data = _read_verified(digest, read)
        delta = decode_delta(data)
        if delta is None:
            return deltas, _load_full_record(head, version, digest, data)
        if delta.version != version:
            raise ChainError(ChainBroken(digest))
        deltas.append((digest, data, delta))
        digest = delta.base
    raise ChainError(ChainBroken(digest))


def _read_verified(digest: str, read: ReadRecord) -> bytes:
    data = read(digest)
    if data is None:
        raise ChainError(RecordMissing(digest))
    if compute_digest(data) != digest:
        raise ChainError(ChainBroken(digest))
    return data


def _load_full_record(head: Head, version: int, digest: str, data: bytes) -> Configuration:
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        raise ChainError(ChainBroken(digest)) from error
    document, inventory = parse_document(text, version)
    start = Head(version, digest, head.edit_id, compute_digest(data), digest, version)
    return Configuration(start, document, inventory, pmap({compute_digest(data): data}), document)


def _apply_deltas(
    head: Head, start: Configuration, deltas: list[tuple[str, bytes, Delta]]
) -> Configuration:
    document, inventory = start.document, start.inventory
    snapshot_document, records = start.snapshot_document, start.records
    engines: list[str] = []
    for digest, data, delta in reversed(deltas):
        sections = [Section(title, tuple(items.items())) for title, items in delta.changed.items()]
        inventory = apply_sections(inventory, sections, delta.removed, delta.version)
        document = update_document(document, sections, delta.removed)
        changed_titles = (*delta.changed, *delta.removed)
        engines += [
            title[len(_ENGINE_TITLE_PREFIX) :]
            for title in changed_titles
            if title.startswith(_ENGINE_TITLE_PREFIX)
        ]
        records = records.set(digest, data)
        if digest == head.snapshot_base:
            snapshot_document, records = document, pmap({digest: data})
    return Configuration(
        head, document, inventory, records, snapshot_document, start.head.version, tuple(engines)
    )


def update_document(document: Document, changed: list[Section], removed: list[str]) -> Document:
    """Return a copy of the document with sections replaced, added or removed."""
    evolver = document.evolver()
    for section in changed:
        evolver[section.title] = section
    for title in removed:
        if title in document:
            evolver.remove(title)
    return evolver.persistent()


def find_record(configuration: Configuration, digest: str) -> bytes | None:
    """Return the record or snapshot with this digest, None if the configuration has neither."""
    data = configuration.records.get(digest)
    if data is not None or digest != configuration.head.snapshot:
        return data
    text = render_document(configuration.snapshot_document).encode()
    return text if compute_digest(text) == digest else None


def prepare_edit(
    current: Configuration | None, row_version: int, document: Document, edit_id: str
) -> PreparedEdit:
    """Return the writes that make the document the next version.

    Every version is stored as a delta, which names its edit: two edits never have the same digest,
    not even first ones with the same content. The first version has a snapshot too.
    """
    text = render_document(document).encode()
    if current is None:
        sections = {title: dict(section.items) for title, section in document.items()}
        record = msgspec.json.encode(Delta(1, "", edit_id, sections, []))
        digest, snapshot = compute_digest(record), compute_digest(text)
        head = Head(1, digest, edit_id, snapshot, digest, 1)
        return PreparedEdit(head, row_version, ((digest, record), (snapshot, text)))
    old, version = current.head, current.head.version + 1
    changed = {
        title: dict(section.items)
        for title, section in document.items()
        if current.document.get(title) != section
    }
    removed = [title for title in current.document if title not in document]
    record = msgspec.json.encode(Delta(version, old.digest, edit_id, changed, removed))
    digest = compute_digest(record)
    head = advance_head(old, version, digest, edit_id)
    if old.snapshot and version - old.snapshot_version < MAX_CHAIN_LENGTH:
        return PreparedEdit(head, row_version, ((digest, record),))
    snapshot = compute_digest(text)
    head = Head(version, digest, edit_id, snapshot, digest, version)
    return PreparedEdit(head, row_version, ((digest, record), (snapshot, text)))


def advance_head(old: Head, version: int, digest: str, edit_id: str) -> Head:
    """Return the next head, with the snapshot of the old one."""
    return Head(version, digest, edit_id, old.snapshot, old.snapshot_base, old.snapshot_version)


def chain_contains(head: Head, edit: PreparedEdit, read: ReadRecord) -> bool:
    """Return whether the chain of a head contains an edit.

    Raises ChainError if a record cannot be read.
    """
    digest = head.digest
    for version in range(head.version, edit.head.version - 1, -1):
        if version == edit.head.version:
            return digest == edit.head.digest and head.version >= edit.head.version
        delta = decode_delta(_read_verified(digest, read))
        if delta is None:
            return False
        digest = delta.base
    return False


def list_deltas(head: Head, since_version: int, read: ReadRecord) -> tuple[Delta, ...]:
    """Return the deltas after a version, the newest first, at most ``MAX_CHAIN_LENGTH``.

    The list ends before a record that cannot be read or is a full text, as older builds stored the
    first version.
    """
    deltas: list[Delta] = []
    digest = head.digest
    for _ in range(min(head.version - since_version, MAX_CHAIN_LENGTH)):
        data = read(digest)
        delta = decode_delta(data) if data is not None else None
        if delta is None:
            break
        deltas.append(delta)
        digest = delta.base
    return tuple(deltas)


def diff_documents(old: Document, new: Document) -> list[str]:
    """Return the differences by section; - marks removed lines and + added ones."""
    lines: list[str] = []
    for title in sorted({*old, *new}):
        before, after = old.get(title), new.get(title)
        if before == after:
            continue
        removed = _render_lines(before) if before is not None else []
        added = _render_lines(after) if after is not None else []
        lines.append(f"  [{title}]")
        lines += [f"- {line}" for line in removed if line not in added]
        lines += [f"+ {line}" for line in added if line not in removed]
    return lines


def _render_lines(section: Section) -> list[str]:
    return render_section(section).splitlines()
