"""The life of the process, and its own faults."""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell._log_lines._line import Line, line


@line("started")
@dataclass(frozen=True)
class Started(Line):
    """The process listens for callers at this address."""

    callers: str


@line("stop begun")
@dataclass(frozen=True)
class StopBegun(Line):
    """A planned stop begins with so many connections of callers."""

    open_callers: int


@line("stopped")
@dataclass(frozen=True)
class Stopped(Line):
    """The process ends."""


@line("settings reloaded")
@dataclass(frozen=True)
class SettingsReloaded(Line):
    """Changed settings are in force; changed listeners are not before the next start."""

    listeners_unchanged: bool
    budget: int


@line("settings unreadable", "ERROR")
@dataclass(frozen=True)
class SettingsUnreadable(Line):
    """Changed settings could not be read: the old ones stay in force."""

    path: str
    reason: str


@line("metrics not served", "ERROR")
@dataclass(frozen=True)
class MetricsNotServed(Line):
    """The address of metrics and state cannot be listened on."""

    address: str
    reason: str


@line("exchange failed", "ERROR")
@dataclass(frozen=True)
class ExchangeFailed(Line):
    """A fault of the program ended a request."""

    target: str


@line("task failed", "ERROR")
@dataclass(frozen=True)
class TaskFailed(Line):
    """A fault of the program ended a task, which is begun anew."""

    task: str


@line("callback failed", "ERROR")
@dataclass(frozen=True)
class CallbackFailed(Line):
    """A fault of the program ended a callback of the event loop."""

    reason: str
