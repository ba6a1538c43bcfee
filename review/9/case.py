"""BUDGET: a request that crashes servers is sent again after all instances were killed at once."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from crashing import CONFIGURATION, HOST, KEY, PLACES, ZONES, judge, list_crashes, send_sound
from gateways import BOUNDS, CannotRun, Gateway, find_ips, run_case, run_gateways, start_all
from stand_ins import Record, Server, Store, now_s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVERS = 9
DEADLY = "/r/deadly"
ROUNDS = 4


async def send_deadly(gateways: list[Gateway], first: int) -> None:
    """Send the request to two machines, as two of its clients would."""
    pair = [gateways[(first + offset) % len(gateways)] for offset in (0, 1)]
    calls = [one.ask(f"deadly-{first}-{one.name}", DEADLY, HOST, KEY, 2000, "GET") for one in pair]
    await asyncio.gather(*calls)


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
    async with run_gateways(PLACES, ZONES, store.listener.address, record) as gateways:
        return await play(servers, gateways, record)


async def play(servers: list[Server], gateways: list[Gateway], record: Record) -> bool:
    contact_s = BOUNDS["contact_ms"] / 1_000
    await start_all(gateways)
    await asyncio.sleep(contact_s + 1.0)
    for number in range(4):
        await send_deadly(gateways, number)
        await asyncio.sleep(1.0)
    crashes = list_crashes(servers)
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
    return judge(servers, counted_from_s, lost, record)


if __name__ == "__main__":
    run_case(main, str(HERE / "record.txt"))
