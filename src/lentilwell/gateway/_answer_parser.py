"""Parses the answers on a connection to an upstream. No I/O.

Received bytes wait here and reach the HTTP parser in small pieces, so that one step of parsing is
short however many bytes have arrived at once.
"""

from __future__ import annotations

import h11

from lentilwell.gateway._failures import ConnectionBroken
from lentilwell.gateway._input_allowance import InputAllowance
from lentilwell.gateway._messages import Headers

# The most bytes that one step of parsing takes.
STEP_BYTES = 2_048


class AnswerParser:
    """Formats requests and parses their answers, one at a time.

    ``allowance`` bounds what may come before it is renewed.
    """

    def __init__(self, allowance: InputAllowance) -> None:
        self._allowance = allowance
        self._http = h11.Connection(h11.CLIENT)
        self._unparsed = bytearray()
        self._ended = False

    @property
    def unparsed_bytes(self) -> int:
        """Return how many received bytes wait to be parsed."""
        return len(self._unparsed)

    def format_request(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> tuple[bytes, bytes]:
        """Return the header section and the body of a complete request, as they are sent.

        Raise ``h11.LocalProtocolError`` for one that cannot be encoded.
        """
        request = h11.Request(method=method, target=target, headers=list(headers))
        head = self._http.send(request) or b""
        data = self._http.send(h11.Data(data=body)) if body else b""
        end = self._http.send(h11.EndOfMessage())
        return head, data + end if data and end else data or end or b""

    def receive(self, data: bytes) -> None:
        """Add received bytes."""
        self._unparsed += data

    def clear(self) -> None:
        """Forget the received bytes that are not parsed yet."""
        self._unparsed.clear()

    def end(self) -> None:
        """Record that no further bytes will come."""
        self._ended = True

    def read_event(self) -> h11.Event | type[h11.PAUSED] | None:
        """Return the next part of the answer, None if it takes further bytes.

        Raise ``ConnectionBroken`` if the bytes are not a valid answer or exceed the allowance.
        """
        try:
            while (event := self._http.next_event()) is h11.NEED_DATA:
                if not self._parse_further():
                    return None
        except h11.RemoteProtocolError as error:
            raise ConnectionBroken(str(error)) from error
        self._allowance.spend_piece(len(event.data) if isinstance(event, h11.Data) else 0)
        return event  # type: ignore[return-value]

    def start_next(self) -> bool:
        """Prepare for the next request; return False if none can follow on the connection."""
        both_done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if not both_done or self._unparsed or self._http.trailing_data[0]:
            return False
        self._http.start_next_cycle()
        return True

    def _parse_further(self) -> bool:
        """Pass waiting bytes, or the end of the connection, to the HTTP parser."""
        if self._unparsed:
            data = bytes(self._unparsed[:STEP_BYTES])
            del self._unparsed[:STEP_BYTES]
            self._allowance.spend_wire(len(data))
            self._http.receive_data(data)
            return True
        if self._ended and not self._http.trailing_data[1]:
            self._http.receive_data(b"")
            return True
        return False
