"""BUDGET: a request that crashes servers after some events of its stream is never found."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from crashing import HOST, KEY, PLACES, ZONES, judge, list_crashes, send_sound
from gateways import BOUNDS, CannotRun, Gateway, find_ips, run_case, run_gateways, start_all
from stand_ins import Engine, Record, Store, now_s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# How many events a server writes of the request before it crashes.
CRASH_EVENTS = int(os.environ.get("CRASH_EVENTS", "3"))
SERVERS = 14
DEADLY = "/s/deadly"
DEADLY_EVERY_S = 3.0
PLAY_S = 50.0
ENGINE = {
    "slots": 8,
    "kv_capacity": 315_000,
    "step_ms": 0.85,
    "per_seq_ms": 0.0085,
    "context_per_k": 0.00285,
    "read_per_s": 177_000.0,
    "pairs_per_m": 0.184,
    "chunk": 2_048,
    "stride": 51,
    "usual": {"prompt": 11_108, "answer": 1_622},
}
ROUTE = {
    "name": "note",
    "host": HOST,
    "prefix": "/s/",
    "kind": "streaming",
    "service": "engines",
    "timeout_ms": 10_000,
    "target_latency_ms": 300,
    "target_gap_ms": 250,
    "priority": 1,
    "max_attempts": 2,
    "public": False,
    "sticky": True,
    "resumable": True,
}
POSTING = {
    "name": "posting",
    "host": HOST,
    "prefix": "/o/",
    "kind": "non_idempotent",
    "service": "engines",
    "timeout_ms": 2_000,
    "target_latency_ms": 200,
    "priority": 1,
    "max_attempts": 1,
    "public": False,
}
CONFIGURATION = {
    "version": 3,
    "routes": [ROUTE, POSTING],
    "services": [
        {"name": "engines", "health_path": "/health", "max_connections": 364, "engine": ENGINE}
    ],
    "limits": {},
    "tenants": [{"name": "blue", "api_keys": [KEY], "priority": 0}],
}


async def send_deadly(gateways: list[Gateway]) -> None:
    """Send the same request again and again, each time to the next machine."""
    number, calls = 0, []
    more = {"Model": "m", "Token-Count": "1460,420", "Prompt-Prefix": "5c1e07a2:40,91bd3f06:1420"}
    while True:
        number += 1
        gateway = gateways[number % len(gateways)]
        call = gateway.ask(f"deadly-{number}", DEADLY, HOST, KEY, 10_000, "POST", more)
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(DEADLY_EVERY_S)


async def main(record: Record) -> bool:
    store = Store(find_ips(1)[0], record)
    await store.listener.start()
    store.put("op", "config", CONFIGURATION)
    zones = list(ZONES)
    servers = [
        Engine(ip, f"i-{number}", "engines", zones[number % len(zones)], store, record)
        for number, ip in enumerate(find_ips(SERVERS))
    ]
    for server in servers:
        server.crashes_on = DEADLY if TROUBLE else ""
        server.crash_events = CRASH_EVENTS
        server.work_ms = 100.0
        await server.start()
    async with run_gateways(PLACES, ZONES, store.listener.address, record) as gateways:
        return await play(servers, gateways, record)


async def play(servers: list[Engine], gateways: list[Gateway], record: Record) -> bool:
    await start_all(gateways)
    await asyncio.sleep(BOUNDS["contact_ms"] / 1_000 + 1.0)
    lost: list[str] = []
    tasks = [asyncio.create_task(send_sound(gateway, lost)) for gateway in gateways]
    tasks.append(asyncio.create_task(send_deadly(gateways)))
    await asyncio.sleep(PLAY_S)
    for task in tasks:
        task.cancel()
    crashes = list_crashes(servers)
    if TROUBLE and len(crashes) < 3:
        raise CannotRun("the request has not crashed three servers")
    bound_s = crashes[2] + BOUNDS["contact_ms"] / 1_000 if crashes else now_s()
    return judge(servers, bound_s, lost, record)


if __name__ == "__main__":
    run_case(main, str(HERE / "record.txt"))
