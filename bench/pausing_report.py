"""What callers of pausing upstreams saw: the calls by end, and the story of each bad one."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from bench.changing_configuration import find_change
from bench.pausing_callers import SentCall
from soak.checks import ANSWER_REST_MS, OWN_FAILURES
from soak.observations import Call, Observations
from standins.instance_log import InstanceLog

# The fields of a log line that are printed.
SHOWN_FIELDS = ("service", "configuration", "upstream", "reason", "next", "outcome", "total_ms")


@dataclass(frozen=True)
class ConfigurationChange:
    """A version of the configuration and when it was written, in ms."""

    version: int
    at: int


@dataclass(frozen=True)
class Report:
    """The observations of a run, the log of each instance and the changes that were written."""

    observations: Observations
    logs: Mapping[str, InstanceLog]
    changes: Sequence[ConfigurationChange]


@dataclass(frozen=True)
class BadCall:
    """A call that got no whole answer of an upstream.

    ``read`` tells whether an instance has read it. ``sound_at`` is when the first upstream that got
    it would have gone on, in ms, or None if none got it.
    """

    sent: SentCall
    end: str
    read: bool
    sound_at: int | None

    @property
    def answered_in_time(self) -> bool:
        """Tell whether a sound upstream would have answered before the deadline."""
        call = self.sent.call
        deadline_at = call.sent_at + call.deadline_ms
        return self.sound_at is not None and self.sound_at + ANSWER_REST_MS <= deadline_at

    @property
    def counts(self) -> bool:
        """Tell whether the call should have been answered."""
        return self.answered_in_time or (self.read and self.sent.call.status is None)


def describe_end(call: Call) -> str:
    """Return how a call ended, in words."""
    if call.status is None:
        return "no answer"
    if call.status == 200:
        if not call.whole:
            return "cut"
        return "wrong" if call.missing else "whole"
    return f"own {call.status}" if call.status in OWN_FAILURES else str(call.status)


def list_bad_calls(sent: Sequence[SentCall], report: Report) -> list[BadCall]:
    """Return the calls that did not end with a whole answer."""
    bad = []
    for one in sent:
        end = describe_end(one.call)
        if end != "whole":
            request = one.call.request
            read = request in report.logs[one.call.instance].lines_by_request
            bad.append(BadCall(one, end, read, _find_sound_at(report.observations, request)))
    return bad


def _find_sound_at(observations: Observations, request: str) -> int | None:
    """Return when the first upstream that runs a request is ready to go on with its answer."""
    until = {
        pause.upstream: pause.until for pause in observations.pauses if pause.request == request
    }
    arrivals = [one for one in observations.arrivals if one.request == request and one.ran]
    return min((until.get(one.upstream, one.at) for one in arrivals), default=None)


def print_report(sent: Sequence[SentCall], report: Report) -> None:
    """Print the calls of a run by kind and end, and each bad one with its log."""
    ends = Counter((one.call.kind.value, describe_end(one.call)) for one in sent)
    for kind in sorted({kind for kind, _ in ends}):
        counts = ", ".join(
            f"{count} {end}" for (of, end), count in sorted(ends.items()) if of == kind
        )
        print(f"  {kind}: {counts}")
    bad_calls = list_bad_calls(sent, report)
    unanswered = [one for one in bad_calls if one.sent.kept and one.sent.call.status is None]
    in_time = sum(one.answered_in_time for one in bad_calls)
    print(
        f"  {len(bad_calls)} bad, {in_time} would have been answered in time,"
        f" {len(unanswered)} on a kept connection got nothing"
        f" ({sum(not one.read for one in unanswered)} not read);"
        f" latest change before the end: {_count_changes(bad_calls, report)}"
    )
    for one in bad_calls:
        _print_bad_call(one, report)


def _count_changes(bad_calls: Sequence[BadCall], report: Report) -> str:
    kinds = Counter(_describe_change(one, report)[0] for one in bad_calls)
    return ", ".join(f"{count} {kind}" for kind, count in kinds.most_common()) or "none"


def _describe_change(bad: BadCall, report: Report) -> tuple[str, int]:
    """Return what the last change before the end of a call changed, and how long before, in ms."""
    ended_at = bad.sent.call.ended_at
    last = max((one for one in report.changes if one.at <= ended_at), key=lambda one: one.at)
    kind = find_change(last.version)
    return kind.value if kind is not None else "none", ended_at - last.at


def _print_bad_call(bad: BadCall, report: Report) -> None:
    call = bad.sent.call
    change, before_ms = _describe_change(bad, report)
    connection = "kept" if bad.sent.kept else "new"
    in_time = "would have been answered in time" if bad.answered_in_time else "not in time"
    print(
        f"  {call.request} at {call.instance}: {bad.end} after {call.ended_at - call.sent_at} ms,"
        f" {connection} connection, {before_ms} ms after a change of {change}, {in_time},"
        f" {_describe_upstreams(call, report.observations)}"
    )
    for line in report.logs[call.instance].lines_by_request.get(call.request, []):
        shown = (f"{name} {line[name]}" for name in SHOWN_FIELDS if line.get(name) is not None)
        print(f"    {line['event']}: {', '.join(shown)}")


def _describe_upstreams(call: Call, observations: Observations) -> str:
    """Return which upstreams got a call, and from when until when each paused, in ms."""
    pauses = {one.upstream: one for one in observations.pauses if one.request == call.request}
    parts = []
    for arrival in observations.arrivals:
        if arrival.request != call.request:
            continue
        pause = pauses.get(arrival.upstream)
        silent = (
            f" silent {pause.begin - call.sent_at} to {pause.until - call.sent_at}" if pause else ""
        )
        parts.append(f"{arrival.upstream} at {arrival.at - call.sent_at}{silent}")
    return "; ".join(parts) or "no upstream got it"
