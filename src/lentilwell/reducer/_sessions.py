"""Whole sessions as text that a person can read and review: events in, effects out.

Each event is a line that begins with its time and ``>``; each effect follows on a line with ``<``.
The values are those of the data classes, in their order, without what is long or secret.
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
    """The state after a session, and its text."""

    state: State
    lines: tuple[str, ...] = ()

    def play(self, *events: Event) -> Session:
        """Return the session with more events."""
        session = self
        for event in events:
            state, effects = reduce(session.state, event)
            session = Session(state, session.lines + render_step(event, effects))
        return session

    def text(self) -> str:
        """Return the lines as one text."""
        return "\n".join(self.lines) + "\n"


def render_step(event: Event, effects: Iterable[Effect]) -> tuple[str, ...]:
    """Return the line of an event and those of its effects; an event without effects stands too."""
    lines = [f"{event.at:>8} > {render_fields(event, skipped=('at',))}"]
    lines += [f"{'':>8} < {render_fields(effect)}" for effect in effects]
    return tuple(lines)


def render_fields(value: object, skipped: tuple[str, ...] = ()) -> str:
    """Return the name of a data class and its fields."""
    assert is_dataclass(value)
    names = [field.name for field in fields(value) if field.name not in skipped]
    parts = [f"{name}={render_value(getattr(value, name))}" for name in names]
    return " ".join([type(value).__name__, *parts])


def render_value(value: object) -> str:
    """Return a value as one word, or as a list of words in brackets."""
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
