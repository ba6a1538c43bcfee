"""A part of prompts crashes servers; it stands behind the 64th part and is never found."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import fleet as f
from crashing import Crashes, CrashingServer

SERVERS = 8
BACK_S = 5.0  # the entry of the crashed incarnation is gone by then
CONTACT_MS = 3_000
DEADLY_EVERY_S = 3.0
LENGTH_S = 60
# Parts before the deadly one. With DEADLY_AT=60 it is among the first 64, and the rule holds.
DEADLY_AT = int(os.environ.get("DEADLY_AT", "70"))
SHARED = [f"{0xa0000000 + number:08x}:60" for number in range(DEADLY_AT)]
DEADLY = "dead0bad"


async def answer_stream(request, writer):
    writer.write(f.make_head(200, request.id, [
        ("Server-Stamp", f"s.{request.id}"), ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked")]))
    for number in range(1, 11):
        await asyncio.sleep(0.02)
        writer.write(f.make_chunk(f.make_event(number, "x" * 40)))
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


crashes = Crashes(lambda request: DEADLY in request.headers.get("prompt-prefix", ""), answer_stream, BACK_S)


async def case(fleet):
    record = fleet.record
    servers = [CrashingServer(fleet, "engines", crashes) for _ in range(SERVERS)]
    await fleet.start(servers, [(f"m{i}", "z1") for i in range(1, 5)])
    sound = []

    async def stream(gateway, deadly):
        parts = [*SHARED, *([f"{DEADLY}:60"] if deadly else []), f"{f.make_id()}:300"]
        tokens = sum(int(part.partition(":")[2]) for part in parts)
        return await f.call(record, gateway, "POST", "/s/1", b"p" * 1200, 10_000,
                            {"Token-Count": f"{tokens},500", "Prompt-Prefix": ",".join(parts), "Model": "m"}, gap_s=2.0)

    async def press(gateway):
        while True:
            fleet.run(keep(gateway))
            await asyncio.sleep(crashes.draw.uniform(0.2, 0.4))

    async def keep(gateway):
        sound.append(await stream(gateway, False))

    for gateway in fleet.gateways:
        fleet.run(press(gateway))
    await asyncio.sleep(3)
    number, ends_at = 0, record.now() + LENGTH_S * 1000
    while record.now() < ends_at:
        gateway = crashes.draw.choice(fleet.gateways)
        answer = await stream(gateway, True)
        record.say(f"request {number} with the deadly part at {gateway.name}: {answer.status}")
        number += 1
        await asyncio.sleep(DEADLY_EVERY_S)
    failed = sum(not answer.whole or answer.status != 200 for answer in sound)
    late = crashes.list_late(5, CONTACT_MS)
    record.say(f"{len(crashes.at)} crashes; {len(sound)} sound requests, {failed} of them not served whole")
    record.say(f"later than contact_ms after the fifth crash: {len(late)} requests with the part; 3 allowed")
    return f.BROKEN if len(late) > 3 else f.HELD


if __name__ == "__main__":
    f.main(case, f.make_configuration(
        [f.make_route("s", "/s/", "streaming", "engines", timeout_ms=10_000, target_latency_ms=300,
                      target_gap_ms=250, resumable=True, sticky=True, max_attempts=2)],
        [{"name": "engines", "health_path": "/health", "max_connections": 364, "engine": f.ENGINE}]))
