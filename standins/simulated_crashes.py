"""Plays crashes of engines in simulated time, and counts which parts of prompts are condemned.

Requests arrive at random; each has the part of its team, at times that of a document, and is at the
beginning of its answer for some time. Engines crash by themselves, alone or with their rack, or
under a harmful part. What all instances see is one body of evidence.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from lentilwell.gateway._crash_evidence import SETTLE_MS, CrashEvidence
from lentilwell.gateway._crash_records import CutRequest
from lentilwell.gateway._upstreams import Incarnation

HARMFUL = "bad"
TEAMS = 10
ENGINES = 14
RACKS = 3
# A request reads for this long, and is beyond the beginning of its answer after the second time.
READING_MS = (30, 400)
BEGINNING_MS = 60
RESTART_MS = 3_000
# Engines of a rack end within this time of each other.
RACK_SPREAD_MS = 20
STEP_MS = 10


@dataclass(frozen=True)
class Load:
    """Rates of a simulated fleet, in events a second."""

    requests: float = 14.0
    harmful: float = 0.0
    engine_crashes: float = 0.0
    rack_crashes: float = 0.0
    documents: int = 20


@dataclass
class SimulatedRequest:
    """A request at the beginning of its answer."""

    name: str
    parts: tuple[str, ...]
    writes_at: int
    sound_at: int


@dataclass
class CrashSimulation:
    """One run; ``crashes`` counts ends of engines, ``condemned`` are the parts ever condemned."""

    load: Load
    draw: random.Random
    evidence: CrashEvidence = field(default_factory=CrashEvidence)
    now: int = 1_000
    crashes: int = 0
    crashes_before: int | None = None
    refused_sound: int = 0
    condemned: set[str] = field(default_factory=set)
    numbers: int = 0
    judge_at: int | None = None
    engines: list[list[SimulatedRequest]] = field(
        default_factory=lambda: [[] for _ in range(ENGINES)]
    )
    starts: list[int] = field(default_factory=lambda: [0] * ENGINES)

    def run(self, seconds: float) -> None:
        """Play this many seconds."""
        until = self.now + round(seconds * 1_000)
        while self.now < until:
            self._play_step()
            self.now += STEP_MS

    def _play_step(self) -> None:
        if self.judge_at is not None and self.judge_at <= self.now:
            self.judge_at = None
            self.evidence.judge(self.now)
            self._note_condemned()
        for number, requests in enumerate(self.engines):
            self._play_engine(number, requests)
        if self._happens(self.load.requests):
            self._arrive(self._draw_parts())
        if self._happens(self.load.harmful):
            self._arrive((self._draw_team(), HARMFUL))
        if self._happens(self.load.engine_crashes):
            self._crash(self.draw.randrange(ENGINES), self.now)
        if self._happens(self.load.rack_crashes):
            rack = self.draw.randrange(RACKS)
            for number in range(rack, ENGINES, RACKS):
                self._crash(number, self.now + self.draw.randrange(RACK_SPREAD_MS))

    def _happens(self, a_second: float) -> bool:
        return self.draw.random() < a_second * STEP_MS / 1_000

    def _draw_team(self) -> str:
        return f"team{min(self.draw.randrange(TEAMS) for _ in range(2))}"

    def _draw_parts(self) -> tuple[str, ...]:
        team = self._draw_team()
        if self.draw.random() < 0.5:
            return (team,)
        return team, f"{team}-document{self.draw.randrange(self.load.documents)}"

    def _play_engine(self, number: int, requests: list[SimulatedRequest]) -> None:
        for request in list(requests):
            if request.writes_at <= self.now and HARMFUL in request.parts:
                self._crash(number, self.now)
                return
            if request.sound_at <= self.now:
                requests.remove(request)
                self.evidence.record_sound(request.parts, self.now)

    def _arrive(self, parts: tuple[str, ...], name: str | None = None) -> None:
        self.numbers += 1
        name = name or f"r{self.numbers}"
        if self.evidence.find_refusal(name, parts, 0, self.now) is not None:
            self.refused_sound += HARMFUL not in parts
            return
        up = [number for number in range(ENGINES) if self.starts[number] <= self.now]
        if not up:
            return
        writes_at = self.now + self.draw.randrange(*READING_MS)
        request = SimulatedRequest(name, parts, writes_at, writes_at + BEGINNING_MS)
        self.engines[self.draw.choice(up)].append(request)

    def _crash(self, number: int, at: int) -> None:
        if self.starts[number] > self.now:
            return
        upstream = Incarnation(f"e{number}", self.starts[number] + 1)
        cut, self.engines[number] = self.engines[number], []
        self.starts[number] = self.now + RESTART_MS
        self.crashes += 1
        for request in cut:
            self.evidence.record_crash(upstream, at, CutRequest(request.name, request.parts))
        self.judge_at = at + SETTLE_MS
        self._note_condemned()
        for request in cut:
            if not request.name.endswith("+"):
                self._arrive(request.parts, request.name + "+")

    def _note_condemned(self) -> None:
        self.condemned.update(part for one in self.evidence.condemned for part in one.parts)
        if self.crashes_before is None and HARMFUL in self.condemned:
            self.crashes_before = self.crashes
