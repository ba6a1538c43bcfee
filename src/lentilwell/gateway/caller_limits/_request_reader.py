"""Parses the requests of a connection, within the limits on their size."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import replace
from enum import Enum, auto

import h11

from lentilwell.gateway._catalog import Limits
from lentilwell.gateway._framing import (
    count_head_bytes,
    find_declared_bytes,
    has_ambiguous_framing,
)
from lentilwell.gateway._messages import InboundRequest
from lentilwell.gateway.caller_limits._connection_account import ConnectionAccount

TOO_LONG = "the request line and the headers are too long"
AMBIGUOUS_FRAMING = "Content-Length and Transfer-Encoding must not be combined"


class RequestInvalid(Exception):
    """A request is malformed or over a limit, and is answered with ``status``."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class ReadStep(Enum):
    """What one step of parsing has found."""

    HEAD = auto()
    DATA = auto()
    END = auto()
    NOTHING = auto()


class RequestReader:
    """Reads one request after the other. ``request`` is the current one, without its body.

    ``http`` is the state of the connection, with which answers are written too.
    """

    def __init__(self, account: ConnectionAccount, get_limits: Callable[[], Limits]) -> None:
        self._account = account
        self._get_limits = get_limits
        self.request: InboundRequest | None = None
        # The limit may change meanwhile, so that it is applied here instead.
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)

    def receive(self, data: bytes) -> None:
        """Add received bytes."""
        self._account.receive(len(data))
        self.http.receive_data(data)

    def read_step(self, arrived_at: int) -> ReadStep:
        """Parse one step further; a header section that ends belongs to ``arrived_at``, in ms.

        Raise ``RequestInvalid`` for a request that must be rejected.
        """
        try:
            event = self.http.next_event()
        except h11.RemoteProtocolError as error:
            raise RequestInvalid(error.error_status_hint, str(error)) from error
        if event is h11.NEED_DATA:
            self._check_incomplete_event()
            return ReadStep.NOTHING
        self._account.unparsed.record_event()
        if isinstance(event, h11.Request):
            self._read_head(event, arrived_at)
            return ReadStep.HEAD
        if isinstance(event, h11.Data):
            self._account.body.add(event.data)
            self._check_body(self._account.body.size_bytes)
            return ReadStep.DATA
        if isinstance(event, h11.EndOfMessage):
            self._account.unparsed.settle(self.http.trailing_data[0])
            return ReadStep.END
        return ReadStep.NOTHING

    def take_request(self) -> InboundRequest:
        """Return the current request with its body, at its end."""
        assert self.request is not None
        self.request = replace(self.request, body=self._account.body.take())
        return self.request

    def clear(self) -> None:
        """Forget the current request and all received bytes; nothing can be read any more."""
        self.http = h11.Connection(h11.SERVER)
        self.request = None
        self._account.drop_request()

    def _check_incomplete_event(self) -> None:
        """Reject a head, or the size line of a chunk, that is too long before it has ended."""
        unparsed = self._account.unparsed
        if unparsed.is_estimate:
            unparsed.settle(self.http.trailing_data[0])
        if unparsed.size_bytes > self._get_limits().header_bytes:
            raise RequestInvalid(431, TOO_LONG)

    def _read_head(self, event: h11.Request, arrived_at: int) -> None:
        headers = tuple(event.headers.raw_items())
        head_bytes = count_head_bytes(event.target, headers)
        if head_bytes > self._get_limits().header_bytes:
            raise RequestInvalid(431, TOO_LONG)
        if has_ambiguous_framing(headers):
            raise RequestInvalid(400, AMBIGUOUS_FRAMING)
        self._check_body(find_declared_bytes(headers))
        self._account.add_head(head_bytes, len(headers))
        self.request = InboundRequest(event.method, event.target, headers, arrived_at)

    def _check_body(self, size_bytes: int) -> None:
        limit = self._get_limits().body_bytes
        if size_bytes > limit:
            raise RequestInvalid(413, f"the body is longer than {limit} bytes")
