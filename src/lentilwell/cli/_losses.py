"""Counts lost and late requests by cause, from the log lines of several instances. Pure logic.

The cause of a loss is the first failure logged for the request. Lines are processed one at a time,
and the number of open requests is bounded, so that logs of any length fit into memory.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lentilwell import _log_lines as lines
from lentilwell.cli._timeline import LoggedLine

# Bounds the memory for requests whose end is missing from the logs.
MAX_OPEN_REQUESTS = 65_536
# A request is late if its first event comes later than the time expected at its placement,
# multiplied by this factor, plus the margin.
LATE_FACTOR = 1.5
LATE_MARGIN_MS = 100
# The upper bounds of the prompt length classes, in tokens.
LENGTH_BOUNDS = (1_000, 10_000, 50_000, 100_000, 300_000)
OUTCOME_WHOLE = "whole"
NO_CAUSE_LOGGED = "nothing went wrong before it"

_ADDRESS = re.compile(r"\d+\.\d+\.\d+\.\d+:\d+")
_NUMBER = re.compile(r"\d+")


@dataclass(frozen=True)
class Loss:
    """A request that was late or not served. ``second`` is its end as a Unix time in seconds."""

    cause: str
    outcome: str
    service: str
    team: str
    length: str
    instance: str
    second: int


GroupKey = Callable[[Loss], str]
GROUP_KEYS: dict[str, GroupKey] = {
    "cause": lambda loss: loss.cause,
    "service": lambda loss: loss.service,
    "team": lambda loss: loss.team,
    "length": lambda loss: loss.length,
    "instance": lambda loss: loss.instance,
    "second": lambda loss: str(loss.second),
}


class LossCounter:
    """Counts losses by group key and outcome, and all ended requests."""

    def __init__(self, key: GroupKey) -> None:
        self._key = key
        self._causes: dict[str, str] = {}
        self.ended = 0
        self.lost: Counter[tuple[str, str]] = Counter()

    def record_line(self, logged: LoggedLine) -> None:
        """Process one log line. Lines of an instance must come in the order they were written."""
        line = logged.line
        if isinstance(line, lines.RequestRejected):
            self.ended += 1
            self._count(_find_rejection(logged, line))
        elif isinstance(line, lines.RequestEnded):
            self.ended += 1
            self._record_end(logged, line)
        elif (cause := find_cause(line)) is not None:
            self._record_cause(getattr(line, "request", ""), cause)

    def _record_cause(self, request: str, cause: str) -> None:
        self._causes.setdefault(request, cause)
        if len(self._causes) > MAX_OPEN_REQUESTS:
            del self._causes[next(iter(self._causes))]

    def _record_end(self, logged: LoggedLine, line: lines.RequestEnded) -> None:
        cause = self._causes.pop(line.request, NO_CAUSE_LOGGED)
        late = is_late(line)
        if line.outcome == OUTCOME_WHOLE and not late:
            return
        outcome = "late" if line.outcome == OUTCOME_WHOLE else line.outcome
        length = get_length_class(line.tokens)
        second = int(logged.at.timestamp())
        team = line.team or "none"
        self._count(Loss(cause, outcome, line.service, team, length, logged.instance, second))

    def _count(self, loss: Loss) -> None:
        self.lost[self._key(loss), loss.outcome] += 1


def find_cause(line: lines.Line) -> str | None:
    """Return the failure that a line reports for its request, or None if it reports none."""
    if isinstance(line, lines.UpstreamRefused):
        return f"refused with {line.status}"
    if isinstance(line, lines.AttemptEnded):
        return generalize(line.reason, line.upstream)
    if isinstance(line, lines.AttemptSilent):
        return "no progress for N ms"
    if isinstance(line, lines.RequestWaiting):
        return "no upstream wanted work"
    if isinstance(line, lines.RequestDeferred):
        return "held for what its upstreams read"
    return None


def generalize(reason: str, upstream: str) -> str:
    """Replace the upstream name, addresses and numbers in a reason, so that equal causes match."""
    general = re.sub(rf"\b{re.escape(upstream)}\b", "UPSTREAM", reason) if upstream else reason
    return _NUMBER.sub("N", _ADDRESS.sub("ADDRESS", general))


def is_late(line: lines.RequestEnded) -> bool:
    """Return whether the first event came much later than expected at the placement."""
    bound_ms = LATE_FACTOR * line.expected_first_ms + LATE_MARGIN_MS
    return line.first_ms is not None and line.first_ms > bound_ms


def get_length_class(tokens: int | None) -> str:
    """Return the length class of a prompt, named by its bound, or ``none`` without a prompt."""
    if tokens is None:
        return "none"
    bound = next((bound for bound in LENGTH_BOUNDS if tokens < bound), None)
    return f"from {LENGTH_BOUNDS[-1]}" if bound is None else f"below {bound}"


def render_losses(counter: LossCounter, max_rows: int) -> Iterable[str]:
    """Yield the total, then the largest groups: count, share of ended requests, key and outcome."""
    total = sum(counter.lost.values())
    yield f"{total} of {counter.ended} requests were late or not served"
    for (key, outcome), number in counter.lost.most_common(max_rows):
        yield f"{number:7d}  {100 * number / counter.ended:5.1f}%  {key}: {outcome}"


def _find_rejection(logged: LoggedLine, line: lines.RequestRejected) -> Loss:
    second = int(logged.at.timestamp())
    cause = f"answered {line.status}: {line.reason}"
    return Loss(cause, "rejected", "none", "none", "none", logged.instance, second)
