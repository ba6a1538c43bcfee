"""Load generators that send calls over persistent connections and record the answers."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from lentilwell._clock import BootClock
from soak.faulty_server import INSTANCE_HEADER, build_answer_body
from soak.observations import Call, Kind, Observations, RouteProbe
from standins.answer_reader import Answer, read_answer
from standins.gateway_process import API_KEY, HOST

MEAN_PAUSE_S = 0.05
MAX_RETRY_DELAY_S = 0.5
CONNECT_TIMEOUT_S = 1.0
CALLS_PER_PROBE = 12


@dataclass(frozen=True)
class CallTemplate:
    """Path, deadline and token counts (prompt, answer) that all calls of one kind send."""

    path: str
    deadline_ms: int
    tokens: tuple[int, int] | None = None


TEMPLATES = {
    Kind.LOOKUP: CallTemplate("/w/x", 2_000),
    Kind.BOOKING: CallTemplate("/o/x", 2_000),
    Kind.STREAM: CallTemplate("/s/x", 4_000, (4_000, 500)),
    Kind.LONG: CallTemplate("/l/x", 8_000, (330_000, 300)),
}
KINDS = tuple(TEMPLATES)
KIND_WEIGHTS = (10, 10, 6, 1)
TOKENS_PER_EVENT = 51
request_numbers = itertools.count(1)

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Caller:
    """Sends calls to one instance, one at a time, over a connection reused until it is closed.

    ``get_incarnation`` returns the current incarnation of the instance.
    """

    def __init__(
        self,
        instance: str,
        address: tuple[str, int],
        get_incarnation: Callable[[], int],
        observations: Observations,
        seed: int,
    ) -> None:
        self._instance = instance
        self._address = address
        self._get_incarnation = get_incarnation
        self._observations = observations
        self._random = random.Random(seed)
        self._clock = BootClock()
        self._connection: Connection | None = None

    async def run(self, stop: asyncio.Event) -> None:
        """Send calls until ``stop`` is set; every ``CALLS_PER_PROBE``-th call is a route probe."""
        for iteration in itertools.count(self._random.randrange(CALLS_PER_PROBE)):
            if stop.is_set():
                break
            if iteration % CALLS_PER_PROBE == 0 and self._observations.version_times:
                await self._probe_newest_route()
            else:
                await self._call(self._random.choices(KINDS, KIND_WEIGHTS)[0])
            await asyncio.sleep(self._random.random() * 2 * MEAN_PAUSE_S)
        self._close_connection()

    async def _call(self, kind: Kind) -> None:
        template = TEMPLATES[kind]
        request = f"{kind.value}-{next(request_numbers)}"
        connected = await self._connect()
        sent_at = self._clock.now()
        answer = await self._send(template.path, request, template) if connected else None
        if not connected:
            return
        call = Call(
            request=request,
            kind=kind,
            instance=self._instance,
            sent_at=sent_at,
            ended_at=self._clock.now(),
            deadline_ms=template.deadline_ms,
            status=answer.status if answer is not None else None,
            whole=answer is not None and answer.complete,
            retry_after=answer.headers.get("retry-after") if answer is not None else None,
            missing=describe_mismatch(request, template, answer) if answer is not None else "",
        )
        self._observations.calls.append(call)
        if call.retry_after is not None:
            await asyncio.sleep(min(MAX_RETRY_DELAY_S, float(call.retry_after)))

    async def _probe_newest_route(self) -> None:
        """Call the route added by the newest configuration version and record the status.

        An answer is dropped if the instance was restarted during the call.
        """
        version = max(self._observations.version_times)
        incarnation, sent_at = self._get_incarnation(), self._clock.now()
        if not await self._connect():
            return
        template = TEMPLATES[Kind.LOOKUP]
        answer = await self._send(f"/v{version}/x", f"look-{next(request_numbers)}", template)
        if answer is not None and incarnation == self._get_incarnation():
            probe = RouteProbe(version, self._instance, incarnation, sent_at, answer.status)
            self._observations.probes.append(probe)

    async def _connect(self) -> bool:
        if self._connection is not None and not self._connection[0].at_eof():
            return True
        self._close_connection()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._connection = await asyncio.open_connection(*self._address)
        except (OSError, TimeoutError):
            return False
        return True

    async def _send(self, path: str, request: str, template: CallTemplate) -> Answer | None:
        """Send one call; return None if the connection fails or times out before an answer head."""
        assert self._connection is not None
        answer = await send_call(self._connection, self._instance, path, request, template)
        if answer is None or closes_connection(answer):
            self._close_connection()
        return answer

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None


async def call_once(
    instance: str, address: tuple[str, int], template: CallTemplate
) -> Answer | None:
    """Send one call with a new id on a connection of its own."""
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        connection = await asyncio.open_connection(*address)
    try:
        request = f"once-{next(request_numbers)}"
        return await send_call(connection, instance, template.path, request, template)
    finally:
        connection[1].close()


async def send_call(
    connection: Connection, instance: str, path: str, request: str, template: CallTemplate
) -> Answer | None:
    """Send one call; return None if the connection fails or times out before an answer head."""
    reader, writer = connection
    headers = {
        "Host": HOST,
        "Request-Id": request,
        "Credential": API_KEY,
        "Deadline-Ms": str(template.deadline_ms),
        INSTANCE_HEADER: instance,
        "Content-Length": "0",
    }
    if template.tokens is not None:
        headers["Token-Count"] = f"{template.tokens[0]},{template.tokens[1]}"
    header_lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    try:
        writer.write(f"POST {path} HTTP/1.1\r\n{header_lines}\r\n".encode())
        async with asyncio.timeout(template.deadline_ms / 1_000 * 2):
            return await read_answer(reader)
    except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
        return None


def closes_connection(answer: Answer) -> bool:
    """Tell whether an answer is the last one on its connection."""
    return answer.headers.get("connection") == "close" or not answer.complete


def describe_mismatch(request: str, template: CallTemplate, answer: Answer) -> str:
    """Return what is wrong with the body or request id of a success, or an empty string."""
    if answer.status != 200:
        return ""
    if answer.headers.get("request-id") != request:
        return f"it belongs to {answer.headers.get('request-id')}"
    if template.tokens is None:
        return (
            "" if answer.body == build_answer_body(request) else f"its body is {answer.body[:40]!r}"
        )
    event_ids = [int(line[4:]) for line in answer.body.split(b"\n") if line.startswith(b"id: ")]
    expected_ids = list(range(1, template.tokens[1] // TOKENS_PER_EVENT + 1))
    return "" if event_ids == expected_ids else f"its events are {event_ids}"
