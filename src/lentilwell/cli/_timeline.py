"""Builds the timeline of one request from the log lines of several instances. Pure logic."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, fields
from datetime import datetime, timedelta
from typing import TypeVar

import msgspec

from lentilwell import _log_lines as lines
from lentilwell._log_lines import LINE_TYPES, Line

# The timeline begins this long before the arrival of the request, because a change shortly before
# the arrival may explain the placement.
CONTEXT_MS = 2_000


@dataclass(frozen=True)
class LoggedLine:
    """A log line with its time and the instance that wrote it."""

    at: datetime
    instance: str
    line: Line


@dataclass(frozen=True)
class RequestTimeline:
    """The log lines that name a request, and those on state changes that may have affected it."""

    request: str
    arrived_at: datetime
    lines: tuple[LoggedLine, ...]


class _LineHeader(msgspec.Struct):
    at: datetime
    instance: str
    event: str


def parse_line(text: str) -> LoggedLine | None:
    """Parse a gateway log line, with or without the prefix of a log collector.

    Returns None if the text is not a gateway log line.
    """
    data = text[text.find("{") :].encode()
    try:
        header = msgspec.json.decode(data, type=_LineHeader)
        line_type = LINE_TYPES[header.event]
        line = msgspec.json.decode(data, type=line_type)
    except (msgspec.DecodeError, KeyError):
        return None
    return LoggedLine(header.at, header.instance, line)


def build_timeline(request: str, logged: Sequence[LoggedLine]) -> RequestTimeline | None:
    """Return the timeline of a request, or None if no line names it."""
    matching = [entry for entry in logged if names_request(entry.line, request)]
    if not matching:
        return None
    arrived_at = min(estimate_arrival(entry) for entry in matching)
    begin = arrived_at - timedelta(milliseconds=CONTEXT_MS)
    end = max(entry.at for entry in matching)
    upstreams = {name for entry in matching for name in list_upstreams(entry.line)}
    instances = {entry.instance for entry in matching}
    selected = [
        entry
        for entry in logged
        if names_request(entry.line, request)
        or (
            entry.instance in instances
            and begin <= entry.at <= end
            and is_relevant(entry.line, upstreams)
        )
    ]
    return RequestTimeline(request, arrived_at, tuple(sorted(selected, key=lambda entry: entry.at)))


def names_request(line: Line, request: str) -> bool:
    """Return whether a line names this request."""
    return getattr(line, "request", None) == request


def estimate_arrival(logged: LoggedLine) -> datetime:
    """Return the latest possible arrival time of a request, according to one of its lines."""
    if isinstance(logged.line, lines.RequestEnded):
        return logged.at - timedelta(milliseconds=logged.line.total_ms)
    return logged.at


def list_upstreams(line: Line) -> list[str]:
    """Return the names of the upstreams in a line of a request."""
    names = [getattr(line, "upstream", ""), getattr(line, "at_fault", "")]
    if isinstance(line, lines.RequestPlaced | lines.RequestDeferred):
        names += line.helpers.split()
    return [name for name in names if name]


def is_relevant(line: Line, upstreams: set[str]) -> bool:
    """Return whether a state change may have affected requests to these upstreams."""
    if isinstance(line, _ALWAYS_RELEVANT):
        return True
    return not hasattr(line, "request") and getattr(line, "upstream", None) in upstreams


_ALWAYS_RELEVANT = (
    lines.ConfigurationInForce,
    lines.ConfigurationKept,
    lines.DependencyLost,
    lines.DependencyRecovered,
    lines.EvacuationBegun,
    lines.EvacuationEnded,
    lines.EvacuationKept,
    lines.PartsCleared,
    lines.PartsCondemned,
    lines.PeerSilent,
    lines.RequestsCleared,
    lines.RequestsCondemned,
    lines.Started,
    lines.StopBegun,
    lines.StoreRestoreSeen,
    lines.TaskFailed,
)

_LineT = TypeVar("_LineT", bound=Line)
_DESCRIBERS: dict[type[Line], Callable[[Line], str]] = {}


def describer(
    line_type: type[_LineT],
) -> Callable[[Callable[[_LineT], str]], Callable[[_LineT], str]]:
    """Register the decorated function as the description of one type of log line."""

    def register(describe: Callable[[_LineT], str]) -> Callable[[_LineT], str]:
        _DESCRIBERS[line_type] = describe  # type: ignore[assignment]
        return describe

    return register


def describe_line(line: Line) -> str:
    """Return a line as text. Types without a registered description show their fields."""
    describe = _DESCRIBERS.get(type(line))
    if describe is not None:
        return describe(line)
    shown = " ".join(f"{field.name}={getattr(line, field.name)}" for field in fields(line))
    return f"{line.event}: {shown}" if shown else line.event


def render_timeline(timeline: RequestTimeline) -> Sequence[str]:
    """Return the rows of a timeline, each with its time since the arrival of the request."""
    rows = [f"request {timeline.request} arrived at {timeline.arrived_at.isoformat()}"]
    for entry in timeline.lines:
        since_ms = round((entry.at - timeline.arrived_at) / timedelta(milliseconds=1))
        rows.append(f"{since_ms:+7d} ms  {entry.instance}  {describe_line(entry.line)}")
    return rows


@describer(lines.RequestPlaced)
def describe_placed(line: lines.RequestPlaced) -> str:
    """Describe the chosen upstream and the information that the choice was based on."""
    helpers = f", read with {line.helpers}" if line.helpers else ""
    digests = "no other instance heard"
    if line.oldest_digest_ms is not None:
        digests = f"digests up to {line.oldest_digest_ms} ms old"
    load = f"{line.upstream_jobs} jobs and {line.upstream_backlog_ms} ms of reading there"
    return (
        f"placed at {line.upstream}{helpers}: first event expected in {line.expected_first_ms} ms "
        f"({load}, {digests}, list {line.listing}, configuration {line.configuration}, "
        f"{line.excluded} excluded)"
    )


@describer(lines.RequestDeferred)
def describe_deferred(line: lines.RequestDeferred) -> str:
    """Describe a request that is deferred until prompts ahead of it have been read."""
    return (
        f"held for {line.hold_ms} ms: {line.upstream} and {line.helpers} still read "
        f"{line.reading_ahead_ms} ms of other prompts"
    )


@describer(lines.RequestWaiting)
def describe_waiting(line: lines.RequestWaiting) -> str:
    """Describe a request that waits for an upstream to accept work, or for its permit."""
    return f"waits for {line.wait_ms} ms: no upstream of {line.service} accepts work before"


@describer(lines.UpstreamLimitChanged)
def describe_limit(line: lines.UpstreamLimitChanged) -> str:
    """Describe what an upstream says of its rate limit, and who told of it."""
    told = "by an answer of its own" if line.source == "answer" else f"as {line.source} told"
    if line.rate is None:
        return f"{line.upstream} names no rate limit any more, {told}"
    return f"{line.upstream} accepts {line.rate:g} requests a second from all instances, {told}"


@describer(lines.UpstreamRefused)
def describe_refused(line: lines.UpstreamRefused) -> str:
    """Describe the refusal of a request by an upstream."""
    fault = "" if line.at_fault == line.upstream else f", because of {line.at_fault}"
    return f"{line.upstream} refused with status {line.status}{fault}; it has not run there"


@describer(lines.RequestCut)
def describe_cut(line: lines.RequestCut) -> str:
    """Describe how far the answer was when the upstream ended the connection."""
    parts = f"; its prompt shares {line.parts}" if line.parts else ""
    same = f"; sent again it has the fingerprint {line.fingerprint}" if line.fingerprint else ""
    return f"{line.upstream} ended the connection after {line.events} events{parts}{same}"


@describer(lines.RequestRefused)
def describe_refused_parts(line: lines.RequestRefused) -> str:
    """Describe a request that is not sent because it crashes upstreams."""
    blamed = f"prompts with {line.parts} crash upstreams"
    if line.fingerprint:
        blamed = f"requests with the fingerprint {line.fingerprint} crash upstreams"
    return f"not sent: {blamed}; refused for {line.retry_after_ms} ms"


@describer(lines.PartsCondemned)
def describe_condemned(line: lines.PartsCondemned) -> str:
    """Describe which parts are not sent any more, and by whose evidence."""
    told = _describe_source(line.source)
    return f"prompts with {line.parts} crash upstreams and are not sent any more, {told}"


@describer(lines.RequestsCondemned)
def describe_condemned_requests(line: lines.RequestsCondemned) -> str:
    """Describe which requests are not sent any more, and by whose evidence."""
    told = _describe_source(line.source)
    fingerprint = line.fingerprint
    return f"requests with the fingerprint {fingerprint} crash upstreams and are refused, {told}"


def _describe_source(source: str) -> str:
    return "by evidence of its own" if source == "own" else f"as {source} told"


NEXT_STEPS = {
    "place": "another upstream is looked for",
    "wait": "the silent upstream is waited for",
}


@describer(lines.AttemptEnded)
def describe_attempt(line: lines.AttemptEnded) -> str:
    """Describe a failed attempt and the next step."""
    where = f" at {line.upstream}" if line.upstream else ""
    following = NEXT_STEPS.get(line.next, f"the request ends as {line.next}")
    return f"attempt{where} came to nothing after {line.sends} sends: {line.reason}; {following}"


@describer(lines.AttemptSilent)
def describe_silence(line: lines.AttemptSilent) -> str:
    """Describe an upstream that is silent, and the next step."""
    following = NEXT_STEPS.get(line.next, line.next)
    return (
        f"{line.upstream} is silent for {line.silent_ms} ms after {line.sends} sends and is waited "
        f"for; {following}"
    )


@describer(lines.AttemptCancelled)
def describe_cancelled(line: lines.AttemptCancelled) -> str:
    """Describe an attempt that was cancelled because another upstream answers."""
    what = f"attempt at {line.upstream}" if line.upstream else "search for another upstream"
    return f"{what} cancelled: {line.answering} answers"


@describer(lines.RequestRejected)
def describe_rejected(line: lines.RequestRejected) -> str:
    """Describe a request that was answered without being forwarded."""
    return f"answered {line.status}: {line.reason} (configuration {line.configuration})"


OUTCOME_DESCRIPTIONS = {
    "whole": "the caller got the upstream's answer",
    "not_run": "the caller got 503 with the time to come back; no upstream has run it",
    "unknown": "the caller got a failure; an upstream may have run it",
    "timed_out": "the caller got 504; an upstream may have run it",
    "cut_off": "the caller's stream broke before its end",
    "caller_gone": "the caller left first",
}


@describer(lines.RequestEnded)
def describe_ended(line: lines.RequestEnded) -> str:
    """Describe the outcome of a request, and its times compared with the expected ones."""
    description = OUTCOME_DESCRIPTIONS.get(line.outcome, line.outcome)
    text = f"ended as {line.outcome}, {description}; {line.sends} sends, {line.total_ms} ms in all"
    if line.first_ms is None:
        return text
    return (
        f"{text}; first event after {line.first_ms} ms ({line.expected_first_ms} expected), "
        f"longest pause {line.longest_pause_ms} ms"
    )
