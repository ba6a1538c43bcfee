"""Finds the parts of prompts that explain crashes of upstreams. Pure.

The hypothesis about a part is that every upstream crashes that begins to write an answer on it. One
answer beyond its beginning refutes it. A crash cuts all requests of the upstream, so that their
other parts are suspects too; the hypotheses are compared with each other, and a crash that one
explains counts against no other part.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from lentilwell.gateway._upstreams import Incarnation

# Crashes closer together may have one cause, such as the power of a rack, and count as one.
SAME_CAUSE_MS = 100
# The fewest crashes, and the fewest requests cut by them, for which a part is blamed.
MIN_CRASHES = 3
MIN_REQUESTS = 2
# The same for a part on which answers were written before, and for parts in different requests
# that explain the same crashes.
MIN_DOUBTFUL_CRASHES = 5
MIN_DOUBTFUL_REQUESTS = 3
# A part that occurs in a smaller share of the crashes since its first one is not blamed.
MIN_CRASH_SHARE = 0.5

FindSoundAt = Callable[[str], int | None]


@dataclass(frozen=True)
class CutRequest:
    """A request at the beginning of its answer that a crash cut, and the parts of its prompt."""

    request: str
    parts: tuple[str, ...]


@dataclass(frozen=True)
class Crash:
    """The end of one incarnation of an upstream at ``at`` ms, and the requests that it cut."""

    upstream: Incarnation
    at: int
    cut: frozenset[CutRequest] = frozenset()

    def count_parts(self) -> int:
        """Return the number of parts of all cut requests."""
        return sum(len(one.parts) for one in self.cut)


@dataclass(frozen=True)
class Explanation:
    """Parts of which one explains the crashes from ``first_at`` to ``last_at``, in ms.

    Several parts occur in the same requests, so that it is not known which of them is to blame.
    """

    parts: frozenset[str]
    first_at: int
    last_at: int

    def explains(self, crash: Crash) -> bool:
        """Tell whether a crash cut a request with all the parts."""
        return any(self.parts.issubset(one.parts) for one in crash.cut)


@dataclass(frozen=True, eq=False)
class Suspect:
    """A part with the crashes that cut requests with it since an answer was written on it."""

    part: str
    crashes: tuple[Crash, ...]
    requests: frozenset[str]
    doubtful: bool

    @property
    def rank(self) -> tuple[bool, int]:
        """Return the sort key by which the most likely suspect comes first."""
        return self.doubtful, -len(self.crashes)

    @property
    def explanation(self) -> tuple[bool, frozenset[Incarnation]]:
        """Return what two suspects have in common between which the crashes do not decide."""
        return self.doubtful, frozenset(crash.upstream for crash in self.crashes)


@dataclass
class _Cuts:
    crashes: dict[Incarnation, Crash] = field(default_factory=dict)
    requests: set[str] = field(default_factory=set)


def find_explanations(
    crashes: Sequence[Crash], find_sound_at: FindSoundAt, known: Iterable[Explanation] = ()
) -> list[Explanation]:
    """Return the parts to blame for crashes that no ``known`` explanation covers.

    ``find_sound_at`` returns when an answer was last written on a part, None if it is not known.
    """
    found: list[Explanation] = []
    covering = list(known)
    while True:
        unexplained = [
            crash for crash in crashes if not any(one.explains(crash) for one in covering)
        ]
        suspects = list_suspects(unexplained, find_sound_at)
        blamed = [one for one in suspects if _is_to_blame(one, unexplained)]
        if not blamed:
            return found
        best = min(blamed, key=lambda suspect: suspect.rank)
        explanations = _group([one for one in blamed if one.explanation == best.explanation])
        if len(explanations) > 1 and count_causes(best.crashes) < MIN_DOUBTFUL_CRASHES:
            return found
        found += explanations
        covering += explanations


def list_suspects(crashes: Sequence[Crash], find_sound_at: FindSoundAt) -> list[Suspect]:
    """Return the parts of cut requests on which no answer was written since the crash."""
    found: dict[str, _Cuts] = {}
    sound: dict[str, int | None] = {}
    for crash in crashes:
        for cut in crash.cut:
            for part in cut.parts:
                if part not in sound:
                    sound[part] = find_sound_at(part)
                sound_at = sound[part]
                if sound_at is None or crash.at > sound_at:
                    cuts = found.setdefault(part, _Cuts())
                    cuts.crashes[crash.upstream] = crash
                    cuts.requests.add(cut.request)
    return [
        Suspect(
            part, tuple(cuts.crashes.values()), frozenset(cuts.requests), sound[part] is not None
        )
        for part, cuts in sorted(found.items())
    ]


def count_causes(crashes: Iterable[Crash]) -> int:
    """Count crashes, those within ``SAME_CAUSE_MS`` of the first of them as one."""
    count, begin = 0, None
    for at in sorted(crash.at for crash in crashes):
        if begin is None or at - begin >= SAME_CAUSE_MS:
            count, begin = count + 1, at
    return count


def _is_to_blame(suspect: Suspect, crashes: Sequence[Crash]) -> bool:
    min_crashes = MIN_DOUBTFUL_CRASHES if suspect.doubtful else MIN_CRASHES
    min_requests = MIN_DOUBTFUL_REQUESTS if suspect.doubtful else MIN_REQUESTS
    if len(suspect.requests) < min_requests:
        return False
    causes = count_causes(suspect.crashes)
    if causes < min_crashes:
        return False
    first_at = min(crash.at for crash in suspect.crashes)
    return causes >= MIN_CRASH_SHARE * count_causes(one for one in crashes if one.at >= first_at)


def _group(tied: Sequence[Suspect]) -> list[Explanation]:
    """Return one explanation for all parts that occur in every request of one of them.

    To refuse the requests with all of them is enough, whichever is to blame, and lets other
    requests with some of them show that these are sound.
    """
    first_at = min(crash.at for crash in tied[0].crashes)
    last_at = max(crash.at for crash in tied[0].crashes)
    groups: list[frozenset[str]] = []
    for rarest in sorted(tied, key=lambda suspect: len(suspect.requests)):
        if not any(rarest.part in group for group in groups):
            groups.append(frozenset(one.part for one in tied if one.requests >= rarest.requests))
    return [Explanation(group, first_at, last_at) for group in groups]
