"""DRAIN: a server that started and began to drain shortly after is used again as if it were ready."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from gateways import BOUNDS, Gateway, find_ips, run_case, start_all
from stand_ins import Record, Server, Store, now_s

# Bounds of the site that the claim names.
BOUNDS.update(contact_ms=4000, drain_ms=3000, config_apply_ms=3000, extra_retries=238)
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"z0": "r"}
GATEWAYS = 10
HOST, KEY = "app.example", "k-blue-1"
# The server goes on serving for so long after its report, and then exits.
LINGER_S = 30.0
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
    """Send one request after the other to a gateway, two a second."""
    number = 0
    while now_s() < until_s:
        number += 1
        await gateway.ask(f"{gateway.name}-{number}", "/r/x", HOST, KEY, 2000, "GET")
        await asyncio.sleep(0.5)


async def main(record: Record) -> bool:
    store = Store(find_ips(1)[0], record)
    await store.listener.start()
    store.put("op", "config", CONFIGURATION)
    servers = [
        Server(ip, f"i-{number}", "app", "z0", store, record)
        for number, ip in enumerate(find_ips(3))
    ]
    new = servers[-1]
    for server in servers if not TROUBLE else servers[:-1]:
        await server.start()
    with tempfile.TemporaryDirectory() as folder:
        gateways = [
            Gateway(Path(folder), f"front-z0-{n}", "z0", ZONES, store.listener.address, record)
            for n in range(GATEWAYS)
        ]
        try:
            return await play(new, gateways, record)
        finally:
            for gateway in gateways:
                await gateway.kill()


async def play(new: Server, gateways: list[Gateway], record: Record) -> bool:
    await start_all(gateways)
    await asyncio.sleep(8.0)
    if TROUBLE:
        await new.start()
    await asyncio.sleep(4.0)
    acknowledged_s = new.drain()
    await asyncio.sleep(0.5)
    until_s = acknowledged_s + LINGER_S
    await asyncio.gather(*(send_steadily(gateway, until_s) for gateway in gateways))
    bound_s = acknowledged_s + BOUNDS["drain_ms"] / 1_000
    late = [(at_s, request_id) for at_s, request_id in new.arrivals if at_s > bound_s]
    for at_s, request_id in late:
        record.write(f"DRAIN: {request_id} reached {new.name} {at_s - acknowledged_s:.1f} s after")
    text = f"{len(late)} requests reached the draining server"
    record.write(f"verdict: {text}")
    print(text)
    return bool(late)


if __name__ == "__main__":
    run_case(main, str(HERE / "record.txt"))
