"""Chooses upstreams for one request, at once or after a deferral or a backoff."""

from __future__ import annotations

import asyncio

from lentilwell.gateway._backoff_waits import find_retry_after_ms, find_wait_ms, may_wait
from lentilwell.gateway._deferral import find_deferral_ms
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._placement_policies import Choice
from lentilwell.gateway._request_recorder import RequestRecorder
from lentilwell.gateway._routing import OTHER_INSTANCE_RETRY_MS, RoutedRequest


class Placer:
    """Chooses upstreams for one request, and delays the request for a deferral or a backoff."""

    def __init__(self, fleet: Fleet, routed: RoutedRequest, recorder: RequestRecorder) -> None:
        self._fleet = fleet
        self._clock = fleet.clock
        self._routed = routed
        self._recorder = recorder
        self._deferred_ms = 0

    async def choose(
        self, excluded: frozenset[str], sent_before: bool, last_send: bool
    ) -> Choice | None:
        """Return a choice, after deferring the request while its engines read other prompts.

        Returns None if no upstream outside ``excluded`` can take the request in time. A request
        that was ``sent_before`` is not deferred. ``last_send`` is true if the request is lost when
        the upstream refuses it.
        """
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

    def find_retry_after_ms(self, excluded: frozenset[str]) -> int:
        """Return when a caller should retry if no upstream can take its request, in ms."""
        backoff_ms = self._find_backoff_ms(excluded)
        if not backoff_ms:
            return OTHER_INSTANCE_RETRY_MS
        return find_retry_after_ms(backoff_ms, self._fleet.random.random())

    async def _choose_after_backoff(
        self, excluded: frozenset[str], last_send: bool
    ) -> Choice | None:
        """Return a choice, or None if no upstream can take the request in time.

        If all upstreams have a backoff in effect, wait until the first one ends, unless that is
        too late for the caller.
        """
        while (choice := self._choose(excluded, last_send)) is None:
            backoff_ms = self._find_backoff_ms(excluded)
            if not backoff_ms or not self._may_wait(backoff_ms):
                break
            await self._wait_for_backoff(backoff_ms)
        return choice

    def _choose(self, excluded: frozenset[str], last_send: bool) -> Choice | None:
        routed = self._routed
        return self._fleet.choose(
            routed.service,
            routed.route,
            routed.facts.prompt,
            routed.request.arrived_at,
            excluded,
            last_send,
        )

    def _find_backoff_ms(self, excluded: frozenset[str]) -> int:
        """Return the time until the first upstream takes new work again, 0 if none will."""
        opens_at = self._fleet.find_backoff_end(self._routed.service, excluded)
        return max(0, opens_at - self._clock.now()) if opens_at is not None else 0

    def _may_wait(self, backoff_ms: int) -> bool:
        now = self._clock.now()
        waited_ms = now - self._routed.request.arrived_at
        remaining_ms = self._routed.deadline_at - now
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
