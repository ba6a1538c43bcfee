"""A small deployment on loopback: gateways as processes beside a store, servers and clients.

Gateways are started with the command of deploy/system.toml. The store is the project's own stand-in
(standins/rows.py), with an address for each machine, so that it can turn single machines away. The
servers and clients of this file speak HTTP/1.1 on plain sockets.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import logging
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import h11

from standins.rows import RowServer, RowStore

ROOT = Path(__file__).resolve().parents[2]
HOST = "h.example"
KEY = "k-review-1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
START_TIMEOUT_S = 20.0


class Record:
    """Writes what happens to record.txt, with the time in ms since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> int:
        return round((time.monotonic() - self._began) * 1000)

    def write(self, text: str, at: int | None = None) -> None:
        self._file.write(f"{self.now() if at is None else at:7d} {text}\n")

    def say(self, text: str) -> None:
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        self._file.close()


class MachineStore(RowServer):
    """The store as one machine reaches it; ``busy`` makes it answer 503, which does nothing."""

    def __init__(self, store: RowStore) -> None:
        super().__init__(store)
        self.busy = False

    async def _handle_call(self, path, query, body):  # type: ignore[no-untyped-def]
        if self.busy:
            return 503, {}
        status, answer = await super()._handle_call(path, query, body)
        return (503, {}) if self.busy else (status, answer)


_OCTETS = itertools.count(2)


def make_ip() -> str:
    """Return a loopback address for one machine or server of this run."""
    pid = os.getpid()
    return f"127.{60 + pid % 150}.{pid // 150 % 250}.{next(_OCTETS)}"


def find_port(ip: str) -> int:
    with socket.socket() as one:
        one.bind((ip, 0))
        port: int = one.getsockname()[1]
        return port


@dataclass
class Request:
    """A request as a server received it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    at: int

    @property
    def id(self) -> str:
        return self.headers.get("request-id", "")


class Server:
    """A server: reads one request after the other and lets ``respond`` write the answer.

    ``respond`` returns True if the connection may be used again.
    """

    def __init__(
        self,
        name: str,
        service: str,
        record: Record,
        respond: Callable[[Server, Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]],
        zone: str = "z1",
        slots: int = 6,
    ) -> None:
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.record, self.respond = record, respond
        self.ip = make_ip()
        self.address = ""
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.arrivals: list[Request] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.ip, 0, limit=8_388_608)
        self.address = f"{self.ip}:{self._server.sockets[0].getsockname()[1]}"

    def entry(self, **changes: Any) -> dict[str, Any]:
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born,
            **changes,
        }

    def close(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader, self.record)) is not None:
                if request.headers.get("expect-instance", self.name) != self.name:
                    writer.write(make_head(421, request.id, [("Not-Run", "1"), ("Content-Length", "0")]))
                    await writer.drain()
                    continue
                self.arrivals.append(request)
                self.record.write(f"server {self.name} gets {request.id} {request.method} {request.path}")
                if not await self.respond(self, request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            pass
        finally:
            with contextlib.suppress(Exception):
                writer.close()


async def read_request(reader: asyncio.StreamReader, record: Record) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    at = record.now()
    first, *lines = head.decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ", 2)
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, path, headers, body, at)


def make_head(status: int, request_id: str, headers: list[tuple[str, str]]) -> bytes:
    rows = [("Request-Id", request_id), *headers] if request_id else headers
    text = "".join(f"{name}: {value}\r\n" for name, value in rows)
    return f"HTTP/1.1 {status} X\r\n{text}\r\n".encode()


def make_answer(status: int, request: Request, body: bytes, *headers: tuple[str, str]) -> bytes:
    """Return a whole signed answer."""
    rows = [("Server-Stamp", f"s.{request.id}"), ("Content-Length", str(len(body))), *headers]
    return make_head(status, request.id, rows) + body


def make_event(number: int, text: str) -> bytes:
    return f"id: {number}\ndata: {text}\n\n".encode()


def make_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


@dataclass
class Answer:
    """What a client got: status 0 and ``error`` if the connection ended without an answer."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    sent_at: int = 0
    first_at: int | None = None
    ended_at: int = 0
    error: str = ""


class Gateway:
    """One machine of the system: a process started with the deploy file's command."""

    def __init__(self, folder: Path, name: str, zone: str, store: MachineStore, bounds: dict[str, Any]) -> None:
        self.name, self.zone, self.store, self.folder = name, zone, store, folder
        self.ip = make_ip()
        self.front, self.ready, self.inner = (find_port(self.ip) for _ in range(3))
        self.bounds = bounds
        self.path = folder / f"{name}.json"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, store_address: str) -> None:
        settings = {
            "node_name": self.name,
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front"],
            "ip": self.ip,
            "zone": self.zone,
            "listen": {"front": f"{self.ip}:{self.front}", "ready": f"{self.ip}:{self.ready}"},
            "internal_ports": [self.inner, self.inner],
            "bounds": self.bounds,
            "platform": {"address": store_address, "form": "table"},
        }
        self.path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        program, *arguments = deploy["roles"]["gateway"]["run"].split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["LENTILWELL_CONFIG"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                program, *arguments, cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )

    async def wait_ready(self) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while await self.query_ready() != 200:
                await asyncio.sleep(0.05)

    async def query_ready(self, timeout_s: float = 1.0) -> int:
        """Return the status of the readiness probe, 0 if there is none within the time."""
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return int(line.split()[1]) if line else 0
        except (OSError, TimeoutError, IndexError):
            return 0

    def signal(self, number: int) -> None:
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def end(self) -> None:
        if self.process is None or self.process.returncode is not None:
            return
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        await self.process.wait()


class Fleet:
    """The whole deployment of one run."""

    def __init__(self, record: Record, folder: Path, configuration: dict[str, Any], bounds: dict[str, Any]) -> None:
        self.record, self.folder = record, folder
        self.configuration, self.bounds = configuration, bounds
        self.store = RowStore()
        self.gateways: list[Gateway] = []
        self.servers: list[Server] = []
        self.tasks: list[asyncio.Task[Any]] = []

    async def start(self, servers: list[Server], machines: list[tuple[str, str]]) -> None:
        for server in servers:
            await server.start()
            await self.store.put("servers", server.name, server.entry())
        self.servers += servers
        await self.store.put("op", "config", self.configuration)
        for name, zone in machines:
            await self.add(name, zone)
        for gateway in self.gateways:
            await gateway.wait_ready()
        self.record.say("all machines are ready")

    async def add(self, name: str, zone: str) -> Gateway:
        store = MachineStore(self.store)
        address = await store.start()
        gateway = Gateway(self.folder, name, zone, store, self.bounds)
        self.gateways.append(gateway)
        await gateway.start(address)
        return gateway

    def run(self, work: Awaitable[Any]) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        for gateway in self.gateways:
            await gateway.end()
            gateway.store.close()
        for server in self.servers:
            server.close()


_IDS = random.Random(os.getpid())


def make_id() -> str:
    return f"{_IDS.getrandbits(64):016x}"


async def call(
    record: Record,
    gateway: Gateway,
    method: str,
    path: str,
    body: bytes = b"",
    deadline_ms: int = 10_000,
    headers: dict[str, str] | None = None,
    gap_s: float | None = None,
    request_id: str = "",
) -> Answer:
    """Send one request on a new connection and read its answer, for its deadline at most.

    With ``gap_s``, the client leaves if nothing arrives for that long.
    """
    request_id = request_id or make_id()
    rows = {
        "Host": HOST, "Request-Id": request_id, "Deadline-Ms": str(deadline_ms), "Credential": KEY,
        **({"Content-Length": str(len(body))} if body or method == "POST" else {}), **(headers or {}),
    }
    text = "".join(f"{name}: {value}\r\n" for name, value in rows.items())
    answer = Answer(sent_at=record.now())
    record.write(f"client sends {request_id} {method} {path} to {gateway.name}")
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1.0):
            reader, writer = await asyncio.open_connection(gateway.ip, gateway.front)
            writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + body)
            await _read_answer(record, reader, answer, gap_s)
    except TimeoutError:
        answer.error = answer.error or "the client left"
    except OSError as error:
        answer.error = repr(error)
    finally:
        answer.ended_at = record.now()
        if writer is not None:
            writer.transport.abort()
    record.write(
        f"client has {request_id} status {answer.status} {'whole' if answer.whole else 'not whole'}"
        f" after {answer.ended_at - answer.sent_at} ms {answer.error}"
    )
    return answer


async def _read_answer(record: Record, reader: asyncio.StreamReader, answer: Answer, gap_s: float | None) -> None:
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", HOST)]))
    parser.send(h11.EndOfMessage())
    while True:
        try:
            event = parser.next_event()
        except h11.RemoteProtocolError as error:
            answer.error = str(error)
            return
        if event is h11.NEED_DATA:
            try:
                async with asyncio.timeout(gap_s):
                    data = await reader.read(65_536)
            except TimeoutError:
                answer.error = f"the client left after a gap of {gap_s} s"
                raise
            try:
                parser.receive_data(data)
                if not data and parser.their_state is h11.SEND_RESPONSE:
                    answer.error = "the connection ended without an answer"
                    return
            except h11.RemoteProtocolError as error:
                answer.error = str(error)
                return
        elif isinstance(event, h11.Response):
            answer.status = event.status_code
            answer.headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
            answer.first_at = record.now()
        elif isinstance(event, h11.Data):
            answer.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            answer.whole = True
            return
        elif isinstance(event, h11.ConnectionClosed):
            return


BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "max_stretch_ms": 5000, "strict_revoke": False, "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "extra_retries": 102, "recovery_s": 12,
    "pass_ms": 120, "retry_after_s": 0, "stall_ms": 1500, "max_hold_ms": 20000, "free_ms": 4000,
    "max_idle_ms": 9000,
}
ENGINE = {
    "slots": 8, "kv_capacity": 315_000, "step_ms": 0.85, "per_seq_ms": 0.0085, "context_per_k": 0.00285,
    "read_per_s": 177_000.0, "pairs_per_m": 0.184, "chunk": 2_048, "stride": 51,
    "usual": {"prompt": 11_108, "answer": 1_622}, "report_lag_ms": 200,
}


def make_route(name: str, prefix: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    return {
        "name": name, "host": HOST, "prefix": prefix, "kind": kind, "service": service, "timeout_ms": 600,
        "target_latency_ms": 125, "priority": 1, "max_attempts": 1, "public": False, **changes,
    }


def make_configuration(routes: list[dict[str, Any]], services: list[dict[str, Any]], version: int = 1) -> dict[str, Any]:
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "blue", "api_keys": [KEY], "priority": 0}],
    }


def main(case: Callable[[Fleet], Awaitable[int]], configuration: dict[str, Any]) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    folder = Path(sys.argv[1]).resolve()
    # Connections that are left at the end are no news.
    sys.unraisablehook = lambda _: None
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    record = Record(folder / "record.txt")

    async def run() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            fleet = Fleet(record, Path(temporary), configuration, dict(BOUNDS))
            try:
                async with asyncio.timeout(110):
                    return await case(fleet)
            finally:
                await fleet.close()
                if os.environ.get("KEEP_LOGS"):
                    for log in Path(temporary).glob("*.log"):
                        (Path(os.environ["KEEP_LOGS"]) / log.name).write_bytes(log.read_bytes())

    try:
        result = asyncio.run(run())
    except Exception as error:
        record.say(f"the case could not run: {error!r}")
        result = NOT_RUN
    record.close()
    sys.exit(result)
