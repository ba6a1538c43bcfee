"""Records requests that end the servers that run them, and checks the users' rule about them.

The rule: such a request reaches servers in few more attempts once the machines had time to hear
that it has ended its third server.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from lentilwell._clock import Clock
from standins.received_request import ReceivedRequest, RequestContent

ALLOWED_CRASHES = 3
MAX_LATE_ARRIVALS = 3


@dataclass(frozen=True)
class Crash:
    """The end of a server: when, by which deadly request, and how many others it cut."""

    at: int
    deadly: str | None
    cut: int


@dataclass
class DeadlyRecord:
    """The deadly requests by content, and what servers saw of them; times are in ms.

    ``sends`` counts the arrivals of each request id, deadly or not.
    """

    clock: Clock
    names: Mapping[RequestContent, str]
    arrivals: dict[str, list[int]] = field(default_factory=dict)
    crashes: list[Crash] = field(default_factory=list)
    sends: Counter[str] = field(default_factory=Counter)

    def is_deadly(self, request: ReceivedRequest) -> bool:
        """Tell whether a request ends the server that runs it."""
        return request.content in self.names

    def record_request(self, request: ReceivedRequest) -> None:
        """Record that a request reached a server."""
        self.sends[request.request_id] += 1
        name = self.names.get(request.content)
        if name is not None:
            self.arrivals.setdefault(name, []).append(self.clock.now())

    def record_crash(self, cause: ReceivedRequest | None, cut: int) -> None:
        """Record that a server ended, by itself if there is no cause, and cut other requests."""
        name = self.names.get(cause.content) if cause is not None else None
        self.crashes.append(Crash(self.clock.now(), name, cut))

    def list_crashes(self, name: str) -> list[int]:
        """Return when a deadly request ended servers."""
        return [crash.at for crash in self.crashes if crash.deadly == name]

    def count_arrivals(self) -> dict[str, int]:
        """Return how often each deadly request has reached a server."""
        return {name: len(times) for name, times in self.arrivals.items()}

    def find_third_crash(self, name: str) -> int | None:
        """Return when a deadly request ended its third server, None if it has not."""
        crashes = self.list_crashes(name)
        return crashes[ALLOWED_CRASHES - 1] if len(crashes) >= ALLOWED_CRASHES else None

    def count_late(self, name: str, contact_ms: int) -> int:
        """Count the arrivals of a deadly request later than this after its third crash."""
        third = self.find_third_crash(name)
        if third is None:
            return 0
        return sum(at > third + contact_ms for at in self.arrivals.get(name, ()))
