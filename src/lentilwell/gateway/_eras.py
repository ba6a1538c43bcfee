"""Tracks the newest era of the store, for all store clients of a process.

Every answer of the store names its era; each restore from an older copy begins a new one.
"""

from __future__ import annotations

from collections.abc import Callable

from lentilwell._log_lines import StoreRestoreSeen, write_line
from lentilwell.gateway._failures import StoreRestored


class EraTracker:
    """Records the era of each answer; ``on_new_era`` is called with each newer era."""

    def __init__(self) -> None:
        self._current: int | None = None
        self.on_new_era: Callable[[int], None] = lambda era: None

    @property
    def current(self) -> int:
        """Return the newest era, 0 if the store sends none."""
        return self._current or 0

    def record(self, era: int, call: str) -> None:
        """Record the era of an answer to ``call``; raise ``StoreRestored`` if it went back."""
        if self._current is None or era == self._current:
            self._current = era
            return
        if era < self._current:
            raise StoreRestored(
                f"{call}: answer of era {era} after an answer of era {self._current}"
            )
        write_line(StoreRestoreSeen(era, self._current, call))
        self._current = era
        self.on_new_era(era)
