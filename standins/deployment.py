"""Starts a complete deployment as processes on free loopback ports."""

from __future__ import annotations

import hashlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request
import uuid
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from lentilwell._clock import MS_PER_SECOND
from lentilwell.adapters._platform import HttpPlatform
from lentilwell.configuration import ConfigurationEditor, PlatformSettings, parse_document

STOP_TIMEOUT_S = 20
READY_TIMEOUT_S = 20


@dataclass(frozen=True)
class DeploymentPlan:
    """The processes to start; they are assigned to the data centres round-robin."""

    data_centres: tuple[str, ...] = ("caerdydd", "abertawe", "wrecsam")
    instances: int = 4
    engines: int = 14
    services: int = 3
    service_name: str = "bookings"
    teams: tuple[str, ...] = (
        "counters",
        "pricing",
        "fitting",
        "repairs",
        "returns",
        "stock",
        "purchasing",
        "training",
        "accounts",
        "head-office",
    )
    memory_tokens: int = 450_000
    slots: int = 64
    speed: float = 20.0
    prefill_rate: float = 20_000.0
    decode_ms: float = 20.0
    balancer_lag_ms: int = 1_000
    order: str = "response_ratio"
    placement: str = "owner_share"
    log_level: str = "INFO"
    engine_options: tuple[str, ...] = ()


@dataclass
class Process:
    """A started process and the ports of its listeners."""

    name: str
    popen: subprocess.Popen[str]
    ports: dict[str, int]

    def url(self, listener: str = "port") -> str:
        """Return the base URL of a listener."""
        return f"http://127.0.0.1:{self.ports[listener]}"

    def signal(self, number: int) -> None:
        """Send a signal to the process, unless it has exited."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)


@dataclass
class Deployment:
    """A running deployment; ``keys`` holds the API key of each team."""

    plan: DeploymentPlan
    folder: Path
    platform: Process
    engines: list[Process] = field(default_factory=list)
    services: list[Process] = field(default_factory=list)
    entries: list[Process] = field(default_factory=list)
    keys: dict[str, str] = field(default_factory=dict)
    operator_token: str = "operator-token"
    version: int = 0
    streams_left: set[str] = field(default_factory=set)

    def processes(self) -> list[Process]:
        """Return all processes, entry instances first."""
        return [*self.entries, *self.services, *self.engines, self.platform]

    def make_inventory_text(self) -> str:
        """Return an inventory of the running processes as INI text."""
        plan = self.plan
        lines = ["[rules]", f"order = {plan.order}", f"placement = {plan.placement}", ""]
        lines += ["[model assistant]", "context_tokens = 1100000", ""]
        for data_centre in plan.data_centres:
            lines += [f"[data_centre {data_centre}]", ""]
        for number, process in enumerate(self.engines):
            data_centre = plan.data_centres[number % len(plan.data_centres)]
            lines += [f"[engine {process.name}]", f"url = {process.url()}"]
            lines += [f"data_centre = {data_centre}", "models = assistant"]
            lines += [f"memory_tokens = {plan.memory_tokens}", f"slots = {plan.slots}", ""]
        for number, process in enumerate(self.services):
            data_centre = plan.data_centres[number % len(plan.data_centres)]
            lines += [f"[service {process.name}]", f"service = {plan.service_name}"]
            lines += [f"url = {process.url()}", f"data_centre = {data_centre}", ""]
        lines += [f"[route {plan.service_name} GET /]", "idempotent = yes", ""]
        lines += [f"[route {plan.service_name} POST /]", "idempotent = no", ""]
        for team, key in self.keys.items():
            digest = hashlib.sha256(key.encode()).hexdigest()
            lines += [f"[team {team}]", "weight = 1", f"key_sha256 = {digest}", ""]
        return "\n".join(lines)

    def put_inventory(self) -> int:
        """Publish the inventory as the next version, as operators do, and return the version."""
        dialect = HttpPlatform(PlatformSettings(self.platform.url()))
        editor = ConfigurationEditor(dialect, lambda ms: time.sleep(ms / MS_PER_SECOND))
        document, _ = parse_document(self.make_inventory_text(), 1)
        self.version = editor.put(document, self.version, uuid.uuid4().hex)
        return self.version

    def make_settings_text(self, name: str, data_centre: str) -> str:
        """Return the settings of an entry instance as INI text."""
        return "\n".join(
            [
                "[instance]",
                f"name = {name}",
                f"data_centre = {data_centre}",
                "[operators]",
                f"token = {self.operator_token}",
                "[peers]",
                "key = shared-peer-key",
                "[platform]",
                f"url = {self.platform.url()}",
                "[stop]",
                f"balancer_lag_ms = {self.plan.balancer_lag_ms}",
                "[logs]",
                f"level = {self.plan.log_level}",
                "",
            ]
        )

    def start_entry(self, name: str, data_centre: str, peers_line: str = "") -> Process:
        """Start an entry instance and register it with the platform."""
        path = self.folder / f"{name}.ini"
        text = self.make_settings_text(name, data_centre)
        path.write_text(text.replace("[peers]\n", f"[peers]\n{peers_line}\n"))
        process = launch(name, ["-m", "lentilwell", "entry", "--settings", str(path)], self.folder)
        self.entries.append(process)
        self.register_member(process, "entry", data_centre, "peers")
        return process

    def register_member(
        self, process: Process, kind: str, data_centre: str, listener: str = "port"
    ) -> None:
        """Add a started process to the platform's list of instances."""
        member = {
            "name": process.name,
            "kind": kind,
            "address": f"127.0.0.1:{process.ports[listener]}",
            "data_centre": data_centre,
            "incarnation": str(process.popen.pid),
            "leaving": False,
        }
        url = f"{self.platform.url()}/instances/{process.name}"
        call("PUT", url, json.dumps(member).encode())

    def stop(self) -> list[int]:
        """Stop the entry instances, then all others; return the entry instances' exit codes."""
        exit_codes = stop_processes(self.entries)
        stop_processes([*self.services, *self.engines, self.platform])
        return exit_codes


def call(
    method: str, url: str, body: bytes | None = None, headers: dict[str, str] | None = None
) -> bytes:
    """Send an HTTP request to a stand-in or an instance and return the response body."""
    request = urllib.request.Request(url, body, headers or {}, method=method)
    with urllib.request.urlopen(request, timeout=30) as answer:
        data: bytes = answer.read()
    return data


def launch(name: str, arguments: list[str], folder: Path) -> Process:
    """Start a Python process and wait until it prints its ports as a line of JSON."""
    log = (folder / f"{name}.log").open("w")
    popen = subprocess.Popen(
        [sys.executable, *arguments],
        stdout=subprocess.PIPE,
        stderr=log,
        text=True,
        env={**os.environ, "PYTHONUNBUFFERED": "1"},
    )
    assert popen.stdout is not None
    line = popen.stdout.readline()
    if not line:
        raise RuntimeError(f"{name} did not start: {(folder / f'{name}.log').read_text()}")
    return Process(name, popen, json.loads(line))


def stop_processes(processes: list[Process]) -> list[int]:
    """Send SIGTERM to all processes, kill those that do not exit, and return the exit codes.

    SIGCONT comes first, because a process paused with SIGSTOP does not act on SIGTERM.
    """
    for process in processes:
        process.signal(signal.SIGCONT)
        process.signal(signal.SIGTERM)
    exit_codes = []
    for process in processes:
        try:
            exit_codes.append(process.popen.wait(STOP_TIMEOUT_S))
        except subprocess.TimeoutExpired:
            process.popen.kill()
            exit_codes.append(process.popen.wait())
    return exit_codes


@contextmanager
def deploy(plan: DeploymentPlan) -> Iterator[Deployment]:
    """Start a deployment, yield it, and stop all its processes at the end."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        platform = launch("platform", ["-m", "standins.platform"], folder)
        deployment = Deployment(plan, folder, platform)
        try:
            start_processes(deployment)
            yield deployment
        finally:
            deployment.stop()


def start_processes(deployment: Deployment) -> None:
    """Start engines, services and entry instances, and publish the inventory."""
    plan = deployment.plan
    for number in range(plan.engines):
        deployment.engines.append(start_engine(deployment, f"engine-{number + 1}"))
        data_centre = plan.data_centres[number % len(plan.data_centres)]
        deployment.register_member(deployment.engines[-1], "engine", data_centre)
    for number in range(plan.services):
        service = f"{plan.service_name}-{number + 1}"
        arguments = ["-m", "standins.service", "--name", service]
        deployment.services.append(launch(service, arguments, deployment.folder))
        data_centre = plan.data_centres[number % len(plan.data_centres)]
        deployment.register_member(deployment.services[-1], "service", data_centre)
    deployment.keys = {team: f"key-of-{team}" for team in plan.teams}
    deployment.put_inventory()
    for number in range(plan.instances):
        data_centre = plan.data_centres[number % len(plan.data_centres)]
        deployment.start_entry(f"entry-{number + 1}", data_centre)


def start_engine(deployment: Deployment, name: str, port: int = 0) -> Process:
    """Start an engine with the capacity and timing of the plan."""
    plan = deployment.plan
    arguments = ["-m", "standins.engine", "--name", name, "--port", str(port)]
    arguments += ["--speed", str(plan.speed), "--prefill-rate", str(plan.prefill_rate)]
    arguments += ["--decode-ms", str(plan.decode_ms), "--slots", str(plan.slots)]
    arguments += ["--memory-tokens", str(plan.memory_tokens), *plan.engine_options]
    return launch(name, arguments, deployment.folder)
