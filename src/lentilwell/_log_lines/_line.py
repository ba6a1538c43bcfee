"""The base class of log lines, the registry of line types, and the function that writes a line."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import ClassVar, TypeVar

from loguru import logger


@dataclass(frozen=True)
class Line:
    """Base of all log lines. ``event`` identifies the type of line, ``level`` is the log level."""

    event: ClassVar[str] = ""
    level: ClassVar[str] = "INFO"


# The registered line types by event.
LINE_TYPES: dict[str, type[Line]] = {}

_LineT = TypeVar("_LineT", bound=Line)


def line(event: str, level: str = "INFO") -> Callable[[type[_LineT]], type[_LineT]]:
    """Register the decorated class as the line type of an event."""

    def register(line_type: type[_LineT]) -> type[_LineT]:
        line_type.event = event
        line_type.level = level
        LINE_TYPES[event] = line_type
        return line_type

    return register


def write_line(log_line: Line, error: BaseException | None = None) -> None:
    """Write a line to the log, with the exception that it reports, if any."""
    values = {field.name: getattr(log_line, field.name) for field in fields(log_line)}
    logger.opt(exception=error).log(log_line.level, log_line.event, **values)
