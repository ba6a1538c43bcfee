"""One attempt to serve a request: chooses an upstream, sends the request and relays its answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

from lentilwell._log_lines import RefusalBodyDropped, write_line
from lentilwell.gateway._accounting import Accounting
from lentilwell.gateway._answer_checks import find_answer_problem
from lentilwell.gateway._catalog import Repeat
from lentilwell.gateway._connection import HttpConnection
from lentilwell.gateway._delivery import Delivery, UpstreamFailure
from lentilwell.gateway._event_stream import BrokenStream, StreamEvent
from lentilwell.gateway._exchange_context import ExchangeContext
from lentilwell.gateway._failures import ConnectionBroken, HttpConnectionError, Unreachable
from lentilwell.gateway._leases import LeaseSet, ReservationFailed
from lentilwell.gateway._messages import AnswerHead, Envelope, PrefillHelper
from lentilwell.gateway._placement_policies import Choice
from lentilwell.gateway._placer import Placement, Placer
from lentilwell.gateway._request_recorder import RequestRecorder
from lentilwell.gateway._request_state import (
    AnswerCompleted,
    AnswerStarted,
    ConnectionFailed,
    Event,
    ExchangeBroken,
    NoUpstream,
    ReportedNotRun,
    RequestCondemned,
    RequestState,
    SendStarted,
)
from lentilwell.gateway._routing import RoutedRequest
from lentilwell.gateway._turns import Turns
from lentilwell.gateway._upstreams import Upstream
from lentilwell.gateway.overload import (
    Hold,
    Refuse,
    Send,
    Verdict,
    check_admission,
    find_late_rank,
)

# Only the status and the headers of a refusal are used. The body is read so that the connection can
# be reused; if that takes longer than this, the connection is closed instead.
REFUSAL_BODY_TIMEOUT_MS = 100
# When slots are scarce, a request is placed again this often if peers took its slot first.
MAX_PLACE_TRIES = 3
BUDGET_SPENT = "retry budget spent"
HARMFUL_REQUEST = "the request crashes upstreams"
HARMFUL_PARTS = "parts of the prompt crash upstreams"
OVERLOAD = "no room before the caller leaves"
STOPPING = "not expected to end before this instance stops"


@dataclass(frozen=True)
class AttemptEnd:
    """The event with which an attempt ended, and why; ``reason`` is empty for an answer."""

    event: Event
    reason: str = ""


class AttemptOwner(Protocol):
    """The exchange that an attempt belongs to, which may have other attempts open.

    ``excluded`` names the upstreams that the request must not be sent to again, ``sent_to`` those
    that it was sent to.
    """

    routed: RoutedRequest
    delivery: Delivery
    recorder: RequestRecorder
    placer: Placer
    state: RequestState
    excluded: frozenset[str]
    sent_to: frozenset[str]

    def advance(self, event: Event) -> object:
        """Apply an event to the state of the request."""

    def handle_silence(self, attempt: Attempt, silent_ms: int) -> None:
        """Send the request to another upstream, if that is allowed, beside this attempt."""

    def claim_answer(self, attempt: Attempt) -> None:
        """Cancel all other attempts: this one answers the caller."""


class Attempt:
    """Sends a request to one upstream; other attempts of the request may be open beside it.

    Until ``claim_answer`` was called, nothing of the attempt reaches the caller. ``silent`` is true
    while the upstream exceeds the silence timeout, ``sent`` once the request may have reached it.
    """

    def __init__(self, context: ExchangeContext, owner: AttemptOwner, number: int) -> None:
        self._fleet = context.fleet
        self._answer_observer = context.answer_observer
        self._permits = context.permits
        self._connections = context.connections
        self._leases = context.leases
        self._dialect = context.dialect
        self._crash_watch = context.crash_watch
        self._clock = context.fleet.clock
        self._owner = owner
        self._routed = owner.routed
        self._accounting = Accounting(context.fleet, owner.routed, number)
        self._choice: Choice | None = None
        self._known_ends: frozenset[int] = frozenset()
        self._late = False
        self.silent = False
        self.sent = False

    @property
    def choice(self) -> Choice:
        """Return the chosen upstreams; valid once the request is about to be sent."""
        assert self._choice is not None
        return self._choice

    @property
    def upstream(self) -> str:
        """Return the name of the chosen upstream, empty before the choice."""
        return self._choice.upstream.name if self._choice is not None else ""

    async def run(self, is_retry: bool) -> AttemptEnd:
        """Choose an upstream, send the request there and relay its answer to the caller."""
        if (refused := self._check_harmful()) is not None:
            return refused
        budget = self._fleet.find_budget(self._routed.service)
        instances = self._fleet.count_instances
        if is_retry and not budget.allows_retry(self._clock.now(), instances()):
            return AttemptEnd(NoUpstream(), BUDGET_SPENT)
        placement = await self._take_place()
        if isinstance(placement, AttemptEnd):
            return placement
        try:
            if self._ends_too_late():
                return AttemptEnd(NoUpstream(), STOPPING)
            if is_retry and not budget.try_spend(self._clock.now(), instances()):
                return AttemptEnd(NoUpstream(), BUDGET_SPENT)
            return await self._reserve_and_send(placement)
        finally:
            self._accounting.remove_jobs(self.choice)

    async def _take_place(self) -> Placement | AttemptEnd:
        """Choose an upstream and add the work to its load; choose again if others were first.

        The work is removed by the caller of this method, unless the attempt ends here.
        """
        for tries_left in reversed(range(MAX_PLACE_TRIES)):
            placement = await self._place_when_due()
            if isinstance(placement, AttemptEnd):
                return placement
            self._accounting.add_jobs(self.choice, self._late)
            if not tries_left or not self._may_choose_again(placement):
                break
            try:
                kept = await self._owner.placer.admission.keeps_place(
                    self.choice, self._accounting.job_name
                )
            except BaseException:
                self._accounting.remove_jobs(self.choice)
                raise
            if kept:
                break
            self._accounting.remove_jobs(self.choice)
        return placement

    def _may_choose_again(self, placement: Placement) -> bool:
        """Tell whether the request may give way to others; a permit of its own would be lost."""
        return not self._late and self._owner.state.sends == 0 and placement.permit is None

    async def _place_when_due(self) -> Placement | AttemptEnd:
        """Choose an upstream; hold the request as long as it would be late and delay others."""
        try:
            return await self._place_or_hold()
        finally:
            self._owner.placer.admission.end_hold("not sent")

    async def _place_or_hold(self) -> Placement | AttemptEnd:
        admission = self._owner.placer.admission
        while isinstance(placement := await self._place(), Placement):
            verdict = self._judge(placement)
            if isinstance(verdict, Send):
                self._late = verdict.late
                if admission.holding:
                    self._owner.recorder.record_choice(placement.choice, len(self._owner.excluded))
                admission.end_hold("sent late" if verdict.late else "sent", sent=True)
                return placement
            if isinstance(verdict, Refuse):
                return self._refuse(placement.choice, verdict)
            if (ended := await self._hold(placement.choice, verdict)) is not None:
                return ended
        admission.end_hold(placement.reason)
        return placement

    def _judge(self, placement: Placement) -> Verdict:
        """Return whether the request is sent now, held or refused.

        One that was sent before is sent: it may have run, and its caller has waited for it. One
        with a permit is sent, because the permit holds now.
        """
        if self._owner.state.sends > 0 or placement.permit is not None:
            return Send()
        return self._owner.placer.admission.judge(placement.choice)

    async def _hold(self, choice: Choice, verdict: Hold) -> AttemptEnd | None:
        """Hold the request until its next turn; end the attempt if it must not be sent any more."""
        admission, has_turn = self._owner.placer.admission, False
        while not has_turn:
            has_turn = await admission.hold(choice, verdict.reason)
            if (ended := self._check_before_send()) is not None:
                admission.end_hold(ended.reason)
                return ended
        return None

    def _refuse(self, choice: Choice, verdict: Refuse) -> AttemptEnd:
        """Refuse the request for lack of room; it has not been sent."""
        self._owner.delivery.retry_after_ms = verdict.retry_after_ms
        self._owner.recorder.record_overload(choice, verdict)
        self._owner.placer.admission.end_hold(OVERLOAD)
        return AttemptEnd(NoUpstream(), OVERLOAD)

    async def _place(self) -> Placement | AttemptEnd:
        """Choose an upstream, or end the attempt if none can serve the request in time."""
        owner = self._owner
        last_send = owner.state.sends + 1 >= owner.state.max_sends
        placement = await owner.placer.place(owner.excluded, owner.state.sends > 0, last_send)
        if placement is None:
            owner.delivery.retry_after_ms = owner.placer.find_retry_after_ms(owner.excluded)
            closure = owner.placer.find_closure()
            if closure is not None and not owner.state.may_have_run:
                owner.recorder.record_closure(closure)
            return AttemptEnd(NoUpstream(), owner.placer.explain_none(owner.excluded))
        choice = self._choice = placement.choice
        if not owner.placer.admission.holding:
            owner.recorder.record_choice(choice, len(owner.excluded))
        too_late = check_admission(self._routed.route, choice, self._get_remaining_ms())
        if too_late is not None and not owner.state.delivered:
            owner.delivery.retry_after_ms = too_late.retry_after_ms
            expected = f"first event expected in {choice.first_event_ms:.0f} ms"
            return AttemptEnd(NoUpstream(), expected)
        return placement

    def waits_for(self, data_centre: str) -> bool:
        """Tell whether the request is not sent yet and waits for an upstream of a data centre."""
        if self.sent:
            return False
        if self._choice is None:
            return self._owner.placer.waits_for(data_centre)
        return any(one.data_centre == data_centre for one in self._choice.upstreams)

    def find_silence_timeout_ms(self) -> int | None:
        """Return how long the upstream may be silent for now, in ms; None for no limit."""
        return self._accounting.find_silence_timeout_ms(self.choice)

    def handle_silence(self, silent_ms: int) -> None:
        """Let the exchange try another upstream; this attempt goes on waiting."""
        self.silent = True
        self._exclude(self.choice.upstream)
        self._accounting.record_silence(self.choice, f"no progress for {silent_ms} ms")
        self._owner.handle_silence(self, silent_ms)

    async def _reserve_and_send(self, placement: Placement) -> AttemptEnd:
        """Reserve memory at the helpers that need it, then send the request."""
        try:
            leases = await self._leases.reserve(placement.choice.helpers)
        except ReservationFailed as error:
            self._owner.excluded |= {error.upstream}
            return AttemptEnd(ConnectionFailed(), str(error))
        try:
            return await self._send(placement, leases)
        finally:
            leases.release()

    def _get_remaining_ms(self) -> int:
        return self._routed.deadline_at - self._clock.now()

    async def _send(self, placement: Placement, leases: LeaseSet) -> AttemptEnd:
        upstream = placement.choice.upstream
        send_once = self._routed.route.repeat is Repeat.NEVER
        # An answer to an earlier send of the request has the same id: no connection carries two.
        fresh = send_once or upstream.name in self._owner.sent_to
        try:
            connection = await self._connections.acquire(upstream.address, fresh)
        except Unreachable as error:
            self._record_unreachable(upstream, str(error))
            return AttemptEnd(ConnectionFailed(), str(error))
        if (ended := self._check_send(placement)) is not None:
            self._connections.release(upstream.address, connection)
            return ended
        try:
            self._record_send(upstream)
            connection.silence_watch = None if send_once else self
            self._send_request(connection, leases)
            ended = await self._handle_answer(connection)
            self._connections.release(upstream.address, connection)
            return ended
        except (ConnectionBroken, BrokenStream) as error:
            self._exclude(upstream)
            self._accounting.record_failure(self.choice, str(error))
            if connection.ended_by_peer:
                self._record_cut(upstream, connection.events_received)
            return AttemptEnd(ExchangeBroken(), str(error))
        finally:
            if not connection.idle:
                connection.close()

    def _check_before_send(self) -> AttemptEnd | None:
        """End the attempt if the request must not be sent to any upstream any more."""
        if (refused := self._check_harmful()) is not None:
            return refused
        if self._ends_too_late():
            return AttemptEnd(NoUpstream(), STOPPING)
        return None

    def _check_send(self, placement: Placement) -> AttemptEnd | None:
        """End the attempt if the request must not be sent any more, now that it could be."""
        if (ended := self._check_before_send()) is not None:
            return ended
        if not self._may_send(placement):
            return AttemptEnd(ConnectionFailed(), "the upstream stopped accepting new work")
        return None

    def _check_harmful(self) -> AttemptEnd | None:
        """End the attempt if the request must not be sent, because it crashes upstreams."""
        refusal = self._crash_watch.find_refusal(self._routed)
        if refusal is None:
            return None
        self._owner.delivery.retry_after_ms = refusal.retry_after_ms
        self._owner.recorder.record_harmful(refusal)
        return AttemptEnd(
            RequestCondemned(), HARMFUL_REQUEST if refusal.fingerprint else HARMFUL_PARTS
        )

    def _ends_too_late(self) -> bool:
        """Tell whether a planned stop leaves too little time for a request that has not run.

        One that may have run is sent again all the same: to refuse it would be no promise.
        """
        stop = self._fleet.find_stop()
        if stop is None or self._owner.state.may_have_run or self._fleet.can_finish(self._routed):
            return False
        self._owner.delivery.retry_after_ms = stop.retry_after_ms
        return True

    def _may_send(self, placement: Placement) -> bool:
        """Tell whether the upstreams of a placement still accept the request."""
        choice = placement.choice
        return self._fleet.accepts_work(choice, self._routed.restriction) and self._permits.covers(
            choice.upstream, placement.permit
        )

    def _record_send(self, upstream: Upstream) -> None:
        owner = self._owner
        owner.advance(SendStarted(new_upstream=upstream.name not in owner.sent_to))
        self.sent = True
        self._known_ends = self._crash_watch.known_ends
        owner.sent_to |= {upstream.name}
        self._accounting.record_sent()
        limit = self._fleet.rate_limits.find(upstream.incarnation)
        owner.recorder.record_send(owner.state.sends, limit is not None)

    def _send_request(self, connection: HttpConnection, leases: LeaseSet) -> None:
        routed = self._routed
        envelope = Envelope(
            upstream=self.upstream,
            remaining_ms=max(1, self._get_remaining_ms()),
            team=routed.team.name if routed.team is not None else None,
            rank=find_late_rank(routed.rank) if self._late else routed.rank,
            resume_after=self._owner.delivery.last_event_id,
            prefill_helpers=tuple(
                PrefillHelper(helper.upstream.address, leases.find_ticket(helper.upstream.name))
                for helper in self.choice.helpers
            ),
        )
        headers = self._dialect.write_headers(routed.request, envelope)
        request = routed.request
        connection.send(request.method, request.target, headers, request.body)

    async def _handle_answer(self, connection: HttpConnection) -> AttemptEnd:
        upstream = self.choice.upstream
        head = self._dialect.read_head(await connection.read_head())
        self._answer_observer.handle_head(upstream, head)
        connection.idle_limit_ms = head.idle_ms
        connection.reusable = connection.reusable and not head.closing
        problem = find_answer_problem(head, self._routed.facts.request_id, connection.used_before)
        if problem is not None:
            raise ConnectionBroken(problem)
        if head.request_id and not head.misdirected:
            self._crash_watch.record_alive(upstream, connection.opened_at)
        self._answer_observer.handle_answer(upstream, head, self._accounting.sent_at)
        if head.not_run:
            return await self._handle_refusal(connection, head)
        self._accounting.record_accepted(self.choice)
        if not 200 <= head.status < 300:
            return await self._handle_failure(connection, head)
        if not head.request_id or not head.signed or head.encoded:
            raise ConnectionBroken("the answer has no request id or signature, or is encoded")
        if self._routed.route.streams:
            return await self._relay_stream(connection, head)
        body = await connection.read_body()
        connection.finish()
        self._accounting.record_success(self.choice)
        self._crash_watch.record_sound(self._routed)
        return self._forward_answer(head, body)

    def _forward_answer(self, head: AnswerHead, body: bytes) -> AttemptEnd:
        """Forward a complete, buffered upstream answer to the caller."""
        self._claim_answer()
        self._owner.advance(AnswerStarted())
        self._owner.delivery.forward(head, body)
        return self._complete()

    def _claim_answer(self) -> None:
        self.silent = False
        self._owner.claim_answer(self)

    def _complete(self) -> AttemptEnd:
        """Record the end of the answer at once, before anything else can end the request."""
        self._owner.advance(AnswerCompleted())
        return AttemptEnd(AnswerCompleted())

    async def _handle_refusal(self, connection: HttpConnection, head: AnswerHead) -> AttemptEnd:
        await self._discard_body(connection)
        upstream = self.choice.upstream
        at_fault = self._find_upstream_at_fault(head)
        self._exclude(at_fault)
        self._owner.recorder.record_refusal(self.upstream, head.status, at_fault.name)
        self._accounting.record_refusal(at_fault)
        if head.misdirected and at_fault is upstream:
            self._fleet.remove_upstream(at_fault)
        elif at_fault is not upstream:
            self._record_unreachable(at_fault, f"reported at fault with status {head.status}")
        reason = f"upstream answered {head.status} without running it"
        return AttemptEnd(ReportedNotRun(helper_at_fault=at_fault is not upstream), reason)

    async def _discard_body(self, connection: HttpConnection) -> None:
        try:
            async with asyncio.timeout(REFUSAL_BODY_TIMEOUT_MS / 1_000):
                await connection.read_body()
            connection.finish()
        except (TimeoutError, HttpConnectionError) as error:
            write_line(RefusalBodyDropped(self._routed.facts.request_id, repr(error)))
            connection.close()

    def _find_upstream_at_fault(self, head: AnswerHead) -> Upstream:
        """Return the upstream that caused a refusal: the chosen one or one of its helpers."""
        for helper in self.choice.helpers:
            if helper.upstream.address == head.at_fault:
                return helper.upstream
        return self.choice.upstream

    async def _handle_failure(self, connection: HttpConnection, head: AnswerHead) -> AttemptEnd:
        """Handle an error answer to a request that ran: retry the request or forward the answer."""
        body = await connection.read_body()
        connection.finish()
        self._exclude(self.choice.upstream)
        if head.status < 500:
            self._accounting.record_success(self.choice)
        else:
            self._accounting.record_failure(self.choice, f"status {head.status}")
        final = self._routed.route.repeat is Repeat.NEVER or head.status < 500
        if final and not self._owner.state.delivered:
            return self._forward_answer(head, body)
        self._owner.delivery.upstream_failure = UpstreamFailure(head, body)
        return AttemptEnd(ExchangeBroken(), f"upstream answered {head.status}")

    async def _relay_stream(self, connection: HttpConnection, head: AnswerHead) -> AttemptEnd:
        """Forward the events of a stream as they arrive, each exactly once and complete."""
        part = self._owner.delivery.begin_part(head)
        turns = Turns()
        while (data := await connection.read_data()) is not None:
            for event in part.read_events(data):
                connection.events_received += 1
                self._crash_watch.record_alive(self.choice.upstream, connection.opened_at)
                self._crash_watch.record_events(self._routed, connection.events_received)
                await self._relay_event(event, head)
                connection.record_progress()
                turns.add_piece()
                await turns.pause_if_due()
        blank_lines = part.end()
        self._claim_answer()
        self._start_stream(head)
        if blank_lines:
            await self._owner.delivery.write(blank_lines)
        connection.finish()
        self._accounting.record_success(self.choice)
        self._crash_watch.record_sound(self._routed)
        self._owner.delivery.finish_stream()
        return self._complete()

    async def _relay_event(self, event: StreamEvent, head: AnswerHead) -> None:
        self._claim_answer()
        self._start_stream(head)
        self._owner.recorder.record_event()
        self._accounting.record_event(self.choice)
        await self._owner.delivery.write(event.data)

    def _start_stream(self, head: AnswerHead) -> None:
        """Forward the head of a stream, unless the caller has one already."""
        if not self._owner.state.delivered:
            self._owner.advance(AnswerStarted())
            self._owner.delivery.start_stream(head)

    def _record_cut(self, upstream: Upstream, events: int) -> None:
        self._owner.recorder.record_cut(upstream, events)
        if not self._fleet.availability.is_leaving(upstream.incarnation):
            self._crash_watch.record_cut(upstream, self._routed, events, self._known_ends)

    def _exclude(self, upstream: Upstream) -> None:
        self._owner.excluded |= {upstream.name}

    def _record_unreachable(self, upstream: Upstream, reason: str) -> None:
        self._exclude(upstream)
        self._accounting.record_unreachable(upstream, reason)
