"""Measures what a received byte of an answer costs, by the size of the pieces in which it arrives.

``python -m bench.received_bytes`` parses 100 KB of a stream in chunks of each size and prints
the processor time for a byte of its body. No sockets: it is the work that the event loop does.
"""

from __future__ import annotations

import time
from dataclasses import dataclass

import h11

from lentilwell.gateway._answer_parser import AnswerParser
from lentilwell.gateway._event_stream import MAX_EVENT_BYTES, EventSequence, StreamPart
from lentilwell.gateway._input_allowance import InputAllowance

PIECE_BYTES = (1, 8, 64, 512, 4_096, 65_536)
BODY_BYTES = 100_000
RUNS = 2
NS_PER_S = 1_000_000_000
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# Pieces this small exceed the allowance of a real answer long before their end.
NO_BOUND_BYTES = 64 * BODY_BYTES


@dataclass(frozen=True)
class Body:
    """A kind of body: what it repeats, and the name of the kind."""

    name: str
    text: bytes


BODIES = (
    Body("an event without end", b"x" * BODY_BYTES),
    Body("events of 70 bytes", (b"data: " + b"x" * 62 + b"\n\n") * (BODY_BYTES // 70)),
    Body("events of 3 bytes", b":\n\n" * (BODY_BYTES // 3)),
    Body("line feeds", b"\n" * BODY_BYTES),
)


def measure_ns_per_byte(body: Body, piece_bytes: int) -> float:
    """Return the least processor time of some runs, in ns for each byte of the body."""
    return min(_measure_once(body, piece_bytes) for _ in range(RUNS))


def _measure_once(body: Body, piece_bytes: int) -> float:
    parser = AnswerParser(InputAllowance(NO_BOUND_BYTES))
    parser.format_request(b"GET", b"/", ((b"Host", b"a"),), b"")
    part = StreamPart(EventSequence(None), resumed=False)
    text = body.text[:MAX_EVENT_BYTES]
    pieces = (text[begin : begin + piece_bytes] for begin in range(0, len(text), piece_bytes))
    chunks = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces]
    began_s = time.process_time()
    parser.receive(HEAD)
    for chunk in chunks:
        parser.receive(chunk)
        while (event := parser.read_event()) is not None:
            if isinstance(event, h11.Data):
                for _ in part.read_events(bytes(event.data)):
                    pass
    return (time.process_time() - began_s) * NS_PER_S / len(text)


def main() -> None:
    """Print a row for each kind of body, and a column for each size of pieces."""
    print("| ns a byte, pieces of | " + " | ".join(f"{size:,} B" for size in PIECE_BYTES) + " |")
    print("|---" * (len(PIECE_BYTES) + 1) + "|")
    for body in BODIES:
        costs = [f"{measure_ns_per_byte(body, size):,.0f}" for size in PIECE_BYTES]
        print(f"| {body.name} | " + " | ".join(costs) + " |")


if __name__ == "__main__":
    main()
