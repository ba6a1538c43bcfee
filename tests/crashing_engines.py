"""Gateways in the test process before engines that end under prompts with one part.

An engine that has ended comes back under a new name.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator, Iterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace

from lentilwell._clock import SystemClock
from lentilwell.gateway import Entry, Gateway, Member, ServiceSpec, Upstream
from standins.answer_reader import read_answer
from standins.batch import ENGINE
from standins.batch_server import BatchServer, list_parts
from standins.received_request import ReceivedRequest
from standins.restarting_fleet import ListedServer, OnCrash, RestartingFleet
from tests.gateway_harness import ANSWER_TIMEOUT_S, CATALOG, HOST, KEY, FakeFeed, make_route
from tests.limited_upstreams import is_settled, make_members, run_member

HARMFUL = "bad0"
OWN_TOKENS = 4_960
ANSWER_TOKENS = 400
CLOCK = SystemClock()
ENGINES_CATALOG = replace(
    CATALOG,
    routes=(make_route("stream", timeout_ms=10_000),),
    services={"s": ServiceSpec("s", "/health", 100, ENGINE)},
)


class EngineFleet:
    """Engines that end under prompts with the part ``HARMFUL``, and their list.

    ``crashes`` are the times of the ends in ms, ``harmful`` those at which an engine received a
    request with the part.
    """

    def __init__(self, count: int) -> None:
        self.crashes_on_part = True
        self.listing = FakeFeed()
        self.crashes: list[int] = []
        self.harmful: list[int] = []
        self.by_address: dict[str, BatchServer] = {}
        self._restarting = RestartingFleet(
            "e",
            count,
            self._build_engine,
            self._list,
            is_renamed=lambda end: True,
            on_end=lambda engine, cause: self.crashes.append(CLOCK.now()),
        )

    @property
    def engines(self) -> dict[str, BatchServer]:
        """Return the listed engines by name."""
        return {engine.name: engine for engine in self._restarting.servers}

    async def start(self) -> None:
        """Start all engines and list them."""
        await self._restarting.start()

    def close(self) -> None:
        """End all engines."""
        self._restarting.close()

    def crash(self, name: str) -> None:
        """End an engine for a reason of its own."""
        self.engines[name].crash()

    def set_harmful(self, harmful: bool) -> None:
        """Let the engines end under the part from now on, or not."""
        self.crashes_on_part = harmful

    def find_fifth_crash(self) -> int | None:
        """Return the time of the fifth end of an engine."""
        return self.crashes[4] if len(self.crashes) >= 5 else None

    def count_late_sends(self, contact_ms: int) -> int:
        """Count the requests with the part that came later than this after the fifth end."""
        fifth = self.find_fifth_crash()
        return 0 if fifth is None else sum(at > fifth + contact_ms for at in self.harmful)

    def _build_engine(self, name: str, on_crash: OnCrash) -> BatchServer:
        return BatchServer(
            name,
            self.by_address,
            is_deadly=lambda request: self.crashes_on_part and has_harmful_part(request),
            on_request=self._record_request,
            on_crash=on_crash,
        )

    def _record_request(self, request: ReceivedRequest) -> None:
        if has_harmful_part(request):
            self.harmful.append(CLOCK.now())

    async def _list(self, listed: Sequence[ListedServer[BatchServer]]) -> None:
        self.listing.put(*(make_engine_entry(one.server) for one in listed))


def has_harmful_part(request: ReceivedRequest) -> bool:
    """Tell whether the prompt of a request has the part ``HARMFUL``."""
    return HARMFUL in list_parts(request.headers)


def make_engine_entry(engine: BatchServer) -> Entry:
    """Return the list entry of an engine."""
    name = engine.name
    upstream = Upstream(name, "s", engine.address, "dc", ENGINE.slots, False, born_ms=1)
    return Entry(name, upstream)


@dataclass(frozen=True)
class Call:
    """A request that was answered; ``at`` is when it was sent, in ms."""

    at: int
    parts: tuple[str, ...]
    status: int
    complete: bool
    retry_after: str | None

    @property
    def served(self) -> bool:
        """Tell whether the caller got its whole answer."""
        return self.status == 200 and self.complete


@dataclass
class EngineGroup:
    """Gateways by name, before a fleet of engines."""

    gateways: dict[str, Gateway]
    fleet: EngineFleet
    members: dict[str, Member]
    calls: list[Call] = field(default_factory=list)
    numbers: Iterator[int] = field(default_factory=itertools.count)

    @asynccontextmanager
    async def run_late_instance(self, name: str) -> AsyncIterator[None]:
        """Run a further gateway, which was listed from the start."""
        member = run_member(name, self.members, self.fleet.listing, ENGINES_CATALOG, "least_cost")
        async with member as gateway:
            self.gateways[name] = gateway
            while not gateway.ready:
                await asyncio.sleep(0.01)
            yield
            del self.gateways[name]

    async def call(self, instance: str, *parts: str) -> Call:
        """Send a request with these shared parts and one of its own, and record the result.

        Its body is its own too, as that of a prompt is.
        """
        at, number = CLOCK.now(), next(self.numbers)
        port = self.gateways[instance].callers_port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        prompt = [*(f"{part}:40" for part in parts), f"{number:x}ffff:{OWN_TOKENS}"]
        body = f"prompt {number}".encode()
        headers = {
            "Host": HOST,
            "Request-Id": f"r{number}",
            "Credential": KEY,
            "Deadline-Ms": "8000",
            "Token-Count": f"{OWN_TOKENS + 40 * len(parts)},{ANSWER_TOKENS}",
            "Prompt-Prefix": ",".join(prompt),
            "Content-Length": str(len(body)),
        }
        rows = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"POST /stream/x HTTP/1.1\r\n{rows}\r\n".encode() + body)
        answer = await asyncio.wait_for(read_answer(reader), 2 * ANSWER_TIMEOUT_S)
        writer.close()
        retry_after = answer.headers.get("retry-after")
        result = Call(at, parts, answer.status, answer.complete, retry_after)
        self.calls.append(result)
        return result

    async def press(self, seconds: float, calls_per_s: float, *parts: str) -> None:
        """Send requests with these parts at an even pace, to the instances in turn."""
        loop = asyncio.get_running_loop()
        names, began_s, tasks = list(self.gateways), loop.time(), []
        for number in range(round(seconds * calls_per_s)):
            await asyncio.sleep(max(0.0, began_s + number / calls_per_s - loop.time()))
            tasks.append(loop.create_task(self.call(names[number % len(names)], *parts)))
        await asyncio.gather(*tasks)

    def find_served_share(self, begin: int, *parts: str) -> float:
        """Return the share of requests with just these parts, sent from ``begin`` on, served."""
        calls = [call for call in self.calls if call.at >= begin and call.parts == parts]
        assert len(calls) >= 20, "too few requests to tell"
        return sum(call.served for call in calls) / len(calls)


@asynccontextmanager
async def run_group(instances: int, engines: int = 14, late: int = 0):
    """Run gateways that know each other, before engines that end under one part.

    ``late`` further instances are listed and do not run.
    """
    fleet, members = EngineFleet(engines), make_members(instances + late)
    await fleet.start()
    async with AsyncExitStack() as stack:
        gateways = {
            name: await stack.enter_async_context(
                run_member(name, members, fleet.listing, ENGINES_CATALOG, "least_cost")
            )
            for name in list(members)[:instances]
        }
        while not all(is_settled(gateway, len(members)) for gateway in gateways.values()):
            await asyncio.sleep(0.01)
        yield EngineGroup(gateways, fleet, members)
    fleet.close()
