"""The story of one request, put together from the log lines of several instances. Pure."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, fields
from datetime import datetime, timedelta
from typing import TypeVar

import msgspec

from lentilwell import _log_lines as lines
from lentilwell._log_lines import LINES, Line

# What changed shortly before a request arrived may explain where it went.
LEAD_MS = 2_000


@dataclass(frozen=True)
class LoggedLine:
    """One line as an instance wrote it."""

    at: datetime
    instance: str
    line: Line


@dataclass(frozen=True)
class Story:
    """The lines about a request, and those that tell what its instances believed meanwhile."""

    request: str
    arrived_at: datetime
    lines: tuple[LoggedLine, ...]


class _Head(msgspec.Struct):
    at: datetime
    instance: str
    event: str


def parse_line(text: str) -> LoggedLine | None:
    """Return the line in a text, which may begin with what a log collector puts before it.

    None stands for texts that are no line of a gateway.
    """
    data = text[text.find("{") :].encode()
    try:
        head = msgspec.json.decode(data, type=_Head)
        kind = LINES[head.event]
        line = msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, KeyError):
        return None
    return LoggedLine(head.at, head.instance, line)


def find_story(request: str, logged: Sequence[LoggedLine]) -> Story | None:
    """Return the story of a request, None where no line names it."""
    own = [one for one in logged if is_about(one.line, request)]
    if not own:
        return None
    arrived_at = min(find_arrival(one) for one in own)
    begin = arrived_at - timedelta(milliseconds=LEAD_MS)
    end = max(one.at for one in own)
    upstreams = {name for one in own for name in list_upstreams(one.line)}
    instances = {one.instance for one in own}
    told = [
        one
        for one in logged
        if is_about(one.line, request)
        or (one.instance in instances and begin <= one.at <= end and concerns(one.line, upstreams))
    ]
    return Story(request, arrived_at, tuple(sorted(told, key=lambda one: one.at)))


def is_about(line: Line, request: str) -> bool:
    """Tell whether a line names this request."""
    return getattr(line, "request", None) == request


def find_arrival(logged: LoggedLine) -> datetime:
    """Return when the request had arrived at the latest, by one of its lines."""
    if isinstance(logged.line, lines.RequestEnded):
        return logged.at - timedelta(milliseconds=logged.line.total_ms)
    return logged.at


def list_upstreams(line: Line) -> list[str]:
    """Return the upstreams that a request's line names."""
    names = [getattr(line, "upstream", ""), getattr(line, "at_fault", "")]
    if isinstance(line, lines.RequestPlaced | lines.RequestHeld):
        names += line.helpers.split()
    return [name for name in names if name]


def concerns(line: Line, upstreams: set[str]) -> bool:
    """Tell whether a line about beliefs may explain what happened at these upstreams."""
    if isinstance(line, _EVER_CONCERN):
        return True
    return not hasattr(line, "request") and getattr(line, "upstream", None) in upstreams


_EVER_CONCERN = (
    lines.ConfigurationInForce,
    lines.ConfigurationKept,
    lines.DependencyLost,
    lines.DependencyRegained,
    lines.PeerSilent,
    lines.Started,
    lines.StopBegun,
    lines.StoreRestoreSeen,
    lines.TaskFailed,
)

_LineT = TypeVar("_LineT", bound=Line)
TELLERS: dict[type[Line], Callable[[Line], str]] = {}


def teller(kind: type[_LineT]) -> Callable[[Callable[[_LineT], str]], Callable[[_LineT], str]]:
    """Register the function that puts a kind of line into words."""

    def register(tell: Callable[[_LineT], str]) -> Callable[[_LineT], str]:
        TELLERS[kind] = tell  # type: ignore[assignment]
        return tell

    return register


def tell_line(line: Line) -> str:
    """Return a line in words; kinds without words of their own show their fields."""
    tell = TELLERS.get(type(line))
    if tell is not None:
        return tell(line)
    shown = " ".join(f"{field.name}={getattr(line, field.name)}" for field in fields(line))
    return f"{line.event}: {shown}" if shown else line.event


def render_story(story: Story) -> Sequence[str]:
    """Return the story as lines of text, with the time since the request's arrival."""
    rows = [f"request {story.request} arrived at {story.arrived_at.isoformat()}"]
    for one in story.lines:
        since_ms = round((one.at - story.arrived_at) / timedelta(milliseconds=1))
        rows.append(f"{since_ms:+7d} ms  {one.instance}  {tell_line(one.line)}")
    return rows


@teller(lines.RequestPlaced)
def tell_placed(line: lines.RequestPlaced) -> str:
    """Tell where a request was to go, and by what knowledge."""
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


@teller(lines.RequestHeld)
def tell_held(line: lines.RequestHeld) -> str:
    """Tell that a request waits for others to be read."""
    return (
        f"held for {line.hold_ms} ms: {line.upstream} and {line.helpers} still read "
        f"{line.reading_ahead_ms} ms of other prompts"
    )


@teller(lines.UpstreamRefused)
def tell_refused(line: lines.UpstreamRefused) -> str:
    """Tell that an upstream did not run a request."""
    fault = "" if line.at_fault == line.upstream else f", because of {line.at_fault}"
    return f"{line.upstream} refused with status {line.status}{fault}; it has not run there"


@teller(lines.AttemptEnded)
def tell_attempt(line: lines.AttemptEnded) -> str:
    """Tell how an attempt ended and what followed."""
    where = f" at {line.upstream}" if line.upstream else ""
    following = "another upstream is looked for"
    if line.next != "place":
        following = f"the request ends as {line.next}"
    return f"attempt{where} came to nothing after {line.sends} sends: {line.reason}; {following}"


@teller(lines.RequestRejected)
def tell_rejected(line: lines.RequestRejected) -> str:
    """Tell that a request was not forwarded."""
    return f"answered {line.status}: {line.reason} (configuration {line.configuration})"


MEANINGS = {
    "whole": "the caller got the upstream's answer",
    "not_run": "the caller got 503 with the time to come back; no upstream has run it",
    "unknown": "the caller got a failure; an upstream may have run it",
    "timed_out": "the caller got 504; an upstream may have run it",
    "cut_off": "the caller's stream broke before its end",
    "caller_gone": "the caller left first",
}


@teller(lines.RequestEnded)
def tell_ended(line: lines.RequestEnded) -> str:
    """Tell the end of a request, with its times against what was expected."""
    meaning = MEANINGS.get(line.outcome, line.outcome)
    told = f"ended as {line.outcome}, {meaning}; {line.sends} sends, {line.total_ms} ms in all"
    if line.first_ms is None:
        return told
    return (
        f"{told}; first event after {line.first_ms} ms ({line.expected_first_ms} expected), "
        f"longest pause {line.longest_pause_ms} ms"
    )
