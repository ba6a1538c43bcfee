"""Callers that send calls of all kinds over kept connections, and write down what they get."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from lentilwell._clock import BootClock
from soak.desk import INSTANCE_HEADER, find_body
from soak.observations import Call, Kind, Look, Observations
from standins.answer_reader import Answer, read_answer
from standins.gateway_process import API_KEY, HOST

PAUSE_S = 0.05
LONGEST_RETRY_S = 0.5
CONNECT_S = 1.0
LOOK_EVERY = 12


@dataclass(frozen=True)
class Wish:
    """What a kind of call sends: its path, tokens in and out, and the deadline in ms."""

    path: str
    deadline_ms: int
    tokens: tuple[int, int] | None = None


WISHES = {
    Kind.LOOKUP: Wish("/w/x", 2_000),
    Kind.BOOKING: Wish("/o/x", 2_000),
    Kind.STREAM: Wish("/s/x", 4_000, (4_000, 500)),
    Kind.LONG: Wish("/l/x", 8_000, (330_000, 300)),
}
KINDS = tuple(WISHES)
SHARES = (10, 10, 6, 1)
EVENT_TOKENS = 51
NUMBERS = itertools.count(1)


class Caller:
    """One caller of one instance; it keeps its connection as long as the instance does."""

    def __init__(
        self,
        instance: str,
        address: tuple[str, int],
        find_life: Callable[[], int],
        seen: Observations,
        seed: int,
    ) -> None:
        self._instance = instance
        self._address = address
        self._find_life = find_life
        self._seen = seen
        self._random = random.Random(seed)
        self._clock = BootClock()
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self, stop: asyncio.Event) -> None:
        """Call until told to stop."""
        for turn in itertools.count(self._random.randrange(LOOK_EVERY)):
            if stop.is_set():
                break
            if turn % LOOK_EVERY == 0 and self._seen.versions:
                await self._look()
            else:
                await self._call(self._random.choices(KINDS, SHARES)[0])
            await asyncio.sleep(self._random.random() * 2 * PAUSE_S)
        self._drop()

    async def _call(self, kind: Kind) -> None:
        wish = WISHES[kind]
        request = f"{kind.value}-{next(NUMBERS)}"
        connected = await self._connect()
        sent_at = self._clock.now()
        answer = await self._ask(wish.path, request, wish) if connected else None
        if not connected:
            return
        call = Call(
            request=request,
            kind=kind,
            instance=self._instance,
            sent_at=sent_at,
            ended_at=self._clock.now(),
            deadline_ms=wish.deadline_ms,
            status=answer.status if answer is not None else None,
            whole=answer is not None and answer.complete,
            retry_after=answer.headers.get("retry-after") if answer is not None else None,
            missing=find_missing(request, wish, answer) if answer is not None else "",
        )
        self._seen.calls.append(call)
        if call.retry_after is not None:
            await asyncio.sleep(min(LONGEST_RETRY_S, float(call.retry_after)))

    async def _look(self) -> None:
        """Ask for the route that the newest version has added."""
        version = max(self._seen.versions)
        life, sent_at = self._find_life(), self._clock.now()
        if not await self._connect():
            return
        wish = WISHES[Kind.LOOKUP]
        answer = await self._ask(f"/v{version}/x", f"look-{next(NUMBERS)}", wish)
        if answer is not None and life == self._find_life():
            look = Look(version, self._instance, life, sent_at, answer.status)
            self._seen.looks.append(look)

    async def _connect(self) -> bool:
        if self._connection is not None and not self._connection[0].at_eof():
            return True
        self._drop()
        try:
            async with asyncio.timeout(CONNECT_S):
                self._connection = await asyncio.open_connection(*self._address)
        except (OSError, TimeoutError):
            return False
        return True

    async def _ask(self, path: str, request: str, wish: Wish) -> Answer | None:
        """Make one call; return None where the connection ended without the head of an answer."""
        assert self._connection is not None
        reader, writer = self._connection
        rows = {
            "Host": HOST,
            "Request-Id": request,
            "Credential": API_KEY,
            "Deadline-Ms": str(wish.deadline_ms),
            INSTANCE_HEADER: self._instance,
            "Content-Length": "0",
        }
        if wish.tokens is not None:
            rows["Token-Count"] = f"{wish.tokens[0]},{wish.tokens[1]}"
        text = "".join(f"{name}: {value}\r\n" for name, value in rows.items())
        try:
            writer.write(f"POST {path} HTTP/1.1\r\n{text}\r\n".encode())
            async with asyncio.timeout(wish.deadline_ms / 1_000 * 2):
                answer = await read_answer(reader)
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            self._drop()
            return None
        if answer.headers.get("connection") == "close" or not answer.complete:
            self._drop()
        return answer

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None


def find_missing(request: str, wish: Wish, answer: Answer) -> str:
    """Return what is wrong with a whole answer, nothing where it is as it should be."""
    if answer.status != 200:
        return ""
    if answer.headers.get("request-id") != request:
        return f"it belongs to {answer.headers.get('request-id')}"
    if wish.tokens is None:
        return "" if answer.body == find_body(request) else f"its body is {answer.body[:40]!r}"
    found = [int(line[4:]) for line in answer.body.split(b"\n") if line.startswith(b"id: ")]
    expected = list(range(1, wish.tokens[1] // EVENT_TOKENS + 1))
    return "" if found == expected else f"its events are {found}"
