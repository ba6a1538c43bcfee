"""Finds a place for one request: at once, after others have been read, or once one opens again."""

from __future__ import annotations

import asyncio

from lentilwell.gateway._backoff_waits import find_retry_after_ms, find_wait_ms, may_wait
from lentilwell.gateway._choice import Choice
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._holding import find_hold_ms
from lentilwell.gateway._record import Record
from lentilwell.gateway._routing import ELSEWHERE_RETRY_MS, Subject


class Placing:
    """Chooses upstreams for one request, and waits as long as the decisions say."""

    def __init__(self, fleet: Fleet, subject: Subject, record: Record) -> None:
        self._fleet = fleet
        self._clock = fleet.clock
        self._subject = subject
        self._record = record
        self._held_ms = 0

    async def choose(
        self, excluded: frozenset[str], sent_before: bool, last_send: bool
    ) -> Choice | None:
        """Choose, and choose again once what the chosen engines read now has been read.

        Returns None where no upstream but those ``excluded`` can take the request in time.
        ``last_send`` tells that it is lost if it is turned away; one that was ``sent_before`` waits
        for no reading.
        """
        while (choice := await self._choose_once_open(excluded, last_send)) is not None:
            if not choice.helpers or sent_before:
                break
            ahead_ms = self._fleet.find_prefill_ahead_ms(choice)
            objective_ms = self._subject.route.objective_ms
            hold_ms = find_hold_ms(choice, objective_ms, ahead_ms, self._held_ms)
            if not hold_ms:
                break
            self._record.note_hold(choice, ahead_ms, hold_ms)
            self._held_ms += hold_ms
            await asyncio.sleep(hold_ms / 1_000)
        return choice

    def find_return_ms(self, excluded: frozenset[str]) -> int:
        """Return when a caller that finds no upstream should come back."""
        opens_in_ms = self._find_opening_ms(excluded)
        if not opens_in_ms:
            return ELSEWHERE_RETRY_MS
        return find_retry_after_ms(opens_in_ms, self._fleet.random.random())

    async def _choose_once_open(self, excluded: frozenset[str], last_send: bool) -> Choice | None:
        """Choose; where all upstreams want nothing, wait for the first if the caller bears it."""
        while (choice := self._choose(excluded, last_send)) is None:
            opens_in_ms = self._find_opening_ms(excluded)
            if not opens_in_ms or not self._may_wait(opens_in_ms):
                break
            await self._wait_for_opening(opens_in_ms)
        return choice

    def _choose(self, excluded: frozenset[str], last_send: bool) -> Choice | None:
        subject = self._subject
        return self._fleet.choose(
            subject.service,
            subject.route,
            subject.facts.prompt,
            subject.request.arrived_at,
            excluded,
            last_send,
        )

    def _find_opening_ms(self, excluded: frozenset[str]) -> int:
        """Return in how many ms the first upstream wants work again, 0 where none will."""
        opens_at = self._fleet.find_backoff_end(self._subject.service, excluded)
        return max(0, opens_at - self._clock.now()) if opens_at is not None else 0

    def _may_wait(self, opens_in_ms: int) -> bool:
        now = self._clock.now()
        waited_ms = now - self._subject.request.arrived_at
        left_ms = self._subject.deadline_at - now
        return may_wait(self._subject.route, opens_in_ms, waited_ms, left_ms)

    async def _wait_for_opening(self, opens_in_ms: int) -> None:
        service, waiters = self._subject.service, self._fleet.backoff_queue
        before = waiters.add(service)
        try:
            wait_ms = find_wait_ms(opens_in_ms, before, self._fleet.random.random())
            self._record.note_wait(opens_in_ms, wait_ms)
            await asyncio.sleep(wait_ms / 1_000)
        finally:
            waiters.remove(service)
