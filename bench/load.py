"""The load generator, a process of its own: open loop, every latency from the intended send.

It reads a plan as JSON on standard input and writes the outcomes as JSON on standard output. The
start of the run is a reading of the monotonic clock, which all processes of a machine share.
Answers are only collected while the load runs; they are checked byte for byte afterwards.
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
    """One request on its way; times are in ms from the start of the run."""

    arrival: Arrival
    sent_ms: float = 0.0
    first_ms: float = 0.0
    last_ms: float = 0.0
    data: bytearray = field(default_factory=bytearray)
    silent: bool = False
    unreachable: bool = False


@dataclass(frozen=True)
class Outcome:
    """How one request ended. Latencies are in ms from the intended send."""

    name: str
    team: str
    prompt_tokens: int
    verdict: str
    error: str
    first_token_ms: float
    total_ms: float
    lag_ms: float


class RequestProtocol(asyncio.Protocol):
    """Sends one request and collects what comes back."""

    def __init__(self, request: bytes, record: RequestRecord, start: float) -> None:
        self.request = request
        self.record = record
        self.start = start
        self.complete = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: Any) -> None:
        """Send the request."""
        self.record.sent_ms = elapsed_ms(self.start)
        transport.write(self.request)

    def data_received(self, data: bytes) -> None:
        """Keep the bytes and the times of the first and the last."""
        now = elapsed_ms(self.start)
        record = self.record
        record.first_ms = record.first_ms or now
        record.last_ms = now
        record.data += data

    def connection_lost(self, error: Exception | None) -> None:
        """Let the caller go on."""
        if not self.complete.done():
            self.complete.set_result(None)


def elapsed_ms(start: float) -> float:
    """Return the ms since the start of the run."""
    return (time.monotonic() - start) * MS_PER_SECOND


def render_request(arrival: Arrival, key: str) -> bytes:
    """Return the bytes of the HTTP request."""
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


async def send_request(record: RequestRecord, key: str, port: int, start: float) -> None:
    """Send one request at its intended time and wait for the end of its answer."""
    arrival = record.arrival
    await asyncio.sleep((arrival.at_ms - PREPARATION_MS - elapsed_ms(start)) / MS_PER_SECOND)
    request = render_request(arrival, key)
    await asyncio.sleep((arrival.at_ms - elapsed_ms(start)) / MS_PER_SECOND)
    loop = asyncio.get_running_loop()
    try:
        transport, protocol = await loop.create_connection(
            lambda: RequestProtocol(request, record, start), "127.0.0.1", port
        )
    except OSError:
        record.unreachable = True
        return
    timeout_ms = arrival.at_ms + arrival.deadline_ms + LATE_ANSWER_MARGIN_MS - elapsed_ms(start)
    try:
        await asyncio.wait_for(protocol.complete, timeout_ms / MS_PER_SECOND)
    except TimeoutError:
        record.silent = True
        transport.abort()


async def run_load(plan: dict[str, Any]) -> list[RequestRecord]:
    """Send every arrival of the plan, spread over the ports in turn."""
    start = plan["start_at_s"]
    arrivals = [Arrival(**arrival) for arrival in plan["arrivals"]]
    records = [RequestRecord(arrival) for arrival in arrivals]
    ports = plan["ports"]
    sends = [
        send_request(record, plan["keys"][record.arrival.team], ports[index % len(ports)], start)
        for index, record in enumerate(records)
    ]
    await asyncio.gather(*sends)
    return records


def decode_chunks(body: bytes) -> tuple[bytes, bool]:
    """Undo the chunked coding; tell whether the last chunk came."""
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
    """Return the verdict on an answer and its error code."""
    if record.unreachable:
        return "unreachable", ""
    if record.silent:
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
    total_ms = record.last_ms - arrival.at_ms
    return ("in_time" if total_ms <= arrival.deadline_ms else "late"), ""


def classify_refusal(head: bytes, body: bytes) -> tuple[str, str]:
    """Return the verdict on an answer that is no 200."""
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
        first_token_ms=record.first_ms - arrival.at_ms,
        total_ms=record.last_ms - arrival.at_ms,
        lag_ms=record.sent_ms - arrival.at_ms,
    )


def main() -> None:
    """Run one plan."""
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
