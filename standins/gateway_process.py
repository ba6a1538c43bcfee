"""Runs gateways as processes, with settings, a configuration and server entries."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import socket
import sys
from pathlib import Path
from typing import Any

from wire_settings import METRICS_PORT

from standins.answer_reader import Answer, read_answer

ROOT = Path(__file__).parent.parent
API_KEY = "k-1"
HOST = "h.example"
TIMEOUT_S = 15
# Addresses that one process gives out in one network before it takes the next one.
HOSTS_PER_OCTET = 250
ENGINE: dict[str, Any] = {
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


def scale_engine_speed(speed: float) -> dict[str, Any]:
    """Return the specification of engines that are ``speed`` times as fast as ``ENGINE``."""
    time_fields = ("step_ms", "per_seq_ms", "context_per_k", "pairs_per_m")
    scaled = {name: ENGINE[name] / speed for name in time_fields}
    return {**ENGINE, **scaled, "read_per_s": ENGINE["read_per_s"] * speed}


def build_configuration(
    version: int = 1, engine: dict[str, Any] = ENGINE, **changes: Any
) -> dict[str, Any]:
    """Return an operator's configuration with two streaming routes and two plain ones.

    ``changes`` replace top-level fields.
    """
    route: dict[str, Any] = {
        "host": HOST,
        "timeout_ms": 10_000,
        "target_latency_ms": 300,
        "target_gap_ms": 250,
        "priority": 1,
        "max_attempts": 2,
        "public": False,
    }
    routes = [
        {
            **route,
            "name": "s",
            "prefix": "/s/",
            "kind": "streaming",
            "service": "engines",
            "resumable": True,
        },
        {
            **route,
            "name": "l",
            "prefix": "/l/",
            "kind": "streaming",
            "service": "engines",
            "resumable": True,
            "target_latency_ms": 3_000,
            "target_gap_ms": 1_000,
            "timeout_ms": 20_000,
        },
        {**route, "name": "w", "prefix": "/w/", "kind": "idempotent", "service": "desk"},
        {**route, "name": "o", "prefix": "/o/", "kind": "non_idempotent", "service": "desk"},
    ]
    defaults: dict[str, Any] = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "engines", "health_path": "/health", "max_connections": 99, "engine": engine},
            {"name": "desk", "health_path": "/health", "max_connections": 99},
        ],
        "limits": {},
        "tenants": [{"name": "blue", "api_keys": [API_KEY], "priority": 0}],
    }
    return {**defaults, **changes}


def build_server_entry(address: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return the entry that a server writes about itself; ``changes`` replace fields."""
    defaults = {
        "service": service,
        "address": address,
        "zone": "z1",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": 1,
    }
    return {**defaults, **changes}


def find_free_ports(count: int) -> list[int]:
    """Return loopback ports that are currently free."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for bound_socket in sockets:
            bound_socket.bind(("127.0.0.1", 0))
        return [bound_socket.getsockname()[1] for bound_socket in sockets]


_IP_NUMBERS = itertools.count()


def find_free_ip() -> str:
    """Return a loopback address of its own for an instance, different in every test process."""
    pid, number = os.getpid(), next(_IP_NUMBERS)
    third = (pid // 200 + number // HOSTS_PER_OCTET) % 250
    return f"127.{20 + pid % 200}.{third}.{2 + number % HOSTS_PER_OCTET}"


class Instance:
    """A gateway process and its settings file."""

    def __init__(self, folder: Path, name: str, store_address: str, grace_s: float = 6) -> None:
        self.ip = find_free_ip()
        front, ready, peers = find_free_ports(3)
        self.name, self.front_port, self.ready_port = name, front, ready
        self.settings_path = folder / f"{name}.json"
        settings = {
            "node_name": name,
            "ip": self.ip,
            "zone": "z1",
            "listen": {"front": f"{self.ip}:{front}", "ready": f"{self.ip}:{ready}"},
            "internal_ports": [peers, peers],
            "bounds": {"grace_s": grace_s, "retry_budget_ratio": 0.2, "extra_retries": 100},
            "platform": {"address": store_address},
            "unknown": {"fields": ["are", "ignored"]},
        }
        self.settings_path.write_text(json.dumps(settings))
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process; its log goes to a pipe."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "platform/start.py"),
            env={**os.environ, "LENTILWELL_CONFIG": str(self.settings_path)},
            stdout=asyncio.subprocess.PIPE,
        )

    async def query_readiness(self) -> int | None:
        """Return the HTTP status of the readiness probe, or None if it gets no response."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await read_answer(reader)
        except (OSError, asyncio.IncompleteReadError):
            return None
        writer.close()
        return answer.status

    async def query(self, path: str) -> Answer:
        """Return the response to a GET request on the metrics port."""
        reader, writer = await asyncio.open_connection(self.ip, METRICS_PORT)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        answer = await read_answer(reader)
        writer.close()
        return answer

    async def wait_ready(self) -> None:
        """Wait until the instance reports that it is ready."""
        async with asyncio.timeout(TIMEOUT_S):
            while await self.query_readiness() != 200:
                await asyncio.sleep(0.02)

    async def call(self, path: str, request_id: str, body: bytes = b"", **headers: str) -> Answer:
        """Send one request on a new connection; underscores in header names become dashes."""
        reader, writer = await asyncio.open_connection(self.ip, self.front_port)
        all_headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Credential": API_KEY,
            "Deadline-Ms": "10000",
        }
        all_headers.update({name.replace("_", "-"): value for name, value in headers.items()})
        all_headers["Content-Length"] = str(len(body))
        rows = "".join(f"{name}: {value}\r\n" for name, value in all_headers.items())
        writer.write(f"POST {path} HTTP/1.1\r\n{rows}\r\n".encode() + body)
        answer = await asyncio.wait_for(read_answer(reader), TIMEOUT_S)
        writer.close()
        return answer

    async def read_log(self) -> list[dict[str, Any]]:
        """Read the log until the process has exited and return its lines."""
        assert self.process is not None and self.process.stdout is not None
        data = await self.process.stdout.read()
        return [json.loads(line) for line in data.splitlines()]
