"""Gateways in the test process before upstreams that end under certain whole requests.

A deadly request is one of a path, a team and a body. It comes again with a new id after each
failure, at the next instance, as callers who want an answer send it.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import AsyncIterator, Iterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace

from lentilwell._clock import SystemClock
from lentilwell.gateway import Entry, Gateway, Member, ServiceSpec, Team, Upstream
from standins.answer_reader import read_answer
from standins.batch import ENGINE
from standins.batch_server import BatchServer
from standins.crashing_server import CrashingServer, CrashPoint
from standins.deadly_requests import DeadlyRecord
from standins.received_request import ReceivedRequest, RequestContent
from standins.restarting_fleet import EXPIRY_S, RESTART_S, ListedServer, RestartingFleet
from tests.gateway_harness import ANSWER_TIMEOUT_S, CATALOG, HOST, KEY, FakeFeed, make_route
from tests.limited_upstreams import is_settled, make_members, run_member

SEED = 20_261_205
UPSTREAMS = 12
# Callers come back to a failed request after a time between these, or when they are told to.
REPEAT_S = (0.3, 0.6)
CALM_S = 1.5
INCIDENT_S = 9.0


@dataclass(frozen=True)
class Pace:
    """How many sound requests come at one moment, how often, and how long they take."""

    batch: int
    interval_s: float
    service_s: tuple[float, float]


STEADY = Pace(10, 1 / 3, (0.03, 0.15))
# With these, every upstream has several sound requests when a deadly one comes.
CROWDED = Pace(42, 0.5, (0.2, 0.3))
AFTER_BATCH_S = 0.12
PROMPT_TOKENS = 4_960
ANSWER_TOKENS = 200
FIRST, SECOND = "first", "second"
DEADLY = (FIRST, SECOND)
SHARED_PARTS = {FIRST: "aaa0", SECOND: "bbb0"}
TEAM, OTHER_TEAM = "blue", "green"
KEYS = {TEAM: KEY, OTHER_TEAM: "key-2"}
# This upstream comes back under a new name, the others under their old one.
RENAMED_END = 2
CLOCK = SystemClock()
DEADLY_CATALOG = replace(CATALOG, teams=tuple(Team(name, (KEYS[name],), None) for name in KEYS))
ENGINES_CATALOG = replace(
    DEADLY_CATALOG,
    routes=(make_route("stream", timeout_ms=10_000),),
    services={"s": ServiceSpec("s", "/health", 100, ENGINE)},
)


@dataclass(frozen=True)
class Case:
    """Requests of one route, and how upstreams end under the deadly ones.

    With ``one_path``, all requests have the same path, so that only their bodies differ. If
    ``crowded``, deadly requests come just after a batch of sound ones.
    """

    kind: str
    point: CrashPoint = CrashPoint.BEGIN
    one_path: bool = False
    crowded: bool = False

    @property
    def pace(self) -> Pace:
        """Return the pace of the sound requests."""
        return CROWDED if self.crowded else STEADY

    @property
    def streams(self) -> bool:
        """Tell whether the requests go to engines."""
        return self.kind == "stream"

    def make_deadly(self, name: str) -> RequestContent:
        """Return one of the two deadly requests."""
        path = "x" if self.one_path else name
        return RequestContent(f"/{self.kind}/{path}", TEAM, f"deadly {name}".encode())

    def make_sound(self, number: int, team: str = TEAM) -> RequestContent:
        """Return a sound request with a body of its own."""
        path = "x" if self.one_path else f"x{number % 7}"
        return RequestContent(f"/{self.kind}/{path}", team, f"sound {number}".encode())


@dataclass(frozen=True)
class Call:
    """A request that was answered; ``at`` is when it was sent, in ms."""

    at: int
    content: RequestContent
    status: int
    complete: bool
    retry_after: str | None

    @property
    def served(self) -> bool:
        """Tell whether the caller got its whole answer."""
        return self.status == 200 and self.complete

    @property
    def is_refused_for_long(self) -> bool:
        """Tell whether the caller shall stay away for longer than a fault of one place lasts."""
        return self.status == 503 and float(self.retry_after or 0) > 1.0


@dataclass
class DeadlyGroup:
    """Gateways by name, before upstreams that end under the deadly requests of a case."""

    case: Case
    gateways: dict[str, Gateway]
    fleet: RestartingFleet
    listing: FakeFeed
    record: DeadlyRecord
    members: dict[str, Member]
    draw: random.Random
    calls: list[Call] = field(default_factory=list)
    next_batch_s: float = 0.0
    numbers: Iterator[int] = field(default_factory=itertools.count)

    @asynccontextmanager
    async def run_late_instance(self, name: str) -> AsyncIterator[None]:
        """Run a further gateway, which was listed from the start."""
        async with run_instance(name, self.members, self.listing, self.case) as gateway:
            self.gateways[name] = gateway
            while not gateway.ready:
                await asyncio.sleep(0.01)
            yield
            del self.gateways[name]

    def pick_instance(self, number: int) -> str:
        """Return an instance by number; numbers that follow each other name different ones."""
        return list(self.gateways)[number % len(self.gateways)]

    async def call(self, instance: str, content: RequestContent, method: str = "POST") -> Call:
        """Send a request with a new id, and record the result."""
        at, number = CLOCK.now(), next(self.numbers)
        port = self.gateways[instance].callers_port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        headers = {
            "Host": HOST,
            "Request-Id": f"r{number}",
            "Credential": KEYS[content.team],
            "Deadline-Ms": "8000" if self.case.streams else "3000",
            "Content-Length": str(len(content.body)),
        }
        if self.case.streams:
            headers["Token-Count"] = f"{PROMPT_TOKENS + 40},{ANSWER_TOKENS}"
            headers["Prompt-Prefix"] = self._format_prompt(content)
        rows = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"{method} {content.path} HTTP/1.1\r\n{rows}\r\n".encode() + content.body)
        answer = await asyncio.wait_for(read_answer(reader), 2 * ANSWER_TIMEOUT_S)
        writer.close()
        retry_after = answer.headers.get("retry-after")
        result = Call(at, content, answer.status, answer.complete, retry_after)
        self.calls.append(result)
        return result

    async def run_incident(self) -> None:
        """Send sound requests all the time, and after a while both deadly ones beside them."""
        sound = asyncio.create_task(self.press(CALM_S + INCIDENT_S))
        await asyncio.sleep(CALM_S)
        await asyncio.gather(*(self.repeat(name, INCIDENT_S) for name in DEADLY))
        await sound

    async def repeat(self, name: str, seconds: float) -> None:
        """Send a deadly request, and again after each failure, for this long."""
        loop = asyncio.get_running_loop()
        until_s, content = loop.time() + seconds, self.case.make_deadly(name)
        for number in itertools.count(self.draw.randrange(len(self.gateways))):
            call = await self.call(self.pick_instance(number), content)
            wait_s = self._find_wait_s(call)
            if loop.time() + wait_s >= until_s:
                return
            await asyncio.sleep(wait_s)

    async def press(self, seconds: float) -> None:
        """Send sound requests, several at one moment, to all instances in turn."""
        loop, pace = asyncio.get_running_loop(), self.case.pace
        began_s, tasks = loop.time(), []
        for batch in range(round(seconds / pace.interval_s)):
            await asyncio.sleep(max(0.0, began_s + batch * pace.interval_s - loop.time()))
            for _ in range(pace.batch):
                number = next(self.numbers)
                content = self.case.make_sound(number)
                tasks.append(loop.create_task(self.call(self.pick_instance(number), content)))
            self.next_batch_s = began_s + (batch + 1) * pace.interval_s
        await asyncio.gather(*tasks)

    def list_sound(self, begin: int) -> list[Call]:
        """Return the calls of sound requests that were sent from ``begin`` on."""
        deadly = [self.case.make_deadly(name) for name in DEADLY]
        return [call for call in self.calls if call.at >= begin and call.content not in deadly]

    def _find_wait_s(self, call: Call) -> float:
        """Return how long the caller of a deadly request waits after a failure."""
        if self.case.crowded:
            wait_s = self.next_batch_s + AFTER_BATCH_S - asyncio.get_running_loop().time()
            return wait_s if wait_s >= REPEAT_S[0] else wait_s + self.case.pace.interval_s
        if call.status == 503 and call.retry_after is not None:
            return min(float(call.retry_after), REPEAT_S[1])
        return self.draw.uniform(*REPEAT_S)

    def _format_prompt(self, content: RequestContent) -> str:
        """Return the parts of a prompt: one that many have, and one that follows from the body."""
        name, number = content.body.decode().split()
        shared = SHARED_PARTS.get(number) or list(SHARED_PARTS.values())[int(number) % 2]
        return f"{shared}:40,{name.encode().hex()}{number.encode().hex()}:{PROMPT_TOKENS}"


def run_instance(name: str, members: dict[str, Member], listing: FakeFeed, case: Case):
    """Run one gateway of a group."""
    if case.streams:
        return run_member(name, members, listing, ENGINES_CATALOG, "least_cost")
    return run_member(name, members, listing, DEADLY_CATALOG)


@asynccontextmanager
async def run_group(
    instances: int,
    case: Case,
    upstreams: int = UPSTREAMS,
    late: int = 0,
    expiry_s: float = EXPIRY_S,
    restart_s: float = RESTART_S,
    service_s: tuple[float, float] | None = None,
):
    """Run gateways that know each other, before upstreams that end under two deadly requests.

    ``late`` further instances are listed and do not run. Plain upstreams take between the two times
    ``service_s`` for a sound request, those of the case's pace by default.
    """
    record = DeadlyRecord(CLOCK, {case.make_deadly(name): name for name in DEADLY})
    draw, listing, members = random.Random(SEED), FakeFeed(), make_members(instances + late)
    by_address: dict[str, BatchServer] = {}

    def build(name: str) -> CrashingServer | BatchServer:
        if case.streams:
            engine = BatchServer(name, by_address)
            engine.is_deadly, engine.on_request = record.is_deadly, record.record_request
            return engine
        return CrashingServer(
            name,
            record.is_deadly,
            case.point,
            lambda: draw.uniform(*(service_s or case.pace.service_s)),
            record.record_request,
        )

    async def publish(listed: Sequence[ListedServer]) -> None:
        listing.put(*map(make_entry, listed))

    def record_end(server: CrashingServer | BatchServer, cause: ReceivedRequest | None) -> None:
        record.record_crash(cause, count_running(server) - (cause is not None))

    fleet = RestartingFleet(
        "u",
        upstreams,
        build,
        publish,
        is_renamed=lambda end: end == RENAMED_END,
        on_end=record_end,
        expiry_s=expiry_s,
        restart_s=restart_s,
    )
    await fleet.start()
    async with AsyncExitStack() as stack:
        gateways = {
            name: await stack.enter_async_context(run_instance(name, members, listing, case))
            for name in list(members)[:instances]
        }
        while not all(is_settled(gateway, len(members)) for gateway in gateways.values()):
            await asyncio.sleep(0.01)
        yield DeadlyGroup(case, gateways, fleet, listing, record, members, draw)
    fleet.close()


def count_running(server: CrashingServer | BatchServer) -> int:
    """Return the number of requests that an upstream is working on."""
    return len(server.batch.jobs) if isinstance(server, BatchServer) else server.running


def make_entry(one: ListedServer) -> Entry:
    """Return the list entry of an upstream; each start is a new incarnation."""
    name, address = one.server.name, one.server.address
    return Entry(name, Upstream(name, "s", address, "dc", ENGINE.slots, False, born_ms=one.start))
