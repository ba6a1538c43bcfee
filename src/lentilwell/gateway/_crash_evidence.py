"""What an instance knows of crashes of upstreams, and the condemned parts of prompts. Pure.

Evidence of all instances is merged: each crash counts once for an incarnation of an upstream, each
request once. Parts are not kept apart by team: whether a part crashes an upstream depends on its
content, which is what its id stands for, and an answer to any team clears it for all. A caller who
adds other teams' parts to a harmful prompt does not get them refused, since answers to those teams
show that they are sound.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace
from typing import TypeVar

from lentilwell.gateway._crash_hypotheses import (
    Crash,
    CutRequest,
    Explanation,
    find_explanations,
    list_suspects,
)
from lentilwell.gateway._crash_notice import AliveUpstream, CrashNotice, SoundPart
from lentilwell.gateway._upstreams import Incarnation

# Parts stay condemned for this long after the last crash that they explain.
CONDEMNED_MS = 600_000
# Then the instances try one request each, one instance after the other, until a crash renews the
# condemnation or an answer ends it.
PROBE_STAGGER_MS = 1_000
PROBE_INTERVAL_MS = 60_000
# After this time without a crash, condemned parts are forgotten.
FORGOTTEN_MS = 3 * CONDEMNED_MS
# Crashes and answers are remembered for this long.
EVIDENCE_MS = 600_000
# A condemnation that another instance tells of renews a known one only if it is newer by more than
# a message is late. Otherwise the delays of messages told in turn would renew it without end.
RENEWAL_MARGIN_MS = 10_000
# Nothing is condemned for a crash that is more recent: other requests that it cut may be still to
# come, from this instance and from others.
SETTLE_MS = 50
# Answers within this time after a crash may have been sent before it, by the clock of another
# instance or in the buffers of a connection.
ALIVE_MARGIN_MS = 500
MAX_CRASHES = 64
MAX_CUT_REQUESTS = 32
# Bound on the parts of cut requests in all remembered crashes together. Prompts share few parts.
MAX_CUT_PARTS = 4_096
MAX_SOUND_PARTS = 4_096
MAX_CONDEMNED = 16
MAX_REFUTED = 64


@dataclass(frozen=True)
class Refusal:
    """A request is not sent because of these parts; it may come again in ``retry_after_ms``."""

    parts: frozenset[str]
    retry_after_ms: int


@dataclass(frozen=True)
class Probe:
    """The one request with condemned parts that is let through, and when it was."""

    request: str
    at: int


KeyT = TypeVar("KeyT")


class CrashEvidence:
    """Crashes, sound parts and condemned parts.

    ``judge`` must be called ``SETTLE_MS`` after new evidence of crashes.
    """

    def __init__(self) -> None:
        self._crashes: OrderedDict[Incarnation, Crash] = OrderedDict()
        self._sound: OrderedDict[str, int] = OrderedDict()
        self._own_sound: OrderedDict[str, int] = OrderedDict()
        self._alive: OrderedDict[Incarnation, int] = OrderedDict()
        self._own_alive: OrderedDict[Incarnation, int] = OrderedDict()
        self._condemned: dict[frozenset[str], Explanation] = {}
        self._probes: dict[frozenset[str], Probe] = {}
        self._suspected: frozenset[str] = frozenset()

    @property
    def condemned(self) -> tuple[Explanation, ...]:
        """Return the condemned parts."""
        return tuple(self._condemned.values())

    @property
    def suspected(self) -> frozenset[str]:
        """Return the parts of requests cut by crashes that are not refuted or explained."""
        return self._suspected

    @property
    def latest_crash_at(self) -> int | None:
        """Return the time of the latest known crash."""
        return max((crash.at for crash in self._crashes.values()), default=None)

    def record_crash(self, upstream: Incarnation, at: int, cut: CutRequest | None) -> bool:
        """Record an end of an upstream and a request that it cut; return whether it is news.

        ``cut`` is None for a request beyond the beginning of its answer.
        """
        crash = Crash(upstream, at, frozenset((cut,) if cut is not None else ()))
        changed = self._add_crash(crash)
        self.judge(at)
        return changed

    def record_sound(self, parts: tuple[str, ...], at: int) -> bool:
        """Record an answer beyond its beginning; return whether it clears a suspected part."""
        clears = any(self._is_suspect(part) for part in parts)
        for part in parts:
            self._add_sound(part, at)
            _remember(self._own_sound, part, at, MAX_SOUND_PARTS)
        if clears:
            self.judge(at)
        return clears

    def record_alive(self, upstream: Incarnation, at: int) -> bool:
        """Record that an incarnation answers; return whether that refutes a crash of it."""
        crash = self._crashes.get(upstream)
        if crash is None or not upstream.born_ms or at < crash.at + ALIVE_MARGIN_MS:
            return False
        self._refute(AliveUpstream(upstream, at))
        _remember(self._own_alive, upstream, at, MAX_REFUTED)
        self.judge(at)
        return True

    def merge(self, notice: CrashNotice, now: int) -> bool:
        """Add the evidence of another instance; return whether any of it is news."""
        before = self.collect(now)
        for alive in notice.alive:
            self._refute(alive)
        for sound in notice.sound:
            self._add_sound(sound.part, sound.at)
        for explanation in notice.condemned:
            self._add_condemned(explanation)
        for crash in notice.crashes:
            self._add_crash(crash)
        self.judge(now)
        return self.collect(now) != before

    def collect(self, now: int) -> CrashNotice:
        """Return the evidence to tell other instances.

        Sound parts and answering upstreams are those that this instance saw itself, since their
        times would grow with each instance that passes them on.
        """
        crashes = sorted(self._crashes.values(), key=lambda crash: -crash.at)
        parts = {part for crash in crashes for cut in crash.cut for part in cut.parts}
        parts.update(part for one in self._condemned for part in one)
        sound = [
            SoundPart(part, at)
            for part in sorted(parts)
            if (at := self._own_sound.get(part)) is not None and now - at <= EVIDENCE_MS
        ]
        alive = [AliveUpstream(upstream, at) for upstream, at in self._own_alive.items()]
        return CrashNotice(tuple(crashes), tuple(sound), self.condemned, tuple(alive))

    def judge(self, now: int) -> None:
        """Clear condemned parts that turned out sound, and condemn those that explain crashes."""
        for explanation in self.condemned:
            narrowed = self._narrow(explanation, now)
            if narrowed == explanation.parts:
                continue
            del self._condemned[explanation.parts]
            if narrowed:
                self._add_condemned(replace(explanation, parts=narrowed))
        crashes = [crash for crash in self._crashes.values() if now - crash.at <= EVIDENCE_MS]
        settled = [crash for crash in crashes if now - crash.at >= SETTLE_MS]
        found = find_explanations(settled, lambda part: self._find_sound(part, now), self.condemned)
        for explanation in found:
            self._add_condemned(explanation)
        self._suspected = self._list_suspected(crashes, now)

    def find_refusal(
        self, request: str, parts: tuple[str, ...], rank: int, now: int
    ) -> Refusal | None:
        """Return why a request must not be sent, None if it may be.

        ``rank`` is the number of instances that try a request before this one does.
        """
        for explanation in self.condemned:
            if explanation.parts.issubset(parts):
                refusal = self._check_condemned(explanation, request, rank, now)
                if refusal is not None:
                    return refusal
        return None

    def forget(self, now: int) -> None:
        """Remove old evidence, and condemned parts that have caused no crash for long."""
        old = [one for one, crash in self._crashes.items() if now - crash.at > EVIDENCE_MS]
        gone = [one for one, known in self._condemned.items() if now - known.last_at > FORGOTTEN_MS]
        for upstream in old:
            del self._crashes[upstream]
        for parts in gone:
            del self._condemned[parts]
            self._probes.pop(parts, None)
        if old or gone:
            self.judge(now)

    def _check_condemned(
        self, explanation: Explanation, request: str, rank: int, now: int
    ) -> Refusal | None:
        until = explanation.last_at + CONDEMNED_MS + rank * PROBE_STAGGER_MS
        if now < until:
            return Refusal(explanation.parts, until - now)
        probe = self._probes.get(explanation.parts)
        if probe is None or now - probe.at >= PROBE_INTERVAL_MS:
            self._probes[explanation.parts] = Probe(request, now)
            return None
        if probe.request == request:
            return None
        return Refusal(explanation.parts, probe.at + PROBE_INTERVAL_MS - now)

    def _add_crash(self, crash: Crash) -> bool:
        if self._alive.get(crash.upstream, crash.at - 1) >= crash.at:
            return False
        known = self._crashes.get(crash.upstream)
        merged = crash if known is None else _merge_crashes(known, crash)
        if known is not None and merged.cut == known.cut:
            return False
        self._crashes[crash.upstream] = merged
        self._drop_oldest_crashes()
        for parts, explanation in list(self._condemned.items()):
            if explanation.explains(merged) and merged.at > explanation.last_at:
                self._condemned[parts] = replace(explanation, last_at=merged.at)
        return True

    def _drop_oldest_crashes(self) -> None:
        """Keep the crashes within their bounds, and at least the latest one."""
        latest = sorted(self._crashes.values(), key=lambda crash: -crash.at)
        parts = 0
        for number, crash in enumerate(latest):
            parts += crash.count_parts()
            if number and (number >= MAX_CRASHES or parts > MAX_CUT_PARTS):
                del self._crashes[crash.upstream]

    def _add_sound(self, part: str, at: int) -> None:
        _remember(self._sound, part, max(at, self._sound.get(part, at)), MAX_SOUND_PARTS)

    def _refute(self, alive: AliveUpstream) -> None:
        crash = self._crashes.get(alive.upstream)
        if crash is not None and alive.at >= crash.at:
            del self._crashes[alive.upstream]
        latest = max(alive.at, self._alive.get(alive.upstream, alive.at))
        _remember(self._alive, alive.upstream, latest, MAX_REFUTED)

    def _add_condemned(self, explanation: Explanation) -> None:
        known = self._condemned.get(explanation.parts)
        if known is not None:
            newer = explanation.last_at > known.last_at + RENEWAL_MARGIN_MS
            last_at = explanation.last_at if newer else known.last_at
            first_at = min(known.first_at, explanation.first_at)
            explanation = replace(known, first_at=first_at, last_at=last_at)
        self._condemned[explanation.parts] = explanation
        if len(self._condemned) > MAX_CONDEMNED:
            oldest = min(self._condemned.values(), key=lambda one: one.last_at)
            del self._condemned[oldest.parts]

    def _narrow(self, explanation: Explanation, now: int) -> frozenset[str]:
        """Return the parts that may be to blame, preferably those without any known answer."""
        sound = {part: self._find_sound(part, now) for part in explanation.parts}
        unknown = frozenset(part for part, at in sound.items() if at is None)
        left = (part for part, at in sound.items() if at is None or at <= explanation.first_at)
        return unknown or frozenset(left)

    def _list_suspected(self, crashes: list[Crash], now: int) -> frozenset[str]:
        open_crashes = [
            crash for crash in crashes if not any(one.explains(crash) for one in self.condemned)
        ]
        suspects = list_suspects(open_crashes, lambda part: self._find_sound(part, now))
        return frozenset(suspect.part for suspect in suspects)

    def _is_suspect(self, part: str) -> bool:
        return part in self._suspected or any(part in parts for parts in self._condemned)

    def _find_sound(self, part: str, now: int) -> int | None:
        at = self._sound.get(part)
        return at if at is not None and now - at <= EVIDENCE_MS else None


def _remember(times: OrderedDict[KeyT, int], key: KeyT, at: int, max_entries: int) -> None:
    """Store a time, and drop the entry that was stored longest ago if there are too many."""
    times[key] = at
    times.move_to_end(key)
    if len(times) > max_entries:
        times.popitem(last=False)


def _merge_crashes(known: Crash, other: Crash) -> Crash:
    cut = sorted(known.cut | other.cut, key=lambda one: one.request)
    return Crash(known.upstream, min(known.at, other.at), frozenset(cut[:MAX_CUT_REQUESTS]))
