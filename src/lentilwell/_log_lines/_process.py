"""Log lines about start and stop of the process, its settings and its internal errors."""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell._log_lines._line import Line, line


@line("started")
@dataclass(frozen=True)
class Started(Line):
    """The process accepts connections of callers at the address ``callers``."""

    callers: str


@line("stop begun")
@dataclass(frozen=True)
class StopBegun(Line):
    """A planned stop begins while ``open_callers`` connections of callers are open."""

    open_callers: int


@line("stopped")
@dataclass(frozen=True)
class Stopped(Line):
    """The process is about to exit."""


@line("caller given up")
@dataclass(frozen=True)
class CallerGivenUp(Line):
    """A connection of a caller was refused or closed to keep the limits of the process.

    ``reason`` is ``stalled``, ``largest`` or ``oldest`` for the memory, ``descriptors`` for too
    many connections and ``requests`` for too many requests at a time. ``held_bytes`` is what it
    held, ``total_bytes`` what all ``connections`` held before.
    """

    reason: str
    held_bytes: int
    total_bytes: int
    connections: int


@line("settings reloaded")
@dataclass(frozen=True)
class SettingsReloaded(Line):
    """Changed settings are in force. Changed listener addresses take effect at the next start."""

    listeners_unchanged: bool
    budget: int


@line("setting ignored", "WARNING")
@dataclass(frozen=True)
class SettingIgnored(Line):
    """A part of the settings file is invalid and was left out; the rest is used."""

    file: str
    reason: str


@line("settings unreadable", "ERROR")
@dataclass(frozen=True)
class SettingsUnreadable(Line):
    """Changed settings could not be read; the previous ones stay in force."""

    path: str
    reason: str


@line("metrics not served", "ERROR")
@dataclass(frozen=True)
class MetricsNotServed(Line):
    """The listener for metrics and the state dump could not be opened."""

    address: str
    reason: str


@line("exchange failed", "ERROR")
@dataclass(frozen=True)
class ExchangeFailed(Line):
    """An internal error ended a request."""

    target: str


@line("event loop paused", "WARNING")
@dataclass(frozen=True)
class EventLoopPaused(Line):
    """The event loop ran the periodic maintenance ``late_ms`` late; every request waited meanwhile.

    The process was busy, or it was not given the processor.
    """

    late_ms: int


@line("task failed", "ERROR")
@dataclass(frozen=True)
class TaskFailed(Line):
    """An internal error ended a background task. The task is started again."""

    task: str


@line("callback failed", "ERROR")
@dataclass(frozen=True)
class CallbackFailed(Line):
    """An internal error ended a callback of the event loop."""

    reason: str
