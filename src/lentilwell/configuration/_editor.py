"""Editing the configuration: reading the accepted version, and putting the next one."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from result import Result

from lentilwell._errors import (
    AnswerLost,
    ConflictError,
    OutcomeUnknownError,
    PlatformFailure,
    RefusedError,
    VersionConflict,
)
from lentilwell._ports import Platform
from lentilwell.configuration._documents import Document, check_document
from lentilwell.configuration._follower import platform_reader
from lentilwell.configuration._problems import InventoryError
from lentilwell.configuration._versions import (
    HEAD_KEY,
    OBJECT_PREFIX,
    ChainError,
    Configuration,
    Edit,
    decode_head,
    diff_documents,
    encode_head,
    find_edit,
    list_edits,
    load,
    prepare_edit,
)

PLATFORM_ATTEMPTS = 5
PLATFORM_PAUSE_MS = 200

_ValueT = TypeVar("_ValueT")


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
