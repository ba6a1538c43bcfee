"""Records the effects of one request's sends on the load, health and latency of upstreams."""

from __future__ import annotations

from dataclasses import replace

from lentilwell._log_lines import UpstreamEjected, UpstreamUnreachable, write_line
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._placement_policies import Choice, build_jobs
from lentilwell.gateway._routing import RoutedRequest
from lentilwell.gateway._silence_timeout import explains_silence, find_silence_timeout_ms
from lentilwell.gateway._upstreams import Upstream


class Accounting:
    """Updates the fleet for one attempt of a request, the ``number``th from 0 on.

    ``sent_at`` is when the request was sent to the upstream, in ms, ``job_name`` the name of its
    work in the load of the upstreams.
    """

    def __init__(self, fleet: Fleet, routed: RoutedRequest, number: int = 0) -> None:
        self._fleet = fleet
        self._clock = fleet.clock
        self._routed = routed
        # Attempts beside each other may use the same helpers.
        self.job_name = f"{routed.facts.request_id}/{number}"
        self.sent_at = 0
        self._awaits_event = False
        self._late = False

    def add_jobs(self, choice: Choice, late: bool = False) -> None:
        """Add the request's work to the load of its upstreams.

        The upstreams take a ``late`` request after all that can be on time.
        """
        facts, route = self._routed.facts, self._routed.route
        self._late = late
        now = self._clock.now()
        due_at = self._routed.request.arrived_at + route.objective_ms
        jobs = build_jobs(
            choice,
            self.job_name,
            facts.prompt.memory_tokens if facts.prompt is not None else 0,
            now=now,
            due_at=min(due_at, now) if late else due_at,
            pause_ms=route.pause_ms,
        )
        for job in jobs:
            self._fleet.load_tracker.add(job)

    def remove_jobs(self, choice: Choice) -> None:
        """Remove the request's work from the load of its upstreams."""
        self._fleet.load_tracker.remove(self.job_name, choice.upstream_names)
        self._fleet.admission.wake(self._routed.service)

    def record_sent(self) -> None:
        """Record that the request is sent to an upstream now."""
        self.sent_at = self._clock.now()
        self._awaits_event = True

    def record_event(self, choice: Choice) -> None:
        """Record an event; the first one of a send ends the prefill and gives a latency sample."""
        if not self._awaits_event:
            return
        self._awaits_event = False
        now = self._clock.now()
        self._fleet.load_tracker.record_first_event(self.job_name, choice.upstream_names, now)
        if choice.helpers or not choice.first_event_ms:
            return  # with helpers, it is unknown which upstream was slow
        expected_ms = choice.first_event_ms / choice.latency_factor
        actual_ms = float(now - self.sent_at)
        if not self._late:
            errors = self._fleet.admission.find_holds(self._routed.service).errors
            errors.record(choice.first_event_ms, actual_ms, now)
        if choice.slot_wait_ms and self._fleet.admission.enabled:
            return  # the wait for a slot says nothing of the engine's speed
        self._fleet.latency_factors.record_sample(choice.upstream.name, expected_ms, actual_ms, now)

    def record_success(self, choice: Choice) -> None:
        """Record that the upstream answered without a fault of its own."""
        self._fleet.ejection.record_success(choice.upstream.name)

    def record_refusal(self, upstream: Upstream) -> None:
        """Record that the upstream refused the request or caused its refusal by another one."""
        self._fleet.refusals.record(upstream.name, refused=True, now=self._clock.now())

    def record_accepted(self, choice: Choice) -> None:
        """Record that the upstreams accepted the request, whatever the answer is."""
        now = self._clock.now()
        for name in choice.upstream_names:
            self._fleet.refusals.record(name, refused=False, now=now)

    def record_failure(self, choice: Choice, reason: str) -> None:
        """Record that the upstream sent a bad answer or closed the connection early."""
        if self._fleet.ejection.record_failure(choice.upstream.name, self._clock.now()):
            write_line(UpstreamEjected(choice.upstream.name, reason))

    def record_silence(self, choice: Choice, reason: str) -> None:
        """Record that the upstream exceeded the silence timeout of a request that was sent.

        If its known work may explain the silence, the upstream counts as unreachable, and the
        silence is not counted as a failure of it.
        """
        name = choice.upstream.name
        load = self._fleet.load_tracker.measure_load(name, self._clock.now())
        if explains_silence(self._routed.engine, load):
            self.record_unreachable(choice.upstream, reason)
            return
        self._log_unreachable(name, reason)
        self._fleet.ejection.record_silence(name, self._clock.now())

    def record_unreachable(self, upstream: Upstream, reason: str) -> None:
        """Record that the upstream accepts no connection, is silent, or was named at fault."""
        self._log_unreachable(upstream.name, reason)
        self._fleet.ejection.record_unreachable(upstream.name, self._clock.now())

    def _log_unreachable(self, name: str, reason: str) -> None:
        if not self._fleet.ejection.is_unreachable(name):
            write_line(UpstreamUnreachable(name, reason))

    def find_silence_timeout_ms(self, choice: Choice) -> int | None:
        """Return the silence timeout of the chosen upstream for now, in ms; None for no limit."""
        now = self._clock.now()
        loads = [self._fleet.load_tracker.measure_load(name, now) for name in choice.upstream_names]
        backlog_ms = max(load.backlog_ms for load in loads)
        return find_silence_timeout_ms(
            self._routed.route,
            self._routed.engine,
            replace(loads[0], backlog_ms=backlog_ms),
            choice.first_event_ms if self._awaits_event else None,
            self._fleet.latency_factors.find(choice.upstream.name, now),
        )
