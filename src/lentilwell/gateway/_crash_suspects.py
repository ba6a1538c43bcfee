"""Lists the subjects that may be to blame for crashes of upstreams. Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from functools import cached_property

from lentilwell.gateway._crash_records import Crash, CutRequest, Explanation, is_explained
from lentilwell.gateway._fingerprints import is_fingerprint
from lentilwell.gateway._upstreams import Incarnation

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


def _name_request(cut: CutRequest, subject: str, sound: _SoundTimes) -> str:
    """Return the name under which a cut request counts for a subject.

    A fingerprint on which answers were written stands for different requests.
    """
    if not cut.fingerprint or subject == cut.fingerprint:
        return cut.request
    return cut.request if sound[cut.fingerprint] is not None else cut.fingerprint
