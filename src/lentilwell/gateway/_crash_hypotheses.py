"""Finds the requests and the parts of prompts that explain crashes of upstreams. Pure.

The hypothesis about a subject is that every upstream crashes that begins to write an answer on it.
One answer beyond its beginning refutes it. A crash cuts all requests of the upstream, so that these
and their other parts are suspects too; the hypotheses are compared with each other, and a crash
that one explains is no reason to blame another.

Upstreams may also end together for a reason outside the requests, such as the loss of power, and
their ends may be seen one by one. So a crash counts as another one after an earlier one only if it
cut a request that was sent when the earlier one was known.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field
from functools import cached_property

from lentilwell.gateway._crash_records import Crash, CutRequest, Explanation, is_explained
from lentilwell.gateway._crash_subjects import SAME_CAUSE_MS, find_rules
from lentilwell.gateway._fingerprints import is_fingerprint
from lentilwell.gateway._upstreams import Incarnation

# The same crash has times that differ by less than this, as instances tell each other of it.
TIME_MARGIN_MS = 500

FindSoundAt = Callable[[str], int | None]


@dataclass(frozen=True, eq=False)
class Suspect:
    """A subject with the crashes that cut requests with it since an answer was written on it.

    ``own`` are the crashes that nothing else explains. ``requests`` are the requests with their
    crashes: the same request sent again counts as one for a part of its prompt, and as several for
    its fingerprint.
    """

    subject: str
    crashes: tuple[Crash, ...]
    own: frozenset[Incarnation]
    requests: dict[str, frozenset[Incarnation]]
    doubtful: bool

    @property
    def is_request(self) -> bool:
        """Tell whether the subject is a whole request."""
        return is_fingerprint(self.subject)

    @cached_property
    def first_at(self) -> int:
        """Return the time of the first crash."""
        return min(crash.at for crash in self.crashes)

    @cached_property
    def last_at(self) -> int:
        """Return the time of the last crash."""
        return max(crash.at for crash in self.crashes)

    @property
    def rank(self) -> tuple[bool, int, bool, int, int]:
        """Return the sort key by which the most likely suspect comes first.

        Of a request and a part of its prompt that explain the same crashes, the request does. Of
        two requests, the one that came again more often does.
        """
        requests = len(self.requests) if self.is_request else 0
        return self.doubtful, -len(self.own), not self.is_request, -requests, -self.last_at

    @property
    def explanation(self) -> tuple[bool, frozenset[Incarnation]]:
        """Return what two parts have in common between which the crashes do not decide."""
        return self.doubtful, self.own


@dataclass
class _Cuts:
    crashes: dict[Incarnation, Crash] = field(default_factory=dict)
    own: set[Incarnation] = field(default_factory=set)
    requests: dict[str, set[Incarnation]] = field(default_factory=lambda: defaultdict(set))


class _SoundTimes(dict[str, int | None]):
    """Looks up each subject once."""

    def __init__(self, find_sound_at: FindSoundAt) -> None:
        super().__init__()
        self._find_sound_at = find_sound_at

    def __missing__(self, subject: str) -> int | None:
        self[subject] = found = self._find_sound_at(subject)
        return found


def find_explanations(
    crashes: Sequence[Crash], find_sound_at: FindSoundAt, known: Iterable[Explanation] = ()
) -> list[Explanation]:
    """Return the subjects to blame beside those of the ``known`` explanations.

    ``find_sound_at`` returns when an answer was last written on a subject, None if it is not known.
    """
    found: list[Explanation] = []
    covering = list(known)
    while True:
        suspects = list_suspects(crashes, find_sound_at, covering)
        blamed = [one for one in suspects if _is_to_blame(one, crashes, covering)]
        if not blamed:
            return found
        explanations = _explain(min(blamed, key=lambda suspect: suspect.rank), blamed)
        if not explanations:
            return found
        found += explanations
        covering += explanations


def find_covered(crashes: Sequence[Crash], known: Iterable[Explanation]) -> list[Explanation]:
    """Return the requests that are blamed only for crashes that the others explain.

    Of two that were always cut together it is the one that was blamed first, since the other one
    has crashed upstreams without it.
    """
    covered: list[Explanation] = []
    left = list(known)
    for one in sorted(left, key=lambda explanation: explanation.last_at):
        others = [other for other in left if other is not one]
        if one.fingerprint and _is_covered(one, others, crashes):
            covered.append(one)
            left = others
    return covered


def is_supported(
    blamed: Explanation,
    crashes: Sequence[Crash],
    find_sound_at: FindSoundAt,
    known: Iterable[Explanation],
) -> bool:
    """Tell whether a request would be blamed for these crashes, were it not yet."""
    others = [one for one in known if one is not blamed]
    return any(
        suspect.subject == blamed.fingerprint and _is_to_blame(suspect, crashes, others)
        for suspect in list_suspects(crashes, find_sound_at, others)
    )


def list_suspects(
    crashes: Iterable[Crash], find_sound_at: FindSoundAt, known: Collection[Explanation] = ()
) -> list[Suspect]:
    """Return the subjects of cut requests on which no answer was written since the crash.

    Crashes that known parts of prompts explain are left out, and requests that are known.
    """
    found: dict[str, _Cuts] = defaultdict(_Cuts)
    sound = _SoundTimes(find_sound_at)
    known_parts = [one for one in known if not one.fingerprint]
    known_requests = frozenset(one.fingerprint for one in known if one.fingerprint)
    for crash in crashes:
        if is_explained(crash, known_parts):
            continue
        explained = not known_requests.isdisjoint(crash.fingerprints)
        for cut, subject in ((one, subject) for one in crash.cut for subject in one.subjects):
            sound_at = sound[subject]
            if subject in known_requests or (sound_at is not None and crash.at <= sound_at):
                continue
            cuts = found[subject]
            cuts.crashes[crash.upstream] = crash
            cuts.requests[_name_request(cut, subject, sound)].add(crash.upstream)
            # Requests that are known may have a harmful part in common.
            if not explained or not is_fingerprint(subject):
                cuts.own.add(crash.upstream)
    return [
        Suspect(
            subject,
            tuple(cuts.crashes.values()),
            frozenset(cuts.own),
            {name: frozenset(upstreams) for name, upstreams in cuts.requests.items()},
            sound[subject] is not None,
        )
        for subject, cuts in sorted(found.items())
        if cuts.own
    ]


def count_causes(crashes: Iterable[Crash]) -> int:
    """Count crashes, those within ``SAME_CAUSE_MS`` of the first of them as one."""
    count, begin = 0, None
    for at in sorted(crash.at for crash in crashes):
        if begin is None or at - begin >= SAME_CAUSE_MS:
            count, begin = count + 1, at
    return count


def _name_request(cut: CutRequest, subject: str, sound: _SoundTimes) -> str:
    """Return the name under which a cut request counts for a subject.

    A fingerprint on which answers were written stands for different requests.
    """
    if not cut.fingerprint or subject == cut.fingerprint:
        return cut.request
    return cut.request if sound[cut.fingerprint] is not None else cut.fingerprint


def _is_to_blame(
    suspect: Suspect, crashes: Iterable[Crash], known: Collection[Explanation]
) -> bool:
    rules = find_rules(suspect.subject)
    min_crashes = rules.min_doubtful_crashes if suspect.doubtful else rules.min_crashes
    min_requests = rules.min_doubtful_requests if suspect.doubtful else rules.min_requests
    if len(suspect.crashes) < min_crashes or len(suspect.own) < rules.min_own_crashes:
        return False
    if _count_requests(suspect, min_requests) < min_requests or not _is_chain(suspect, min_crashes):
        return False
    if not rules.min_share:
        return True
    known_parts = [one for one in known if not one.fingerprint]
    since = (
        crash
        for crash in crashes
        if crash.at >= suspect.first_at and not is_explained(crash, known_parts)
    )
    return count_causes(suspect.crashes) >= rules.min_share * count_causes(since)


def _count_requests(suspect: Suspect, enough: int) -> int:
    """Return how many requests it takes to explain the crashes without the subject in common.

    For parts it counts to ``enough``. For a fingerprint these are the ids under which the request
    came.
    """
    if suspect.is_request:
        return len(suspect.requests)
    count, left = 0, {crash.upstream for crash in suspect.crashes}
    while left and count < enough:
        left -= max(suspect.requests.values(), key=lambda upstreams: len(upstreams & left))
        count += 1
    return count


def _is_chain(suspect: Suspect, length: int) -> bool:
    """Tell whether this many of the crashes came one after the other."""
    earlier: list[tuple[Crash, int]] = []
    for crash in sorted(suspect.crashes, key=lambda one: one.at):
        position = 1 + max(
            (before for one, before in earlier if _follows(crash, one, suspect.subject)),
            default=0,
        )
        if position >= length:
            return True
        earlier.append((crash, position))
    return False


def _follows(crash: Crash, earlier: Crash, subject: str) -> bool:
    """Tell whether a crash cut a request with the subject that was sent after an earlier crash.

    Where it is not known what was known when the request was sent, the time between them decides.
    """
    gap_ms = crash.at - earlier.at
    min_gap_ms = find_rules(subject).min_gap_ms
    for cut in crash.cut:
        if subject not in cut.subjects:
            continue
        if cut.known_ends is None:
            if gap_ms >= SAME_CAUSE_MS:
                return True
        elif gap_ms >= min_gap_ms and earlier.mark in cut.known_ends:
            return True
    return False


def _is_covered(
    blamed: Explanation, others: Collection[Explanation], crashes: Sequence[Crash]
) -> bool:
    """Tell whether others explain all crashes of a request; all of them must be remembered."""
    under = [crash for crash in crashes if blamed.explains(crash)]
    if not under or min(crash.at for crash in under) > blamed.first_at + TIME_MARGIN_MS:
        return False
    return all(is_explained(crash, others) for crash in under)


def _explain(best: Suspect, blamed: Sequence[Suspect]) -> list[Explanation]:
    """Return what the best suspect explains, with the parts of which the crashes do not tell it.

    Nothing is returned for parts of different requests until there are more crashes. Of several
    requests one is blamed: if it is another one, that one is found by its next crashes.
    """
    if best.is_request:
        return [Explanation(frozenset((best.subject,)), best.first_at, best.last_at)]
    tied = [one for one in blamed if not one.is_request and one.explanation == best.explanation]
    groups = _group(tied)
    if len(groups) > 1 and not _is_chain(best, find_rules(best.subject).min_doubtful_crashes):
        return []
    return [Explanation(group, best.first_at, best.last_at) for group in groups]


def _group(tied: Sequence[Suspect]) -> list[frozenset[str]]:
    """Return a set for all parts that occur in every request of one of them.

    To refuse the requests with all of them is enough, whichever is to blame, and lets other
    requests with some of them show that these are sound.
    """
    groups: list[frozenset[str]] = []
    for rarest in sorted(tied, key=lambda suspect: len(suspect.requests)):
        if not any(rarest.subject in group for group in groups):
            required = rarest.requests.keys()
            groups.append(frozenset(one.subject for one in tied if one.requests.keys() >= required))
    return groups
