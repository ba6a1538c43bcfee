"""What one request's sends tell the fleet: work in hand, health and pace of upstreams."""

from __future__ import annotations

from dataclasses import replace

from lentilwell._log_lines import UpstreamEjected, UpstreamUnreachable, write_line
from lentilwell.gateway._choice import Choice, list_jobs
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._patience import explains_silence, find_patience
from lentilwell.gateway._routing import Subject
from lentilwell.gateway._upstreams import Upstream


class Accounting:
    """Keeps the fleet's books for one request, a choice at a time."""

    def __init__(self, fleet: Fleet, subject: Subject) -> None:
        self._fleet = fleet
        self._clock = fleet.clock
        self._subject = subject
        self._sent_at = 0
        self._awaits_event = False

    def book(self, choice: Choice) -> None:
        """Count the request's work at the chosen upstreams."""
        facts, route = self._subject.facts, self._subject.route
        jobs = list_jobs(
            choice,
            facts.request_id,
            facts.prompt.memory_tokens if facts.prompt is not None else 0,
            now=self._clock.now(),
            due_at=self._subject.request.arrived_at + route.objective_ms,
            pause_ms=route.pause_ms,
        )
        for job in jobs:
            self._fleet.load_tracker.add(job)

    def unbook(self, choice: Choice) -> None:
        """Count the request's work there no more."""
        self._fleet.load_tracker.remove(self._subject.facts.request_id, choice.names)

    def note_sent(self) -> None:
        """The request goes to an upstream now."""
        self._sent_at = self._clock.now()
        self._awaits_event = True

    def note_event(self, choice: Choice) -> None:
        """An event came: the first one ends the reading and tells the upstream's pace."""
        if not self._awaits_event:
            return
        self._awaits_event = False
        self._fleet.load_tracker.note_read(self._subject.facts.request_id, choice.names)
        if choice.helpers or not choice.first_event_ms:
            return  # helpers blur which upstream was slow
        now = self._clock.now()
        expected_ms = choice.first_event_ms / choice.pace
        actual_ms = float(now - self._sent_at)
        self._fleet.latency_factors.learn(choice.upstream.name, expected_ms, actual_ms, now)

    def note_success(self, choice: Choice) -> None:
        """The upstream answered well."""
        self._fleet.ejection.record_success(choice.upstream.name)

    def note_refusal(self, upstream: Upstream) -> None:
        """The upstream turned the request away, or is the cause that another one did."""
        self._fleet.refusals.record(upstream.name, refused=True, now=self._clock.now())

    def note_accepted(self, choice: Choice) -> None:
        """The upstream took the request, whatever it answers."""
        now = self._clock.now()
        for name in choice.names:
            self._fleet.refusals.record(name, refused=False, now=now)

    def note_failure(self, choice: Choice, reason: str) -> None:
        """The upstream answered badly or broke off."""
        if self._fleet.ejection.record_failure(choice.upstream.name, self._clock.now()):
            write_line(UpstreamEjected(choice.upstream.name, reason))

    def note_silence(self, choice: Choice, reason: str) -> None:
        """The upstream took the request and said nothing; its known work may be why."""
        name = choice.upstream.name
        engine = self._fleet.find_engine(self._subject.service)
        load = self._fleet.load_tracker.measure(name, self._clock.now())
        if explains_silence(engine, load):
            self.note_unreachable(choice.upstream, reason)
            return
        self._log_unreachable(name, reason)
        self._fleet.ejection.record_silence(name, self._clock.now())

    def note_unreachable(self, upstream: Upstream, reason: str) -> None:
        """The upstream takes no connection, is silent, or was named at fault."""
        self._log_unreachable(upstream.name, reason)
        self._fleet.ejection.record_unreachable(upstream.name, self._clock.now())

    def _log_unreachable(self, name: str, reason: str) -> None:
        if not self._fleet.ejection.is_unreachable(name):
            write_line(UpstreamUnreachable(name, reason))

    def find_patience(self, choice: Choice) -> int | None:
        """Return how long the chosen upstream may be silent, by what is known now; in ms."""
        now = self._clock.now()
        loads = [self._fleet.load_tracker.measure(name, now) for name in choice.names]
        backlog_ms = max(load.backlog_ms for load in loads)
        return find_patience(
            self._subject.route,
            self._fleet.find_engine(self._subject.service),
            replace(loads[0], backlog_ms=backlog_ms),
            choice.first_event_ms if self._awaits_event else None,
            self._fleet.latency_factors.find(choice.upstream.name, now),
        )
