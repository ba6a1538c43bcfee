"""Callers that send bookings, lookups and streams on kept connections and on new ones."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from lentilwell._clock import Clock
from soak.callers import (
    CallTemplate,
    Connection,
    closes_connection,
    describe_mismatch,
    request_numbers,
    send_call,
)
from soak.observations import Call, Kind
from standins.gateway_process import Instance

KEPT_SHARE = 0.7
# The share of pauses between two calls that last up to the longest that a caller keeps a
# connection idle, and that longest time as a share of the idle limit.
LONG_PAUSE_SHARE = 0.15
IDLE_SHARE = 0.8
MEAN_PAUSE_S = 0.06
CONNECT_TIMEOUT_S = 2.0
TEMPLATES = {
    Kind.LOOKUP: CallTemplate("/w/x", 2_000),
    Kind.BOOKING: CallTemplate("/o/x", 4_000),
    Kind.STREAM: CallTemplate("/s/x", 10_000, (4_000, 500)),
}


@dataclass(frozen=True)
class SentCall:
    """A call, and whether its connection had carried another one before."""

    call: Call
    kept: bool


@dataclass
class MixedCaller:
    """Sends calls of ``kinds`` one after another, and records them in ``sent``.

    ``get_idle_limit_ms`` returns the idle limit that the caller goes by.
    """

    instances: Sequence[Instance]
    kinds: Sequence[Kind]
    clock: Clock
    get_idle_limit_ms: Callable[[], int]
    random: random.Random
    sent: list[SentCall] = field(default_factory=list)
    _connection: Connection | None = None
    _instance: Instance | None = None
    _idle_since: int = 0

    async def run(self, stop: asyncio.Event) -> None:
        """Send calls until ``stop`` is set."""
        while not stop.is_set():
            await self._call(self.random.choice(self.kinds))
            await asyncio.sleep(self._draw_pause_s())
        self._close_connection()

    def _draw_pause_s(self) -> float:
        if self.random.random() < LONG_PAUSE_SHARE:
            longest_s = IDLE_SHARE * self.get_idle_limit_ms() / 1_000
            return self.random.uniform(longest_s / 2, longest_s)
        return self.random.expovariate(1 / MEAN_PAUSE_S)

    async def _call(self, kind: Kind) -> None:
        kept = self._may_reuse() and self.random.random() < KEPT_SHARE
        if not kept:
            await self._connect()
        if self._connection is None or self._instance is None:
            return
        request = f"{kind.value}-{next(request_numbers)}"
        template, sent_at = TEMPLATES[kind], self.clock.now()
        answer = await send_call(
            self._connection, self._instance.name, template.path, request, template
        )
        if answer is None or closes_connection(answer):
            self._close_connection()
        self._idle_since = self.clock.now()
        call = Call(
            request=request,
            kind=kind,
            instance=self._instance.name,
            sent_at=sent_at,
            ended_at=self.clock.now(),
            deadline_ms=template.deadline_ms,
            status=answer.status if answer is not None else None,
            whole=answer is not None and answer.complete,
            missing=describe_mismatch(request, template, answer) if answer is not None else "",
        )
        self.sent.append(SentCall(call, kept))

    def _may_reuse(self) -> bool:
        if self._connection is None:
            return False
        reader, writer = self._connection
        ended = reader.at_eof() or reader.exception() is not None or writer.is_closing()
        idle_ms = self.clock.now() - self._idle_since
        return not ended and idle_ms <= IDLE_SHARE * self.get_idle_limit_ms()

    async def _connect(self) -> None:
        self._close_connection()
        self._instance = self.random.choice(self.instances)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._connection = await asyncio.open_connection(
                    self._instance.ip, self._instance.front_port
                )
        except (OSError, TimeoutError):
            self._connection = None

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None
