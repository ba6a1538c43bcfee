"""Starts gateway processes as the deploy file does, on loopback addresses."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import tomllib
from collections.abc import AsyncIterator, Mapping
from pathlib import Path

from stand_ins import Record, now_s
from wire import Message, call

ROOT = Path(__file__).resolve().parent.parent.parent
ROLE = "gateway"
START_TIMEOUT_S = 20.0
# Bounds of the small deployments.
BOUNDS = {
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "extra_retries": 102,
    "evacuate_ms": 5000,
    "cold_overage": 1.5,
    "cold_slack": 5,
    "max_hold_ms": 20000,
}


class CannotRun(Exception):
    """The case could not be set up."""


def find_ips(count: int) -> list[str]:
    """Return loopback addresses on which nothing listens at the metrics port."""
    found: list[str] = []
    while len(found) < count:
        ip = f"127.{random.randint(60, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((ip, 9464))
            found.append(ip)
    return found


def _find_ports(ip: str, count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in sockets:
            one.bind((ip, 0))
        return [one.getsockname()[1] for one in sockets]


class Gateway:
    """One gateway process."""

    def __init__(
        self, folder: Path, name: str, zone: str, zones: dict[str, str], store: str, record: Record
    ) -> None:
        self.name, self.zone = name, zone
        self.ip = find_ips(1)[0]
        self.front, self.ready, control, first = _find_ports(self.ip, 4)
        self._record = record
        self._process: asyncio.subprocess.Process | None = None
        self.started_at = 0.0
        self._settings = folder / f"{name}.json"
        self._log_path = folder / f"{name}.log"
        settings = {
            "node_name": name,
            "role": ROLE,
            "machine_class": "front",
            "serves": ["front"],
            "ip": self.ip,
            "zone": zone,
            "region": zones[zone],
            "zones": zones,
            "listen": {
                "front": f"{self.ip}:{self.front}",
                "ready": f"{self.ip}:{self.ready}",
                "control": f"{self.ip}:{control}",
            },
            "internal_ports": [first, first + 15],
            "seeds": [],
            "bootstrap": True,
            "limits": {"cores": 2, "memory_mb": 430, "max_fds": 6300, "link_mbps": 1500.0},
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform": {"address": store, "form": "table"},
        }
        self._settings.write_text(json.dumps(settings))

    async def start(self) -> None:
        """Start the process by the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"][ROLE]["run"].split(" ")
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["LENTILWELL_CONFIG"] = str(self._settings)
        with open(self._log_path, "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.started_at = now_s()
        self._record.write(f"{self.name}: started")

    async def wait_ready(self) -> None:
        """Wait until the readiness address answers 200."""
        ends_at = now_s() + START_TIMEOUT_S
        while now_s() < ends_at:
            answer = await call(self.ip, self.ready, "GET", "/ready", {"Host": "x"})
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} was not ready within {START_TIMEOUT_S} s")

    async def kill(self, number: int = signal.SIGKILL) -> None:
        """Send a signal, and wait for the end of the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)
            await self._process.wait()
            self._record.write(f"{self.name}: ended by signal {number}")

    def read_log(self) -> list[str]:
        """Return the lines of the log so far."""
        return self._log_path.read_text(errors="replace").splitlines()

    async def ask(
        self,
        request_id: str,
        target: str,
        host: str,
        key: str,
        deadline_ms: int,
        method: str,
        more: dict[str, str] | None = None,
    ) -> Message | None:
        """Send a request as a client does, and record its answer."""
        self._record.write(f"client: {request_id} {method} {target} to {self.name}")
        headers = {
            "Host": host,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            "Credential": key,
            **(more or {}),
        }
        answer = await call(self.ip, self.front, method, target, headers)
        told = "connection closed" if answer is None else str(answer.status)
        stamp = "" if answer is None else answer.headers.get("server-stamp", "")
        self._record.write(f"client: {request_id} got {told} {stamp}")
        return answer


async def start_all(gateways: list[Gateway]) -> None:
    """Start gateways side by side and wait until all are ready."""
    await asyncio.gather(*(gateway.start() for gateway in gateways))
    await asyncio.gather(*(gateway.wait_ready() for gateway in gateways))


@contextlib.asynccontextmanager
async def run_gateways(
    places: Mapping[str, str], zones: dict[str, str], store: str, record: Record
) -> AsyncIterator[list[Gateway]]:
    """Prepare gateways, not started yet, by the zone of each name; kill all of them at the end."""
    with tempfile.TemporaryDirectory() as folder:
        gateways = [
            Gateway(Path(folder), name, zone, zones, store, record) for name, zone in places.items()
        ]
        try:
            yield gateways
        finally:
            for gateway in gateways:
                await gateway.kill()


def run_case(main, path: str) -> None:  # type: ignore[no-untyped-def]
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(path)
    try:
        broken = asyncio.run(main(record))
    except Exception as error:  # noqa: BLE001
        record.write(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    sys.exit(1 if broken else 0)
