"""Logs in JSON Lines format: one object on each line."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from lentilwell._log_writer import LogWriter

if TYPE_CHECKING:
    from loguru import Message

WriteLine = Callable[[str], object]


def set_up_logs(level: str, instance: str, write_line: WriteLine | None = None) -> None:
    """Log messages of ``level`` and above, each with the instance's name.

    Lines are passed to ``write_line`` or, by default, written to standard error.
    """
    write_line = write_line or sys.stderr.write

    def write(message: Message) -> None:
        record = message.record
        line = {
            "at": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            "instance": instance,
            "event": record["message"],
            **record["extra"],
        }
        if record["exception"] is not None:
            line["error"] = repr(record["exception"].value)
        write_line(msgspec.json.encode(line, enc_hook=str).decode() + "\n")

    logger.remove()
    logger.add(write, level=level)


def open_log_writer() -> LogWriter:
    """Return a log writer to standard output that never blocks its caller."""
    return LogWriter(sys.stdout)
