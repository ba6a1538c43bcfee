"""Crashes of upstreams, the requests that they cut, and what explains them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from functools import cached_property

from xxhash import xxh3_64_intdigest

from lentilwell.gateway._fingerprints import find_fingerprint
from lentilwell.gateway._upstreams import Incarnation

# Marks are sent as signed integers.
MARK_MASK = (1 << 63) - 1


@dataclass(frozen=True)
class CutRequest:
    """A request at the beginning of its answer that a crash cut.

    ``parts`` are those of its prompt that other prompts may share, the likeliest to blame first
    where these are only some of them. ``fingerprint`` is empty if it
    is not known. ``known_ends`` are the marks of the crashes under its subjects that were known
    when it was sent, None if it is not known which were.
    """

    request: str
    parts: tuple[str, ...]
    fingerprint: str = ""
    known_ends: frozenset[int] | None = None

    @property
    def subjects(self) -> tuple[str, ...]:
        """Return the subjects that may be to blame."""
        return (*self.parts, self.fingerprint) if self.fingerprint else self.parts


@dataclass(frozen=True)
class Crash:
    """The end of one incarnation of an upstream at ``at`` ms, and the requests that it cut."""

    upstream: Incarnation
    at: int
    cut: frozenset[CutRequest] = frozenset()

    @cached_property
    def mark(self) -> int:
        """Return a number that names the incarnation in messages."""
        name = f"{self.upstream.name} {self.upstream.born_ms}"
        return xxh3_64_intdigest(name.encode()) & MARK_MASK

    @cached_property
    def fingerprints(self) -> frozenset[str]:
        """Return the fingerprints of all cut requests."""
        return frozenset(one.fingerprint for one in self.cut if one.fingerprint)

    def count_parts(self) -> int:
        """Return the number of parts of all cut requests."""
        return sum(len(one.parts) for one in self.cut)


@dataclass(frozen=True)
class Explanation:
    """Subjects of which one explains the crashes from ``first_at`` to ``last_at``, in ms.

    Several parts occur in the same requests, so that it is not known which of them is to blame.
    The fingerprint of a request stands alone.
    """

    parts: frozenset[str]
    first_at: int
    last_at: int

    @cached_property
    def fingerprint(self) -> str:
        """Return the fingerprint of the request that is to blame, empty for parts of prompts."""
        return find_fingerprint(self.parts)

    def explains(self, crash: Crash) -> bool:
        """Tell whether a crash cut a request with all the subjects."""
        if self.fingerprint:
            return self.fingerprint in crash.fingerprints
        return any(self.parts.issubset(one.parts) for one in crash.cut)


def is_explained(crash: Crash, explanations: Iterable[Explanation]) -> bool:
    """Tell whether any of the explanations explains a crash."""
    return any(one.explains(crash) for one in explanations)
