"""Serves one request by one attempt after another, and beside upstreams that are silent."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from lentilwell._log_lines import ExchangeFailed, write_line
from lentilwell.gateway._attempt import Attempt, AttemptEnd
from lentilwell.gateway._caller_connection import CallerConnection
from lentilwell.gateway._delivery import Delivery
from lentilwell.gateway._exchange_context import ExchangeContext
from lentilwell.gateway._placer import Placer
from lentilwell.gateway._request_recorder import RequestRecorder
from lentilwell.gateway._request_state import (
    CallerDisconnected,
    ChooseUpstream,
    ConnectionFailed,
    DeadlinePassed,
    Effect,
    Event,
    ExchangeBroken,
    Finish,
    NoUpstream,
    OtherSendsCancelled,
    Outcome,
    RequestFailed,
    RequestState,
    UpstreamSilent,
    advance,
)
from lentilwell.gateway._routing import RoutedRequest

RETRY_AFTER_MS = 300
EVACUATED = "the data centre is evacuated"
# While a request waits only for silent upstreams because no other one can be used, it looks for
# another one at this interval.
LOOK_AGAIN_MS = 300


@dataclass(frozen=True)
class AttemptReport:
    """An attempt has ended, has failed with an unexpected error, or is silent for ``silent_ms``."""

    attempt: Attempt
    end: AttemptEnd | Exception | None = None
    silent_ms: int = 0


@dataclass(frozen=True)
class LookAgainDue:
    """It is time to look for an upstream again, because none could be used before."""


class Exchange:
    """Serves one request. ``run`` is cancelled when the caller closes its connection.

    Attempts run in tasks of their own. One whose upstream is silent goes on beside the next one;
    the first of them to make progress answers the caller, and the others are cancelled.
    """

    def __init__(
        self, context: ExchangeContext, routed: RoutedRequest, caller: CallerConnection
    ) -> None:
        self._context = context
        self._clock = context.fleet.clock
        self.routed = routed
        self.delivery = Delivery(caller, routed.facts.last_event_id, RETRY_AFTER_MS)
        self.recorder = RequestRecorder(context.fleet, context.metrics, routed)
        self.placer = Placer(context.fleet, context.permits, routed, self.recorder)
        self.state = RequestState(routed.route.repeat, routed.route.max_upstreams)
        self.excluded: frozenset[str] = frozenset()
        self.sent_to: frozenset[str] = frozenset()
        self._cancelled: frozenset[str] = frozenset()
        self._tasks: dict[Attempt, asyncio.Task[None]] = {}
        self._attempts = 0
        self._reports: asyncio.Queue[AttemptReport | LookAgainDue] = asyncio.Queue()
        self._look_again_timer: asyncio.TimerHandle | None = None
        self._timeout: asyncio.Timeout | None = None

    async def run(self) -> None:
        """Serve the request and write its answer to the caller."""
        remaining_ms = max(0, self.routed.deadline_at - self._clock.now())
        try:
            async with asyncio.timeout(remaining_ms / 1_000) as self._timeout:
                outcome = await self._run_attempts()
        except TimeoutError:
            outcome = self._end_request(DeadlinePassed())
        except asyncio.CancelledError:
            self.recorder.record_end(self._end_request(CallerDisconnected()), self.state.sends)
            raise
        except Exception as error:
            write_line(ExchangeFailed(self.routed.request.target.decode("latin-1")), error)
            outcome = self._end_request(RequestFailed())
        self.recorder.record_end(outcome, self.state.sends)
        self.delivery.write_failure(outcome)

    def expire(self) -> None:
        """End the request as if its deadline had passed, because the process is about to exit."""
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())

    def handle_evacuation(self, data_centre: str) -> None:
        """Place the request again at once if it waits for an upstream of a data centre."""
        for attempt, task in self._tasks.items():
            if attempt.waits_for(data_centre) and not task.done():
                task.cancel()
                end = AttemptEnd(ConnectionFailed(), EVACUATED)
                self._reports.put_nowait(AttemptReport(attempt, end))

    def advance(self, event: Event) -> Effect | None:
        """Apply an event to the state of the request, and return its effect."""
        self.state, effect = advance(self.state, event)
        return effect

    def handle_silence(self, attempt: Attempt, silent_ms: int) -> None:
        """Send the request to another upstream, if that is allowed, beside this attempt."""
        self._reports.put_nowait(AttemptReport(attempt, silent_ms=silent_ms))

    def claim_answer(self, attempt: Attempt) -> None:
        """Cancel all other attempts: this one answers the caller."""
        self.recorder.record_answering(attempt.choice)
        if len(self._tasks) == 1:
            return
        for other in [other for other in self._tasks if other is not attempt]:
            self._tasks.pop(other).cancel()
            self._cancelled |= {other.upstream} & self.sent_to
            self.recorder.record_cancelled(other.upstream, attempt.upstream)
        self.advance(OtherSendsCancelled())

    async def _run_attempts(self) -> Outcome:
        effect: Effect | None = ChooseUpstream(is_retry=False)
        while not isinstance(effect, Finish):
            if isinstance(effect, ChooseUpstream):
                if effect.among_cancelled:
                    self._exclude_all_but_cancelled()
                self._start_attempt(effect.is_retry)
            effect = self._handle_report(await self._reports.get())
        return effect.outcome

    def _exclude_all_but_cancelled(self) -> None:
        """Exclude all upstreams but those whose sends were cancelled, silent ones among them."""
        self.excluded |= frozenset(self._context.fleet.directory.listed)
        self.excluded -= self._cancelled
        self._cancelled = frozenset()

    def _start_attempt(self, is_retry: bool) -> None:
        attempt = Attempt(self._context, self, self._attempts)
        self._attempts += 1
        loop = asyncio.get_running_loop()
        self._tasks[attempt] = loop.create_task(self._run_attempt(attempt, is_retry))

    async def _run_attempt(self, attempt: Attempt, is_retry: bool) -> None:
        end: AttemptEnd | Exception
        try:
            end = await attempt.run(is_retry)
        except Exception as error:
            end = error
        self._reports.put_nowait(AttemptReport(attempt, end))

    def _handle_report(self, report: AttemptReport | LookAgainDue) -> Effect | None:
        """Return the effect of a report; one of a cancelled attempt has none."""
        if isinstance(report, LookAgainDue):
            silent = any(attempt.silent for attempt in self._tasks)
            return self.advance(UpstreamSilent()) if silent else None
        if report.attempt not in self._tasks:
            return None
        if report.end is None:
            return self._handle_silent_attempt(report)
        del self._tasks[report.attempt]
        end = report.end
        if isinstance(end, Exception):
            if not self._tasks:
                raise end
            end = self._handle_error(report.attempt, end)
        effect = self.advance(end.event)
        if end.reason:
            self.recorder.record_attempt(
                report.attempt.upstream, end.reason, self.state.sends, describe(effect)
            )
        if effect is None and isinstance(end.event, NoUpstream):
            self._look_again_later()
        return effect

    def _handle_error(self, attempt: Attempt, error: Exception) -> AttemptEnd:
        """Log an unexpected error of an attempt, which must not end those beside it."""
        write_line(ExchangeFailed(self.routed.request.target.decode("latin-1")), error)
        event = ExchangeBroken() if attempt.sent else NoUpstream()
        return AttemptEnd(event, f"unexpected error: {error!r}")

    def _look_again_later(self) -> None:
        if self._look_again_timer is not None:
            self._look_again_timer.cancel()
        self._look_again_timer = asyncio.get_running_loop().call_later(
            LOOK_AGAIN_MS / 1_000, self._reports.put_nowait, LookAgainDue()
        )

    def _handle_silent_attempt(self, report: AttemptReport) -> Effect | None:
        if not report.attempt.silent:
            return None
        effect = self.advance(UpstreamSilent())
        self.recorder.record_silence(
            report.attempt.upstream, report.silent_ms, self.state.sends, describe(effect)
        )
        return effect

    def _end_request(self, event: Event) -> Outcome:
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()
        effect = self.advance(event)
        assert isinstance(effect, Finish)
        return effect.outcome


def describe(effect: Effect | None) -> str:
    """Return the name of an effect for the log: ``place``, ``wait`` or the outcome."""
    if effect is None:
        return "wait"
    return "place" if isinstance(effect, ChooseUpstream) else effect.outcome.value
