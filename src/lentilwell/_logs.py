"""JSON-lines logs: one object a line on standard error."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message


def set_up_logs(level: str, instance: str) -> None:
    """Log at ``level`` and above, each line carrying the instance's name."""

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
        sys.stderr.write(msgspec.json.encode(line, enc_hook=str).decode() + "\n")

    logger.remove()
    logger.add(write, level=level)
