"""Exceptions of the command line and of start-up, and the failures of the platform.

``LentilwellError`` classes carry the exit code of the process. ``PlatformFailure`` classes are data
that the platform's port returns. What callers are answered with stands in ``_failures``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3


class LentilwellError(Exception):
    """Base of all exceptions of the package; ``exit_code`` is what a command exits with."""

    exit_code: ClassVar[int] = EXIT_REFUSED


class UsageError(LentilwellError):
    """The command line or a settings file is wrong; the message says what is allowed."""

    exit_code: ClassVar[int] = EXIT_USAGE


class RefusedError(LentilwellError):
    """The operation was refused and changed nothing."""


class ConflictError(RefusedError):
    """Another edit was accepted first; fetch the newest version and edit that."""


class OutcomeUnknownError(LentilwellError):
    """The operation may or may not have taken effect; read back before trying again."""

    exit_code: ClassVar[int] = EXIT_UNKNOWN


@dataclass(frozen=True)
class PlatformFailure:
    """Base of the failures of the platform's table service, object store and instance list."""


@dataclass(frozen=True)
class Unavailable(PlatformFailure):
    """The platform refused or could not be reached; nothing was written."""


@dataclass(frozen=True)
class AnswerLost(PlatformFailure):
    """No answer came; a write may or may not have taken effect."""


@dataclass(frozen=True)
class VersionConflict(PlatformFailure):
    """The row's version is not the expected one; ``found`` is the version now, 0 for no row."""

    found: int


@dataclass(frozen=True)
class NotFound(PlatformFailure):
    """There is no such object."""
