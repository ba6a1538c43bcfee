"""The newest era of the store that any answer told of, shared by all clients of a process."""

from __future__ import annotations

from collections.abc import Callable

from lentilwell._log_lines import StoreRestoreSeen, write_line
from lentilwell.gateway._failures import StoreRestored


class Eras:
    """Notes the era of each answer; ``on_rise`` is called with an era that was not seen before."""

    def __init__(self) -> None:
        self._current: int | None = None
        self.on_rise: Callable[[int], None] = lambda era: None

    @property
    def current(self) -> int:
        """Return the newest era, 0 where the store tells of none."""
        return self._current or 0

    def note(self, era: int, call: str) -> None:
        """Take the era of an answer to ``call``; raise ``StoreRestored`` where it is a past one."""
        if self._current is None or era == self._current:
            self._current = era
            return
        if era < self._current:
            raise StoreRestored(f"{call}: an answer of era {era}, after one of era {self._current}")
        write_line(StoreRestoreSeen(era, self._current, call))
        self._current = era
        self.on_rise(era)
