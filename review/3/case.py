"""A request crashes its servers, which come back at their addresses; the machines forget the crashes."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import fleet as f
from crashing import Crashes, CrashingServer

SERVERS = 6
# "The server is back after some seconds." With BACK_S=5 the old entry is gone before, and the rule holds.
BACK_S = float(os.environ.get("BACK_S", "2.5"))
CONTACT_MS = 3_000
DEADLY_EVERY_S = 2.0
LENGTH_S = 60
DEADLY_PATH = "/w/deadly"


async def answer_lookup(request, writer):
    await asyncio.sleep(0.04)
    writer.write(f.make_answer(200, request, b"y" * 100))
    await writer.drain()
    return True


crashes = Crashes(lambda request: request.path == DEADLY_PATH, answer_lookup, BACK_S)


async def case(fleet):
    record = fleet.record
    servers = [CrashingServer(fleet, "desk", crashes, slots=6) for _ in range(SERVERS)]
    await fleet.start(servers, [(f"m{i}", "z1") for i in range(1, 5)])
    sound = []

    async def look_up(gateway):
        sound.append(await f.call(record, gateway, "GET", f"/w/{f.make_id()}", deadline_ms=600))

    async def press(gateway):
        while True:
            fleet.run(look_up(gateway))
            await asyncio.sleep(crashes.draw.uniform(0.1, 0.2))

    for gateway in fleet.gateways:
        fleet.run(press(gateway))
    await asyncio.sleep(3)
    number, ends_at = 0, record.now() + LENGTH_S * 1000
    while record.now() < ends_at:
        gateway = crashes.draw.choice(fleet.gateways)
        answer = await f.call(record, gateway, "GET", DEADLY_PATH, deadline_ms=600)
        record.say(f"deadly request {number} at {gateway.name}: {answer.status}")
        number += 1
        await asyncio.sleep(DEADLY_EVERY_S)
    failed = sum(answer.status != 200 for answer in sound)
    record.say(f"{len(crashes.at)} crashes; {len(sound)} sound requests, {failed} of them not served")
    # BUDGET counts retries: the strictest reading leaves out the first arrival of each attempt.
    late = crashes.list_late(3, CONTACT_MS)
    retries = len(late) - len({one for _, one in late})
    record.say(f"later than contact_ms after the third crash: {len(late)} arrivals of the deadly request,"
               f" {retries} beyond the first of their attempt; 3 allowed")
    return f.BROKEN if retries > 3 else f.HELD


if __name__ == "__main__":
    f.main(case, f.make_configuration(
        [f.make_route("w", "/w/", "idempotent", "desk", max_attempts=2)],
        [{"name": "desk", "health_path": "/health", "max_connections": 100}]))
