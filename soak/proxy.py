"""A TCP proxy on loopback that can delay, block or reset its connections."""

from __future__ import annotations

import asyncio
import contextlib

from standins.loopback import listen

CHUNK_BYTES = 65_536


class Proxy:
    """Forwards connections to ``target`` (host:port); a fault applies to all connections."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.delay_ms = 0
        self.blocked_to_target = asyncio.Event()
        self.blocked_from_target = asyncio.Event()
        self._unblocked = asyncio.Event()
        self._unblocked.set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        """Listen and return the address."""
        self._server, self.address = await listen(self._serve)
        return self.address

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def delay(self, delay_ms: int) -> None:
        """Delay bytes in both directions until ``clear_faults`` is called."""
        self.delay_ms = delay_ms

    def block(self, to_target: bool = True, from_target: bool = True) -> None:
        """Block bytes to the target, from it, or both, until ``clear_faults`` is called."""
        self._unblocked.clear()
        if to_target:
            self.blocked_to_target.set()
        if from_target:
            self.blocked_from_target.set()

    def clear_faults(self) -> None:
        """Remove delays and blocks; blocked bytes are then forwarded."""
        self.delay_ms = 0
        self.blocked_to_target.clear()
        self.blocked_from_target.clear()
        self._unblocked.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, port = self.target.rsplit(":", 1)
        self._writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(target_writer)
        forward_tasks = (
            asyncio.ensure_future(self._forward(reader, target_writer, self.blocked_to_target)),
            asyncio.ensure_future(self._forward(target_reader, writer, self.blocked_from_target)),
        )
        try:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(*forward_tasks)
        finally:
            for task in forward_tasks:
                task.cancel()
            for open_writer in (writer, target_writer):
                self._writers.discard(open_writer)
                open_writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, blocked: asyncio.Event
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_ms:
                    await asyncio.sleep(self.delay_ms / 1_000)
                if blocked.is_set():
                    await self._unblocked.wait()
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
            return
        writer.transport.abort()
