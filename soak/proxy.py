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
        self.silent_up = asyncio.Event()
        self.silent_down = asyncio.Event()
        self._sound = asyncio.Event()
        self._sound.set()
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
        """Delay bytes both ways until ``heal``."""
        self.delay_ms = delay_ms

    def silence(self, up: bool = True, down: bool = True) -> None:
        """Hold back bytes to the target, from it, or both, until ``heal``."""
        self._sound.clear()
        if up:
            self.silent_up.set()
        if down:
            self.silent_down.set()

    def heal(self) -> None:
        """Pass bytes on again."""
        self.delay_ms = 0
        self.silent_up.clear()
        self.silent_down.clear()
        self._sound.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, port = self.target.rsplit(":", 1)
        self._writers.add(writer)
        try:
            behind, ahead = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(ahead)
        ways = (
            asyncio.ensure_future(self._pass(reader, ahead, self.silent_up)),
            asyncio.ensure_future(self._pass(behind, writer, self.silent_down)),
        )
        try:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(*ways)
        finally:
            for way in ways:
                way.cancel()
            for one in (writer, ahead):
                self._writers.discard(one)
                one.close()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, silent: asyncio.Event
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_ms:
                    await asyncio.sleep(self.delay_ms / 1_000)
                if silent.is_set():
                    await self._sound.wait()
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
            return
        writer.transport.abort()
