"""Runs a gateway in the test process, between scripted upstreams and raw callers on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

from wire_evacuation import EVACUATION_PREFIX, find_evacuated
from wire_headers import PlatformDialect

from lentilwell.gateway import (
    BudgetRules,
    Catalog,
    Entry,
    Feeds,
    Gateway,
    GatewaySettings,
    Listing,
    Repeat,
    Route,
    ServiceSpec,
    Share,
    Team,
    Upstream,
)
from standins.answer_reader import read_answer
from standins.loopback import listen

HOST = "a.example"
KEY = "key-1"
ANSWER_TIMEOUT_S = 5

Script = Callable[["Arrival"], Awaitable[None]]


@dataclass
class Arrival:
    """A request that an upstream received, and the connection on which to answer it."""

    upstream: str
    line: bytes
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    reader: asyncio.StreamReader
    connection: int
    disconnected: asyncio.Event = field(default_factory=asyncio.Event)

    async def answer(self, status=200, body=b"", signed=True, framing="length", **headers):
        """Write a complete answer; underscores in the names of ``headers`` become dashes."""
        defaults = {"Request-Id": self.headers.get("request-id", "")}
        if signed:
            defaults["Server-Stamp"] = f"stamp-{self.upstream}"
        defaults.update({name.replace("_", "-"): str(value) for name, value in headers.items()})
        if framing == "length":
            defaults["Content-Length"] = str(len(body))
        text = f"HTTP/1.1 {status} X\r\n" + "".join(f"{n}: {v}\r\n" for n, v in defaults.items())
        await self.write(text.encode() + b"\r\n" + body)

    async def begin_stream(self):
        """Write the status line and the headers of a chunked stream."""
        head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        head += f"Request-Id: {self.headers['request-id']}\r\n"
        await self.write(f"{head}Server-Stamp: stamp-{self.upstream}\r\n\r\n".encode())

    async def write_events(self, *numbers, incomplete=b""):
        """Write events with these ids as one chunk, followed by the bytes ``incomplete``."""
        data = b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in numbers) + incomplete
        await self.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def end_stream(self):
        """Write the last chunk of a chunked stream."""
        await self.write(b"0\r\n\r\n")

    async def write(self, data):
        """Write raw bytes."""
        self.writer.write(data)
        await self.writer.drain()

    def reset_connection(self):
        """Reset the connection."""
        self.writer.transport.abort()


class ScriptedUpstream:
    """Answers requests by a script, and records them in ``arrivals``.

    ``lost`` is set once a connection has ended in an error.
    """

    def __init__(self, name: str, script: Script) -> None:
        self.name = name
        self.script = script
        self.arrivals: list[Arrival] = []
        self.connections = 0
        self.lost = asyncio.Event()
        self.server: asyncio.Server | None = None

    async def start(self) -> str:
        """Start listening on a free port and return the address."""
        self.server, address = await listen(self._serve)
        return address

    async def _serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        try:
            while arrival := await self._read(reader, writer, number):
                self.arrivals.append(arrival)
                await self.script(arrival)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            self.lost.set()
        finally:
            writer.close()

    async def _read(self, reader, writer, number):
        head = await reader.readuntil(b"\r\n\r\n")
        line, *rest = head[:-4].decode().split("\r\n")
        headers = {n.lower(): v.strip() for n, _, v in (row.partition(":") for row in rest)}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return Arrival(self.name, line.encode(), headers, body, writer, reader, number)


class FakeFeed:
    """A table in memory; ``put`` replaces its rows."""

    def __init__(self, *entries: Entry) -> None:
        self.entries = entries
        self.version = 1
        self.changed = asyncio.Event()

    def put(self, *entries: Entry) -> None:
        """Replace all rows and increase the version."""
        self.entries = entries
        self.version += 1
        self.changed.set()

    async def read_all(self) -> Listing:
        """Return all rows."""
        return Listing(self.entries, self.version)

    async def read_changes(self, after: int, wait_ms: int) -> Listing:
        """Return all rows once the version is greater than ``after``; ``wait_ms`` is ignored."""
        if self.version <= after:
            self.changed.clear()
            await self.changed.wait()
        return Listing(self.entries, self.version)


class EmptyMembership:
    """A membership without entries."""

    async def announce(self, instance, member):
        """Do nothing."""

    async def list_members(self):
        """Return no members."""
        return {}


def make_route(kind: str, **changes) -> Route:
    """Return the route ``/KIND/``, where ``kind`` is ``once``, ``whole`` or ``stream``."""
    repeat = {"once": Repeat.NEVER, "whole": Repeat.WHOLE, "stream": Repeat.RESUME}[kind]
    defaults = {
        "name": kind,
        "host": HOST,
        "prefix": f"/{kind}/",
        "shares": (Share("s", 1.0),),
        "repeat": repeat,
        "streams": kind == "stream",
        "timeout_ms": 3_000,
        "objective_ms": 300,
        "pause_ms": 250,
        "rank": 2,
        "max_upstreams": 2,
        "public": False,
    }
    return Route(**{**defaults, **changes})


CATALOG = Catalog(
    version=1,
    routes=(make_route("once"), make_route("whole"), make_route("stream")),
    services={"s": ServiceSpec("s", "/health", 100, None)},
    teams=(Team("blue", (KEY,), None),),
)
SETTINGS = GatewaySettings(
    instance="test",
    data_centre="dc",
    callers_address="127.0.0.1:0",
    ready_address="127.0.0.1:0",
    metrics_address="127.0.0.1:0",
    peers_address="127.0.0.1:0",
    max_stop_ms=8_000,
    max_lease_ms=20_000,
    budget=BudgetRules(0.2, 100, 10_000),
    policy="least_outstanding",
)


@dataclass
class GatewayHarness:
    """A running gateway with its upstreams, and methods to call it."""

    gateway: Gateway
    upstreams: list[ScriptedUpstream]
    catalog: FakeFeed
    listing: FakeFeed
    last_request_number: list[int] = field(default_factory=lambda: [0])

    def evacuate(self, data_centre: str) -> None:
        """Write the row that evacuates a data centre."""
        self.catalog.put(Entry(f"{EVACUATION_PREFIX}{data_centre}", None))

    def end_evacuation(self, data_centre: str) -> None:
        """Remove the row that evacuates a data centre."""
        self.catalog.put(Entry(f"{EVACUATION_PREFIX}{data_centre}", None, removed=True))

    @property
    def arrivals(self) -> list[Arrival]:
        """Return the requests that all upstreams received."""
        return [arrival for upstream in self.upstreams for arrival in upstream.arrivals]

    async def connect(self):
        """Open a connection to the gateway, as a caller does."""
        return await asyncio.open_connection("127.0.0.1", self.gateway.callers_port)

    async def call(self, path, method="POST", body=b"", connection=None, **headers):
        """Send a request, on a new connection if none is given, and return its answer."""
        reader, writer = connection or await self.connect()
        writer.write(self.format(path, method, body, **headers))
        answer = await asyncio.wait_for(read_answer(reader), ANSWER_TIMEOUT_S)
        if connection is None:
            writer.close()
        return answer

    def format(self, path, method="POST", body=b"", **headers) -> bytes:
        """Return the bytes of a request with a new id; headers with the value None are left out."""
        self.last_request_number[0] += 1
        defaults = {
            "Host": HOST,
            "Request-Id": f"id{self.last_request_number[0]}",
            "Credential": KEY,
        }
        defaults["Deadline-Ms"] = "3000"
        if body:
            defaults["Content-Length"] = str(len(body))
        defaults.update({name.replace("_", "-"): value for name, value in headers.items()})
        rows = "".join(f"{n}: {v}\r\n" for n, v in defaults.items() if v is not None)
        return f"{method} {path} HTTP/1.1\r\n{rows}\r\n".encode() + body


@asynccontextmanager
async def run_gateway(
    *scripts: Script,
    catalog: Catalog | None = CATALOG,
    data_centres: Sequence[str] | None = None,
    settings: GatewaySettings = SETTINGS,
):
    """Run a gateway with one upstream for each script.

    A script of None stands for an upstream that refuses connections. ``data_centres`` has one for
    each upstream; all are in that of the gateway if it is None.
    """
    centres = data_centres or [settings.data_centre] * len(scripts)
    upstreams, entries = [], []
    for index, script in enumerate(scripts):
        upstream = ScriptedUpstream(f"u{index}", script)
        address = await upstream.start() if script is not None else "127.0.0.1:1"
        upstreams.append(upstream)
        listed = Upstream(upstream.name, "s", address, centres[index], 8, False)
        entries.append(Entry(upstream.name, listed))
    feeds = Feeds(
        FakeFeed(*([Entry("config", catalog)] if catalog else [])),
        FakeFeed(*entries),
        EmptyMembership(),
        find_evacuated=find_evacuated,
    )
    gateway = Gateway(settings, PlatformDialect(), feeds)
    await gateway.start()
    gateway.fleet.random.seed(1)
    while catalog is not None and not gateway.ready:
        await asyncio.sleep(0.005)
    try:
        yield GatewayHarness(gateway, upstreams, feeds.catalog, feeds.upstreams)
    finally:
        await gateway.stop()
        for upstream in upstreams:
            if upstream.server is not None:
                upstream.server.close()


def with_route(kind: str, **changes) -> Catalog:
    """Return the configuration with one route changed."""
    routes = tuple(
        replace(route, **changes) if route.name == kind else route for route in CATALOG.routes
    )
    return replace(CATALOG, routes=routes)
