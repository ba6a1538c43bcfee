"""Readable text of a sequence of events and their effects, for golden files.

Each event is a line that starts with its time and ``>``. Its effects follow, each on a line that
starts with ``<``. Fields are listed in the order of the data class; long values are abbreviated and
secret ones left out.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum

from lentilwell._failures import Failure
from lentilwell._inventory import Inventory
from lentilwell._messages import LoadReport, Placement, Request
from lentilwell.reducer._effects import Effect
from lentilwell.reducer._events import Event
from lentilwell.reducer._reducer import reduce
from lentilwell.reducer._state import State


@dataclass(frozen=True)
class Session:
    """The state after a sequence of events, and the text lines of the sequence."""

    state: State
    lines: tuple[str, ...] = ()

    def play(self, *events: Event) -> Session:
        """Apply events in order, and return the extended session."""
        session = self
        for event in events:
            state, effects = reduce(session.state, event)
            session = Session(state, session.lines + render_step(event, effects))
        return session

    def text(self) -> str:
        """Return all lines as one string."""
        return "\n".join(self.lines) + "\n"


def render_step(event: Event, effects: Iterable[Effect]) -> tuple[str, ...]:
    """Return the line of an event, followed by a line for each of its effects."""
    lines = [f"{event.at:>8} > {render_fields(event, skipped=('at',))}"]
    lines += [f"{'':>8} < {render_fields(effect)}" for effect in effects]
    return tuple(lines)


def render_fields(value: object, skipped: tuple[str, ...] = ()) -> str:
    """Return the class name and the fields of a data class instance."""
    assert is_dataclass(value)
    names = [field.name for field in fields(value) if field.name not in skipped]
    parts = [f"{name}={render_value(getattr(value, name))}" for name in names]
    return " ".join([type(value).__name__, *parts])


def render_value(value: object) -> str:
    """Return a value as short text; a tuple becomes a list in brackets."""
    if isinstance(value, Request):
        wait_ms = value.deadline_at - value.arrived_at
        return (
            f"{value.request_id}[{value.team} {value.model} "
            f"{value.prompt_tokens}+{value.answer_tokens} in {wait_ms} ms]"
        )
    if isinstance(value, Placement):
        return f"{value.engine}:{value.memory_tokens}"
    if isinstance(value, LoadReport):
        streams = len(value.streams)
        return f"{value.engine}#{value.sequence}[{value.memory_used} used, {streams} streams]"
    if isinstance(value, Inventory):
        return f"version {value.version}[{len(value.engines)} engines, {len(value.teams)} teams]"
    if isinstance(value, Failure):
        retry_after_ms = value.retry_after_ms
        return value.code if retry_after_ms is None else f"{value.code}[after {retry_after_ms} ms]"
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, tuple):
        return f"[{', '.join(render_value(item) for item in value)}]"
    if is_dataclass(value):
        return f"({render_fields(value)})"
    return str(value)
