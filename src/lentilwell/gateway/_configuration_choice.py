"""Which configuration is in force where the store may have come back from an older copy. Pure.

Load that this answers: a store that is restored while the operator goes on. The copy's version is
older than the one in force, the operator writes what was lost again, in steps and at its own pace,
and may give a number that was lost to another content.

Within one era the higher number is the newer word. Across eras, what was in force stays until the
store tells of something newer: a higher number, or a content that this process has not seen and
that was written since the restore. What was seen before is the copy, or a step of the rewriting.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

from lentilwell.gateway._catalog import Catalog
from lentilwell.gateway._store_point import StorePoint

# A step of the operator's rewriting is followed by the next within this time.
SETTLE_MS = 1_000
# A content that only the first reading after a restore shows may be the copy's own.
DOUBT_MS = 10_000
MOST_SEEN = 256


class Verdict(Enum):
    """What to do with a configuration that was read."""

    TAKE = "take"
    CONFIRM = "confirm"
    KEEP = "keep"
    WAIT = "wait"


@dataclass(frozen=True)
class Found:
    """A configuration as it was read; ``restored`` where a whole reading began the era with it."""

    catalog: Catalog
    at: StorePoint
    restored: bool = False


@dataclass(frozen=True)
class Judgement:
    """A verdict with its reason; ``wait_ms`` is how long what was read has to stand first.

    Within one era nothing is kept that is worth a reason.
    """

    verdict: Verdict
    reason: str = ""
    wait_ms: int = 0


class ConfigurationChoice:
    """Judges each configuration that is read by what was in force in this process."""

    def __init__(self) -> None:
        self._seen: deque[tuple[int, int]] = deque(maxlen=MOST_SEEN)
        self._era = 0
        self.in_force: Catalog | None = None

    def judge(self, found: Found) -> Judgement:
        """Return what to do with a configuration, without doing it."""
        known, catalog = self.in_force, found.catalog
        if known is None or catalog.version > known.version:
            return Judgement(Verdict.TAKE)
        if found.at.era <= self._era:
            return Judgement(Verdict.KEEP)
        if catalog.is_same(known):
            return Judgement(Verdict.CONFIRM)
        if (catalog.version, catalog.content_hash) in self._seen:
            return Judgement(Verdict.KEEP, "was read before the restore")
        if found.restored:
            return Judgement(Verdict.WAIT, "may be the copy's own", DOUBT_MS)
        return Judgement(Verdict.WAIT, "may be a step of a rewriting", SETTLE_MS)

    def take(self, found: Found) -> None:
        """Put a configuration into force, or confirm that it is."""
        self.in_force = found.catalog
        self._era = max(self._era, found.at.era)
        self.note_seen(found.catalog)

    def note_seen(self, catalog: Catalog) -> None:
        """Remember a version, whether or not it came into force."""
        key = (catalog.version, catalog.content_hash)
        if key not in self._seen:
            self._seen.append(key)
