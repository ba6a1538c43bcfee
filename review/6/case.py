"""EVAC: an evacuation that is taken back and requested again ends at instances that others feed."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from gateways import BOUNDS, Gateway, find_ips, run_case, run_gateways, start_all
from stand_ins import Record, Server, Store, now_s

# Bounds of the site that the claim names.
BOUNDS.update(contact_ms=4000, drain_ms=3000, config_apply_ms=3000, extra_retries=238)
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"z0": "r", "z1": "r"}
GATEWAYS = 10
HOST, KEY = "app.example", "k-blue-1"
WATCH_S = 50.0
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
CONFIGURATION = {
    "version": 3,
    "routes": [ROUTE],
    "services": [{"name": "app", "health_path": "/health", "max_connections": 500}],
    "limits": {},
    "tenants": [{"name": "blue", "api_keys": [KEY], "priority": 0}],
}


async def send_steadily(gateway: Gateway, until_s: float) -> None:
    """Send one request after the other to a gateway, four a second."""
    number = 0
    while now_s() < until_s:
        number += 1
        await gateway.ask(f"{gateway.name}-{number}", "/r/x", HOST, KEY, 2000, "GET")
        await asyncio.sleep(0.25)


async def main(record: Record) -> bool:
    store = Store(find_ips(1)[0], record)
    await store.listener.start()
    store.put("op", "config", CONFIGURATION)
    servers = [
        Server(ip, f"i-{zone}-{number}", "app", zone, store, record)
        for ip, (zone, number) in zip(
            find_ips(4), [("z0", 0), ("z0", 1), ("z1", 0), ("z1", 1)], strict=True
        )
    ]
    for server in servers:
        await server.start()
    places = {f"front-z0-{n}": "z0" for n in range(GATEWAYS)}
    async with run_gateways(places, ZONES, store.listener.address, record) as gateways:
        return await play(store, servers, gateways, record)


async def play(
    store: Store, servers: list[Server], gateways: list[Gateway], record: Record
) -> bool:
    await start_all(gateways)
    await asyncio.sleep(8.0)
    if TROUBLE:
        store.put("op", "evacuate/z0", {})
        await asyncio.sleep(3.0)
        store.remove("op", "evacuate/z0")
        await asyncio.sleep(3.0)
    acknowledged_s = store.put("op", "evacuate/z0", {})
    until_s = acknowledged_s + WATCH_S
    await asyncio.gather(*(send_steadily(gateway, until_s) for gateway in gateways))
    bound_s = acknowledged_s + BOUNDS["evacuate_ms"] / 1_000
    late = [
        (at_s, server.name, request_id)
        for server in servers
        if server.zone == "z0"
        for at_s, request_id in server.arrivals
        if at_s > bound_s
    ]
    for at_s, name, request_id in sorted(late):
        record.write(f"EVAC: {request_id} reached {name} {at_s - acknowledged_s:.1f} s after")
    senders = {request_id.rsplit("-", 1)[0] for _, _, request_id in late}
    text = f"{len(late)} requests reached the evacuated zone, from {len(senders)} of {GATEWAYS}"
    record.write(f"verdict: {text}")
    print(text)
    return bool(late)


if __name__ == "__main__":
    run_case(main, str(HERE / "record.txt"))
