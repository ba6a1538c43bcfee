"""BUDGET: a request that crashes servers is sent again after all instances were killed at once."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from gateways import BOUNDS, CannotRun, Gateway, find_ips, run_case, start_all
from stand_ins import Record, Server, Store, now_s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"z0": "r", "z1": "r", "z2": "r"}
PLACES = ("z0", "z0", "z1", "z2")
SERVERS = 9
HOST, KEY = "app.example", "k-blue-1"
DEADLY = "/r/deadly"
MAX_RETRIES = 3
ROUNDS = 4
ROUTE = {
    "name": "lookup",
    "host": HOST,
    "prefix": "/r/",
    "kind": "idempotent",
    "service": "app",
    "timeout_ms": 2000,
    "target_latency_ms": 200,
    "priority": 1,
    "max_attempts": 2,
    "public": False,
}
POSTING = {
    **ROUTE,
    "name": "posting",
    "prefix": "/o/",
    "kind": "non_idempotent",
    "max_attempts": 1,
}
CONFIGURATION = {
    "version": 3,
    "routes": [ROUTE, POSTING],
    "services": [{"name": "app", "health_path": "/health", "max_connections": 500}],
    "limits": {},
    "tenants": [{"name": "blue", "api_keys": [KEY], "priority": 0}],
}


async def send_deadly(gateways: list[Gateway], first: int) -> None:
    """Send the request to two machines, as two of its clients would."""
    pair = [gateways[(first + offset) % len(gateways)] for offset in (0, 1)]
    calls = [one.ask(f"deadly-{first}-{one.name}", DEADLY, HOST, KEY, 2000, "GET") for one in pair]
    await asyncio.gather(*calls)


async def send_sound(gateway: Gateway, lost: list[str]) -> None:
    """Send sound postings, each of which may run once only; note those that get no answer of it."""
    number, calls = 0, []

    async def send(request_id: str) -> None:
        answer = await gateway.ask(request_id, f"/o/{request_id}", HOST, KEY, 2000, "POST")
        if answer is None or answer.status in (502, 504):
            lost.append(request_id)

    while True:
        number += 1
        calls.append(asyncio.create_task(send(f"sound-{gateway.name}-{number}")))
        await asyncio.sleep(0.1)


async def main(record: Record) -> bool:
    store = Store(find_ips(1)[0], record)
    await store.listener.start()
    store.put("op", "config", CONFIGURATION)
    zones = list(ZONES)
    servers = [
        Server(ip, f"i-{number}", "app", zones[number % len(zones)], store, record)
        for number, ip in enumerate(find_ips(SERVERS))
    ]
    for server in servers:
        server.crashes_on = DEADLY
        server.work_ms = 100.0
        await server.start()
    with tempfile.TemporaryDirectory() as folder:
        gateways = [
            Gateway(Path(folder), f"front-{n}", zone, ZONES, store.listener.address, record)
            for n, zone in enumerate(PLACES)
        ]
        try:
            return await play(servers, gateways, record)
        finally:
            for gateway in gateways:
                await gateway.kill()


async def play(servers: list[Server], gateways: list[Gateway], record: Record) -> bool:
    contact_s = BOUNDS["contact_ms"] / 1_000
    await start_all(gateways)
    await asyncio.sleep(contact_s + 1.0)
    for number in range(4):
        await send_deadly(gateways, number)
        await asyncio.sleep(1.0)
    crashes = sorted(at_s for server in servers for at_s in server.crashed_at)
    if len(crashes) < 3:
        raise CannotRun("the request has not crashed three servers")
    await asyncio.sleep(contact_s + 1.0)
    if TROUBLE:
        await asyncio.gather(*(gateway.kill() for gateway in gateways))
        await start_all(gateways)
    in_touch_s = max(gateway.started_at for gateway in gateways) + contact_s
    await asyncio.sleep(max(0.0, in_touch_s + 1.0 - now_s()))
    counted_from_s = now_s()
    assert counted_from_s > crashes[2] + contact_s
    record.write(f"all machines are in touch; the third crash was at {crashes[2]:.3f} s")
    lost: list[str] = []
    sound = [asyncio.create_task(send_sound(gateway, lost)) for gateway in gateways]
    for number in range(ROUNDS):
        await asyncio.sleep(1.0)
        await send_deadly(gateways, 10 + number)
        await asyncio.sleep(1.0)
    for task in sound:
        task.cancel()
    again = [
        (at_s, server.name, request_id)
        for server in servers
        for at_s, request_id in server.arrivals
        if at_s > counted_from_s and request_id.startswith("deadly")
    ]
    for at_s, name, request_id in sorted(again):
        record.write(f"BUDGET: {request_id} reached {name} at {at_s:.3f} s")
    text = f"{len(again)} retries after the third crash, {MAX_RETRIES} are allowed"
    text += f"; {len(lost)} sound postings had no answer of the server that ran them"
    record.write(f"verdict: {text}")
    print(text)
    return len(again) > MAX_RETRIES


if __name__ == "__main__":
    run_case(main, str(HERE / "record.txt"))
