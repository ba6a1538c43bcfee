"""A small HTTP server for readiness checks, metrics and state dumps."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import h11

from lentilwell.gateway.caller_limits import StatusConnections

MAX_INCOMPLETE_EVENT_BYTES = 8_192
# The key of the handler for paths that have none of their own.
ANY_PATH = ""


@dataclass(frozen=True)
class StatusAnswer:
    """The answer of a ``StatusHandler``."""

    status: int
    body: bytes = b""
    content_type: bytes = b"text/plain"


StatusHandler = Callable[[], StatusAnswer]


class StatusProtocol(asyncio.Protocol):
    """Answers each request with the handler of its path, or that of ``ANY_PATH``, or 404.

    A connection whose caller asks again without having read the answer is closed.
    """

    def __init__(
        self, handlers: Mapping[str, StatusHandler], connections: StatusConnections
    ) -> None:
        self._handlers = handlers
        self._connections = connections
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_INCOMPLETE_EVENT_BYTES
        )
        self._transport: asyncio.Transport | None = None
        self._path = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._connections.add(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        if self._transport is not None:
            self._connections.remove(self._transport)

    def data_received(self, data: bytes) -> None:
        """Answer each request that has been received completely."""
        assert self._transport is not None
        self._http.receive_data(data)
        try:
            while self._handle_next_event():
                pass
        except h11.RemoteProtocolError:
            self._transport.close()

    def _handle_next_event(self) -> bool:
        event = self._http.next_event()
        if isinstance(event, h11.Request):
            self._path = event.target.decode("latin-1").partition("?")[0]
        if isinstance(event, h11.EndOfMessage):
            self._answer()
            return self._http.our_state is h11.IDLE
        return isinstance(event, h11.Request | h11.Data)

    def _answer(self) -> None:
        assert self._transport is not None
        if self._transport.get_write_buffer_size() > 0:
            self._transport.abort()
            return
        self._connections.record_use(self._transport)
        handler = self._handlers.get(self._path) or self._handlers.get(ANY_PATH)
        answer = handler() if handler is not None else StatusAnswer(404)
        head = h11.Response(
            status_code=answer.status,
            headers=[
                (b"Content-Type", answer.content_type),
                (b"Content-Length", str(len(answer.body)).encode()),
            ],
        )
        parts = [self._http.send(head)]
        if answer.body:
            parts.append(self._http.send(h11.Data(data=answer.body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        self._transport.write(b"".join(part or b"" for part in parts))
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            self._transport.close()
