"""Serves one request: chooses an upstream, sends the request, retries and relays the answer."""

from __future__ import annotations

import asyncio
import functools
from dataclasses import dataclass

from lentilwell._log_lines import ExchangeFailed, RefusalBodyDropped, write_line
from lentilwell.gateway._accounting import Accounting
from lentilwell.gateway._admission import check_admission
from lentilwell.gateway._answer_checks import find_answer_problem, find_resume_problem
from lentilwell.gateway._answer_observer import AnswerObserver
from lentilwell.gateway._answers import answer_failure, drop_connection_headers
from lentilwell.gateway._caller_connection import CallerConnection
from lentilwell.gateway._catalog import Repeat
from lentilwell.gateway._connection import HttpConnection
from lentilwell.gateway._connection_pool import ConnectionPool
from lentilwell.gateway._event_stream import BrokenStream, EventSequence, StreamPart
from lentilwell.gateway._failures import (
    ConnectionBroken,
    HttpConnectionError,
    SilenceTimeout,
    Unreachable,
)
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._leases import LeaseManager, LeaseSet, ReservationFailed
from lentilwell.gateway._messages import AnswerHead, Envelope, PrefillHelper
from lentilwell.gateway._metrics import Metrics
from lentilwell.gateway._permits import Permits
from lentilwell.gateway._placement_policies import Choice
from lentilwell.gateway._placer import Placement, Placer
from lentilwell.gateway._ports import Dialect
from lentilwell.gateway._request_recorder import RequestRecorder
from lentilwell.gateway._request_state import (
    AnswerCompleted,
    AnswerStarted,
    CallerDisconnected,
    ChooseUpstream,
    ConnectionFailed,
    DeadlinePassed,
    Effect,
    Event,
    ExchangeBroken,
    Finish,
    NoUpstream,
    Outcome,
    ReportedNotRun,
    RequestState,
    SendStarted,
    advance,
)
from lentilwell.gateway._routing import RoutedRequest
from lentilwell.gateway._upstreams import Upstream

RETRY_AFTER_MS = 300
# Only the status and the headers of a refusal are used. The body is read so that the connection can
# be reused; if that takes longer than this, the connection is closed instead.
REFUSAL_BODY_TIMEOUT_MS = 100


@dataclass(frozen=True)
class ExchangeContext:
    """The objects that all exchanges of a gateway share."""

    fleet: Fleet
    answer_observer: AnswerObserver
    permits: Permits
    connections: ConnectionPool
    leases: LeaseManager
    dialect: Dialect
    metrics: Metrics


@dataclass(frozen=True)
class UpstreamFailure:
    """An upstream's error answer, forwarded to the caller if no retry succeeds."""

    head: AnswerHead
    body: bytes


class Exchange:
    """Serves one request. ``run`` is cancelled when the caller closes its connection."""

    def __init__(
        self, context: ExchangeContext, routed: RoutedRequest, caller: CallerConnection
    ) -> None:
        self._fleet = context.fleet
        self._answer_observer = context.answer_observer
        self._permits = context.permits
        self._connections = context.connections
        self._leases = context.leases
        self._dialect = context.dialect
        self._clock = context.fleet.clock
        self._routed = routed
        self._caller = caller
        self._accounting = Accounting(context.fleet, routed)
        self._recorder = RequestRecorder(context.fleet, context.metrics, routed)
        self._placer = Placer(context.fleet, context.permits, routed, self._recorder)
        self._request_state = RequestState(routed.route.repeat, routed.route.max_upstreams)
        self._excluded: frozenset[str] = frozenset()
        self._sent_to: frozenset[str] = frozenset()
        self._events = EventSequence(routed.facts.last_event_id)
        self._stream_head: AnswerHead | None = None
        self._upstream_failure: UpstreamFailure | None = None
        self._retry_after_ms = RETRY_AFTER_MS
        self._timeout: asyncio.Timeout | None = None

    async def run(self) -> None:
        """Serve the request and write its answer to the caller."""
        try:
            async with asyncio.timeout(max(0, self._get_remaining_ms()) / 1_000) as self._timeout:
                outcome = await self._run_attempts()
        except TimeoutError:
            outcome = self._end_request(DeadlinePassed())
        except asyncio.CancelledError:
            self._recorder.record_end(
                self._end_request(CallerDisconnected()), self._request_state.sends
            )
            raise
        except Exception as error:
            write_line(ExchangeFailed(self._routed.request.target.decode("latin-1")), error)
            outcome = self._end_request(NoUpstream())
        self._recorder.record_end(outcome, self._request_state.sends)
        self._write_failure(outcome)

    def expire(self) -> None:
        """End the request as if its deadline had passed, because the process is about to exit."""
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())

    async def _run_attempts(self) -> Outcome:
        effect: Effect = ChooseUpstream(is_retry=False)
        while isinstance(effect, ChooseUpstream):
            effect = await self._attempt(effect)
        return effect.outcome

    async def _attempt(self, effect: ChooseUpstream) -> Effect:
        """Choose an upstream, send the request there and return the next step."""
        budget = self._fleet.find_budget(self._routed.service)
        if effect.is_retry and not budget.try_spend(
            self._clock.now(), self._fleet.count_instances()
        ):
            return self._end_attempt(NoUpstream(), "retry budget spent")
        last_send = self._request_state.sends + 1 >= self._request_state.max_sends
        sent_before = self._request_state.sends > 0
        placement = await self._placer.place(self._excluded, sent_before, last_send)
        if placement is None:
            self._retry_after_ms = self._placer.find_retry_after_ms(self._excluded)
            return self._end_attempt(NoUpstream(), self._placer.explain_none(self._excluded))
        choice = placement.choice
        self._recorder.record_choice(choice, len(self._excluded))
        too_late = check_admission(self._routed.route, choice, self._get_remaining_ms())
        if too_late is not None and not self._request_state.delivered:
            self._retry_after_ms = too_late.retry_after_ms
            expected = f"first event expected in {choice.first_event_ms:.0f} ms"
            return self._end_attempt(NoUpstream(), expected)
        self._accounting.add_jobs(choice)
        try:
            return await self._reserve_and_send(placement)
        finally:
            self._accounting.remove_jobs(choice)

    async def _reserve_and_send(self, placement: Placement) -> Effect:
        """Reserve memory at the helpers that need it, then send the request."""
        try:
            leases = await self._leases.reserve(placement.choice.helpers)
        except ReservationFailed as error:
            self._excluded |= {error.upstream}
            return self._end_attempt(ConnectionFailed(), str(error))
        try:
            return await self._send(placement, leases)
        finally:
            leases.release()

    def _get_remaining_ms(self) -> int:
        return self._routed.deadline_at - self._clock.now()

    async def _send(self, placement: Placement, leases: LeaseSet) -> Effect:
        choice = placement.choice
        send_once = self._routed.route.repeat is Repeat.NEVER
        # An answer to an earlier send of the request has the same id: no connection carries two.
        fresh = send_once or choice.upstream.name in self._sent_to
        try:
            connection = await self._connections.acquire(choice.upstream.address, fresh)
        except Unreachable as error:
            self._record_unreachable(choice.upstream, str(error))
            return self._end_attempt(ConnectionFailed(), str(error))
        if not self._may_send(placement):
            self._connections.release(choice.upstream.address, connection)
            return self._end_attempt(ConnectionFailed(), "the upstream stopped accepting new work")
        try:
            connection.until_deadline = send_once
            self._advance(SendStarted(new_upstream=choice.upstream.name not in self._sent_to))
            self._sent_to |= {choice.upstream.name}
            self._accounting.record_sent()
            limit = self._fleet.rate_limits.find(choice.upstream.incarnation)
            self._recorder.record_send(self._request_state.sends, limit is not None)
            self._send_request(connection, choice, leases)
            effect = await self._handle_answer(connection, choice)
            self._connections.release(choice.upstream.address, connection)
            return effect
        except SilenceTimeout as error:
            self._excluded |= {choice.upstream.name}
            self._accounting.record_silence(choice, str(error))
            return self._end_attempt(ExchangeBroken(), str(error))
        except (ConnectionBroken, BrokenStream) as error:
            self._excluded |= {choice.upstream.name}
            self._accounting.record_failure(choice, str(error))
            return self._end_attempt(ExchangeBroken(), str(error))
        finally:
            if not connection.idle:
                connection.close()

    def _may_send(self, placement: Placement) -> bool:
        """Tell whether the upstreams of a placement still accept the request."""
        choice = placement.choice
        return self._fleet.accepts_work(choice) and self._permits.covers(
            choice.upstream, placement.permit
        )

    def _send_request(self, connection: HttpConnection, choice: Choice, leases: LeaseSet) -> None:
        routed = self._routed
        envelope = Envelope(
            upstream=choice.upstream.name,
            remaining_ms=max(1, self._get_remaining_ms()),
            team=routed.team.name if routed.team is not None else None,
            rank=routed.rank,
            resume_after=self._events.last,
            prefill_helpers=tuple(
                PrefillHelper(helper.upstream.address, leases.find_ticket(helper.upstream.name))
                for helper in choice.helpers
            ),
        )
        headers = self._dialect.write_headers(routed.request, envelope)
        request = routed.request
        connection.send(request.method, request.target, headers, request.body)

    async def _handle_answer(self, connection: HttpConnection, choice: Choice) -> Effect:
        find_silence_timeout_ms = functools.partial(
            self._accounting.find_silence_timeout_ms, choice
        )
        head = self._dialect.read_head(await connection.read_head(find_silence_timeout_ms))
        self._answer_observer.handle_head(choice.upstream, head)
        connection.idle_limit_ms = head.idle_ms
        connection.reusable = connection.reusable and not head.closing
        problem = find_answer_problem(head, self._routed.facts.request_id, connection.used_before)
        if problem is not None:
            raise ConnectionBroken(problem)
        self._answer_observer.handle_answer(choice.upstream, head, self._accounting.sent_at)
        if head.not_run:
            return await self._handle_refusal(connection, head, choice)
        self._accounting.record_accepted(choice)
        if not 200 <= head.status < 300:
            return await self._handle_failure(connection, head, choice)
        if not head.request_id or not head.signed or head.encoded:
            raise ConnectionBroken("the answer has no request id or signature, or is encoded")
        if self._routed.route.streams:
            return await self._relay_stream(connection, head, choice)
        body = await connection.read_body(find_silence_timeout_ms)
        connection.finish()
        self._accounting.record_success(choice)
        return self._forward_answer(head, body)

    def _forward_answer(self, head: AnswerHead, body: bytes) -> Effect:
        """Forward a complete, buffered upstream answer to the caller."""
        self._advance(AnswerStarted())
        self._caller.answer(head.status, drop_connection_headers(head.headers), body)
        return self._end_attempt(AnswerCompleted())

    async def _handle_refusal(
        self, connection: HttpConnection, head: AnswerHead, choice: Choice
    ) -> Effect:
        await self._discard_body(connection)
        at_fault = self._find_upstream_at_fault(head, choice)
        self._excluded |= {at_fault.name}
        self._recorder.record_refusal(head.status, at_fault.name)
        self._accounting.record_refusal(at_fault)
        if head.misdirected and at_fault is choice.upstream:
            self._fleet.remove_upstream(at_fault)
        elif at_fault is not choice.upstream:
            self._record_unreachable(at_fault, f"reported at fault with status {head.status}")
        reason = f"upstream answered {head.status} without running it"
        return self._end_attempt(
            ReportedNotRun(helper_at_fault=at_fault is not choice.upstream), reason
        )

    async def _discard_body(self, connection: HttpConnection) -> None:
        try:
            async with asyncio.timeout(REFUSAL_BODY_TIMEOUT_MS / 1_000):
                await connection.read_body()
            connection.finish()
        except (TimeoutError, HttpConnectionError) as error:
            write_line(RefusalBodyDropped(self._routed.facts.request_id, repr(error)))
            connection.close()

    def _find_upstream_at_fault(self, head: AnswerHead, choice: Choice) -> Upstream:
        """Return the upstream that caused a refusal: the chosen one or one of its helpers."""
        for helper in choice.helpers:
            if helper.upstream.address == head.at_fault:
                return helper.upstream
        return choice.upstream

    async def _handle_failure(
        self, connection: HttpConnection, head: AnswerHead, choice: Choice
    ) -> Effect:
        """Handle an error answer to a request that ran: retry the request or forward the answer."""
        body = await connection.read_body(
            functools.partial(self._accounting.find_silence_timeout_ms, choice)
        )
        connection.finish()
        self._excluded |= {choice.upstream.name}
        if head.status < 500:
            self._accounting.record_success(choice)
        else:
            self._accounting.record_failure(choice, f"status {head.status}")
        final = self._routed.route.repeat is Repeat.NEVER or head.status < 500
        if final and not self._request_state.delivered:
            return self._forward_answer(head, body)
        self._upstream_failure = UpstreamFailure(head, body)
        return self._end_attempt(ExchangeBroken(), f"upstream answered {head.status}")

    async def _relay_stream(
        self, connection: HttpConnection, head: AnswerHead, choice: Choice
    ) -> Effect:
        """Forward the events of a stream as they arrive, each exactly once and complete."""
        part = self._begin_part(head)
        find_silence_timeout_ms = functools.partial(
            self._accounting.find_silence_timeout_ms, choice
        )
        while (data := await connection.read_data(find_silence_timeout_ms)) is not None:
            for event in part.read_events(data):
                if not self._request_state.delivered:
                    self._start_stream(head)
                self._recorder.record_event()
                self._accounting.record_event(choice)
                await self._caller.write(event.data)
                connection.record_progress()
        part.check_end()
        if not self._request_state.delivered:
            self._start_stream(head)
        connection.finish()
        self._accounting.record_success(choice)
        self._caller.finish_answer()
        return self._end_attempt(AnswerCompleted())

    def _begin_part(self, head: AnswerHead) -> StreamPart:
        """Check that an answer can begin or continue the caller's stream."""
        if self._stream_head is not None:
            problem = find_resume_problem(self._stream_head, head)
            if problem is not None:
                raise BrokenStream(problem)
        return StreamPart(self._events, resumed=self._stream_head is not None)

    def _start_stream(self, head: AnswerHead) -> None:
        self._stream_head = head
        self._advance(AnswerStarted())
        self._caller.start_answer(head.status, drop_connection_headers(head.headers))

    def _write_failure(self, outcome: Outcome) -> None:
        """Write the error answer for a request that did not succeed, or cut the connection."""
        if outcome in (Outcome.WHOLE, Outcome.CALLER_GONE):
            return
        if outcome is Outcome.CUT_OFF:
            self._caller.abort()
            return
        if outcome is Outcome.NOT_RUN:
            answer_failure(self._caller, 503, "the request has not run", self._retry_after_ms)
        elif self._upstream_failure is not None:
            failure = self._upstream_failure
            headers = drop_connection_headers(failure.head.headers)
            self._caller.answer(failure.head.status, headers, failure.body)
        elif outcome is Outcome.TIMED_OUT:
            answer_failure(self._caller, 504, "no answer before the deadline", None)
        else:
            answer_failure(self._caller, 502, "the upstream failed", None)

    def _record_unreachable(self, upstream: Upstream, reason: str) -> None:
        self._excluded |= {upstream.name}
        self._accounting.record_unreachable(upstream, reason)

    def _advance(self, event: Event) -> Effect | None:
        self._request_state, effect = advance(self._request_state, event)
        return effect

    def _end_attempt(self, event: Event, reason: str = "") -> Effect:
        effect = self._advance(event)
        assert effect is not None
        if reason:
            following = "place" if isinstance(effect, ChooseUpstream) else effect.outcome.value
            self._recorder.record_attempt(reason, self._request_state.sends, following)
        return effect

    def _end_request(self, event: Event) -> Outcome:
        effect = self._advance(event)
        assert isinstance(effect, Finish)
        return effect.outcome
