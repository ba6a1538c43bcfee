"""Exceptions of the command line and of start-up, and failures of the platform.

``LentilwellError`` and its subclasses have the exit code of the process. ``PlatformFailure`` and
its subclasses are values that ``Platform`` methods return. Errors that callers receive are defined
in ``_failures``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3


class LentilwellError(Exception):
    """Base class of the package's exceptions. ``exit_code`` is the exit code of the command."""

    exit_code: ClassVar[int] = EXIT_REFUSED


class UsageError(LentilwellError):
    """The command line or a settings file is invalid. The message says what is allowed."""

    exit_code: ClassVar[int] = EXIT_USAGE


class RefusedError(LentilwellError):
    """The operation was refused and has changed nothing."""


class ConflictError(RefusedError):
    """Another edit was accepted first. Repeat this edit on the newest version."""


class OutcomeUnknownError(LentilwellError):
    """The operation may have taken effect. Check its result before trying again."""

    exit_code: ClassVar[int] = EXIT_UNKNOWN


@dataclass(frozen=True)
class PlatformFailure:
    """Base class of failures of the platform's table service, object store and instance list."""


@dataclass(frozen=True)
class Unavailable(PlatformFailure):
    """The platform refused the call or could not be reached. Nothing was written."""


@dataclass(frozen=True)
class AnswerLost(PlatformFailure):
    """No answer was received. A write may or may not have taken effect."""


@dataclass(frozen=True)
class VersionConflict(PlatformFailure):
    """The row has another version than expected: ``found``, which is 0 if there is no row."""

    found: int


@dataclass(frozen=True)
class NotFound(PlatformFailure):
    """The object does not exist."""
