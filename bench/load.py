"""Open-loop load generator that runs as a separate process.

Latencies are measured from the scheduled send time, so that a late send counts as latency. The
process reads a plan as JSON from standard input and writes the outcomes as JSON to standard
output. The start of the run is a time of the monotonic clock, which all processes of a machine
share. While the load runs, answers are only collected; they are checked byte for byte afterwards.
"""

from __future__ import annotations

import asyncio
import gc
import json
import sys
import time
from collections import Counter
from dataclasses import asdict, dataclass, field
from typing import Any

from bench.workload import MS_PER_SECOND, Arrival
from standins.answers import answer_text
from standins.client import make_prompt

LATE_ANSWER_MARGIN_MS = 3_000
PREPARATION_MS = 300
MODEL = "assistant"
EXPIRED_CODE = "deadline_exceeded"


@dataclass
class RequestRecord:
    """The state of one request and its response; times are in ms from the start of the run."""

    arrival: Arrival
    sent_ms: float = 0.0
    first_byte_ms: float = 0.0
    last_byte_ms: float = 0.0
    data: bytearray = field(default_factory=bytearray)
    timed_out: bool = False
    connect_failed: bool = False


@dataclass(frozen=True)
class Outcome:
    """How one request ended; latencies are in ms from the scheduled send time."""

    name: str
    team: str
    prompt_tokens: int
    verdict: str
    error: str
    first_token_ms: float
    total_ms: float
    lag_ms: float


class RequestProtocol(asyncio.Protocol):
    """Sends one request and collects the response."""

    def __init__(self, request: bytes, record: RequestRecord, start_s: float) -> None:
        self.request = request
        self.record = record
        self.start_s = start_s
        self.complete = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: Any) -> None:
        """Send the request."""
        self.record.sent_ms = elapsed_ms(self.start_s)
        transport.write(self.request)

    def data_received(self, data: bytes) -> None:
        """Store the data and the times of the first and the last bytes."""
        now_ms = elapsed_ms(self.start_s)
        record = self.record
        record.first_byte_ms = record.first_byte_ms or now_ms
        record.last_byte_ms = now_ms
        record.data += data

    def connection_lost(self, error: Exception | None) -> None:
        """Complete the future that the sender waits for."""
        if not self.complete.done():
            self.complete.set_result(None)


def elapsed_ms(start_s: float) -> float:
    """Return the time in ms since the start of the run."""
    return (time.monotonic() - start_s) * MS_PER_SECOND


def render_request(arrival: Arrival, key: str) -> bytes:
    """Return the HTTP request for an arrival as bytes."""
    prompt = make_prompt(arrival.prompt_tokens, arrival.name)
    body = (
        f'{{"model":"{MODEL}","max_tokens":{arrival.answer_tokens},"stream":true,'
        f'"prompt":"{prompt}"}}'
    ).encode()
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer {key}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        f"X-Deadline-Ms: {arrival.deadline_ms}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body


async def send_request(record: RequestRecord, key: str, port: int, start_s: float) -> None:
    """Send one request at its scheduled time and wait for the end of its answer.

    The request is built ``PREPARATION_MS`` before it is sent.
    """
    arrival = record.arrival
    await asyncio.sleep((arrival.at_ms - PREPARATION_MS - elapsed_ms(start_s)) / MS_PER_SECOND)
    request = render_request(arrival, key)
    await asyncio.sleep((arrival.at_ms - elapsed_ms(start_s)) / MS_PER_SECOND)
    loop = asyncio.get_running_loop()
    try:
        transport, protocol = await loop.create_connection(
            lambda: RequestProtocol(request, record, start_s), "127.0.0.1", port
        )
    except OSError:
        record.connect_failed = True
        return
    timeout_ms = arrival.at_ms + arrival.deadline_ms + LATE_ANSWER_MARGIN_MS - elapsed_ms(start_s)
    try:
        await asyncio.wait_for(protocol.complete, timeout_ms / MS_PER_SECOND)
    except TimeoutError:
        record.timed_out = True
        transport.abort()


async def run_load(plan: dict[str, Any]) -> list[RequestRecord]:
    """Send every arrival of the plan, distributing them over the ports in turn."""
    start_s = plan["start_at_s"]
    arrivals = [Arrival(**arrival) for arrival in plan["arrivals"]]
    records = [RequestRecord(arrival) for arrival in arrivals]
    ports = plan["ports"]
    sends = [
        send_request(record, plan["keys"][record.arrival.team], ports[index % len(ports)], start_s)
        for index, record in enumerate(records)
    ]
    await asyncio.gather(*sends)
    return records


def decode_chunks(body: bytes) -> tuple[bytes, bool]:
    """Decode the chunked transfer coding; also return whether the last chunk arrived."""
    parts: list[bytes] = []
    position = 0
    while True:
        end = body.find(b"\r\n", position)
        if end < 0:
            return b"".join(parts), False
        size = int(body[position:end], 16)
        if size == 0:
            return b"".join(parts), True
        parts.append(body[end + 2 : end + 2 + size])
        position = end + 2 + size + 2


def classify_answer(record: RequestRecord) -> tuple[str, str]:
    """Return the verdict on a response and its error code."""
    if record.connect_failed:
        return "unreachable", ""
    if record.timed_out:
        return "silent", ""
    head, _, body = bytes(record.data).partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200"):
        return classify_refusal(head, body)
    content, complete = decode_chunks(body)
    texts: list[str] = []
    for event in content.split(b"\n\n"):
        if not event.startswith(b"data: ") or event == b"data: [DONE]":
            continue
        value = json.loads(event[6:])
        if "error" in value:
            return "failed", value["error"]["code"]
        texts.append(value["choices"][0]["text"])
    arrival = record.arrival
    prompt = make_prompt(arrival.prompt_tokens, arrival.name).encode()
    expected_text = answer_text(MODEL, prompt, arrival.answer_tokens)
    text = "".join(texts)
    if not expected_text.startswith(text):
        return "wrong", ""
    if text != expected_text or not complete or not content.endswith(b"data: [DONE]\n\n"):
        return "incomplete", ""
    total_ms = record.last_byte_ms - arrival.at_ms
    return ("in_time" if total_ms <= arrival.deadline_ms else "late"), ""


def classify_refusal(head: bytes, body: bytes) -> tuple[str, str]:
    """Return the verdict and the error code of a response whose status is not 200."""
    if not head:
        return "incomplete", ""
    try:
        code = json.loads(body)["error"]["code"]
    except ValueError:
        return "incomplete", ""
    return ("expired" if code == EXPIRED_CODE else "refused"), code


def build_outcome(record: RequestRecord) -> Outcome:
    """Return the outcome of one request."""
    arrival = record.arrival
    verdict, error = classify_answer(record)
    return Outcome(
        name=arrival.name,
        team=arrival.team,
        prompt_tokens=arrival.prompt_tokens,
        verdict=verdict,
        error=error,
        first_token_ms=record.first_byte_ms - arrival.at_ms,
        total_ms=record.last_byte_ms - arrival.at_ms,
        lag_ms=record.sent_ms - arrival.at_ms,
    )


def main() -> None:
    """Run the plan from standard input."""
    plan = json.loads(sys.stdin.read())
    gc.disable()
    records = asyncio.run(run_load(plan))
    outcomes = [build_outcome(record) for record in records]
    cpu_s = time.process_time()
    counts = Counter(outcome.verdict for outcome in outcomes)
    result = {"outcomes": [asdict(o) for o in outcomes], "cpu_s": cpu_s, "counts": counts}
    sys.stdout.write(json.dumps(result))


if __name__ == "__main__":
    main()
