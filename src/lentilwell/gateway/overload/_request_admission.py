"""The admission of one request: gathers what is known for the decision, and holds the request."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Protocol

from lentilwell.gateway._answer_times import RequestKind
from lentilwell.gateway._engine_timing import estimate_write_ms
from lentilwell.gateway._load_tracker import combine_jobs
from lentilwell.gateway._placement_policies import Choice
from lentilwell.gateway._routing import RoutedRequest
from lentilwell.gateway.overload._admission import find_caller_silence_timeout_ms
from lentilwell.gateway.overload._decisions import (
    GRACE_MS,
    LAST_CHANCE_MS,
    OTHERS_FIRST,
    Room,
    Send,
    Verdict,
    WaitingRequest,
    decide,
    is_short,
)
from lentilwell.gateway.overload._hold_queue import HeldRequest
from lentilwell.gateway.overload._slot_ends import are_slots_scarce, estimate_next_slot_ms

if TYPE_CHECKING:
    from lentilwell.gateway._fleet import Fleet

# A held request is checked at this interval: whether it is condemned, or this instance stops.
CHECK_MS = 50
# Within this time peers know of a new job: digests wait for further news for 4 ms.
DIGEST_MS = 8
# The share of its objective that an answer of a plain service is assumed to take before the first
# one has ended.
ASSUMED_ANSWER_SHARE = 0.3


class HoldRecorder(Protocol):
    """Writes what happens to held requests to the log and the metrics."""

    def record_hold(self, choice: Choice, reason: str) -> None:
        """Record that the request is held; ``choice`` is what it was first held for."""

    def record_hold_end(self, outcome: str, held_ms: int) -> None:
        """Record that the request is held no more."""


class RequestAdmission:
    """Decides for one request whether it is sent, held or refused, and holds it."""

    def __init__(self, fleet: Fleet, routed: RoutedRequest, recorder: HoldRecorder) -> None:
        self._fleet = fleet
        self._clock = fleet.clock
        self._control = fleet.admission
        self._routed = routed
        self._recorder = recorder
        self._held: HeldRequest | None = None
        self._held_at = 0

    @property
    def holding(self) -> bool:
        """Tell whether the request is held."""
        return self._held is not None

    def judge(self, choice: Choice) -> Verdict:
        """Return whether the request, which has not been sent yet, is sent now, held or refused."""
        if not self._control.enabled or not self._is_covered(choice):
            return Send()
        request, now = self._describe_wait(), self._clock.now()
        holds = self._control.find_holds(self._routed.service)
        choice = self._complete_estimate(choice)
        if is_short(request, choice):
            holds.record_shortage(self._routed.rank, now)
        return decide(request, choice, self._find_room(choice), self._fleet.random.random())

    async def hold(self, choice: Choice, reason: str) -> bool:
        """Hold the request, for ``CHECK_MS`` at most; tell whether it is its turn to be placed.

        ``reason`` is for the log. ``end_hold`` must follow, also if the wait is cancelled.
        """
        choice = self._complete_estimate(choice)
        if self._held is None:
            self._held = self._describe_held(choice)
            self._held_at = self._clock.now()
            self._recorder.record_hold(choice, reason)
        request = self._describe_wait()
        serving_ms = choice.first_event_ms - choice.slot_wait_ms
        max_ms = request.patience_ms - request.waited_ms - serving_ms - LAST_CHANCE_MS
        grace_ms = GRACE_MS - request.waited_ms
        if grace_ms > 0:
            max_ms = min(max_ms, grace_ms)
        wait_ms = max(1.0, min(CHECK_MS, max_ms))
        if reason == OTHERS_FIRST:
            self._control.wake(self._routed.service)
        has_turn = await self._control.wait_for_turn(self._routed.service, self._held, wait_ms)
        return has_turn or max_ms <= CHECK_MS

    async def keeps_place(self, choice: Choice, job: str) -> bool:
        """Tell whether the request, whose job peers were just told of, can be sent as planned.

        When slots are scarce, two instances may choose the same one before they know of each other.
        The request is sent only after the time that a digest takes; the earlier one keeps the slot.
        """
        engine, control = self._routed.engine, self._control
        if engine is None or not control.enabled or not self._is_covered(choice):
            return True
        if choice.helpers or not are_slots_scarce(choice.free_slots, choice.slots):
            return True
        told_at = self._clock.now()
        await asyncio.sleep(DIGEST_MS / 1_000)
        now, name = self._clock.now(), choice.upstream.name
        load = self._fleet.load_tracker.measure_load(name, now)
        before = [one for one in load.jobs if one.name != job and one.begun_at < told_at]
        slot_wait_ms = estimate_next_slot_ms(
            engine, combine_jobs(before, now), now, choice.latency_factor
        )
        later_ms = slot_wait_ms - choice.slot_wait_ms
        if later_ms <= DIGEST_MS:
            return True
        request, estimate = self._describe_wait(), self._complete_estimate(choice)
        return request.waited_ms + estimate.first_event_ms + later_ms <= request.objective_ms

    def end_hold(self, outcome: str, sent: bool = False) -> None:
        """Record that the request, if it was held, is now sent or otherwise held no more."""
        if self._held is None:
            return
        held, self._held = self._held, None
        self._control.leave(self._routed.service, held.name, sent)
        self._recorder.record_hold_end(outcome, self._clock.now() - self._held_at)

    def _is_covered(self, choice: Choice) -> bool:
        """Tell whether there is an estimate of when the request would be answered."""
        routed = self._routed
        if routed.engine is not None:
            return routed.route.streams and choice.slots > 0
        return not routed.route.streams and routed.route.objective_ms > 0 < choice.upstream.slots

    def _complete_estimate(self, choice: Choice) -> Choice:
        """Correct the estimate of an engine, or estimate when a plain service answers."""
        if self._routed.engine is not None:
            errors = self._control.find_holds(self._routed.service).errors
            correction_ms = errors.find_correction_ms(self._clock.now())
            return replace(choice, first_event_ms=choice.first_event_ms + correction_ms)
        answer_ms = self._estimate_use_ms()
        slot_wait_ms = choice.excess * answer_ms / choice.upstream.slots
        return replace(choice, slot_wait_ms=slot_wait_ms, first_event_ms=slot_wait_ms + answer_ms)

    def _describe_wait(self) -> WaitingRequest:
        route = self._routed.route
        waited_ms, remaining_ms = self._fleet.measure_time(self._routed)
        patience_ms = waited_ms + remaining_ms
        if route.streams:
            patience_ms = min(patience_ms, find_caller_silence_timeout_ms(route))
        return WaitingRequest(
            objective_ms=route.objective_ms or patience_ms,
            patience_ms=patience_ms,
            waited_ms=waited_ms,
            remaining_ms=remaining_ms,
            held=self.holding,
        )

    def _describe_held(self, choice: Choice) -> HeldRequest:
        routed, request = self._routed, self._describe_wait()
        serving_ms = round(choice.first_event_ms - choice.slot_wait_ms)
        arrived_at = routed.request.arrived_at
        return HeldRequest(
            name=self._control.make_name(),
            rank=routed.rank,
            team=routed.team.name if routed.team is not None else "",
            work_ms=choice.read_ms * len(choice.upstream_names) + self._estimate_use_ms(),
            arrived_at=arrived_at,
            late_from=arrived_at + request.objective_ms - serving_ms,
        )

    def _estimate_use_ms(self) -> float:
        """Return how long a typical request of this kind uses a slot, in ms."""
        routed = self._routed
        if routed.engine is not None:
            return estimate_write_ms(routed.engine)
        assumed_ms = ASSUMED_ANSWER_SHARE * routed.route.objective_ms
        kind = RequestKind(routed.route.name, routed.service, estimated=False)
        return self._fleet.answer_times.find_typical(kind, assumed_ms)

    def _find_room(self, choice: Choice) -> Room:
        fleet, service = self._fleet, self._routed.service
        holds, now = self._control.find_holds(service), self._clock.now()
        rank = self._routed.rank
        return Room(
            slots=choice.slots,
            free_slots=choice.free_slots,
            slot_use_ms=self._estimate_use_ms(),
            instances=fleet.shards.count_sharing(service, fleet.count_instances()),
            short_ms=holds.find_short_ms(rank, now),
            late_ahead=holds.queue.count_ahead(rank, late=True, now=now),
            on_time_ahead=holds.queue.count_ahead(rank, late=False, now=now),
            yields=holds.must_yield(rank, now) or holds.queue.has_more_urgent(rank),
            queues=self._routed.engine is not None,
        )
