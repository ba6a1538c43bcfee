"""Decides which configuration is in force, also after a restore of the store. Pure logic, no I/O.

After a restore from an older backup, the store holds an older version than the one in force. The
operator then writes the lost versions again, step by step, and can reuse a lost version number for
different content.

Within one era of the store, the higher version number is newer. Across eras, the configuration in
force stays until the store holds something newer: a higher version number, or content that this
process has not seen and that was written after the restore. Content that was seen before is the
backup's own, or a step of the operator's rewriting.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

from lentilwell.gateway._catalog import Catalog
from lentilwell.gateway._store_point import StorePoint

# When the operator writes lost versions again, each one follows the one before within this time.
SETTLE_MS = 1_000
# Unknown content in the first listing after a restore may come from the backup rather than from the
# operator. It is put in force once it has stayed unchanged in the store for this time.
RESTORED_SETTLE_MS = 10_000
# Bound on the remembered versions; the oldest are dropped first.
MAX_SEEN = 256


class ConfigurationAction(Enum):
    """What to do with a configuration that was read from the store."""

    APPLY = "take"
    CONFIRM = "confirm"
    KEEP = "keep"
    WAIT = "wait"


@dataclass(frozen=True)
class ReadConfiguration:
    """A configuration as it was read from the store.

    ``restored`` is set if it came with the first complete listing of a new era of the store.
    """

    catalog: Catalog
    at: StorePoint
    restored: bool = False


@dataclass(frozen=True)
class Decision:
    """An action with its reason.

    ``wait_ms`` is for how long the configuration must stay unchanged in the store before it is put
    in force. The reason is empty if an older version was read without a restore of the store.
    """

    action: ConfigurationAction
    reason: str = ""
    wait_ms: int = 0


class ConfigurationChoice:
    """Compares each configuration that is read with those that this process has seen."""

    def __init__(self) -> None:
        self._seen: deque[tuple[int, int]] = deque(maxlen=MAX_SEEN)
        self._era = 0
        self.in_force: Catalog | None = None

    def decide(self, candidate: ReadConfiguration) -> Decision:
        """Return what to do with a configuration, without changing any state."""
        current, catalog = self.in_force, candidate.catalog
        if current is None or catalog.version > current.version:
            return Decision(ConfigurationAction.APPLY)
        if candidate.at.era <= self._era:
            return Decision(ConfigurationAction.KEEP)
        if catalog.is_same(current):
            return Decision(ConfigurationAction.CONFIRM)
        if (catalog.version, catalog.content_hash) in self._seen:
            return Decision(ConfigurationAction.KEEP, "was read before the restore")
        if candidate.restored:
            return Decision(
                ConfigurationAction.WAIT, "may come from the backup", RESTORED_SETTLE_MS
            )
        return Decision(
            ConfigurationAction.WAIT, "may be a version that is being written again", SETTLE_MS
        )

    def put_in_force(self, candidate: ReadConfiguration) -> None:
        """Put a configuration in force, or confirm the one in force in a new era."""
        self.in_force = candidate.catalog
        self._era = max(self._era, candidate.at.era)
        self.record_seen(candidate.catalog)

    def record_seen(self, catalog: Catalog) -> None:
        """Remember a version, whether or not it was put in force."""
        key = (catalog.version, catalog.content_hash)
        if key not in self._seen:
            self._seen.append(key)
