"""Callers that send deadly requests again and again beside sound ones.

A deadly request is one of a path, a team and a body. It comes again with a new id after each
failure, at the next instance, as callers who want an answer send it.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from lentilwell._clock import MS_PER_SECOND, Clock
from standins.answer_reader import read_answer
from standins.crashing_server import CrashPoint
from standins.deadly_requests import DeadlyRecord
from standins.received_request import RequestContent
from standins.restarting_fleet import RESTART_S

# Callers come back to a failed request after a time between these, or when they are told to.
REPEAT_S = (0.3, 0.6)
CALM_S = 1.5
MORE_S = 1.0
MAX_MORE_ROUNDS = 6
ANSWER_TIMEOUT_S = 12
FIRST, SECOND = "first", "second"
DEADLY = (FIRST, SECOND)
SHARED_PARTS = {FIRST: "aaa0", SECOND: "bbb0"}
TEAM = "blue"


@dataclass(frozen=True)
class Pace:
    """How many sound requests come at one moment, how often, and how long they take."""

    batch: int
    interval_s: float
    service_s: tuple[float, float]


STEADY = Pace(10, 1 / 3, (0.03, 0.15))
# With these, every upstream has several sound requests when a deadly one comes.
CROWDED = Pace(42, 0.9, (0.45, 0.55))
AFTER_BATCH_S = 0.25
PROMPT_TOKENS = 4_960
ANSWER_TOKENS = 200


@dataclass(frozen=True)
class Case:
    """Requests of one route, and how upstreams end under the deadly ones.

    ``prefix`` is the first part of their paths, the kind by default. With ``one_path``, all have
    the same path, so that only their bodies differ. If ``crowded``, deadly requests come just after
    a batch of sound ones.
    """

    kind: str
    point: CrashPoint = CrashPoint.BEGIN
    one_path: bool = False
    crowded: bool = False
    prefix: str = ""

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
        return RequestContent(
            f"/{self.prefix or self.kind}/{path}", TEAM, f"deadly {name}".encode()
        )

    def make_sound(self, number: int, team: str = TEAM) -> RequestContent:
        """Return a sound request with a body of its own."""
        path = "x" if self.one_path else f"x{number % 7}"
        return RequestContent(
            f"/{self.prefix or self.kind}/{path}", team, f"sound {number}".encode()
        )


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


@dataclass(frozen=True)
class Target:
    """Where an instance takes requests of callers."""

    name: str
    ip: str
    port: int


@dataclass
class DeadlyLoad:
    """The callers of a case; ``keys`` holds the key of each team.

    ``list_targets`` returns the instances, to which the callers send in turn.
    """

    case: Case
    record: DeadlyRecord
    draw: random.Random
    clock: Clock
    host: str
    keys: Mapping[str, str]
    list_targets: Callable[[], Sequence[Target]]
    calls: list[Call] = field(default_factory=list)
    next_batch_s: float = 0.0
    numbers: Iterator[int] = field(default_factory=itertools.count)

    def pick_instance(self, number: int) -> str:
        """Return an instance by number; numbers that follow each other name different ones."""
        targets = self.list_targets()
        return targets[number % len(targets)].name

    async def call(self, instance: str, content: RequestContent, method: str = "POST") -> Call:
        """Send a request with a new id, and record the result."""
        at, number = self.clock.now(), next(self.numbers)
        target = next(one for one in self.list_targets() if one.name == instance)
        reader, writer = await asyncio.open_connection(target.ip, target.port)
        headers = {
            "Host": self.host,
            "Request-Id": f"r{number}",
            "Credential": self.keys[content.team],
            "Deadline-Ms": "8000" if self.case.streams else "3000",
            "Content-Length": str(len(content.body)),
        }
        if self.case.streams:
            headers["Token-Count"] = f"{PROMPT_TOKENS + 40},{ANSWER_TOKENS}"
            headers["Prompt-Prefix"] = self._format_prompt(content)
        rows = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"{method} {content.path} HTTP/1.1\r\n{rows}\r\n".encode() + content.body)
        answer = await asyncio.wait_for(read_answer(reader), ANSWER_TIMEOUT_S)
        writer.close()
        retry_after = answer.headers.get("retry-after")
        result = Call(at, content, answer.status, answer.complete, retry_after)
        self.calls.append(result)
        return result

    async def run_incident(self, seconds: float, contact_ms: int) -> None:
        """Send sound requests all the time, and after a while both deadly ones beside them.

        That goes on for a while if sound requests must be served only from the end on, as on a
        machine that is slow.
        """
        sound = asyncio.ensure_future(self.press(CALM_S + seconds))
        await asyncio.sleep(CALM_S)
        await asyncio.gather(*(self.repeat(name, seconds) for name in DEADLY))
        await sound
        for _ in range(MAX_MORE_ROUNDS):
            begin = self.find_begin(contact_ms)
            if begin is not None and self.clock.now() >= begin + MORE_S * MS_PER_SECOND:
                return
            await asyncio.gather(
                self.press(MORE_S), *(self.repeat(name, MORE_S) for name in DEADLY)
            )

    async def repeat(self, name: str, seconds: float) -> None:
        """Send a deadly request, and again after each failure, for this long."""
        loop = asyncio.get_running_loop()
        until_s, content = loop.time() + seconds, self.case.make_deadly(name)
        for number in itertools.count(self.draw.randrange(len(self.list_targets()))):
            call = await self.call(self.pick_instance(number), content)
            wait_s = self._find_wait_s(call)
            if loop.time() + wait_s >= until_s:
                return
            await asyncio.sleep(wait_s)

    async def press(self, seconds: float) -> None:
        """Send sound requests, several at one moment, to all instances in turn."""
        loop, pace = asyncio.get_running_loop(), self.case.pace
        began_s, tasks = loop.time(), list[asyncio.Future[Call]]()
        for batch in range(round(seconds / pace.interval_s)):
            await asyncio.sleep(max(0.0, began_s + batch * pace.interval_s - loop.time()))
            for _ in range(pace.batch):
                number = next(self.numbers)
                content = self.case.make_sound(number)
                tasks.append(asyncio.ensure_future(self.call(self.pick_instance(number), content)))
            self.next_batch_s = began_s + (batch + 1) * pace.interval_s
        await asyncio.gather(*tasks)

    def find_begin(self, contact_ms: int) -> int | None:
        """Return from when on sound requests must be served, in ms.

        That is once the instances know of both requests and the servers are back. None means that
        one of the two has ended no server.
        """
        record = self.record
        if not all(record.list_crashes(name) for name in DEADLY):
            return None
        last = [record.find_third_crash(name) or record.list_crashes(name)[-1] for name in DEADLY]
        return max(last) + contact_ms + round(RESTART_S * 1_000)

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
