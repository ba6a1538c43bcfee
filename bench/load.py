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

from bench.demand import MS_PER_SECOND, Arrival
from standins.answers import answer_text
from standins.client import make_prompt

LATE_MARGIN_MS = 3_000
PREPARE_MS = 300
MODEL = "assistant"
EXPIRED_CODE = "deadline_exceeded"


@dataclass
class Exchange:
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


class Reader(asyncio.Protocol):
    """Sends one request and collects what comes back."""

    def __init__(self, request: bytes, exchange: Exchange, start: float) -> None:
        self.request = request
        self.exchange = exchange
        self.start = start
        self.closed = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: Any) -> None:
        """Send the request."""
        self.exchange.sent_ms = elapsed_ms(self.start)
        transport.write(self.request)

    def data_received(self, data: bytes) -> None:
        """Keep the bytes and the times of the first and the last."""
        now = elapsed_ms(self.start)
        exchange = self.exchange
        exchange.first_ms = exchange.first_ms or now
        exchange.last_ms = now
        exchange.data += data

    def connection_lost(self, error: Exception | None) -> None:
        """Let the caller go on."""
        if not self.closed.done():
            self.closed.set_result(None)


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


async def ask(exchange: Exchange, key: str, port: int, start: float) -> None:
    """Send one request at its intended time and wait for the end of its answer."""
    arrival = exchange.arrival
    await asyncio.sleep((arrival.at_ms - PREPARE_MS - elapsed_ms(start)) / MS_PER_SECOND)
    request = render_request(arrival, key)
    await asyncio.sleep((arrival.at_ms - elapsed_ms(start)) / MS_PER_SECOND)
    loop = asyncio.get_running_loop()
    try:
        transport, reader = await loop.create_connection(
            lambda: Reader(request, exchange, start), "127.0.0.1", port
        )
    except OSError:
        exchange.unreachable = True
        return
    limit_ms = arrival.at_ms + arrival.deadline_ms + LATE_MARGIN_MS - elapsed_ms(start)
    try:
        await asyncio.wait_for(reader.closed, limit_ms / MS_PER_SECOND)
    except TimeoutError:
        exchange.silent = True
        transport.abort()


async def run_load(plan: dict[str, Any]) -> list[Exchange]:
    """Send every arrival of the plan, spread over the ports in turn."""
    start = plan["start_at_s"]
    arrivals = [Arrival(**arrival) for arrival in plan["arrivals"]]
    exchanges = [Exchange(arrival) for arrival in arrivals]
    ports = plan["ports"]
    asks = [
        ask(exchange, plan["keys"][exchange.arrival.team], ports[number % len(ports)], start)
        for number, exchange in enumerate(exchanges)
    ]
    await asyncio.gather(*asks)
    return exchanges


def join_chunks(body: bytes) -> tuple[bytes, bool]:
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


def judge(exchange: Exchange) -> tuple[str, str]:
    """Return the verdict on an answer and its error code."""
    if exchange.unreachable:
        return "unreachable", ""
    if exchange.silent:
        return "silent", ""
    head, _, body = bytes(exchange.data).partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200"):
        return judge_refusal(head, body)
    content, closed = join_chunks(body)
    texts: list[str] = []
    for event in content.split(b"\n\n"):
        if not event.startswith(b"data: ") or event == b"data: [DONE]":
            continue
        value = json.loads(event[6:])
        if "error" in value:
            return "failed", value["error"]["code"]
        texts.append(value["choices"][0]["text"])
    arrival = exchange.arrival
    prompt = make_prompt(arrival.prompt_tokens, arrival.name).encode()
    wanted = answer_text(MODEL, prompt, arrival.answer_tokens)
    text = "".join(texts)
    if not wanted.startswith(text):
        return "wrong", ""
    if text != wanted or not closed or not content.endswith(b"data: [DONE]\n\n"):
        return "incomplete", ""
    total_ms = exchange.last_ms - arrival.at_ms
    return ("in_time" if total_ms <= arrival.deadline_ms else "late"), ""


def judge_refusal(head: bytes, body: bytes) -> tuple[str, str]:
    """Return the verdict on an answer that is no 200."""
    if not head:
        return "incomplete", ""
    try:
        code = json.loads(body)["error"]["code"]
    except ValueError:
        return "incomplete", ""
    return ("expired" if code == EXPIRED_CODE else "refused"), code


def describe(exchange: Exchange) -> Outcome:
    """Return the outcome of one request."""
    arrival = exchange.arrival
    verdict, error = judge(exchange)
    return Outcome(
        name=arrival.name,
        team=arrival.team,
        prompt_tokens=arrival.prompt_tokens,
        verdict=verdict,
        error=error,
        first_token_ms=exchange.first_ms - arrival.at_ms,
        total_ms=exchange.last_ms - arrival.at_ms,
        lag_ms=exchange.sent_ms - arrival.at_ms,
    )


def main() -> None:
    """Run one plan."""
    plan = json.loads(sys.stdin.read())
    gc.disable()
    exchanges = asyncio.run(run_load(plan))
    outcomes = [describe(exchange) for exchange in exchanges]
    cpu_s = time.process_time()
    counts = Counter(outcome.verdict for outcome in outcomes)
    result = {"outcomes": [asdict(o) for o in outcomes], "cpu_s": cpu_s, "counts": counts}
    sys.stdout.write(json.dumps(result))


if __name__ == "__main__":
    main()
