"""Answers the balancer's question whether this instance takes new callers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import h11

MOST_QUESTION_BYTES = 8_192


class Readiness(asyncio.Protocol):
    """Answers every GET with 200 or 503."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_QUESTION_BYTES)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer what is whole."""
        assert self._transport is not None
        self._http.receive_data(data)
        try:
            while self._take_event():
                pass
        except h11.RemoteProtocolError:
            self._transport.close()

    def _take_event(self) -> bool:
        event = self._http.next_event()
        if isinstance(event, h11.EndOfMessage):
            self._answer()
            return True
        return isinstance(event, h11.Request | h11.Data)

    def _answer(self) -> None:
        assert self._transport is not None
        status = 200 if self._is_ready() else 503
        head = h11.Response(status_code=status, headers=[(b"Content-Length", b"0")])
        data = (self._http.send(head) or b"") + (self._http.send(h11.EndOfMessage()) or b"")
        self._transport.write(data)
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            self._transport.close()
