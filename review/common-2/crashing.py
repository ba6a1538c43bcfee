"""What the cases about requests that crash servers share."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from gateways import Gateway
from stand_ins import Record, Server

HOST, KEY = "app.example", "k-blue-1"
ZONES = {"z0": "r", "z1": "r", "z2": "r"}
PLACES = {"front-0": "z0", "front-1": "z0", "front-2": "z1", "front-3": "z2"}
# What the rule allows later than ``contact_ms`` after the third crash.
MAX_RETRIES = 3
_ROUTE = {
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
_POSTING = {
    **_ROUTE,
    "name": "posting",
    "prefix": "/o/",
    "kind": "non_idempotent",
    "max_attempts": 1,
}
# A plain service with lookups under /r/ and postings under /o/.
CONFIGURATION = {
    "version": 3,
    "routes": [_ROUTE, _POSTING],
    "services": [{"name": "app", "health_path": "/health", "max_connections": 500}],
    "limits": {},
    "tenants": [{"name": "blue", "api_keys": [KEY], "priority": 0}],
}


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


def list_crashes(servers: Sequence[Server]) -> list[float]:
    """Return when servers crashed, the earliest first."""
    return sorted(at_s for server in servers for at_s in server.crashed_at)


def judge(servers: Sequence[Server], after_s: float, lost: list[str], record: Record) -> bool:
    """Tell whether requests whose ids begin with "deadly" came too often later than ``after_s``."""
    late = [
        (at_s, server.name, request_id)
        for server in servers
        for at_s, request_id in server.arrivals
        if at_s > after_s and request_id.startswith("deadly")
    ]
    for at_s, name, request_id in sorted(late):
        record.write(f"BUDGET: {request_id} reached {name} at {at_s:.3f} s")
    text = (
        f"{len(list_crashes(servers))} crashes, {len(late)} retries after the third, "
        f"{MAX_RETRIES} are allowed; "
        f"{len(lost)} sound postings had no answer of the server that ran them"
    )
    record.write(f"verdict: {text}")
    print(text)
    return len(late) > MAX_RETRIES
