"""Selects which of the cut requests and of their parts are remembered of a crash. Pure.

Prompts may have any number of parts, and a crash may cut any number of requests. What is kept is
bounded by its likelihood to be to blame, not by its place in the request: what other crashes cut
too comes first, then what no answer was written on. The order of the rest differs from crash to
crash, so that a subject that is left out of one crash is kept in others.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Container, Iterable
from dataclasses import replace

from xxhash import xxh3_64_intdigest

from lentilwell.gateway._crash_records import Crash, CutRequest

MAX_CUT_REQUESTS = 32
# Bound on the parts of all cut requests of one crash.
MAX_CRASH_PARTS = 1_024
# The parts of longer prompts are ranked, so that those which are left out later come last.
MAX_UNRANKED_PARTS = 32

IsSound = Callable[[str], bool]


def rank_parts(
    cut: CutRequest, crash_mark: int, suspected: Container[str], is_sound: IsSound
) -> CutRequest:
    """Return a cut request of a crash with its parts in the order of their likelihood.

    ``suspected`` are the subjects that other crashes cut. ``is_sound`` tells whether an answer was
    written on a part.
    """
    if len(cut.parts) <= MAX_UNRANKED_PARTS:
        return cut

    def find_rank(part: str) -> tuple[bool, bool, int]:
        sound = is_sound(part)
        return sound or part not in suspected, sound, xxh3_64_intdigest(part.encode(), crash_mark)

    parts = sorted(cut.parts, key=find_rank)
    return replace(cut, parts=tuple(parts[:MAX_CRASH_PARTS]))


def merge_cuts(cuts: Iterable[CutRequest], others: Iterable[Crash]) -> frozenset[CutRequest]:
    """Return what is kept of the requests that a crash cut, one entry a request.

    Those that most other crashes cut are kept first. ``others`` are the other known crashes.
    """
    longest: dict[str, CutRequest] = {}
    for cut in cuts:
        known = longest.get(cut.request)
        if known is None or len(cut.parts) > len(known.parts):
            longest[cut.request] = cut
    kept = list(longest.values())
    if len(kept) > MAX_CUT_REQUESTS:
        before = Counter(fingerprint for one in others for fingerprint in one.fingerprints)
        kept.sort(key=lambda one: (-before[one.fingerprint], one.request))
        del kept[MAX_CUT_REQUESTS:]
    if sum(len(one.parts) for one in kept) > MAX_CRASH_PARTS:
        max_parts = MAX_CRASH_PARTS // len(kept)
        kept = [replace(one, parts=one.parts[:max_parts]) for one in kept]
    return frozenset(kept)
