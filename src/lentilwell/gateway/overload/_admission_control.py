"""Holds requests until it is their turn to be placed again.

A turn does not promise room: the request is placed again and may have to wait for its next turn.
Turns come when a request of this instance ends, when a held one was sent, and at random intervals,
so that instances which see the same free slots do not all use them at the same moment.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from lentilwell._clock import Clock
from lentilwell.gateway.overload._first_event_errors import FirstEventErrors
from lentilwell.gateway.overload._hold_queue import HeldRequest, HoldQueue
from lentilwell.gateway.overload._shortage import YIELD_GAP_MS, Shortage

# The bounds of the random time between two turns, while requests are held that can still be on time
# and else: every turn costs a choice among all upstreams.
ON_TIME_TURNS_MS = (15, 45)
LATE_TURNS_MS = (40, 120)


@dataclass
class ServiceHolds:
    """The held requests of one service with their turns, and what was learned of its room.

    ``shortages`` are the latest ones of each rank.
    """

    queue: HoldQueue = field(default_factory=HoldQueue)
    turns: dict[str, asyncio.Future[bool]] = field(default_factory=dict)
    shortages: dict[int, Shortage] = field(default_factory=dict)
    errors: FirstEventErrors = field(default_factory=FirstEventErrors)
    timer: asyncio.Handle | None = None
    due_now: bool = False

    def record_shortage(self, rank: int, now: int) -> None:
        """Record that a request of this rank lacks room."""
        self.shortages.setdefault(rank, Shortage()).record(now)

    def find_short_ms(self, rank: int, now: int) -> int:
        """Return how long requests of this rank or more urgent ones have lacked room."""
        lasting = (one.measure_ms(now) for at, one in self.shortages.items() if at <= rank)
        return max(lasting, default=0)

    def must_yield(self, rank: int, now: int) -> bool:
        """Tell whether more urgent requests than those of this rank lack room."""
        return any(at < rank and one.lasts(now, YIELD_GAP_MS) for at, one in self.shortages.items())


class AdmissionControl:
    """The held requests of an instance. With ``enabled`` unset, no request is held.

    It must be used only from the thread of the event loop.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.enabled = True
        self._clock = clock
        self._random = rng
        self._services: dict[str, ServiceHolds] = {}
        self._numbers = itertools.count()

    def find_holds(self, service: str) -> ServiceHolds:
        """Return the held requests of a service."""
        holds = self._services.get(service)
        if holds is None:
            holds = self._services[service] = ServiceHolds()
        return holds

    def make_name(self) -> str:
        """Return a name for a request that no other held request has."""
        return str(next(self._numbers))

    async def wait_for_turn(self, service: str, held: HeldRequest, max_ms: float) -> bool:
        """Hold a request until its next turn, at most for ``max_ms``; tell whether its turn came.

        The request stays in the queue after its turn, until ``leave`` is called.
        """
        holds = self.find_holds(service)
        if held.name not in holds.queue:
            holds.queue.add(held)
        loop = asyncio.get_running_loop()
        turn: asyncio.Future[bool] = loop.create_future()
        holds.turns[held.name] = turn
        time_up = loop.call_later(max(0.0, max_ms) / 1_000, _end_wait, turn, False)
        self._schedule(service, holds)
        try:
            return await turn
        finally:
            time_up.cancel()
            holds.turns.pop(held.name, None)

    def leave(self, service: str, name: str, sent: bool) -> None:
        """Remove a request from the queue; if it is sent, the next one gets its turn at once."""
        holds = self.find_holds(service)
        if not sent:
            holds.queue.remove(name)
            return
        holds.queue.release(name, self._clock.now())
        self.wake(service)

    def wake(self, service: str) -> None:
        """Give the next requests of a service their turn, because there may be room."""
        holds = self._services.get(service)
        if holds is None or not holds.queue or holds.due_now:
            return
        if holds.timer is not None:
            holds.timer.cancel()
        holds.due_now = True
        holds.timer = asyncio.get_running_loop().call_soon(self._give_turns, service)

    def wake_all(self) -> None:
        """Give every held request its turn, because what may be sent has changed."""
        for holds in self._services.values():
            for turn in list(holds.turns.values()):
                _end_wait(turn, True)

    def count_held(self) -> Iterator[tuple[str, int, int]]:
        """Yield the service, the rank and the number of the requests that are held."""
        for service, holds in self._services.items():
            counts: dict[int, int] = {}
            for held in holds.queue:
                counts[held.rank] = counts.get(held.rank, 0) + 1
            for rank, count in counts.items():
                yield service, rank, count

    def _schedule(self, service: str, holds: ServiceHolds) -> None:
        if holds.timer is not None:
            return
        on_time = holds.queue.find_next(late=False, now=self._clock.now()) is not None
        delay_ms = self._random.uniform(*(ON_TIME_TURNS_MS if on_time else LATE_TURNS_MS))
        loop = asyncio.get_running_loop()
        holds.timer = loop.call_later(delay_ms / 1_000, self._give_turns, service)

    def _give_turns(self, service: str) -> None:
        """Give the first request that can be on time its turn, and after it the first late one."""
        holds = self._services[service]
        holds.timer, holds.due_now = None, False
        now = self._clock.now()
        for late in (False, True):
            held = holds.queue.find_next(late, now)
            turn = holds.turns.get(held.name) if held is not None else None
            if turn is not None:
                _end_wait(turn, True)
        if holds.queue:
            self._schedule(service, holds)


def _end_wait(turn: asyncio.Future[bool], given: bool) -> None:
    if not turn.done():
        turn.set_result(given)
