"""BUDGET: copies of a request that crashes servers, sent at once, are sent again later."""

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
SERVERS = 10
DEADLY = "/r/deadly"
WAVES = 3


async def send_copies(gateways: list[Gateway], wave: int) -> None:
    """Send the request and three copies of it, one to each machine.

    A client that repeats sends them at once; without the trouble, one follows the other.
    """
    for number, gateway in enumerate(gateways):
        request_id = f"deadly-{wave}-{number}"
        one = asyncio.create_task(gateway.ask(request_id, DEADLY, HOST, KEY, 2000, "GET"))
        if not TROUBLE:
            await one
            await asyncio.sleep(0.2)
    await asyncio.sleep(1.0)


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
    await send_copies(gateways, 0)
    crashes = list_crashes(servers)
    if len(crashes) < 3:
        raise CannotRun("the request has not crashed three servers")
    # All servers are back by then.
    await asyncio.sleep(max(0.0, crashes[-1] + contact_s + 2.0 - now_s()))
    counted_from_s = now_s()
    record.write(f"the third crash was at {crashes[2]:.3f} s")
    lost: list[str] = []
    sound = [asyncio.create_task(send_sound(gateway, lost)) for gateway in gateways]
    for wave in range(1, WAVES + 1):
        await asyncio.sleep(1.0)
        await send_copies(gateways, wave)
        await asyncio.sleep(2.0)
    for task in sound:
        task.cancel()
    return judge(servers, counted_from_s, lost, record)


if __name__ == "__main__":
    run_case(main, str(HERE / "record.txt"))
