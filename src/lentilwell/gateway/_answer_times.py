"""How long answers take, learned for each kind of request from those that have ended. Pure.

A kind is a route with the service that serves it. For requests to engines, whose answers differ by
their prompts, the record holds ratios of the actual to the estimated time instead of times.
"""

from __future__ import annotations

import math
import statistics
from array import array
from dataclasses import dataclass

# Ended requests of one kind that are remembered.
WINDOW = 128
QUANTILE = 0.97
# With fewer ended requests, the longest of them, times a larger factor, is a bound only if it
# exceeds what was assumed before the first one.
MIN_SAMPLES = 20
FEW_SAMPLES_FACTOR = 1.5
MARGIN_FACTOR = 1.1
# Bound on the kinds that are remembered; the one that was recorded least recently is forgotten.
MAX_KINDS = 4_096


@dataclass(frozen=True)
class RequestKind:
    """Requests whose answers take similar times, or similar multiples of an estimate."""

    route: str
    service: str
    estimated: bool


class AnswerTimes:
    """The last ``WINDOW`` times of each kind, in ms or as ratios."""

    def __init__(self) -> None:
        self._windows: dict[RequestKind, _Window] = {}

    def record(self, kind: RequestKind, sample: float) -> None:
        """Add the time of a request that has ended."""
        window = self._windows.pop(kind, None) or _Window()
        self._windows[kind] = window
        window.add(sample)
        if len(self._windows) > MAX_KINDS:
            del self._windows[next(iter(self._windows))]

    def find_bound(self, kind: RequestKind, prior: float) -> float:
        """Return a time that is rarely exceeded; ``prior`` is assumed while little is known."""
        window = self._windows.get(kind)
        if window is None:
            return prior
        if len(window.samples) < MIN_SAMPLES:
            return max(prior, FEW_SAMPLES_FACTOR * max(window.samples))
        return MARGIN_FACTOR * window.find_quantile()

    def find_typical(self, kind: RequestKind, prior: float) -> float:
        """Return the median of the latest times; ``prior`` is assumed before the first one."""
        window = self._windows.get(kind)
        return statistics.median(window.samples) if window is not None else prior


class _Window:
    def __init__(self) -> None:
        self.samples = array("f")
        self._next = 0

    def add(self, sample: float) -> None:
        """Add a sample in place of the oldest one."""
        if len(self.samples) < WINDOW:
            self.samples.append(sample)
            return
        self.samples[self._next] = sample
        self._next = (self._next + 1) % WINDOW

    def find_quantile(self) -> float:
        """Return the sample that all but 3 percent do not exceed."""
        return sorted(self.samples)[math.ceil(QUANTILE * len(self.samples)) - 1]
