"""Simulates instances that share an upstream's rate limit, with lost datagrams, cuts and restarts.

Every instance runs the gateway's own ``Permits``; the network, the callers and the upstream are
simulated, in simulated time. Other ways to share a limit run on the same load, for comparison.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from lentilwell._clock import MS_PER_SECOND
from lentilwell.gateway._catalog import Repeat, Route
from lentilwell.gateway._permit_owners import OwnerTable
from lentilwell.gateway._permit_patience import find_permit_patience_ms
from lentilwell.gateway._permits import Permits
from lentilwell.gateway._rate_limits import LimitReport, RateLimits
from lentilwell.gateway._upstreams import Upstream
from standins.limit_rule import GRACE_MS, count_worst_window
from standins.simulated_time import LoopClock, run_in_simulated_time

SERVICE_MS = 20
DEADLINE_MS = 3_000
DATA_CENTRES = ("a", "b", "c")
# Time within which the other instances read a changed list of instances.
LIST_LAG_MS = 2_000
SETTLE_MS = 3_000
UPSTREAM = Upstream("u", "s", "10.0.0.1:1", "a", 8, False, 1)
ROUTE = Route("r", "h", "/", (), Repeat.WHOLE, False, DEADLINE_MS, 300, 250, 0, 2, False)


@dataclass(frozen=True)
class Fault:
    """A fault of some instances, drawn by ``share``, from ``at_ms`` on for ``for_ms``.

    ``kind`` is ``kill``, ``freeze`` or ``cut``; instances that are cut off reach callers and the
    upstream, but no other instance.
    """

    kind: str
    at_ms: int
    for_ms: int
    share: float


@dataclass(frozen=True)
class LimitLoad:
    """A load on one limited upstream: ``calls_per_s`` of all instances together, for ``seconds``.

    ``loss`` is the share of datagrams that are lost. The limit ends at ``ends_at_ms``, if that is
    given. ``joins`` instances start halfway.
    """

    instances: int
    rate: float
    calls_per_s: float
    seconds: float = 20.0
    loss: float = 0.0
    faults: tuple[Fault, ...] = ()
    joins: int = 0
    ends_at_ms: int | None = None
    seed: int = 1


@dataclass
class LimitResult:
    """What a simulated load showed.

    ``worst_window`` is the largest number of requests in 4 s from instances that had been told,
    ``excused_window`` the same without instances that were restarted, frozen or cut off. ``used``
    is the share of the named rate that such requests used in the second half. ``waits_ms`` are the
    waits of the requests that were sent. ``datagrams`` are counted by sender. ``still_limited`` is
    the number of instances that believe in the limit at the end.
    """

    worst_window: int = 0
    excused_window: int = 0
    used: float = 0.0
    sent: int = 0
    refused: int = 0
    waits_ms: list[int] = field(default_factory=list)
    slowest_refusal_ms: int = 0
    datagrams: Counter[str] = field(default_factory=Counter)
    datagram_bytes: int = 0
    still_limited: int = 0


class Way(Protocol):
    """One instance's part in a way to share a limit."""

    async def acquire(self, patience_ms: int) -> int | None:
        """Return how long to wait before sending, in ms, or None if the request is refused."""


@dataclass
class Instance:
    """One simulated instance; ``told_at`` is when an answer first named the limit to it."""

    name: str
    index: int
    way: Way
    permits: Permits | None = None
    owners: OwnerTable | None = None
    rate_limits: RateLimits = field(default_factory=RateLimits)
    told_at: int | None = None
    stopped_until: int = 0
    killed: bool = False
    cut: bool = False
    excused: bool = False
    tasks: set[asyncio.Task[None]] = field(default_factory=set)


WAYS: dict[str, Callable[[LimitLoad, int, LoopClock], Way]] = {}
OWNER_PERMITS = "owner permits"


def way(
    name: str,
) -> Callable[
    [Callable[[LimitLoad, int, LoopClock], Way]], Callable[[LimitLoad, int, LoopClock], Way]
]:
    """Return a decorator that registers a way to share a limit, other than by owners' permits."""

    def register(
        make: Callable[[LimitLoad, int, LoopClock], Way],
    ) -> Callable[[LimitLoad, int, LoopClock], Way]:
        WAYS[name] = make
        return make

    return register


class _Paced:
    """Requests at least an interval apart, at this instance alone."""

    def __init__(self, clock: LoopClock, interval_ms: float, first_at: float) -> None:
        self._clock = clock
        self._interval_ms = interval_ms
        self._next_at = first_at

    async def acquire(self, patience_ms: int) -> int | None:
        """Return the wait for the next turn, if the request can wait for it."""
        now = self._clock.now()
        due_at = max(float(now), self._next_at)
        if due_at - now > patience_ms:
            return None
        self._next_at = due_at + self._interval_ms
        return round(due_at - now)


class _Refusing:
    async def acquire(self, patience_ms: int) -> int | None:
        """Refuse."""
        return None


@way("equal shares")
def share_equally(load: LimitLoad, index: int, clock: LoopClock) -> Way:
    """Each instance sends an equal share of the rate, and its first request at once."""
    return _Paced(clock, MS_PER_SECOND * load.instances / load.rate, 0.0)


@way("rotating turns")
def share_in_turns(load: LimitLoad, index: int, clock: LoopClock) -> Way:
    """The instances have turns, an interval each, by a clock that they share."""
    return _Rotating(clock, MS_PER_SECOND / load.rate, index, load.instances)


@way("subset")
def share_in_a_subset(load: LimitLoad, index: int, clock: LoopClock) -> Way:
    """So many instances send an equal share that their first requests stay within the allowance."""
    senders = max(1, min(load.instances, int(load.rate * 2)))
    if index >= senders:
        return _Refusing()
    return _Paced(clock, MS_PER_SECOND * senders / load.rate, 0.0)


class _Rotating:
    """One request in each turn of this instance."""

    def __init__(self, clock: LoopClock, turn_ms: float, index: int, instances: int) -> None:
        self._clock = clock
        self._turn_ms = turn_ms
        self._index = index
        self._instances = instances
        self._last_round = -1

    async def acquire(self, patience_ms: int) -> int | None:
        """Return the wait for the next unused turn, if the request can wait for it."""
        now = self._clock.now()
        cycle_ms = self._turn_ms * self._instances
        cycle = max(int(now // cycle_ms), self._last_round + 1)
        begins_at = cycle * cycle_ms + self._index * self._turn_ms
        if begins_at + self._turn_ms <= now:
            cycle, begins_at = cycle + 1, begins_at + cycle_ms
        wait_ms = max(0.0, begins_at - now)
        if wait_ms > patience_ms:
            return None
        self._last_round = cycle
        return round(wait_ms)


class _Permitted:
    """Permits of the upstream's owner, as the gateway obtains them."""

    def __init__(self, permits: Permits, rate_limits: RateLimits, clock: LoopClock) -> None:
        self._permits = permits
        self._rate_limits = rate_limits
        self._clock = clock

    async def acquire(self, patience_ms: int) -> int | None:
        """Return the wait for a permit, if one holds in time and the limit stays as it was."""
        if not self._rate_limits.is_limited(UPSTREAM.incarnation):
            return 0
        if self._permits.estimate_wait_ms(UPSTREAM) > patience_ms:
            return None
        permit = await self._permits.acquire(UPSTREAM, patience_ms, has_alternative=False)
        if permit is None:
            return None
        await asyncio.sleep(max(0, permit.holds_at - self._clock.now()) / MS_PER_SECOND)
        return 0 if self._permits.covers(UPSTREAM, permit) else None


class LimitSimulation:
    """Plays one load with one way to share the limit."""

    def __init__(self, load: LimitLoad, way_name: str) -> None:
        self._load = load
        self._way_name = way_name
        self._random = random.Random(load.seed)
        self._clock = LoopClock()
        self._instances: list[Instance] = []
        self._members: dict[str, str] = {}
        self._sends: list[tuple[int, str, bool]] = []
        self.result = LimitResult()

    async def run(self) -> LimitResult:
        """Play the load and return what it showed."""
        loop = asyncio.get_running_loop()
        for _ in range(self._load.instances):
            self._add_instance()
        for instance in self._instances:
            self._read_list(instance)
        # The owners by the first list have settled before the first call.
        await asyncio.sleep(SETTLE_MS / MS_PER_SECOND)
        self._begun_at = self._clock.now()
        for fault in self._load.faults:
            loop.call_later(fault.at_ms / MS_PER_SECOND, self._begin_fault, fault)
        if self._load.joins:
            loop.call_later(self._load.seconds / 2, self._join)
        await self._call_repeatedly()
        await asyncio.sleep(DEADLINE_MS / MS_PER_SECOND)
        self._summarize()
        return self.result

    def _add_instance(self) -> Instance:
        index = len(self._instances)
        name = f"i{index}"
        self._members[name] = DATA_CENTRES[index % len(DATA_CENTRES)]
        instance = Instance(name, index, _Refusing())
        self._instances.append(instance)
        self._start(instance)
        return instance

    def _start(self, instance: Instance) -> None:
        """Give an instance the state of a process that has just started."""
        instance.rate_limits, instance.told_at = RateLimits(), None
        if self._way_name != OWNER_PERMITS:
            instance.way = WAYS[self._way_name](self._load, instance.index, self._clock)
            return
        owners = OwnerTable(instance.name)
        permits = Permits(
            instance.name, self._clock, instance.rate_limits, owners, lambda name: UPSTREAM
        )
        permits.send = lambda target, data: self._transmit(instance, target, data)
        permits.reply = lambda address, data: self._reply(instance, address, data)
        permits.on_report = lambda report, source: self._learn_report(instance, report)
        instance.permits, instance.owners = permits, owners
        instance.way = _Permitted(permits, instance.rate_limits, self._clock)

    def _learn_report(self, instance: Instance, report: LimitReport) -> None:
        instance.rate_limits.update(report)

    def _read_list(self, instance: Instance) -> None:
        if instance.owners is not None:
            instance.owners.update_members(self._members, self._clock.now(), SETTLE_MS)

    def _join(self) -> None:
        """Add instances; the others read the list at different times within the lag."""
        loop = asyncio.get_running_loop()
        known = list(self._instances)
        for _ in range(self._load.joins):
            self._read_list(self._add_instance())
        for instance in known:
            loop.call_later(
                self._random.random() * LIST_LAG_MS / MS_PER_SECOND, self._read_list, instance
            )

    def _reply(self, sender: Instance, address: tuple[str, int], data: bytes) -> None:
        self._transmit(sender, address[0], data)

    def _transmit(self, sender: Instance, target: str, data: bytes) -> bool:
        """Deliver a datagram after a random delay, unless it is lost."""
        self.result.datagrams[sender.name] += 1
        self.result.datagram_bytes += len(data)
        receiver = self._instances[int(target[1:])]
        lost = self._random.random() < self._load.loss or sender.cut != receiver.cut
        if not lost:
            delay_s = self._random.uniform(0.3, 5.0) / MS_PER_SECOND
            asyncio.get_running_loop().call_later(
                delay_s, self._deliver, receiver, data, (sender.name, 0)
            )
        return True

    def _deliver(self, receiver: Instance, data: bytes, address: tuple[str, int]) -> None:
        if receiver.killed:
            return
        late_ms = receiver.stopped_until - self._clock.now()
        if late_ms > 0:
            asyncio.get_running_loop().call_later(
                late_ms / MS_PER_SECOND, self._deliver, receiver, data, address
            )
        elif receiver.permits is not None:
            receiver.permits.handle_datagram(data, address)

    def _begin_fault(self, fault: Fault) -> None:
        loop = asyncio.get_running_loop()
        count = max(1, round(fault.share * len(self._instances)))
        for instance in self._random.sample(self._instances, count):
            instance.excused = True
            until = self._clock.now() + fault.for_ms
            if fault.kind == "cut":
                instance.cut = True
            else:
                instance.stopped_until = until
                instance.killed = fault.kind == "kill"
            if instance.killed:
                for task in instance.tasks:
                    task.cancel()
            loop.call_later(fault.for_ms / MS_PER_SECOND, self._end_fault, instance)

    def _end_fault(self, instance: Instance) -> None:
        if instance.killed:
            instance.killed = False
            self._start(instance)
            self._read_list(instance)
        instance.cut = False

    async def _call_repeatedly(self) -> None:
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + self._load.seconds
        while loop.time() < ends_s:
            await asyncio.sleep(self._random.expovariate(self._load.calls_per_s))
            instance = self._random.choice(self._instances)
            if instance.killed:
                continue
            task = loop.create_task(self._call(instance))
            instance.tasks.add(task)
            task.add_done_callback(instance.tasks.discard)

    async def _call(self, instance: Instance) -> None:
        arrived_at = self._clock.now()
        await self._stand_still(instance)
        waited_ms = self._clock.now() - arrived_at
        patience_ms = find_permit_patience_ms(
            ROUTE, self._load.rate, waited_ms, DEADLINE_MS - waited_ms
        )
        wait_ms = await instance.way.acquire(patience_ms)
        if wait_ms is None:
            self.result.refused += 1
            took_ms = self._clock.now() - arrived_at
            if not instance.excused:
                self.result.slowest_refusal_ms = max(self.result.slowest_refusal_ms, took_ms)
            return
        await asyncio.sleep(wait_ms / MS_PER_SECOND)
        await self._stand_still(instance)
        await self._send(instance, arrived_at)

    async def _stand_still(self, instance: Instance) -> None:
        """Wait while the instance is frozen."""
        while (late_ms := instance.stopped_until - self._clock.now()) > 0:
            await asyncio.sleep(late_ms / MS_PER_SECOND)

    async def _send(self, instance: Instance, arrived_at: int) -> None:
        now = self._clock.now()
        bound = instance.told_at is not None and now >= instance.told_at + GRACE_MS
        limited = self._is_named(now)
        if limited:
            self._sends.append((now, instance.name, bound))
        self.result.sent += 1
        self.result.waits_ms.append(now - arrived_at)
        await asyncio.sleep(SERVICE_MS / MS_PER_SECOND)
        self._learn(instance, limited, now)

    def _is_named(self, now: int) -> bool:
        ends_at = self._load.ends_at_ms
        return ends_at is None or now - self._begun_at < ends_at

    def _learn(self, instance: Instance, limited: bool, sent_at: int) -> None:
        now, incarnation = self._clock.now(), UPSTREAM.incarnation
        if limited:
            if instance.told_at is None:
                instance.told_at = now
            change = instance.rate_limits.record_named(incarnation, self._load.rate, now)
        else:
            change = instance.rate_limits.record_unnamed(incarnation, sent_at, now)
        if change is not None and instance.permits is not None:
            instance.permits.tell_owners(UPSTREAM)

    def _summarize(self) -> None:
        result, load = self.result, self._load
        excused = {instance.name for instance in self._instances if instance.excused}
        bound = [at for at, _, told in self._sends if told]
        result.worst_window = count_worst_window(bound)
        result.excused_window = count_worst_window(
            [at for at, name, told in self._sends if told and name not in excused]
        )
        half_s = load.seconds / 2
        late = [at for at in bound if at >= self._begun_at + half_s * MS_PER_SECOND]
        result.used = len(late) / (load.rate * half_s) if load.rate else 0.0
        result.still_limited = sum(
            instance.rate_limits.is_limited(UPSTREAM.incarnation) for instance in self._instances
        )


def play_limits(load: LimitLoad, way_name: str = OWNER_PERMITS) -> LimitResult:
    """Play a load in simulated time and return what it showed."""

    async def play() -> LimitResult:
        return await LimitSimulation(load, way_name).run()

    result: LimitResult = run_in_simulated_time(play())
    return result
