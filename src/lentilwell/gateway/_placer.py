"""Chooses upstreams for one request, at once or after a deferral, a backoff or a permit's wait."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass

from lentilwell.gateway._backoff_waits import find_retry_after_ms, find_wait_ms, may_wait
from lentilwell.gateway._deferral import find_deferral_ms
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._permit_patience import find_permit_patience_ms
from lentilwell.gateway._permits import Permit, Permits
from lentilwell.gateway._placement_policies import Choice
from lentilwell.gateway._request_recorder import RequestRecorder
from lentilwell.gateway._routing import OTHER_INSTANCE_RETRY_MS, RoutedRequest
from lentilwell.gateway._upstreams import Upstream
from lentilwell.gateway.evacuation import CLOSED_RETRY_MS, Closure
from lentilwell.gateway.overload import RequestAdmission

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
        self._restriction = routed.restriction
        self._deferred_ms = 0
        self.admission = RequestAdmission(fleet, routed, recorder)
        # The data centres of the upstreams that are waited for; None stands for all.
        self._waits: list[frozenset[str] | None] = []

    def waits_for(self, data_centre: str) -> bool:
        """Tell whether the request waits for an upstream that may be in a data centre."""
        return any(waited is None or data_centre in waited for waited in self._waits)

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

    def find_retry_after_ms(self, excluded: frozenset[str]) -> int:
        """Return when a caller should retry if no upstream can take its request, in ms."""
        service = self._routed.service
        backoff_ms = self._find_backoff_ms(excluded)
        permit_ms = self._fleet.find_least_permit_wait_ms(service, excluded, self._restriction)
        waits = [wait_ms for wait_ms in (backoff_ms, permit_ms) if wait_ms]
        if not waits and self.find_closure() is None:
            return OTHER_INSTANCE_RETRY_MS
        return find_retry_after_ms(min(waits, default=CLOSED_RETRY_MS), self._fleet.random.random())

    def find_closure(self) -> Closure | None:
        """Return why no upstream may be used although some are ready, None if that is not so."""
        return self._fleet.find_closure(self._routed.service, self._restriction)

    def explain_none(self, excluded: frozenset[str]) -> str:
        """Return why no upstream can take the request, for the log."""
        service = self._routed.service
        permit_ms = self._fleet.find_least_permit_wait_ms(service, excluded, self._restriction)
        if permit_ms is not None:
            return "no upstream within its rate limit"
        closure = self.find_closure()
        return "no upstream" if closure is None else str(closure)

    async def _acquire_permit(self, upstream: Upstream, excluded: frozenset[str]) -> Permit | None:
        """Return a permit in time, or None; beside other upstreams, only one that holds at once."""
        service = self._routed.service
        has_alternative = self._fleet.has_unlimited(service, excluded, self._restriction)
        patience_ms = 0 if has_alternative else self._find_permit_patience_ms(upstream)
        with self._waiting_for((upstream,)):
            return await self._permits.acquire(upstream, patience_ms, has_alternative)

    async def _wait_for_permit(self, upstream: Upstream, permit: Permit) -> bool:
        """Wait until a permit holds; return False if the limit has changed meanwhile."""
        wait_ms = permit.holds_at - self._clock.now()
        if wait_ms > 0:
            self._recorder.record_wait(wait_ms, wait_ms)
            with self._waiting_for((upstream,)):
                await asyncio.sleep(wait_ms / 1_000)
        return self._permits.covers(upstream, permit)

    def _find_permit_patience_ms(self, upstream: Upstream) -> int:
        rate = self._fleet.rate_limits.find(upstream.incarnation)
        waited_ms, remaining_ms = self._fleet.measure_time(self._routed)
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
            with self._waiting_for(choice.upstreams):
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
            routed.service,
            routed.route,
            prompt,
            arrived_at,
            excluded,
            last_send,
            self._restriction,
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
            self._restriction,
        )

    def _find_backoff_ms(self, excluded: frozenset[str]) -> int:
        """Return the time until the first upstream takes new work again, 0 if none will."""
        service = self._routed.service
        opens_at = self._fleet.find_backoff_end(service, excluded, self._restriction)
        return max(0, opens_at - self._clock.now()) if opens_at is not None else 0

    def _may_wait(self, backoff_ms: int) -> bool:
        waited_ms, remaining_ms = self._fleet.measure_time(self._routed)
        if not self._fleet.can_finish(self._routed, backoff_ms):
            return False
        return may_wait(self._routed.route, backoff_ms, waited_ms, remaining_ms)

    async def _wait_for_backoff(self, backoff_ms: int) -> None:
        service, queue = self._routed.service, self._fleet.backoff_queue
        requests_ahead = queue.add(service)
        try:
            wait_ms = find_wait_ms(backoff_ms, requests_ahead, self._fleet.random.random())
            self._recorder.record_wait(backoff_ms, wait_ms)
            with self._waiting_for(None):
                await asyncio.sleep(wait_ms / 1_000)
        finally:
            queue.remove(service)

    @contextmanager
    def _waiting_for(self, upstreams: Sequence[Upstream] | None) -> Iterator[None]:
        """Record what is waited for within the block; None stands for any upstream."""
        waited = None if upstreams is None else frozenset(one.data_centre for one in upstreams)
        self._waits.append(waited)
        try:
            yield
        finally:
            self._waits.remove(waited)
