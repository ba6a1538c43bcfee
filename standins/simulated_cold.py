"""Simulates instances before upstreams that become cold, with lost datagrams and lost owners.

Every instance runs the gateway's own ``Permits`` and ``ColdWatch``; the network, the callers, the
store's news and the upstreams are simulated, in simulated time.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from lentilwell._clock import MS_PER_SECOND
from lentilwell.gateway import ColdRules, Upstream
from lentilwell.gateway._load_tracker import Job, LoadTracker
from lentilwell.gateway._permit_owners import OwnerTable, rank_owners
from lentilwell.gateway._permit_patience import find_permit_patience_ms
from lentilwell.gateway._permits import Permits
from lentilwell.gateway._prober import PROBE_INTERVAL_MS
from lentilwell.gateway._rate_limits import LimitReport, RateLimits
from lentilwell.gateway.cold_start import DEFAULT_COLD_BOUNDS, ColdBounds, ColdWatch
from standins.simulated_limits import (
    DATA_CENTRES,
    DEADLINE_MS,
    LIST_LAG_MS,
    ROUTE,
    SETTLE_MS,
    UPSTREAM,
)
from standins.simulated_time import LoopClock, run_in_simulated_time

WINDOW_MS = MS_PER_SECOND
SERVICE_MS = 20
# Time within which the store's news reach an instance.
NEWS_MS = 300
DIGEST_MS = 400
COALESCE_MS = 4


@dataclass(frozen=True)
class ColdLoad:
    """``calls_per_s`` at each of ``upstreams`` in one data centre, which become cold at 2 s.

    They restart at that time, or become cold as they run if ``restarts`` is false. While they
    restart, they refuse connections for ``downtime_ms``; if it is 0, nobody notices the restart by
    that. ``loss`` is the share of datagrams that are lost. ``gone_owners`` of the first upstream
    are killed when it becomes cold, ``joins`` instances start then. ``deaf`` is the share of those
    that the store's news do not reach.
    """

    instances: int
    rules: ColdRules = field(default_factory=lambda: ColdRules(3_000, 14.0))
    bounds: ColdBounds = DEFAULT_COLD_BOUNDS
    calls_per_s: float = 40.0
    upstreams: int = 1
    restarts: bool = True
    downtime_ms: int = 500
    loss: float = 0.0
    gone_owners: int = 0
    joins: int = 0
    deaf: float = 0.0
    seed: int = 1

    @property
    def allowed(self) -> float:
        """Return how many requests a cold upstream may get in a window."""
        return self.rules.per_s * self.bounds.overage + self.bounds.slack


@dataclass
class ColdResult:
    """The largest number of requests in a window while cold, and what was sent and refused then.

    ``sent_warm`` counts the requests after the cold time.
    """

    worst_window: int = 0
    sent: int = 0
    refused: int = 0
    sent_warm: int = 0


@dataclass
class SimulatedUpstream:
    """An upstream that is cold until a time; ``arrivals`` are the requests that it got then."""

    entry: Upstream
    cold_from: int = 0
    cold_until: int = 0
    arrivals: list[int] = field(default_factory=list)


class ColdInstance:
    """One instance with what it knows of the upstreams."""

    def __init__(self, name: str, clock: LoopClock, load: ColdLoad) -> None:
        self.name = name
        self.alive = True
        self.deaf = False
        self.listed: dict[str, Upstream] = {}
        self.rate_limits = RateLimits()
        self.work = LoadTracker()
        self.watch = ColdWatch(clock, self.listed.get)
        self.watch.cold_upstreams.bounds = load.bounds
        self.watch.cold_upstreams.find_rules = lambda service: load.rules
        self.watch.on_cold = self._handle_cold
        self.work.on_change = self._handle_work
        self.rate_limits.find_temporary = self.watch.find_limit
        self.owners = OwnerTable(name)
        self.permits = Permits(name, clock, self.rate_limits, self.owners, self.listed.get)
        self.permits.on_report = self.learn
        self.digest_due = False
        self.unreachable: set[str] = set()
        self.report_soon: Callable[[], None] = lambda: None
        self._clock = clock
        self._slack = int(load.bounds.slack)

    def learn(self, report: LimitReport, source: str) -> None:
        """Take over what another instance reports."""
        if report.until is not None:
            self.watch.handle_report(report, source)
        else:
            self.rate_limits.update(report)

    def _handle_cold(self, upstream: Upstream, own: bool) -> None:
        jobs = self.work.measure_load(upstream.name, self._clock.now()).jobs
        sends = sum(job.begun_at > self._clock.now() - MS_PER_SECOND for job in jobs)
        self.permits.count_earlier_sends(upstream, sends - self._slack)
        if own:
            self.permits.tell_owners(upstream)
            self.report_soon()

    def _handle_work(self, urgent: bool) -> None:
        if urgent:
            self.report_soon()


class ColdSimulation:
    """Plays one load."""

    def __init__(self, load: ColdLoad) -> None:
        self._load = load
        self._random = random.Random(load.seed)
        self._clock = LoopClock()
        self._instances: dict[str, ColdInstance] = {}
        self._members: dict[str, str] = {}
        self._upstreams = [
            SimulatedUpstream(replace(UPSTREAM, name=f"u{number}"))
            for number in range(load.upstreams)
        ]
        self._tasks: set[asyncio.Task[None]] = set()
        self.result = ColdResult()

    async def run(self) -> ColdResult:
        """Play the load and return what it showed."""
        for _ in range(self._load.instances):
            self._add_instance()
        for instance in self._instances.values():
            self._read_members(instance)
        await asyncio.sleep(SETTLE_MS / MS_PER_SECOND)
        calls = [asyncio.ensure_future(self._call_repeatedly(one)) for one in self._upstreams]
        digests = asyncio.ensure_future(self._repeat_digests())
        await asyncio.sleep(2.0)
        if self._load.restarts and self._load.downtime_ms:
            await self._stand_down()
        self._become_cold()
        await asyncio.sleep(self._load.rules.start_ms / MS_PER_SECOND + 2.0)
        for task in (*calls, digests, *self._tasks):
            task.cancel()
        self.result.worst_window = max(map(count_worst_second, self._upstreams))
        return self.result

    def _add_instance(self) -> ColdInstance:
        name = f"i{len(self._instances)}"
        self._members[name] = DATA_CENTRES[len(self._instances) % len(DATA_CENTRES)]
        instance = self._instances[name] = ColdInstance(name, self._clock, self._load)
        instance.deaf = self._random.random() < self._load.deaf
        instance.permits.send = lambda target, data: self._transmit(name, target, data)
        instance.permits.reply = lambda address, data: self._reply(name, address, data)
        instance.report_soon = lambda: self._schedule_digest(instance)
        for upstream in self._upstreams:
            instance.listed[upstream.entry.name] = upstream.entry
        instance.watch.handle_entries(instance.listed.values(), is_first_listing=True)
        return instance

    def _read_members(self, instance: ColdInstance) -> None:
        instance.owners.update_members(self._members, self._clock.now(), SETTLE_MS)

    def _call_later(self, delay_ms: float, call: Callable[..., object], *arguments: Any) -> None:
        asyncio.get_running_loop().call_later(delay_ms / MS_PER_SECOND, call, *arguments)

    async def _stand_down(self) -> None:
        """Let the upstreams refuse connections; a probe finds that they accept them again."""
        for instance in self._instances.values():
            instance.unreachable = {upstream.entry.name for upstream in self._upstreams}
        await asyncio.sleep(self._load.downtime_ms / MS_PER_SECOND)
        for instance in self._instances.values():
            self._call_later(self._random.uniform(0, PROBE_INTERVAL_MS), self._reach, instance)

    def _reach(self, instance: ColdInstance) -> None:
        instance.unreachable = set()
        for upstream in instance.listed.values():
            instance.watch.handle_restart(upstream)

    def _become_cold(self) -> None:
        now = self._clock.now()
        for upstream in self._upstreams:
            upstream.cold_from, upstream.cold_until = now, now + self._load.rules.start_ms
            if self._load.restarts:
                upstream.entry = replace(upstream.entry, born_ms=self._clock.wall())
            upstream.entry = replace(upstream.entry, cold_ms=self._load.rules.start_ms)
            for instance in self._instances.values():
                if not instance.deaf:
                    delay_ms = self._random.uniform(0, NEWS_MS)
                    self._call_later(delay_ms, self._read_entry, instance, upstream.entry)
        owners = rank_owners(self._upstreams[0].entry, self._members)
        for name in (owners.primary, owners.stand_in)[: self._load.gone_owners]:
            if name is not None:
                self._instances[name].alive = False
        known = list(self._instances.values())
        for _ in range(self._load.joins):
            self._read_members(self._add_instance())
        for instance in known:
            self._call_later(self._random.uniform(0, LIST_LAG_MS), self._read_members, instance)

    def _read_entry(self, instance: ColdInstance, entry: Upstream) -> None:
        instance.listed[entry.name] = entry
        instance.watch.handle_entries([entry], is_first_listing=False)

    def _reply(self, sender: str, address: tuple[str, int], data: bytes) -> None:
        self._transmit(sender, address[0], data)

    def _transmit(self, sender: str, target: str, data: bytes) -> bool:
        if self._random.random() >= self._load.loss:
            self._call_later(self._random.uniform(0.3, 5.0), self._deliver, sender, target, data)
        return True

    def _deliver(self, sender: str, target: str, data: bytes) -> None:
        receiver = self._instances[target]
        if receiver.alive:
            receiver.permits.handle_datagram(data, (sender, 0))

    def _schedule_digest(self, instance: ColdInstance) -> None:
        if not instance.digest_due:
            instance.digest_due = True
            self._call_later(COALESCE_MS, self._send_digest, instance)

    def _send_digest(self, sender: ColdInstance) -> None:
        """Send the digest of an instance to all others; its times are sent as ages."""
        sender.digest_due = False
        sent_at, jobs = self._clock.now(), sender.work.list_own_jobs()
        reports = sender.watch.list_reports()
        for receiver in self._instances.values():
            lost = receiver is sender or self._random.random() < self._load.loss
            if receiver.alive and not lost:
                delay_ms = self._random.uniform(0.3, 5.0)
                self._call_later(
                    delay_ms, self._read_digest, sender, receiver, sent_at, jobs, reports
                )

    def _read_digest(
        self,
        sender: ColdInstance,
        receiver: ColdInstance,
        sent_at: int,
        jobs: tuple[Job, ...],
        reports: tuple[LimitReport, ...],
    ) -> None:
        receiver.work.update_peer(sender.name, jobs)
        for report in reports:
            until = (report.until or 0) + self._clock.now() - sent_at
            receiver.learn(replace(report, until=until), sender.name)

    async def _repeat_digests(self) -> None:
        while True:
            await asyncio.sleep(DIGEST_MS / MS_PER_SECOND)
            for instance in list(self._instances.values()):
                if instance.alive:
                    delay_ms = self._random.uniform(0, DIGEST_MS)
                    self._call_later(delay_ms, self._send_digest, instance)

    async def _call_repeatedly(self, upstream: SimulatedUpstream) -> None:
        while True:
            await asyncio.sleep(self._random.expovariate(self._load.calls_per_s))
            instance = self._random.choice(list(self._instances.values()))
            if instance.alive:
                task = asyncio.ensure_future(self._call(instance, upstream))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _call(self, instance: ColdInstance, upstream: SimulatedUpstream) -> None:
        entry = instance.listed[upstream.entry.name]
        if entry.name in instance.unreachable:
            return
        if not await self._acquire(instance, entry):
            self.result.refused += self._clock.now() < upstream.cold_until
            return
        now = self._clock.now()
        job = Job(f"{instance.name}/{now}/{id(entry)}", entry.name, now, 0.0, 0)
        instance.work.add(job)
        is_cold = upstream.cold_from <= now < upstream.cold_until
        if is_cold:
            upstream.arrivals.append(now)
            self.result.sent += 1
        elif now >= upstream.cold_until > 0:
            self.result.sent_warm += 1
        await asyncio.sleep(SERVICE_MS / MS_PER_SECOND)
        instance.work.remove(job.name, (entry.name,))
        if is_cold and instance.alive:
            remaining_ms = max(0, upstream.cold_until - self._clock.now())
            instance.watch.handle_answer(entry, str(remaining_ms))

    async def _acquire(self, instance: ColdInstance, entry: Upstream) -> bool:
        """Wait for a permit if one is needed; return whether the request may be sent."""
        if not instance.rate_limits.is_limited(entry.incarnation):
            return True
        rate = instance.rate_limits.find(entry.incarnation) or 0.0
        patience_ms = find_permit_patience_ms(ROUTE, rate, 0, DEADLINE_MS)
        if instance.permits.estimate_wait_ms(entry) > patience_ms:
            return False
        permit = await instance.permits.acquire(entry, patience_ms, has_alternative=False)
        if permit is None:
            return False
        await asyncio.sleep(max(0, permit.holds_at - self._clock.now()) / MS_PER_SECOND)
        is_listed = instance.listed[entry.name].incarnation == entry.incarnation
        return is_listed and instance.permits.covers(entry, permit)


def count_worst_second(upstream: SimulatedUpstream) -> int:
    """Return the largest number of requests that a cold upstream got in any window of 1 s."""
    times = sorted(upstream.arrivals)
    worst, first = 0, 0
    for index, at in enumerate(times):
        while at - times[first] >= WINDOW_MS:
            first += 1
        worst = max(worst, index - first + 1)
    return worst


def play_cold_start(load: ColdLoad) -> ColdResult:
    """Play a load in simulated time and return what it showed."""

    async def play() -> ColdResult:
        return await ColdSimulation(load).run()

    result: ColdResult = run_in_simulated_time(play())
    return result
