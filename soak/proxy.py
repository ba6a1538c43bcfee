"""A loopback proxy of connections that delays, silences, cuts one way or resets them."""

from __future__ import annotations

import asyncio
import contextlib

from standins.loopback import listen

CHUNK_BYTES = 65_536


class Proxy:
    """Passes connections on to ``target`` (host:port); faults hold for all of them at once."""

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
        """Stop, and cut what is open."""
        self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def delay(self, delay_ms: int) -> None:
        """Delay bytes both ways until ``clear_faults``."""
        self.delay_ms = delay_ms

    def block(self, to_target: bool = True, from_target: bool = True) -> None:
        """Hold back bytes to the target, from it, or both, until ``clear_faults``."""
        self._unblocked.clear()
        if to_target:
            self.blocked_to_target.set()
        if from_target:
            self.blocked_from_target.set()

    def clear_faults(self) -> None:
        """Pass bytes on again."""
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
        directions = (
            asyncio.ensure_future(self._forward(reader, target_writer, self.blocked_to_target)),
            asyncio.ensure_future(self._forward(target_reader, writer, self.blocked_from_target)),
        )
        try:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(*directions)
        finally:
            for direction in directions:
                direction.cancel()
            for side in (writer, target_writer):
                self._writers.discard(side)
                side.close()

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
