"""What a line of the log is, the registry of its kinds, and how one is written."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import ClassVar, TypeVar

from loguru import logger


@dataclass(frozen=True)
class Line:
    """Base of all lines. ``event`` names the kind, ``level`` is the log level."""

    event: ClassVar[str] = ""
    level: ClassVar[str] = "INFO"


LINES: dict[str, type[Line]] = {}

_LineT = TypeVar("_LineT", bound=Line)


def line(event: str, level: str = "INFO") -> Callable[[type[_LineT]], type[_LineT]]:
    """Register a kind of line under the name of its event."""

    def register(kind: type[_LineT]) -> type[_LineT]:
        kind.event = event
        kind.level = level
        LINES[event] = kind
        return kind

    return register


def write_line(written: Line, error: BaseException | None = None) -> None:
    """Write a line to the log, with the exception that it tells of, if any."""
    values = {field.name: getattr(written, field.name) for field in fields(written)}
    logger.opt(exception=error).log(written.level, written.event, **values)
