"""The ports of an entry instance: one abstract class for each kind of external system.

To support a new dialect of an engine or platform, add a module with a subclass that is registered
under a name. The reducer does not change.
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
    """A row of the table service. Its version is 1 at first and increases with each write."""

    key: str
    value: bytes
    version: int


class Platform(ABC):
    """The platform's table service, object store and list of instances.

    Calls block and are thread-safe. A call that returns ``Unavailable`` has written nothing. A call
    that returns ``AnswerLost`` may have written.
    """

    @abstractmethod
    def read_row(self, key: str) -> Result[Row | None, PlatformFailure]:
        """Return the row, or None if it does not exist."""

    @abstractmethod
    def write_row(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[Row, PlatformFailure]:
        """Write the row if its version is ``expected_version``, or return ``VersionConflict``.

        Version 0 means that the row does not exist.
        """

    @abstractmethod
    def delete_row(self, key: str, expected_version: int) -> Result[None, PlatformFailure]:
        """Delete the row if its version is ``expected_version``, or return ``VersionConflict``."""

    @abstractmethod
    def scan_rows(
        self, prefix: str, after: str = "", limit: int = 100
    ) -> Result[tuple[Row, ...], PlatformFailure]:
        """Return up to ``limit`` rows in key order that have the prefix and follow ``after``."""

    @abstractmethod
    def get_object(self, key: str) -> Result[bytes, PlatformFailure]:
        """Return the content of an object, or ``NotFound``."""

    @abstractmethod
    def put_object(self, key: str, value: bytes) -> Result[None, PlatformFailure]:
        """Store an object. Keys are digests of the content, so repeated calls are idempotent."""

    @abstractmethod
    def list_members(self) -> Result[tuple[Member, ...], PlatformFailure]:
        """Return the platform's list of instances, which may be outdated."""


@dataclass(frozen=True)
class EngineUnreadable:
    """The engine could not be reached, or its answer could not be decoded."""


@dataclass(frozen=True)
class CacheBatch:
    """Cache events of one incarnation of an engine."""

    incarnation: str
    events: tuple[CacheEvent, ...]


class EngineControl(ABC):
    """Control calls to engines and their reports.

    Streams are not opened through this port but by the transfer thread.
    """

    @abstractmethod
    def read_load(self, engine: str, url: str) -> Result[LoadReport, EngineUnreadable]:
        """Return the engine's load report."""

    @abstractmethod
    def read_cache_events(
        self, engine: str, url: str, after: int
    ) -> Result[CacheBatch, EngineUnreadable]:
        """Return the cache events whose sequence numbers are greater than ``after``."""

    @abstractmethod
    def cancel_stream(self, url: str, stream: str) -> Result[None, EngineUnreadable]:
        """Cancel a stream and free its memory. Succeeds if the engine does not know the stream."""

    @abstractmethod
    def change_priority(
        self, url: str, stream: str, priority: int
    ) -> Result[None, EngineUnreadable]:
        """Change the priority of a stream. Streams with lower numbers run first."""

    @abstractmethod
    def set_models(
        self, url: str, fence: int, models: tuple[str, ...]
    ) -> Result[None, EngineUnreadable]:
        """Set the models that the engine shall load.

        An engine that checks fencing tokens rejects a ``fence`` that is out of date.
        """


class Peers(ABC):
    """The other entry instances. Sending never blocks, and delivery is not guaranteed."""

    @abstractmethod
    def send_digest(self, digest: Digest) -> None:
        """Send the digest to the known peers."""

    @abstractmethod
    def ask_grant(self, owner: str, ask: GrantAsk) -> None:
        """Send a grant request to a peer. The answer or its timeout is posted as an event."""

    @abstractmethod
    def answer_grant(self, peer: str, answer: GrantAnswer) -> None:
        """Send the answer to a peer's request for a grant."""
