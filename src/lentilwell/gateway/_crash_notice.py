"""What one instance tells another about crashes of upstreams."""

from __future__ import annotations

from dataclasses import dataclass

from lentilwell.gateway._crash_records import Crash, Explanation
from lentilwell.gateway._upstreams import Incarnation


@dataclass(frozen=True)
class SoundPart:
    """A part on which an answer was written beyond its beginning at ``at`` ms."""

    part: str
    at: int


@dataclass(frozen=True)
class AliveUpstream:
    """An incarnation that answered at ``at`` ms, after it was taken to have crashed."""

    upstream: Incarnation
    at: int


@dataclass(frozen=True)
class CrashNotice:
    """Evidence that one instance tells another, the newest crashes first."""

    crashes: tuple[Crash, ...] = ()
    sound: tuple[SoundPart, ...] = ()
    condemned: tuple[Explanation, ...] = ()
    alive: tuple[AliveUpstream, ...] = ()
