"""Behaviours of upstreams that serve, break off or spoil a stream of five events."""

import asyncio
import dataclasses
import socket
import struct

from tests.gateway_scripts import stay_silent

LAST_EVENT = 5
# Lets the gateway read what was written before the connection is reset.
RESET_PAUSE_S = 0.005
EVENT_STREAM = "text/event-stream"


def make_event(number):
    """Return one event of the stream, with the id ``number``."""
    return b"id: %d\ndata: e%d\n\n" % (number, number)


WHOLE_STREAM = b"".join(make_event(number) for number in range(1, LAST_EVENT + 1))


def reset_connection(writer):
    """Close a connection with a TCP reset instead of an orderly end."""
    linger_for_no_time = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_for_no_time)
    writer.transport.abort()


@dataclasses.dataclass(frozen=True)
class StreamAnswer:
    """An answer to a request for a stream.

    ``body`` may be a function of the id of the last event that the caller has. ``framing`` is
    "chunked", "length", "close" or "none"; ``end`` is "whole", "close", "reset" or "silence".
    """

    body: object = b""
    status: int = 200
    framing: str = "chunked"
    end: str = "whole"
    signed: bool = True
    content_type: str | None = EVENT_STREAM
    headers: tuple[str, ...] = ()
    before: bytes = b""
    request_id: str | None = None

    async def write(self, arrival):
        """Write the answer, and end its connection if it ends with it."""
        last = int(arrival.headers.get("last-event-id", 0))
        body = self.body(last) if callable(self.body) else self.body
        await arrival.write(self.before + self._format_head(arrival, body))
        if body:
            await arrival.write(
                b"%x\r\n%s\r\n" % (len(body), body) if self.framing == "chunked" else body
            )
        if self.end == "whole" and self.framing == "chunked":
            await arrival.write(b"0\r\n\r\n")
        if self.end == "silence":
            await stay_silent(arrival)
        if self.end == "reset":
            await asyncio.sleep(RESET_PAUSE_S)
            reset_connection(arrival.writer)
        if self.end == "close" or (self.end == "whole" and self.framing == "close"):
            arrival.writer.close()
            await arrival.writer.wait_closed()

    def _format_head(self, arrival, body):
        request_id = self.request_id or arrival.headers["request-id"]
        rows = [f"HTTP/1.1 {self.status} X", f"Request-Id: {request_id}"]
        if self.signed:
            rows.append(f"Server-Stamp: stamp-{arrival.upstream}")
        if self.content_type is not None:
            rows.append(f"Content-Type: {self.content_type}")
        if self.framing == "chunked":
            rows.append("Transfer-Encoding: chunked")
        if self.framing == "length":
            missing = 10 if self.end != "whole" else 0
            rows.append(f"Content-Length: {len(body) + missing}")
        return "\r\n".join((*rows, *self.headers, "", "")).encode()


def list_events(first, last=LAST_EVENT):
    """Return a body that holds these events."""
    return b"".join(make_event(number) for number in range(first, last + 1))


def events_after(last):
    """Return the events that a caller with event ``last`` still needs."""
    return list_events(last + 1)


SOUND = StreamAnswer(events_after)


class Sequence:
    """Answers the sends of a request, wherever they arrive, by one behaviour after the other.

    The last behaviour answers all further sends. ``used`` counts the behaviours that were used.
    """

    def __init__(self, *answers):
        self.answers = answers
        self.used = 0

    async def serve(self, arrival):
        """Answer one send."""
        self.used += 1
        await self.get_last().write(arrival)

    def get_last(self):
        """Return the behaviour that answered the last send."""
        return self.answers[min(self.used, len(self.answers)) - 1]
