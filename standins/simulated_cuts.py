"""Plays requests that come again after crashes in simulated time, and counts which are refused.

Each request has a fingerprint; some are looked up by everybody, most occur once. Upstreams crash by
themselves, with their rack, or under a deadly request, and some reset requests while they are well.
An instance sends a cut request once more, and its caller sends it again under new ids. What all
instances see is one body of evidence.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from lentilwell.gateway._crash_evidence import SETTLE_MS, CrashEvidence
from lentilwell.gateway._crash_records import CutRequest
from lentilwell.gateway._upstreams import Incarnation

UPSTREAMS = 14
RACKS = 3
STEP_MS = 10
SERVICE_MS = (30, 400)
RESTART_MS = 3_000
# Ends of one rack are seen within this time of each other.
RACK_SPREAD_MS = 500
# Callers come back after a time between these, this often.
REPEAT_MS = (100, 600)
MAX_REPEATS = 6
SENDS = 2
HOT_LOOKUPS = 3
CONTACT_MS = 3_000


@dataclass(frozen=True)
class CutLoad:
    """Rates of a simulated service, in events a second.

    ``hot`` is the share of requests that everybody sends, ``reset_share`` that of requests that the
    first ``grey`` upstreams reset while they are well.
    """

    requests: float = 40.0
    hot: float = 0.2
    deadly: int = 0
    crashes: float = 0.0
    rack_crashes: float = 0.0
    power_losses: float = 0.0
    grey: int = 0
    reset_share: float = 0.0


@dataclass
class Sent:
    """A request at an upstream, or one that comes at ``ends_at`` if it is nowhere yet."""

    fingerprint: str
    ends_at: int
    name: str = ""
    sends: int = 0
    repeats: int = 0
    known_ends: frozenset[int] = frozenset()


@dataclass
class CutSimulation:
    """One run.

    ``sound`` counts sound client attempts and ``refused`` those that were refused; ``arrivals``
    and ``crashes_under`` are the times at which a deadly request came to upstreams and ended them.
    """

    load: CutLoad
    draw: random.Random
    evidence: CrashEvidence = field(default_factory=CrashEvidence)
    now: int = 1_000
    sound: int = 0
    refused: int = 0
    numbers: int = 0
    crashes: int = 0
    judge_at: int | None = None
    coming: list[Sent] = field(default_factory=list)
    at: list[list[Sent]] = field(default_factory=lambda: [[] for _ in range(UPSTREAMS)])
    starts: list[int] = field(default_factory=lambda: [0] * UPSTREAMS)
    unseen: list[tuple[int, Incarnation, Sent]] = field(default_factory=list)
    arrivals: dict[str, list[int]] = field(default_factory=dict)
    crashes_under: dict[str, list[int]] = field(default_factory=dict)

    def run(self, seconds: float) -> None:
        """Play this many seconds."""
        for number in range(self.load.deadly):
            self.coming.append(Sent(f"=deadly{number}", self.now + 1_000))
        until = self.now + round(seconds * 1_000)
        while self.now < until:
            self._play_step()
            self.now += STEP_MS

    def count_late(self, fingerprint: str) -> int:
        """Count the arrivals of a deadly request late enough after its third crash."""
        crashes = sorted(self.crashes_under.get(fingerprint, ()))
        if len(crashes) < 3:
            return 0
        return sum(at > crashes[2] + CONTACT_MS for at in self.arrivals[fingerprint])

    def _play_step(self) -> None:
        for seen_at, upstream, sent in [one for one in self.unseen if one[0] <= self.now]:
            self.unseen.remove((seen_at, upstream, sent))
            self._see_cut(upstream, sent)
        if self.judge_at is not None and self.judge_at <= self.now:
            self.judge_at = None
            self.evidence.judge(self.now)
        for number in range(UPSTREAMS):
            self._play_upstream(number)
        if self._happens(self.load.requests):
            self.coming.append(Sent(self._draw_fingerprint(), self.now))
        for sent in [one for one in self.coming if one.ends_at <= self.now]:
            self.coming.remove(sent)
            self._arrive(sent)
        if self._happens(self.load.crashes):
            self._crash([self.draw.randrange(UPSTREAMS)], 0)
        if self._happens(self.load.rack_crashes):
            self._crash(range(self.draw.randrange(RACKS), UPSTREAMS, RACKS), RACK_SPREAD_MS)
        if self._happens(self.load.power_losses):
            self._crash(range(UPSTREAMS // 2), RACK_SPREAD_MS)

    def _happens(self, a_second: float) -> bool:
        return self.draw.random() < a_second * STEP_MS / 1_000

    def _draw_fingerprint(self) -> str:
        self.numbers += 1
        if self.draw.random() < self.load.hot:
            return f"=hot{self.draw.randrange(HOT_LOOKUPS)}"
        return f"={self.numbers}"

    def _is_deadly(self, sent: Sent) -> bool:
        return sent.fingerprint.startswith("=deadly")

    def _name_upstream(self, number: int) -> Incarnation:
        return Incarnation(f"u{number}", self.starts[number] + 1)

    def _play_upstream(self, number: int) -> None:
        for sent in list(self.at[number]):
            if sent.ends_at > self.now or sent not in self.at[number]:
                continue
            if self._is_deadly(sent):
                self.crashes_under.setdefault(sent.fingerprint, []).append(self.now)
                self._crash([number], 0)
                return
            self.at[number].remove(sent)
            if number < self.load.grey and self.draw.random() < self.load.reset_share:
                self._see_cut(self._name_upstream(number), sent)
                continue
            self.evidence.record_alive(self._name_upstream(number), self.now)
            self.evidence.record_sound((sent.fingerprint,), self.now)

    def _arrive(self, sent: Sent) -> None:
        """Send a request to an upstream, unless it is refused."""
        if not sent.sends:
            self.numbers += 1
            sent.name = f"r{self.numbers}"
            self.sound += not self._is_deadly(sent)
        refusal = self.evidence.find_refusal(sent.name, (sent.fingerprint,), 0, self.now)
        if refusal is not None:
            self.refused += not self._is_deadly(sent)
            self._come_again(sent)
            return
        up = [number for number in range(UPSTREAMS) if self.starts[number] <= self.now]
        if not up:
            self._come_again(sent)
            return
        if self._is_deadly(sent):
            self.arrivals.setdefault(sent.fingerprint, []).append(self.now)
        ends_at = self.now + self.draw.randrange(*SERVICE_MS)
        known = self.evidence.known_ends
        request = Sent(sent.fingerprint, ends_at, sent.name, sent.sends + 1, sent.repeats, known)
        self.at[self.draw.choice(up)].append(request)

    def _come_again(self, sent: Sent) -> None:
        if sent.repeats < MAX_REPEATS or self._is_deadly(sent):
            at = self.now + self.draw.randrange(*REPEAT_MS)
            self.coming.append(Sent(sent.fingerprint, at, repeats=sent.repeats + 1))

    def _crash(self, numbers: list[int] | range, spread_ms: int) -> None:
        for number in numbers:
            if self.starts[number] > self.now:
                continue
            upstream = self._name_upstream(number)
            cut, self.at[number] = self.at[number], []
            self.starts[number] = self.now + RESTART_MS
            self.crashes += 1
            seen_at = self.now + (self.draw.randrange(spread_ms) if spread_ms else 0)
            self.unseen += [(seen_at, upstream, sent) for sent in cut]

    def _see_cut(self, upstream: Incarnation, sent: Sent) -> None:
        cut = CutRequest(sent.name, (), sent.fingerprint, sent.known_ends)
        if self.evidence.record_crash(upstream, self.now, cut) and self.judge_at is None:
            self.judge_at = self.now + SETTLE_MS
        if sent.sends < SENDS:
            again = Sent(sent.fingerprint, self.now, sent.name, sent.sends, sent.repeats)
            self.coming.append(again)
        else:
            self._come_again(sent)
