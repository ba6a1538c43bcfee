"""The log lines of a gateway process, by request."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from standins.gateway_process import Instance


class InstanceLog:
    """Reads the log of a process, so that its pipe does not fill, and keeps what names a request.

    ``lines_by_request`` maps the id of a request to the lines about it.
    """

    def __init__(self) -> None:
        self.lines_by_request: dict[str, list[dict[str, Any]]] = {}
        self._task: asyncio.Task[None] | None = None

    def follow(self, instance: Instance) -> None:
        """Read the log of an instance that was started, until its process ends."""
        self._task = asyncio.ensure_future(self._read(instance))

    async def _read(self, instance: Instance) -> None:
        assert instance.process is not None and instance.process.stdout is not None
        async for line in instance.process.stdout:
            values = json.loads(line)
            if values.get("request"):
                self.lines_by_request.setdefault(values["request"], []).append(values)
