"""One faulty engine sends a body without end; the machines before it stand still."""

from __future__ import annotations

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import fleet as f

ROUTE_TIMEOUT_MS = 600
SPOILED_EVERY = 20  # one answer in 20 is spoiled: x = 0.05, the largest dose of `garble`
# 65 bytes, the mean size of a piece of a stream on the site's sheet, with no blank line.
CHUNK = f.make_chunk(b"la" * 32 + b" ")
PIECE = CHUNK * 512
EVENTS = 20
LENGTH_S = 40
counter = itertools.count(1)


async def stream(server, request, reader, writer):
    """Answer with a stream of 20 events, or without end if this server is in trouble."""
    writer.write(f.make_head(200, request.id, [
        ("Server-Stamp", f"s.{request.id}"), ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked")]))
    if f.TROUBLE and server.name == "engine-0" and next(counter) % SPOILED_EVERY == 3:
        server.record.say(f"server {server.name} sends bytes without end to {request.id}")
        sent = 0
        try:
            while True:  # until the caller closes
                writer.write(PIECE)
                sent += len(PIECE)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            server.record.say(f"the caller of {request.id} has closed after {sent} bytes")
        return False
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(0.02)
        writer.write(f.make_chunk(f.make_event(number, "x" * 40)))
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


async def look_up(server, request, reader, writer):
    await asyncio.sleep(0.02)
    writer.write(f.make_answer(200, request, b"y" * 800))
    await writer.drain()
    return True


async def case(fleet):
    record = fleet.record
    engines = [f.Server(f"engine-{i}", "engines", record, stream, slots=8) for i in range(6)]
    desks = [f.Server(f"desk-{i}", "desk", record, look_up) for i in range(3)]
    await fleet.start(engines + desks, [("m1", "z1"), ("m2", "z1"), ("m3", "z1"), ("m4", "z1")])
    lookups, unready = [], {gateway.name: 0 for gateway in fleet.gateways}

    async def send_lookups(gateway):
        async def one():
            answer = await f.call(record, gateway, "GET", "/w/1", deadline_ms=ROUTE_TIMEOUT_MS)
            lookups.append((gateway.name, answer))
        while True:
            fleet.run(one())
            await asyncio.sleep(0.1)

    async def send_streams(gateway):
        while True:
            fleet.run(f.call(record, gateway, "POST", "/s/1", b"p" * 1200, 10_000,
                             {"Token-Count": "4960,1650", "Prompt-Prefix": "a1:40,b2:4920", "Model": "m"}, gap_s=2.0))
            await asyncio.sleep(0.33)

    async def probe(gateway):
        misses = 0
        while True:
            began = record.now()
            misses = 0 if await gateway.query_ready() == 200 else misses + 1
            if misses:
                unready[gateway.name] += 1
                record.say(f"{gateway.name} misses readiness probe {misses}")
            await asyncio.sleep(max(0, 1 - (record.now() - began) / 1000))

    for gateway in fleet.gateways:
        for work in (send_lookups(gateway), send_streams(gateway), probe(gateway)):
            fleet.run(work)
    began = record.now()
    await asyncio.sleep(LENGTH_S)
    # Those sent in the last 3 s are left out: they may still have time.
    settled = [one for one in lookups if one[1].sent_at < began + (LENGTH_S - 3) * 1000]
    # CONFIG: of the requests that are still unanswered at their route's timeout, those that have no
    # answer half a second later. The client waits for its deadline, 600 ms, and 1 s more.
    open_at_timeout = [(n, a) for n, a in settled if a.ended_at - a.sent_at > ROUTE_TIMEOUT_MS or a.error]
    late = [(n, a) for n, a in open_at_timeout if a.ended_at - a.sent_at > ROUTE_TIMEOUT_MS + 500]
    record.say(f"lookups {len(settled)}, unanswered at the route's timeout {len(open_at_timeout)},"
               f" half a second later {len(late)}; missed probes {unready}")
    for gateway in fleet.gateways:
        if gateway.process.returncode is not None:
            record.say(f"{gateway.name} has ended")
    return f.BROKEN if len(late) > len(open_at_timeout) / 2 and len(late) >= 8 else f.HELD


if __name__ == "__main__":
    f.main(case, f.make_configuration(
        [f.make_route("s", "/s/", "streaming", "engines", timeout_ms=10_000, target_latency_ms=300,
                      target_gap_ms=250, resumable=True, sticky=True, max_attempts=2),
         f.make_route("w", "/w/", "idempotent", "desk", timeout_ms=ROUTE_TIMEOUT_MS, max_attempts=2)],
        [{"name": "engines", "health_path": "/health", "max_connections": 364, "engine": f.ENGINE},
         {"name": "desk", "health_path": "/health", "max_connections": 100}]))
