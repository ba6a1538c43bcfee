"""The ports of the core: one small abstract class for each outside system.

A new engine or platform dialect is one new module with a subclass registered under a name; the
reducer does not change.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from result import Result

from lentilwell._errors import PlatformFailure
from lentilwell._messages import (
    CacheEvent,
    Digest,
    GrantAnswer,
    GrantAsk,
    LoadReport,
    Member,
)


@dataclass(frozen=True)
class Row:
    """A row of the table service; versions start at 1 and rise with each write."""

    key: str
    value: bytes
    version: int


class Platform(ABC):
    """The platform's table service, object store and instance list. Calls block; threads may share.

    A call that returns ``Unavailable`` wrote nothing. ``AnswerLost`` means that it may have.
    """

    @abstractmethod
    def read_row(self, key: str) -> Result[Row | None, PlatformFailure]:
        """Return the row, or None where there is none."""

    @abstractmethod
    def write_row(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[Row, PlatformFailure]:
        """Write if the row's version is ``expected_version`` (0: no row), else VersionConflict."""

    @abstractmethod
    def delete_row(self, key: str, expected_version: int) -> Result[None, PlatformFailure]:
        """Delete if the row's version is ``expected_version``, else VersionConflict."""

    @abstractmethod
    def scan_rows(
        self, prefix: str, after: str = "", limit: int = 100
    ) -> Result[tuple[Row, ...], PlatformFailure]:
        """Return up to ``limit`` rows with the prefix, by key, beyond ``after``."""

    @abstractmethod
    def get_object(self, key: str) -> Result[bytes, PlatformFailure]:
        """Return an object's bytes, or NotFound."""

    @abstractmethod
    def put_object(self, key: str, value: bytes) -> Result[None, PlatformFailure]:
        """Store an object; keys are digests of the content, so that repeating is harmless."""

    @abstractmethod
    def list_members(self) -> Result[tuple[Member, ...], PlatformFailure]:
        """Return the platform's list of instances, which lags."""


@dataclass(frozen=True)
class EngineUnreadable:
    """An engine could not be reached or its answer could not be understood."""


@dataclass(frozen=True)
class CacheBatch:
    """Cache events of one life of an engine."""

    incarnation: str
    events: tuple[CacheEvent, ...]


class EngineControl(ABC):
    """The orders and reports of an engine; its streams are opened by the transfer thread."""

    @abstractmethod
    def read_load(self, engine: str, url: str) -> Result[LoadReport, EngineUnreadable]:
        """Return the engine's load report."""

    @abstractmethod
    def read_cache_events(
        self, engine: str, url: str, after: int
    ) -> Result[CacheBatch, EngineUnreadable]:
        """Return the cache events beyond sequence ``after``."""

    @abstractmethod
    def cancel_stream(self, url: str, stream: str) -> Result[None, EngineUnreadable]:
        """Free a stream; an unknown stream is a success."""

    @abstractmethod
    def change_priority(
        self, url: str, stream: str, priority: int
    ) -> Result[None, EngineUnreadable]:
        """Change a stream's priority; lower numbers run first."""

    @abstractmethod
    def order_models(
        self, url: str, fence: int, models: tuple[str, ...]
    ) -> Result[None, EngineUnreadable]:
        """State the models the engine shall hold; an engine that checks refuses an old fence."""


class Peers(ABC):
    """The other entry instances. Sends never block the caller; what is lost is not repeated."""

    @abstractmethod
    def send_digest(self, digest: Digest) -> None:
        """Send the digest to every peer that is known."""

    @abstractmethod
    def ask_grant(self, owner: str, ask: GrantAsk) -> None:
        """Ask a peer; its answer, or the lack of one, comes back as an event."""

    @abstractmethod
    def answer_grant(self, peer: str, answer: GrantAnswer) -> None:
        """Answer a peer's ask."""
