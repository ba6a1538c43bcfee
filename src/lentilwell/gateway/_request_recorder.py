"""Measurements, log lines and metrics of one request."""

from __future__ import annotations

from lentilwell._log_lines import (
    AttemptCancelled,
    AttemptEnded,
    AttemptSilent,
    OverloadRefused,
    RequestCut,
    RequestDeferred,
    RequestEnded,
    RequestHeld,
    RequestPlaced,
    RequestRefused,
    RequestReleased,
    RequestWaiting,
    UpstreamRefused,
    write_line,
)
from lentilwell.gateway._condemned_subjects import Refusal
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._metrics import Metrics
from lentilwell.gateway._placement_policies import Choice
from lentilwell.gateway._request_state import Outcome
from lentilwell.gateway._routing import RoutedRequest
from lentilwell.gateway._stopping import record_time
from lentilwell.gateway._upstreams import Upstream
from lentilwell.gateway.evacuation import Closure
from lentilwell.gateway.overload import Refuse


class RequestRecorder:
    """Measures one request, and writes its log lines and its metrics.

    Times are in ms. ``first_ms`` is the time from the request's arrival to its first event.
    """

    def __init__(self, fleet: Fleet, metrics: Metrics, routed: RoutedRequest) -> None:
        self._fleet = fleet
        self._clock = fleet.clock
        self._metrics = metrics
        self._routed = routed
        self._upstream = ""
        self._helpers = 0
        self._expected_ms = 0
        self._first_sent_at: int | None = None
        self._last_event_at = 0
        self._longest_pause_ms = 0
        self.first_ms: int | None = None

    def record_choice(self, choice: Choice, excluded: int) -> None:
        """Log the chosen upstream, the load it was chosen by, and the age of that information."""
        now = self._clock.now()
        load = self._fleet.load_tracker.measure_load(choice.upstream.name, now)
        self.record_answering(choice)
        waited_ms = now - self._routed.request.arrived_at
        self._expected_ms = round(waited_ms + choice.first_event_ms)
        placed = RequestPlaced(
            request=self._routed.facts.request_id,
            service=self._routed.service,
            configuration=self._routed.catalog_version,
            listing=self._fleet.listing_point.version,
            upstream=choice.upstream.name,
            helpers=" ".join(choice.upstream_names[1:]),
            expected_first_ms=round(choice.first_event_ms),
            upstream_jobs=len(load.jobs),
            upstream_backlog_ms=round(load.backlog_ms),
            upstream_pace=round(choice.latency_factor, 2),
            oldest_digest_ms=self._fleet.find_digest_age(),
            excluded=excluded,
        )
        write_line(placed)

    def record_answering(self, choice: Choice) -> None:
        """Record that these upstreams are the last to be tried, or answer the caller."""
        self._upstream = choice.upstream.name
        self._helpers = len(choice.helpers)

    def record_deferral(self, choice: Choice, prefill_ahead_ms: float, deferral_ms: int) -> None:
        """Log that the request is deferred until its upstreams have read prompts ahead of it."""
        deferred = RequestDeferred(
            request=self._routed.facts.request_id,
            upstream=choice.upstream.name,
            helpers=" ".join(choice.upstream_names[1:]),
            reading_ahead_ms=round(prefill_ahead_ms),
            oldest_digest_ms=self._fleet.find_digest_age(),
            hold_ms=deferral_ms,
        )
        write_line(deferred)

    def record_hold(self, choice: Choice, reason: str) -> None:
        """Log that the request is held at this instance, because it would be late and delay others.

        Call this once for each request, with the choice that it was first held for.
        """
        routed = self._routed
        write_line(
            RequestHeld(
                request=routed.facts.request_id,
                service=routed.service,
                rank=routed.rank,
                reason=reason,
                expected_first_ms=round(choice.first_event_ms),
                slot_wait_ms=round(choice.slot_wait_ms),
                free_slots=choice.free_slots,
                waited_ms=self._clock.now() - routed.request.arrived_at,
            )
        )

    def record_hold_end(self, outcome: str, held_ms: int) -> None:
        """Log and count that the request is held no more, after ``held_ms``."""
        routed = self._routed
        self._metrics.count_hold(routed.service, routed.rank, outcome, held_ms)
        write_line(RequestReleased(routed.facts.request_id, routed.service, outcome, held_ms))

    def record_overload(self, choice: Choice, refuse: Refuse) -> None:
        """Log and count that the request is refused for lack of room."""
        routed = self._routed
        self._metrics.count_overload(routed.service, routed.rank)
        write_line(
            OverloadRefused(
                request=routed.facts.request_id,
                service=routed.service,
                rank=routed.rank,
                expected_first_ms=refuse.expected_ms,
                free_slots=choice.free_slots,
                waited_ms=self._clock.now() - routed.request.arrived_at,
                retry_after_ms=refuse.retry_after_ms,
            )
        )

    def record_wait(self, backoff_ms: int, wait_ms: int) -> None:
        """Log that the request waits until an upstream accepts work again."""
        routed = self._routed
        write_line(RequestWaiting(routed.facts.request_id, routed.service, backoff_ms, wait_ms))

    def record_send(self, sends: int, limited: bool) -> None:
        """Count a send; ``sends`` is the number of upstreams tried so far, this one included.

        ``limited`` is true if the upstream names a rate limit.
        """
        if self._first_sent_at is None:
            self._first_sent_at = self._clock.now()
        self._metrics.count_send(self._routed.service, again=sends > 1)
        if limited:
            self._metrics.count_limited_send(self._routed.service)

    def record_event(self) -> None:
        """Measure an event that is forwarded: time to the first event, or pause since the last."""
        now = self._clock.now()
        if self.first_ms is None:
            self.first_ms = now - self._routed.request.arrived_at
        else:
            self._longest_pause_ms = max(self._longest_pause_ms, now - self._last_event_at)
        self._last_event_at = now

    def record_refusal(self, upstream: str, status: int, at_fault: str) -> None:
        """Log that an upstream refused the request without running it."""
        request = self._routed.facts.request_id
        write_line(UpstreamRefused(request, upstream, status, at_fault))

    def record_cut(self, upstream: Upstream, events: int) -> None:
        """Log and count that an upstream ended the connection after ``events`` of the answer."""
        facts = self._routed.facts
        self._metrics.count_cut(self._routed.service, events)
        write_line(
            RequestCut(
                request=facts.request_id,
                upstream=upstream.name,
                born_ms=upstream.born_ms,
                events=events,
                parts=" ".join(facts.shared_parts),
                fingerprint=self._routed.fingerprint,
            )
        )

    def record_harmful(self, refusal: Refusal) -> None:
        """Log and count that the request is not sent because it crashes upstreams."""
        self._metrics.count_refused(self._routed.service)
        request, fingerprint = self._routed.facts.request_id, refusal.fingerprint
        parts = "" if fingerprint else " ".join(sorted(refusal.subjects))
        write_line(RequestRefused(request, parts, refusal.retry_after_ms, fingerprint))

    def record_closure(self, closure: Closure) -> None:
        """Count that the request is refused because none of the ready upstreams may be used."""
        self._metrics.count_closure(self._routed.service, closure.reason.value)

    def record_attempt(self, upstream: str, reason: str, sends: int, following: str) -> None:
        """Log how an attempt ended; ``following`` is the next step or the outcome."""
        request = self._routed.facts.request_id
        write_line(AttemptEnded(request, upstream, reason, sends, following))

    def record_silence(self, upstream: str, silent_ms: int, sends: int, following: str) -> None:
        """Log that an upstream is silent, while its attempt stays open."""
        request = self._routed.facts.request_id
        write_line(AttemptSilent(request, upstream, silent_ms, sends, following))

    def record_cancelled(self, upstream: str, answering: str) -> None:
        """Log that an attempt was cancelled because another upstream answers."""
        write_line(AttemptCancelled(self._routed.facts.request_id, upstream, answering))

    def record_end(self, outcome: Outcome, sends: int) -> None:
        """Log the outcome of the request and count it."""
        self._record_time(outcome)
        routed, prompt = self._routed, self._routed.facts.prompt
        total_ms = self._clock.now() - routed.request.arrived_at
        self._metrics.count_request(routed.service, outcome.value, total_ms)
        if self.first_ms is not None:
            self._metrics.count_stream(prompt, self.first_ms, self._longest_pause_ms)
        ended = RequestEnded(
            request=routed.facts.request_id,
            route=routed.route.name,
            configuration=routed.catalog_version,
            upstream=self._upstream,
            outcome=outcome.value,
            team=routed.team.name if routed.team is not None else None,
            service=routed.service,
            sends=sends,
            first_ms=self.first_ms,
            expected_first_ms=self._expected_ms,
            longest_pause_ms=self._longest_pause_ms,
            helpers=self._helpers,
            tokens=prompt.prompt_tokens if prompt is not None else None,
            total_ms=total_ms,
        )
        write_line(ended)

    def _record_time(self, outcome: Outcome) -> None:
        """Learn how long an answer takes; one that was cut by its deadline takes at least so long.

        Callers that left and upstreams that failed say nothing of it.
        """
        now = self._clock.now()
        if self._first_sent_at is None:
            return
        if outcome is Outcome.WHOLE or now >= self._routed.deadline_at:
            record_time(self._routed, self._fleet.answer_times, now - self._first_sent_at)
