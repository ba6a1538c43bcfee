"""Why requests were lost or late, added up over the log lines of many instances. Pure.

The cause of a request is the first thing that went wrong with it. Lines are taken one at a time and
requests under way are bounded, so that logs of any length fit into memory.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lentilwell import _log_lines as lines
from lentilwell.cli._story import LoggedLine

MOST_OPEN = 65_536
# Streams that begin later than this factor on what was expected at their placing count as late.
LATE_FACTOR = 1.5
LATE_SLACK_MS = 100
LENGTH_BOUNDS = (1_000, 10_000, 50_000, 100_000, 300_000)
WHOLE = "whole"
NOTHING_LOGGED = "nothing went wrong before it"

_ADDRESS = re.compile(r"\d+\.\d+\.\d+\.\d+:\d+")
_NUMBER = re.compile(r"\d+")


@dataclass(frozen=True)
class Loss:
    """One request that was not served, or late. ``second`` is the Unix second of its end."""

    cause: str
    outcome: str
    service: str
    team: str
    length: str
    instance: str
    second: int


Key = Callable[[Loss], str]
KEYS: dict[str, Key] = {
    "cause": lambda loss: loss.cause,
    "service": lambda loss: loss.service,
    "team": lambda loss: loss.team,
    "length": lambda loss: loss.length,
    "instance": lambda loss: loss.instance,
    "second": lambda loss: str(loss.second),
}


class LossCount:
    """Counts losses by one key, each with its outcome, and all requests that ended."""

    def __init__(self, key: Key) -> None:
        self._key = key
        self._causes: dict[str, str] = {}
        self.ended = 0
        self.lost: Counter[tuple[str, str]] = Counter()

    def take(self, logged: LoggedLine) -> None:
        """Take one line, in the order in which its instance wrote it."""
        line = logged.line
        if isinstance(line, lines.RequestRejected):
            self.ended += 1
            self._count(_find_rejection(logged, line))
        elif isinstance(line, lines.RequestEnded):
            self.ended += 1
            self._end(logged, line)
        elif (cause := find_cause(line)) is not None:
            self._note(getattr(line, "request", ""), cause)

    def _note(self, request: str, cause: str) -> None:
        self._causes.setdefault(request, cause)
        if len(self._causes) > MOST_OPEN:
            del self._causes[next(iter(self._causes))]

    def _end(self, logged: LoggedLine, line: lines.RequestEnded) -> None:
        cause = self._causes.pop(line.request, NOTHING_LOGGED)
        late = is_late(line)
        if line.outcome == WHOLE and not late:
            return
        outcome = "late" if line.outcome == WHOLE else line.outcome
        length = name_length(line.tokens)
        second = int(logged.at.timestamp())
        team = line.team or "none"
        self._count(Loss(cause, outcome, line.service, team, length, logged.instance, second))

    def _count(self, loss: Loss) -> None:
        self.lost[self._key(loss), loss.outcome] += 1


def find_cause(line: lines.Line) -> str | None:
    """Return what a line says went wrong with its request, None where nothing did."""
    if isinstance(line, lines.UpstreamRefused):
        return f"refused with {line.status}"
    if isinstance(line, lines.AttemptEnded):
        return generalize(line.reason, line.upstream)
    if isinstance(line, lines.RequestWaits):
        return "no upstream wanted work"
    if isinstance(line, lines.RequestHeld):
        return "held for what its upstreams read"
    return None


def generalize(reason: str, upstream: str) -> str:
    """Return a reason without the names and numbers of one request, so that reasons add up."""
    named = re.sub(rf"\b{re.escape(upstream)}\b", "UPSTREAM", reason) if upstream else reason
    return _NUMBER.sub("N", _ADDRESS.sub("ADDRESS", named))


def is_late(line: lines.RequestEnded) -> bool:
    """Tell whether a stream began much later than expected when it was placed."""
    bound_ms = LATE_FACTOR * line.expected_first_ms + LATE_SLACK_MS
    return line.first_ms is not None and line.first_ms > bound_ms


def name_length(tokens: int | None) -> str:
    """Return the class of a prompt's length: its upper bound, ``none`` without a prompt."""
    if tokens is None:
        return "none"
    bound = next((bound for bound in LENGTH_BOUNDS if tokens < bound), None)
    return f"from {LENGTH_BOUNDS[-1]}" if bound is None else f"below {bound}"


def render_losses(count: LossCount, most: int) -> Iterable[str]:
    """Yield rows of the greatest losses: requests, their share of all that ended, key, outcome."""
    total = sum(count.lost.values())
    yield f"{total} of {count.ended} requests were late or not served"
    for (key, outcome), number in count.lost.most_common(most):
        yield f"{number:7d}  {100 * number / count.ended:5.1f}%  {key}: {outcome}"


def _find_rejection(logged: LoggedLine, line: lines.RequestRejected) -> Loss:
    second = int(logged.at.timestamp())
    cause = f"answered {line.status}: {line.reason}"
    return Loss(cause, "rejected", "none", "none", "none", logged.instance, second)
