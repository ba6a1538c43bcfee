"""The limits of a process, and what follows from them for callers. Pure but for one look-up."""

from __future__ import annotations

import resource
from dataclasses import dataclass

MB = 1_000_000
DEFAULT_MEMORY_MB = 512
# The share of the memory that callers may make a process hold. A fifth is the bound on all growth;
# the other half of it is for a body that is being joined, the heap's holes and the objects of
# connections.
MEMORY_SHARE = 10
# The share of the memory that unfinished answers of upstreams may take.
ANSWER_SHARE = 8
# A quarter of the budget is reserved for callers that hold little.
RESERVE_SHARE = 4
# A machine with less memory still serves one request with a large body.
MIN_BUDGET_BYTES = 8 * MB
# An idle connection takes some 3 kB.
CONNECTION_BYTES = 4_096
# The share of the memory that tunnels of other instances may take, and what one takes if both of
# its ends read slowly.
TUNNEL_SHARE = 8
TUNNEL_BYTES = 196_608
# Listeners, store, logs, event loop and datagrams take 16, probes and scrapers up to 32, and
# connections that are accepted before the first of them can be refused 32.
RESERVED_DESCRIPTORS = 96
# Below this nothing could be served.
MIN_DESCRIPTORS = 192


@dataclass(frozen=True)
class MemoryBudget:
    """``total_bytes`` that callers may make a process hold; ``large_bytes`` for large holdings."""

    total_bytes: int
    large_bytes: int


@dataclass(frozen=True)
class ProcessLimits:
    """The memory of a process in MB (10^6 bytes), and its number of open descriptors."""

    memory_mb: int = DEFAULT_MEMORY_MB
    max_fds: int | None = None

    @property
    def budget(self) -> MemoryBudget:
        """Return the budget for what callers make the process hold."""
        total = max(MIN_BUDGET_BYTES, self.memory_mb * MB // MEMORY_SHARE)
        return MemoryBudget(total, total - total // RESERVE_SHARE)

    @property
    def answer_bytes(self) -> int:
        """Return what unfinished answers of upstreams may hold together."""
        return self.memory_mb * MB // ANSWER_SHARE

    @property
    def descriptors(self) -> int:
        """Return the number of descriptors: that of the settings, or less if the kernel's is."""
        allowed = find_descriptor_limit()
        wanted = allowed if self.max_fds is None else min(self.max_fds, allowed)
        return max(MIN_DESCRIPTORS, wanted)

    @property
    def max_requests(self) -> int:
        """Return how many requests may be served at a time: each has an upstream connection."""
        return (self.descriptors - RESERVED_DESCRIPTORS) // 3

    @property
    def upstream_descriptors(self) -> int:
        """Return the descriptor number from which on idle connections to upstreams are closed."""
        return self.descriptors - RESERVED_DESCRIPTORS

    @property
    def max_tunnels(self) -> int:
        """Return how many tunnels of others may be open: what descriptors and memory allow.

        Each tunnel has two connections.
        """
        by_memory = self.memory_mb * MB // TUNNEL_SHARE // TUNNEL_BYTES
        return min(self.max_requests // 2, by_memory)

    @property
    def max_connections(self) -> int:
        """Return how many connections callers may have: what descriptors and memory allow."""
        by_descriptors = self.descriptors - RESERVED_DESCRIPTORS - self.max_requests
        return min(by_descriptors, self.budget.total_bytes // CONNECTION_BYTES)


def find_descriptor_limit() -> int:
    """Return the number of descriptors that the kernel allows this process."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft if soft != resource.RLIM_INFINITY else 1_048_576
