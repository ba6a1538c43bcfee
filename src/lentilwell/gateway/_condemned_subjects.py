"""Subjects that crash upstreams, and for how long requests with them are refused. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from lentilwell.gateway._crash_records import Crash, Explanation
from lentilwell.gateway._fingerprints import find_fingerprint

# Subjects stay condemned for this long after the last crash that they explain.
CONDEMNED_MS = 600_000
# Then the instances try one request each, one instance after the other, until a crash renews the
# condemnation or an answer ends it.
PROBE_STAGGER_MS = 1_000
PROBE_INTERVAL_MS = 60_000
# After this time without a crash, condemned subjects are forgotten.
FORGOTTEN_MS = 3 * CONDEMNED_MS
# A condemnation that another instance tells of renews a known one only if it is newer by more than
# a message is late. Otherwise the delays of messages told in turn would renew it without end.
RENEWAL_MARGIN_MS = 10_000
# Bounds on condemned sets of parts, and on condemned requests.
MAX_CONDEMNED = 16
MAX_CONDEMNED_REQUESTS = 64


@dataclass(frozen=True)
class Refusal:
    """A request is not sent because of these subjects; it may come again in ``retry_after_ms``."""

    subjects: frozenset[str]
    retry_after_ms: int

    @property
    def fingerprint(self) -> str:
        """Return the fingerprint of the request that is to blame, empty for parts of prompts."""
        return find_fingerprint(self.subjects)


@dataclass(frozen=True)
class Probe:
    """The one request with condemned subjects that is let through, and when it was."""

    request: str
    at: int


class CondemnedSubjects:
    """The explanations of crashes that are believed, by their subjects."""

    def __init__(self) -> None:
        self._known: dict[frozenset[str], Explanation] = {}
        self._probes: dict[frozenset[str], Probe] = {}
        self._doubted_since: dict[frozenset[str], int] = {}

    def list_all(self) -> tuple[Explanation, ...]:
        """Return all explanations."""
        return tuple(self._known.values())

    def includes(self, subject: str) -> bool:
        """Tell whether a subject is condemned, alone or with others."""
        return any(subject in parts for parts in self._known)

    def add(self, explanation: Explanation) -> None:
        """Add an explanation, or renew the known one with the same subjects."""
        known = self._known.get(explanation.parts)
        if known is not None:
            newer = explanation.last_at > known.last_at + RENEWAL_MARGIN_MS
            last_at = explanation.last_at if newer else known.last_at
            first_at = min(known.first_at, explanation.first_at)
            explanation = replace(known, first_at=first_at, last_at=last_at)
        self._known[explanation.parts] = explanation
        self._drop_oldest(bool(explanation.fingerprint))

    def remove(self, parts: frozenset[str]) -> None:
        """Remove the explanation with these subjects, if it is known."""
        self._known.pop(parts, None)
        self._probes.pop(parts, None)

    def set_doubted(self, explanations: Iterable[Explanation], now: int) -> None:
        """Set which explanations are doubtful: requests with their subjects are tried at once."""
        known = self._doubted_since
        self._doubted_since = {one.parts: known.get(one.parts, now) for one in explanations}

    def renew(self, crash: Crash) -> None:
        """Extend all explanations that explain a crash."""
        for parts, explanation in list(self._known.items()):
            if explanation.explains(crash) and crash.at > explanation.last_at:
                self._known[parts] = replace(explanation, last_at=crash.at)

    def forget(self, now: int) -> bool:
        """Remove what has explained no crash for long; return whether there was any."""
        old = [one for one in self.list_all() if now - one.last_at > FORGOTTEN_MS]
        for explanation in old:
            self.remove(explanation.parts)
        return bool(old)

    def find_refusal(
        self, request: str, subjects: tuple[str, ...], rank: int, now: int
    ) -> Refusal | None:
        """Return why a request must not be sent, None if it may be.

        ``rank`` is the number of instances that try a request before this one does.
        """
        all_subjects = frozenset(subjects)
        for explanation in self.list_all():
            if explanation.parts <= all_subjects:
                refusal = self._check(explanation, request, rank, now)
                if refusal is not None:
                    return refusal
        return None

    def _check(self, explanation: Explanation, request: str, rank: int, now: int) -> Refusal | None:
        ends_at = explanation.last_at + CONDEMNED_MS
        until = self._doubted_since.get(explanation.parts, ends_at) + rank * PROBE_STAGGER_MS
        if now < until:
            return Refusal(explanation.parts, until - now)
        probe = self._probes.get(explanation.parts)
        if probe is None or now - probe.at >= PROBE_INTERVAL_MS:
            self._probes[explanation.parts] = Probe(request, now)
            return None
        if probe.request == request:
            return None
        return Refusal(explanation.parts, probe.at + PROBE_INTERVAL_MS - now)

    def _drop_oldest(self, requests: bool) -> None:
        """Keep the explanations of one kind within their bound."""
        kind = [one for one in self.list_all() if bool(one.fingerprint) is requests]
        if len(kind) > (MAX_CONDEMNED_REQUESTS if requests else MAX_CONDEMNED):
            self.remove(min(kind, key=lambda one: one.last_at).parts)
