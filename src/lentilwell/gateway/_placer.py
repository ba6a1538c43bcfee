"""Chooses upstreams for one request, at once or after a deferral, a backoff or a permit's wait."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

from lentilwell.gateway._backoff_waits import (
    find_remaining_wait_ms,
    find_retry_after_ms,
    find_wait_ms,
    may_wait,
)
from lentilwell.gateway._deferral import find_deferral_ms
from lentilwell.gateway._engine_timing import estimate_write_ms
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._permit_patience import find_permit_patience_ms
from lentilwell.gateway._permits import Permit, Permits
from lentilwell.gateway._placement_policies import Choice
from lentilwell.gateway._request_recorder import RequestRecorder
from lentilwell.gateway._routing import OTHER_INSTANCE_RETRY_MS, RoutedRequest
from lentilwell.gateway._upstreams import Upstream
from lentilwell.gateway.overload import (
    LAST_CHANCE_MS,
    HeldRequest,
    Room,
    Send,
    Verdict,
    WaitingRequest,
    decide,
    is_short,
)

# A request that has waited this long for answers of permit owners uses no limited upstream: with
# many of them whose owners are out of reach, it would otherwise wait until its deadline.
MAX_ASKING_MS = 200


@dataclass(frozen=True)
class Placement:
    """The choice for a request, with the permit that it needs if the upstream is rate-limited."""

    choice: Choice
    permit: Permit | None


class Placer:
    """Chooses upstreams for one request, and delays it for a deferral, a backoff or a permit."""

    def __init__(
        self, fleet: Fleet, permits: Permits, routed: RoutedRequest, recorder: RequestRecorder
    ) -> None:
        self._fleet = fleet
        self._permits = permits
        self._clock = fleet.clock
        self._routed = routed
        self._recorder = recorder
        self._deferred_ms = 0
        self._held: HeldRequest | None = None
        self._held_at = 0

    async def place(
        self, excluded: frozenset[str], sent_before: bool, last_send: bool
    ) -> Placement | None:
        """Return a choice whose upstream may be sent the request now, or None if there is none.

        A request that was ``sent_before`` is not deferred. ``last_send`` is true if the request is
        lost when the upstream refuses it.
        """
        asking_ms = 0
        while (choice := await self._choose(excluded, sent_before, last_send)) is not None:
            if not self._fleet.rate_limits.is_limited(choice.upstream.incarnation):
                return Placement(choice, None)
            asked_at = self._clock.now()
            permit = await self._acquire_permit(choice.upstream, excluded)
            asking_ms += self._clock.now() - asked_at
            if permit is None:
                excluded |= {choice.upstream.name}
                if asking_ms >= MAX_ASKING_MS:
                    excluded |= self._fleet.list_limited(self._routed.service)
            elif await self._wait_for_permit(choice.upstream, permit):
                return Placement(choice, permit)
        return None

    @property
    def holding(self) -> bool:
        """Tell whether the request is held."""
        return self._held is not None

    def judge(self, placement: Placement, sent_before: bool) -> Verdict:
        """Return whether the request is sent now, held or refused.

        One that was ``sent_before`` is sent: it may have run, and its caller has waited for it.
        One with a permit is sent, because the permit holds now.
        """
        routed, admission = self._routed, self._fleet.admission
        choice = placement.choice
        if not admission.enabled or sent_before or placement.permit is not None:
            return Send()
        if routed.engine is None or not routed.route.streams:
            return Send()
        request, now = self._describe_wait(), self._clock.now()
        holds = admission.find_holds(routed.service)
        correction_ms = holds.errors.find_correction_ms(now)
        choice = replace(choice, first_event_ms=choice.first_event_ms + correction_ms)
        if is_short(request, choice):
            holds.shortage.record(now)
        return decide(request, choice, self._find_room(choice), self._fleet.random.random())

    async def hold(self, choice: Choice, reason: str) -> None:
        """Hold the request until its next turn to be placed; ``reason`` is for the log."""
        admission, now = self._fleet.admission, self._clock.now()
        if self._held is None:
            self._held = self._describe_held(admission.make_name(), choice)
            self._held_at = now
            self._recorder.record_hold(choice, reason)
        request = self._describe_wait()
        serving_ms = choice.first_event_ms - choice.slot_wait_ms
        max_ms = request.patience_ms - request.waited_ms - serving_ms - LAST_CHANCE_MS
        try:
            await admission.wait_for_turn(self._routed.service, self._held, max(max_ms, 1.0))
        except BaseException:
            self.end_hold("caller left")
            raise

    def end_hold(self, outcome: str, sent: bool = False) -> None:
        """Record that the request, if it was held, is now sent or otherwise held no more."""
        if self._held is None:
            return
        held, self._held = self._held, None
        self._fleet.admission.leave(self._routed.service, held.name, sent)
        self._recorder.record_hold_end(outcome, self._clock.now() - self._held_at)

    def _describe_wait(self) -> WaitingRequest:
        route = self._routed.route
        waited_ms, remaining_ms = self._measure_time()
        return WaitingRequest(
            objective_ms=route.objective_ms,
            patience_ms=waited_ms + find_remaining_wait_ms(route, waited_ms, remaining_ms),
            waited_ms=waited_ms,
            remaining_ms=remaining_ms,
            held=self._held is not None,
        )

    def _describe_held(self, name: str, choice: Choice) -> HeldRequest:
        routed = self._routed
        serving_ms = round(choice.first_event_ms - choice.slot_wait_ms)
        arrived_at = routed.request.arrived_at
        return HeldRequest(
            name=name,
            rank=routed.rank,
            team=routed.team.name if routed.team is not None else "",
            work_ms=choice.read_ms * len(choice.upstream_names) + self._estimate_write_ms(),
            arrived_at=arrived_at,
            late_from=arrived_at + routed.route.objective_ms - serving_ms,
        )

    def _estimate_write_ms(self) -> float:
        engine = self._routed.engine
        return estimate_write_ms(engine) if engine is not None else 0.0

    def _find_room(self, choice: Choice) -> Room:
        fleet, service = self._fleet, self._routed.service
        holds, now = fleet.admission.find_holds(service), self._clock.now()
        return Room(
            slots=choice.slots,
            free_slots=choice.free_slots,
            slot_use_ms=self._estimate_write_ms(),
            instances=fleet.shards.count_sharing(service, fleet.count_instances()),
            short_ms=holds.shortage.measure_ms(now),
            late_ahead=holds.queue.count_ahead(self._routed.rank, now),
            yields=holds.queue.has_more_urgent(self._routed.rank),
        )

    def find_retry_after_ms(self, excluded: frozenset[str]) -> int:
        """Return when a caller should retry if no upstream can take its request, in ms."""
        service = self._routed.service
        backoff_ms = self._find_backoff_ms(excluded)
        permit_ms = self._fleet.find_least_permit_wait_ms(service, excluded)
        waits = [wait_ms for wait_ms in (backoff_ms, permit_ms) if wait_ms]
        if not waits:
            return OTHER_INSTANCE_RETRY_MS
        return find_retry_after_ms(min(waits), self._fleet.random.random())

    def explain_none(self, excluded: frozenset[str]) -> str:
        """Return why no upstream can take the request, for the log."""
        if self._fleet.find_least_permit_wait_ms(self._routed.service, excluded) is not None:
            return "no upstream within its rate limit"
        return "no upstream"

    async def _acquire_permit(self, upstream: Upstream, excluded: frozenset[str]) -> Permit | None:
        """Return a permit in time, or None; beside other upstreams, only one that holds at once."""
        has_alternative = self._fleet.has_unlimited(self._routed.service, excluded)
        patience_ms = 0 if has_alternative else self._find_permit_patience_ms(upstream)
        return await self._permits.acquire(upstream, patience_ms, has_alternative)

    async def _wait_for_permit(self, upstream: Upstream, permit: Permit) -> bool:
        """Wait until a permit holds; return False if the limit has changed meanwhile."""
        wait_ms = permit.holds_at - self._clock.now()
        if wait_ms > 0:
            self._recorder.record_wait(wait_ms, wait_ms)
            await asyncio.sleep(wait_ms / 1_000)
        return self._permits.covers(upstream, permit)

    def _find_permit_patience_ms(self, upstream: Upstream) -> int:
        rate = self._fleet.rate_limits.find(upstream.incarnation)
        waited_ms, remaining_ms = self._measure_time()
        return find_permit_patience_ms(self._routed.route, rate or 0.0, waited_ms, remaining_ms)

    async def _choose(
        self, excluded: frozenset[str], sent_before: bool, last_send: bool
    ) -> Choice | None:
        """Return a choice, after deferring the request while its engines read other prompts."""
        while (choice := await self._choose_after_backoff(excluded, last_send)) is not None:
            if not choice.helpers or sent_before:
                break
            prefill_ahead_ms = self._fleet.find_prefill_ahead_ms(choice)
            objective_ms = self._routed.route.objective_ms
            deferral_ms = find_deferral_ms(
                choice, objective_ms, prefill_ahead_ms, self._deferred_ms
            )
            if not deferral_ms:
                break
            self._recorder.record_deferral(choice, prefill_ahead_ms, deferral_ms)
            self._deferred_ms += deferral_ms
            await asyncio.sleep(deferral_ms / 1_000)
        return choice

    async def _choose_after_backoff(
        self, excluded: frozenset[str], last_send: bool
    ) -> Choice | None:
        """Return a choice, or None if no upstream can take the request in time.

        If all upstreams have a backoff in effect, wait until the first one ends, unless that is
        too late for the caller.
        """
        while (choice := self._choose_now(excluded, last_send)) is None:
            backoff_ms = self._find_backoff_ms(excluded)
            if not backoff_ms or not self._may_wait(backoff_ms):
                break
            await self._wait_for_backoff(backoff_ms)
        return choice

    def _choose_now(self, excluded: frozenset[str], last_send: bool) -> Choice | None:
        """Choose an upstream that takes the request now, else one whose permit it can wait for."""
        routed = self._routed
        prompt, arrived_at = routed.facts.prompt, routed.request.arrived_at
        choice = self._fleet.choose(
            routed.service, routed.route, prompt, arrived_at, excluded, last_send
        )
        if choice is not None:
            return choice
        return self._fleet.choose_limited(
            routed.service,
            routed.route,
            prompt,
            arrived_at,
            excluded,
            self._find_permit_patience_ms,
        )

    def _find_backoff_ms(self, excluded: frozenset[str]) -> int:
        """Return the time until the first upstream takes new work again, 0 if none will."""
        opens_at = self._fleet.find_backoff_end(self._routed.service, excluded)
        return max(0, opens_at - self._clock.now()) if opens_at is not None else 0

    def _measure_time(self) -> tuple[int, int]:
        """Return the time since the request's arrival and that until it must end, in ms."""
        now, stop = self._clock.now(), self._fleet.find_stop()
        ends_at = self._routed.deadline_at
        if stop is not None:
            ends_at = min(ends_at, stop.ends_at)
        return now - self._routed.request.arrived_at, ends_at - now

    def _may_wait(self, backoff_ms: int) -> bool:
        waited_ms, remaining_ms = self._measure_time()
        if not self._fleet.can_finish(self._routed, backoff_ms):
            return False
        return may_wait(self._routed.route, backoff_ms, waited_ms, remaining_ms)

    async def _wait_for_backoff(self, backoff_ms: int) -> None:
        service, queue = self._routed.service, self._fleet.backoff_queue
        requests_ahead = queue.add(service)
        try:
            wait_ms = find_wait_ms(backoff_ms, requests_ahead, self._fleet.random.random())
            self._recorder.record_wait(backoff_ms, wait_ms)
            await asyncio.sleep(wait_ms / 1_000)
        finally:
            queue.remove(service)
