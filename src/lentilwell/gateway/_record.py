"""The record of one request: what it measured, its log lines and its metrics."""

from __future__ import annotations

from lentilwell._log_lines import (
    AttemptEnded,
    RequestEnded,
    RequestHeld,
    RequestPlaced,
    RequestWaits,
    UpstreamRefused,
    write_line,
)
from lentilwell.gateway._choice import Choice
from lentilwell.gateway._course import Ending
from lentilwell.gateway._fleet import Fleet
from lentilwell.gateway._metrics import Metrics
from lentilwell.gateway._routing import Subject


class Record:
    """Measures one request; times in ms, ``first_ms`` from its arrival."""

    def __init__(self, fleet: Fleet, metrics: Metrics, subject: Subject) -> None:
        self._fleet = fleet
        self._clock = fleet.clock
        self._metrics = metrics
        self._subject = subject
        self._upstream = ""
        self._helpers = 0
        self._expected_ms = 0
        self._last_event_at = 0
        self._longest_pause_ms = 0
        self.first_ms: int | None = None

    def note_choice(self, choice: Choice, excluded: int) -> None:
        """Log where the request goes, with what decided it and how old that is."""
        now = self._clock.now()
        load = self._fleet.load_tracker.measure(choice.upstream.name, now)
        self._upstream = choice.upstream.name
        self._helpers = len(choice.helpers)
        waited_ms = now - self._subject.request.arrived_at
        self._expected_ms = round(waited_ms + choice.first_event_ms)
        placed = RequestPlaced(
            request=self._subject.facts.request_id,
            service=self._subject.service,
            configuration=self._subject.catalog_version,
            listing=self._fleet.listing_point.version,
            upstream=choice.upstream.name,
            helpers=" ".join(choice.names[1:]),
            expected_first_ms=round(choice.first_event_ms),
            upstream_jobs=len(load.jobs),
            upstream_backlog_ms=round(load.backlog_ms),
            upstream_pace=round(choice.pace, 2),
            oldest_digest_ms=self._fleet.find_digest_age(),
            excluded=excluded,
        )
        write_line(placed)

    def note_hold(self, choice: Choice, ahead_ms: float, hold_ms: int) -> None:
        """Log that the request waits for what the chosen upstreams read."""
        held = RequestHeld(
            request=self._subject.facts.request_id,
            upstream=choice.upstream.name,
            helpers=" ".join(choice.names[1:]),
            reading_ahead_ms=round(ahead_ms),
            oldest_digest_ms=self._fleet.find_digest_age(),
            hold_ms=hold_ms,
        )
        write_line(held)

    def note_wait(self, opens_in_ms: int, wait_ms: int) -> None:
        """Log that the request waits until an upstream wants work again."""
        subject = self._subject
        write_line(RequestWaits(subject.facts.request_id, subject.service, opens_in_ms, wait_ms))

    def note_send(self, sends: int) -> None:
        """Count a send; ``sends`` counts the upstreams so far."""
        self._metrics.count_send(self._subject.service, again=sends > 1)

    def note_event(self) -> None:
        """Take the time of an event that goes to the caller."""
        now = self._clock.now()
        if self.first_ms is None:
            self.first_ms = now - self._subject.request.arrived_at
        else:
            self._longest_pause_ms = max(self._longest_pause_ms, now - self._last_event_at)
        self._last_event_at = now

    def note_refusal(self, status: int, at_fault: str) -> None:
        """Log that an upstream did not run the request."""
        refused = UpstreamRefused(
            request=self._subject.facts.request_id,
            upstream=self._upstream,
            status=status,
            at_fault=at_fault,
        )
        write_line(refused)

    def note_attempt(self, reason: str, sends: int, following: str) -> None:
        """Log how an attempt ended and what follows."""
        ended = AttemptEnded(
            request=self._subject.facts.request_id,
            upstream=self._upstream,
            reason=reason,
            sends=sends,
            next=following,
        )
        write_line(ended)

    def note_end(self, ending: Ending, sends: int) -> None:
        """Log and count the end of the request."""
        subject, prompt = self._subject, self._subject.facts.prompt
        total_ms = self._clock.now() - subject.request.arrived_at
        self._metrics.count_end(subject.service, ending.value, total_ms)
        if self.first_ms is not None:
            self._metrics.count_stream(prompt, self.first_ms, self._longest_pause_ms)
        ended = RequestEnded(
            request=subject.facts.request_id,
            route=subject.route.name,
            configuration=subject.catalog_version,
            upstream=self._upstream,
            outcome=ending.value,
            team=subject.team.name if subject.team is not None else None,
            service=subject.service,
            sends=sends,
            first_ms=self.first_ms,
            expected_first_ms=self._expected_ms,
            longest_pause_ms=self._longest_pause_ms,
            helpers=self._helpers,
            tokens=prompt.prompt_tokens if prompt is not None else None,
            total_ms=total_ms,
        )
        write_line(ended)
