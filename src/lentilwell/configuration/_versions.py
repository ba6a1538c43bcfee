"""Versions of the configuration: heads, records, chains of deltas, and what an instance accepts.

The head is one row; it names the newest record by the SHA-256 of its bytes. A record is either a
whole inventory in INI, or a delta: the sections that one edit changed, and the digest of the record
before it. From time to time a head also names a snapshot, the whole text at some record of the
chain, so that a chain is never long to read. All here is pure; reading is passed in as a function.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from pyrsistent import PMap, pmap

from lentilwell._inventory import Inventory
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
MAXIMUM_CHAIN = 256
_DELTA_MARK = b"{"
_ENGINE_WORD = "engine "

Read = Callable[[str], bytes | None]


class Head(msgspec.Struct, frozen=True):
    """The accepted version: its record's digest, the edit's id, and the newest snapshot.

    ``snapshot`` is the digest of the whole text at version ``snapshot_version``, whose record has
    the digest ``snapshot_base``.
    """

    version: int
    digest: str
    edit_id: str
    snapshot: str = ""
    snapshot_base: str = ""
    snapshot_version: int = 0


class Delta(msgspec.Struct, frozen=True):
    """What one edit changed: whole sections as keys and values, and titles that are gone."""

    version: int
    base: str
    edit_id: str
    changed: dict[str, dict[str, str]]
    removed: list[str]


@dataclass(frozen=True)
class RecordMissing:
    """A record of the chain cannot be read now."""

    digest: str


@dataclass(frozen=True)
class ChainBroken:
    """The records do not lead to the head; they are not used."""

    digest: str


class ChainError(Exception):
    """Records cannot be put together; ``failure`` says why."""

    def __init__(self, failure: RecordMissing | ChainBroken) -> None:
        self.failure = failure
        super().__init__(f"{type(failure).__name__} {failure.digest}")


@dataclass(frozen=True)
class Configuration:
    """One version in full: head, sections and what they build.

    ``records`` holds the deltas since the snapshot, ``at_snapshot`` the sections at the snapshot,
    so that a peer can be given everything. ``changed_engines`` are those that differ from ``base``.
    """

    head: Head
    document: Document
    inventory: Inventory
    records: PMap[str, bytes]
    at_snapshot: Document
    base: int = 0
    changed_engines: tuple[str, ...] | None = None


@dataclass(frozen=True)
class Edit:
    """A prepared edit: the objects to store first, then the head to write on ``row_version``."""

    head: Head
    row_version: int
    objects: tuple[tuple[str, bytes], ...]


def digest_of(data: bytes) -> str:
    """Return the digest that names these bytes."""
    return hashlib.sha256(data).hexdigest()


def encode_head(head: Head) -> bytes:
    """Return the value of the head's row."""
    return msgspec.json.encode(head)


def decode_head(data: bytes) -> Head | None:
    """Read a head, or None where the bytes are not one."""
    try:
        head = msgspec.json.decode(data, type=Head)
    except msgspec.DecodeError:
        return None
    return head if head.version > 0 else None


def decode_delta(data: bytes) -> Delta | None:
    """Read a delta, or None where the record is a whole text."""
    if not data.startswith(_DELTA_MARK):
        return None
    try:
        return msgspec.json.decode(data, type=Delta)
    except msgspec.DecodeError as error:
        raise ChainError(ChainBroken(digest_of(data))) from error


def is_higher(head: Head, current: Configuration | None, floor: int) -> bool:
    """Tell whether an instance takes this head: above what it has, not below what it ever had."""
    return head.version >= floor and (current is None or head.version > current.head.version)


def load(head: Head, current: Configuration | None, read: Read) -> Configuration:
    """Return the head's version, from the current one where the chain leads there.

    Raises ChainError where a record is missing or wrong, InventoryError where a section is. Each
    record is checked against the digest that names it.
    """
    deltas, start = _walk_back(head, current, read)
    return _apply(head, start, deltas)


def _walk_back(
    head: Head, current: Configuration | None, read: Read
) -> tuple[list[tuple[str, bytes, Delta]], Configuration]:
    """Read deltas from the head back to something whole; the newest comes first."""
    deltas: list[tuple[str, bytes, Delta]] = []
    digest = head.digest
    for version in range(head.version, max(0, head.version - 2 * MAXIMUM_CHAIN), -1):
        if current is not None and digest == current.head.digest:
            return deltas, current
        if digest == head.snapshot_base and head.snapshot:
            return deltas, _start(head, version, digest, _read(head.snapshot, read))
        data = _read(digest, read)
        delta = decode_delta(data)
        if delta is None:
            return deltas, _start(head, version, digest, data)
        if delta.version != version:
            raise ChainError(ChainBroken(digest))
        deltas.append((digest, data, delta))
        digest = delta.base
    raise ChainError(ChainBroken(digest))


def _read(digest: str, read: Read) -> bytes:
    data = read(digest)
    if data is None:
        raise ChainError(RecordMissing(digest))
    if digest_of(data) != digest:
        raise ChainError(ChainBroken(digest))
    return data


def _start(head: Head, version: int, digest: str, data: bytes) -> Configuration:
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        raise ChainError(ChainBroken(digest)) from error
    document, inventory = parse_document(text, version)
    start = Head(version, digest, head.edit_id, digest_of(data), digest, version)
    return Configuration(start, document, inventory, pmap({digest_of(data): data}), document)


def _apply(
    head: Head, start: Configuration, deltas: list[tuple[str, bytes, Delta]]
) -> Configuration:
    document, inventory = start.document, start.inventory
    at_snapshot, records = start.at_snapshot, start.records
    engines: list[str] = []
    for digest, data, delta in reversed(deltas):
        sections = [Section(t, tuple(items.items())) for t, items in delta.changed.items()]
        inventory = apply_sections(inventory, sections, delta.removed, delta.version)
        document = change_document(document, sections, delta.removed)
        titles = (*delta.changed, *delta.removed)
        engines += [t[len(_ENGINE_WORD) :] for t in titles if t.startswith(_ENGINE_WORD)]
        records = records.set(digest, data)
        if digest == head.snapshot_base:
            at_snapshot, records = document, pmap({digest: data})
    return Configuration(
        head, document, inventory, records, at_snapshot, start.head.version, tuple(engines)
    )


def change_document(document: Document, changed: list[Section], removed: list[str]) -> Document:
    """Return the document with some sections changed or removed."""
    evolver = document.evolver()
    for section in changed:
        evolver[section.title] = section
    for title in removed:
        if title in document:
            evolver.remove(title)
    return evolver.persistent()


def serve_record(configuration: Configuration, digest: str) -> bytes | None:
    """Return a record or the snapshot by its digest, as a peer may ask for it."""
    data = configuration.records.get(digest)
    if data is not None or digest != configuration.head.snapshot:
        return data
    text = render_document(configuration.at_snapshot).encode()
    return text if digest_of(text) == digest else None


def prepare_edit(
    current: Configuration | None, row_version: int, document: Document, edit_id: str
) -> Edit:
    """Return what stores the document as the next version; the first version is a whole text."""
    text = render_document(document).encode()
    if current is None:
        digest = digest_of(text)
        return Edit(Head(1, digest, edit_id, digest, digest, 1), row_version, ((digest, text),))
    old, version = current.head, current.head.version + 1
    changed = {
        title: dict(section.items)
        for title, section in document.items()
        if current.document.get(title) != section
    }
    removed = [title for title in current.document if title not in document]
    record = msgspec.json.encode(Delta(version, old.digest, edit_id, changed, removed))
    digest = digest_of(record)
    head = replace_head(old, version, digest, edit_id)
    if old.snapshot and version - old.snapshot_version < MAXIMUM_CHAIN:
        return Edit(head, row_version, ((digest, record),))
    snapshot = digest_of(text)
    head = Head(version, digest, edit_id, snapshot, digest, version)
    return Edit(head, row_version, ((digest, record), (snapshot, text)))


def replace_head(old: Head, version: int, digest: str, edit_id: str) -> Head:
    """Return the next head with the same snapshot."""
    return Head(version, digest, edit_id, old.snapshot, old.snapshot_base, old.snapshot_version)


def find_edit(head: Head, edit: Edit, read: Read) -> bool:
    """Tell whether an edit is part of the accepted chain; raises ChainError where unreadable."""
    digest = head.digest
    for version in range(head.version, edit.head.version - 1, -1):
        if version == edit.head.version:
            return digest == edit.head.digest and head.version >= edit.head.version
        delta = decode_delta(_read(digest, read))
        if delta is None:
            return False
        digest = delta.base
    return False


def list_edits(head: Head, above: int, read: Read) -> tuple[Delta, ...]:
    """Return the accepted edits above a version, the newest first, as far as they can be read."""
    found: list[Delta] = []
    digest = head.digest
    for _ in range(min(head.version - above, MAXIMUM_CHAIN)):
        data = read(digest)
        delta = decode_delta(data) if data is not None else None
        if delta is None:
            break
        found.append(delta)
        digest = delta.base
    return tuple(found)


def diff_documents(old: Document, new: Document) -> list[str]:
    """Return the lines that differ, section by section, marked with - and +."""
    lines: list[str] = []
    for title in sorted({*old, *new}):
        before, after = old.get(title), new.get(title)
        if before == after:
            continue
        removed = _lines(before) if before is not None else []
        added = _lines(after) if after is not None else []
        lines.append(f"  [{title}]")
        lines += [f"- {line}" for line in removed if line not in added]
        lines += [f"+ {line}" for line in added if line not in removed]
    return lines


def _lines(section: Section) -> list[str]:
    return render_section(section).splitlines()
