"""What an instance knows of crashes of upstreams, and what it condemns for them. Pure.

Subjects are whole requests and parts of prompts. Evidence of all instances is merged: each crash
counts once for an incarnation of an upstream, each request once. The fingerprint of a request
depends on its team, so that no team gets another's requests refused. Parts are not kept apart by
team: whether a part crashes an upstream depends on its content, which is what its id stands for,
and an answer to any team clears it for all. A caller who adds other teams' parts to a harmful
prompt does not get them refused, since answers to those teams show that they are sound.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Container
from dataclasses import replace
from typing import TypeVar

from lentilwell.gateway._condemned_subjects import CondemnedSubjects, Refusal
from lentilwell.gateway._crash_hypotheses import (
    find_covered,
    find_explanations,
    is_supported,
)
from lentilwell.gateway._crash_notice import AliveUpstream, CrashNotice, SoundPart
from lentilwell.gateway._crash_records import Crash, CutRequest, Explanation, is_explained
from lentilwell.gateway._crash_suspects import list_suspects
from lentilwell.gateway._cut_selection import merge_cuts, rank_parts
from lentilwell.gateway._fingerprints import is_fingerprint
from lentilwell.gateway._upstreams import Incarnation

# Crashes and answers are remembered for this long.
EVIDENCE_MS = 600_000
# Nothing is condemned for a crash that is more recent: other requests that it cut may be still to
# come, from this instance and from others.
SETTLE_MS = 50
# Answers within this time after a crash may have been sent before it, by the clock of another
# instance or in the buffers of a connection.
ALIVE_MARGIN_MS = 500
MAX_CRASHES = 64
# Bound on the parts of cut requests in all remembered crashes together.
MAX_CUT_PARTS = 8_192
# Twice as many as may be needed, so that dropping one that is not needed takes few steps.
MAX_SOUND_PARTS = 2 * MAX_CUT_PARTS
# Of one answer so many parts are remembered as sound, beside those that crashes have cut.
MAX_SOUND_OF_ANSWER = 1_024
MAX_REFUTED = 64
# A cut request tells of so many crashes that were known when it was sent.
MAX_KNOWN_ENDS = 8

KeyT = TypeVar("KeyT")


class CrashEvidence:
    """Crashes, sound subjects and condemned subjects.

    ``judge`` must be called ``SETTLE_MS`` after new evidence of crashes.
    """

    def __init__(self) -> None:
        self._crashes: OrderedDict[Incarnation, Crash] = OrderedDict()
        self._sound: OrderedDict[str, int] = OrderedDict()
        self._own_sound: OrderedDict[str, int] = OrderedDict()
        self._alive: OrderedDict[Incarnation, int] = OrderedDict()
        self._own_alive: OrderedDict[Incarnation, int] = OrderedDict()
        self._condemned = CondemnedSubjects()
        self._suspected: frozenset[str] = frozenset()
        self._known_ends: frozenset[int] = frozenset()
        self._cut_subjects: frozenset[str] = frozenset()

    @property
    def condemned(self) -> tuple[Explanation, ...]:
        """Return the condemned subjects."""
        return self._condemned.list_all()

    @property
    def suspected(self) -> frozenset[str]:
        """Return the subjects of requests cut by crashes that are not refuted or explained."""
        return self._suspected

    @property
    def known_ends(self) -> frozenset[int]:
        """Return the marks of all remembered crashes."""
        return self._known_ends

    @property
    def latest_crash_at(self) -> int | None:
        """Return the time of the latest known crash."""
        return max((crash.at for crash in self._crashes.values()), default=None)

    def find_crash(self, upstream: Incarnation) -> int | None:
        """Return when an incarnation crashed, None if no crash of it is known."""
        crash = self._crashes.get(upstream)
        return None if crash is None else crash.at

    def record_crash(self, upstream: Incarnation, at: int, cut: CutRequest | None) -> bool:
        """Record an end of an upstream and a request that it cut; return whether it is news.

        ``cut`` is None for a request beyond the beginning of its answer. Of its ``known_ends``
        those are kept that may count, which are the ones under its own subjects. The request is
        suspected at once; what is to blame is left to ``judge``, which takes some ms for many.
        """
        if cut is not None and cut.known_ends is not None:
            cut = replace(cut, known_ends=self._select_ends(cut, cut.known_ends))
        if cut is not None:
            cut = rank_parts(
                cut,
                Crash(upstream, at).mark,
                self._cut_subjects,
                lambda part: self._find_sound(part, at) is not None,
            )
        crash = Crash(upstream, at, frozenset((cut,) if cut is not None else ()))
        changed = self._add_crash(crash)
        if changed and cut is not None and not is_explained(crash, self.condemned):
            self._suspected |= frozenset(cut.subjects)
        return changed

    def record_sound(self, subjects: tuple[str, ...], at: int) -> bool:
        """Record an answer beyond its beginning; return whether it clears a suspected subject.

        Fingerprints are recorded only if they are suspected, since most of them occur once.
        """
        clears = any(self._is_suspect(subject) for subject in subjects)
        for number, subject in enumerate(subjects):
            remembered = number < MAX_SOUND_OF_ANSWER and not is_fingerprint(subject)
            if remembered or subject in self._cut_subjects or self._is_suspect(subject):
                self._add_own_sound(subject, at)
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
            self._condemned.add(explanation)
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
        subjects = {one for crash in crashes for cut in crash.cut for one in cut.subjects}
        subjects.update(subject for one in self.condemned for subject in one.parts)
        sound = [
            SoundPart(subject, at)
            for subject in sorted(subjects)
            if (at := self._own_sound.get(subject)) is not None and now - at <= EVIDENCE_MS
        ]
        alive = [AliveUpstream(upstream, at) for upstream, at in self._own_alive.items()]
        return CrashNotice(tuple(crashes), tuple(sound), self.condemned, tuple(alive))

    def judge(self, now: int) -> None:
        """Clear condemned subjects that turned out sound; condemn those that explain crashes."""
        for explanation in self.condemned:
            narrowed = self._narrow(explanation, now)
            if narrowed == explanation.parts:
                continue
            self._condemned.remove(explanation.parts)
            if narrowed:
                self._condemned.add(replace(explanation, parts=narrowed))
        crashes = [crash for crash in self._crashes.values() if now - crash.at <= EVIDENCE_MS]
        settled = [crash for crash in crashes if now - crash.at >= SETTLE_MS]
        found = find_explanations(settled, lambda part: self._find_sound(part, now), self.condemned)
        for explanation in found:
            self._condemned.add(explanation)
        self._condemned.set_doubted(find_covered(crashes, self.condemned), now)
        suspects = list_suspects(crashes, lambda one: self._find_sound(one, now), self.condemned)
        self._suspected = frozenset(suspect.subject for suspect in suspects)

    def may_refuse_requests(self) -> bool:
        """Tell whether a refusal may depend on the fingerprint of a request."""
        return any(one.fingerprint for one in self.condemned)

    def needs_answers(self) -> bool:
        """Tell whether an answer may clear a fingerprint."""
        return self.may_refuse_requests() or any(map(is_fingerprint, self._suspected))

    def find_refusal(
        self, request: str, subjects: tuple[str, ...], rank: int, now: int
    ) -> Refusal | None:
        """Return why a request must not be sent, None if it may be.

        ``rank`` is the number of instances that try a request before this one does.
        """
        return self._condemned.find_refusal(request, subjects, rank, now)

    def forget(self, now: int) -> None:
        """Remove old evidence, and condemned subjects that have caused no crash for long."""
        old = [one for one, crash in self._crashes.items() if now - crash.at > EVIDENCE_MS]
        for upstream in old:
            del self._crashes[upstream]
        gone = self._condemned.forget(now)
        if old or gone:
            self._update_known()
            self.judge(now)

    def _add_crash(self, crash: Crash) -> bool:
        if self._alive.get(crash.upstream, crash.at - 1) >= crash.at:
            return False
        known = self._crashes.get(crash.upstream)
        merged = crash if known is None else self._merge_crashes(known, crash)
        if known is not None and merged.cut == known.cut:
            return False
        self._crashes[crash.upstream] = merged
        self._drop_oldest_crashes()
        self._update_known()
        self._condemned.renew(merged)
        return True

    def _merge_crashes(self, known: Crash, other: Crash) -> Crash:
        others = [one for one in self._crashes.values() if one.upstream != known.upstream]
        cut = merge_cuts((*known.cut, *other.cut), others)
        return Crash(known.upstream, min(known.at, other.at), cut)

    def _drop_oldest_crashes(self) -> None:
        """Keep the crashes within their bounds, and at least the latest one."""
        latest = sorted(self._crashes.values(), key=lambda crash: -crash.at)
        parts = 0
        for number, crash in enumerate(latest):
            parts += crash.count_parts()
            if number and (number >= MAX_CRASHES or parts > MAX_CUT_PARTS):
                del self._crashes[crash.upstream]

    def _update_known(self) -> None:
        crashes = self._crashes.values()
        self._known_ends = frozenset(crash.mark for crash in crashes)
        cut = [one for crash in crashes for one in crash.cut]
        self._cut_subjects = frozenset(subject for one in cut for subject in one.subjects)

    def _select_ends(self, cut: CutRequest, known: frozenset[int]) -> frozenset[int]:
        """Return the latest known crashes under the subjects of a request, as marks.

        Those under its fingerprint come first.
        """
        subjects = set(cut.subjects)
        related = [
            (cut.fingerprint in under, crash.at, crash.mark)
            for crash in self._crashes.values()
            if crash.mark in known
            and (under := {one for other in crash.cut for one in other.subjects}) & subjects
        ]
        return frozenset(mark for _, _, mark in sorted(related)[-MAX_KNOWN_ENDS:])

    def _add_sound(self, subject: str, at: int) -> None:
        latest = max(at, self._sound.get(subject, at))
        _remember(self._sound, subject, latest, MAX_SOUND_PARTS, self._cut_subjects)

    def _add_own_sound(self, subject: str, at: int) -> None:
        self._add_sound(subject, at)
        _remember(self._own_sound, subject, at, MAX_SOUND_PARTS, self._cut_subjects)

    def _refute(self, alive: AliveUpstream) -> None:
        crash = self._crashes.get(alive.upstream)
        if crash is not None and alive.at >= crash.at:
            del self._crashes[alive.upstream]
            self._update_known()
            self._release_requests(crash, alive.at)
        latest = max(alive.at, self._alive.get(alive.upstream, alive.at))
        _remember(self._alive, alive.upstream, latest, MAX_REFUTED)

    def _narrow(self, explanation: Explanation, now: int) -> frozenset[str]:
        """Return the parts that may be to blame, preferably those without any known answer."""
        sound = {part: self._find_sound(part, now) for part in explanation.parts}
        unknown = frozenset(part for part, at in sound.items() if at is None)
        left = (part for part, at in sound.items() if at is None or at <= explanation.first_at)
        return unknown or frozenset(left)

    def _release_requests(self, refuted: Crash, at: int) -> None:
        """Clear the condemned requests that the crashes left do not suffice to condemn.

        They count as answered, so that other instances clear them too.
        """
        left, known = list(self._crashes.values()), self.condemned
        for blamed in known:
            if blamed.fingerprint not in refuted.fingerprints:
                continue
            if not is_supported(blamed, left, lambda one: self._find_sound(one, at), known):
                self._add_own_sound(blamed.fingerprint, at)

    def _is_suspect(self, subject: str) -> bool:
        return subject in self._suspected or self._condemned.includes(subject)

    def _find_sound(self, part: str, now: int) -> int | None:
        at = self._sound.get(part)
        return at if at is not None and now - at <= EVIDENCE_MS else None


def _remember(
    times: OrderedDict[KeyT, int],
    key: KeyT,
    at: int,
    max_entries: int,
    needed: Container[KeyT] = (),
) -> None:
    """Store a time, and drop the entry that was stored longest ago if there are too many.

    Those that are ``needed`` are kept as long as there are others.
    """
    times[key] = at
    times.move_to_end(key)
    if len(times) <= max_entries:
        return
    for _ in range(max_entries):
        oldest = next(iter(times))
        if oldest not in needed:
            break
        times.move_to_end(oldest)
    times.popitem(last=False)
