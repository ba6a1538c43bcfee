"""Reads the accepted configuration from the platform and writes new versions to it."""

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
from lentilwell.configuration._follower import make_platform_reader
from lentilwell.configuration._problems import InventoryError
from lentilwell.configuration._versions import (
    HEAD_KEY,
    OBJECT_PREFIX,
    ChainError,
    Configuration,
    PreparedEdit,
    chain_contains,
    decode_head,
    diff_documents,
    encode_head,
    list_deltas,
    load_configuration,
    prepare_edit,
)

MAX_PLATFORM_ATTEMPTS = 5
PLATFORM_RETRY_PAUSE_MS = 200

_ValueT = TypeVar("_ValueT")


@dataclass(frozen=True)
class AcceptedVersion:
    """The accepted version on the platform, and the version of the row that holds its head.

    ``configuration`` is None if no version has been accepted yet.
    """

    configuration: Configuration | None
    row_version: int

    @property
    def version(self) -> int:
        """Return the number of the accepted version, 0 if there is none."""
        return 0 if self.configuration is None else self.configuration.head.version


class ConfigurationEditor:
    """Reads the accepted version from the platform and writes the next one to it."""

    def __init__(self, platform: Platform, sleep_ms: Callable[[int], None]) -> None:
        self._platform = platform
        self._sleep_ms = sleep_ms

    def get(self) -> AcceptedVersion:
        """Return the accepted version; raise RefusedError if it cannot be read."""
        row = self._retry(lambda: self._platform.read_row(HEAD_KEY), "the head cannot be read")
        if row is None:
            return AcceptedVersion(None, 0)
        head = decode_head(row.value)
        if head is None:
            raise RefusedError("the platform's configuration head is not valid; nothing changed")
        try:
            return AcceptedVersion(load_configuration(head, None, self._read_record), row.version)
        except ChainError as error:
            raise RefusedError(f"version {head.version} cannot be read: {error}") from error

    def put(self, document: Document, base: int, edit_id: str) -> int:
        """Make the document the version after ``base`` and return the accepted version.

        A document without changes leaves ``base`` accepted. Raises InventoryError if the document
        is invalid, ConflictError if ``base`` is no longer the accepted version, RefusedError if
        the platform fails and nothing was changed, and OutcomeUnknownError if a lost answer
        leaves open whether the edit was accepted.
        """
        problems = check_document(document, base + 1)[1]
        if problems:
            raise InventoryError(tuple(problems))
        accepted = self.get()
        if accepted.version != base:
            raise self._make_conflict_error(document, base)
        current = accepted.configuration
        if current is not None and current.document == document:
            return base
        edit = prepare_edit(current, accepted.row_version, document, edit_id)
        for digest, data in edit.objects:
            self._store_object(digest, data)
        self._write_head(edit, document, base)
        return edit.head.version

    def _store_object(self, digest: str, data: bytes) -> None:
        key = OBJECT_PREFIX + digest
        self._retry(
            lambda: self._platform.put_object(key, data),
            "the edit cannot be stored; nothing changed",
        )

    def _write_head(self, edit: PreparedEdit, document: Document, base: int) -> None:
        """Write the head of an edit, with retries.

        A lost answer leaves the outcome unknown until a later attempt settles it: if that attempt
        meets a version conflict, the accepted chain shows whether this edit was accepted.
        """
        outcome_unknown = False
        value = encode_head(edit.head)
        for _ in range(MAX_PLATFORM_ATTEMPTS):
            outcome = self._platform.write_row(HEAD_KEY, value, edit.row_version)
            if outcome.is_ok():
                return
            failure = outcome.unwrap_err()
            if isinstance(failure, VersionConflict):
                if outcome_unknown and self._is_accepted(edit):
                    return
                raise self._make_conflict_error(document, base)
            outcome_unknown = outcome_unknown or isinstance(failure, AnswerLost)
            self._sleep_ms(PLATFORM_RETRY_PAUSE_MS)
        if not outcome_unknown:
            raise RefusedError("the platform does not accept writes; nothing changed")
        raise OutcomeUnknownError(self._describe_unknown_outcome(edit))

    def _is_accepted(self, edit: PreparedEdit) -> bool:
        """Return whether the accepted chain contains this edit.

        Raises OutcomeUnknownError if the chain cannot be read.
        """
        try:
            row = self._retry(lambda: self._platform.read_row(HEAD_KEY), "")
            head = decode_head(row.value) if row is not None else None
            if head is not None:
                return chain_contains(head, edit, self._read_record)
        except (RefusedError, ChainError) as error:
            raise OutcomeUnknownError(self._describe_unknown_outcome(edit)) from error
        raise OutcomeUnknownError(self._describe_unknown_outcome(edit))

    def _describe_unknown_outcome(self, edit: PreparedEdit) -> str:
        version, edit_id = edit.head.version, edit.head.edit_id
        return (
            f"version {version} (edit {edit_id}) may or may not have been accepted; "
            "run 'inventory get' and compare before you try again"
        )

    def _make_conflict_error(self, document: Document, base: int) -> ConflictError:
        """Return an error with the edits since ``base`` and a diff to the accepted version."""
        try:
            accepted = self.get()
        except RefusedError:
            return ConflictError(
                f"another edit of version {base} was accepted first; nothing changed"
            )
        lines = [f"version {accepted.version} is accepted, not {base}; nothing changed"]
        current = accepted.configuration
        if current is not None:
            for delta in list_deltas(current.head, base, self._read_record):
                titles = ", ".join(f"[{title}]" for title in (*delta.changed, *delta.removed))
                lines.append(f"version {delta.version} changed {titles}")
            lines.append("differences between the accepted version (-) and your document (+):")
            lines += diff_documents(current.document, document)
        return ConflictError("\n".join(lines))

    def _read_record(self, digest: str) -> bytes | None:
        return make_platform_reader(self._platform)(digest)

    def _retry(self, call: Callable[[], Result[_ValueT, PlatformFailure]], message: str) -> _ValueT:
        """Return the value of an idempotent call, retried on failure.

        Raises RefusedError with the message after MAX_PLATFORM_ATTEMPTS failures.
        """
        for _ in range(MAX_PLATFORM_ATTEMPTS):
            answer = call()
            if answer.is_ok():
                return answer.unwrap()
            self._sleep_ms(PLATFORM_RETRY_PAUSE_MS)
        raise RefusedError(f"the platform does not answer: {message}")
