"""Checking the lines of an engine's stream: whose they are, in which order, and the end."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from lentilwell._engines import StreamLine
from lentilwell._messages import Cause

_decode_line = msgspec.json.Decoder(StreamLine).decode


@dataclass(frozen=True)
class Expected:
    """What a stream has to bring next: its id, the index, and the tokens asked for in all."""

    stream: str
    next_index: int
    answer_tokens: int


@dataclass(frozen=True)
class Checked:
    """The next tokens in order; ``end`` is the finish reason, ``fault`` why the answer broke."""

    texts: tuple[str, ...] = ()
    end: str = ""
    fault: Cause | None = None


def check_lines(lines: Iterable[bytes], expected: Expected) -> Checked:
    """Return the new tokens among the lines.

    Lines of another stream and repeated indexes are dropped, empty lines only keep alive. A gap, an
    end that comes too early and a line that cannot be read are faults.
    """
    texts: list[str] = []
    for raw in lines:
        if not raw:
            continue
        line = _parse_line(raw)
        if line is None:
            return Checked(fault=Cause.BROKEN)
        if line.stream != expected.stream:
            continue
        index = expected.next_index + len(texts)
        if line.end:
            whole = line.tokens if line.tokens >= 0 else expected.answer_tokens
            fault = None if index == whole else Cause.GAP
            return Checked(tuple(texts), line.end, fault)
        if line.index > index:
            return Checked(fault=Cause.GAP)
        if line.index == index:
            texts.append(line.text)
    return Checked(tuple(texts))


def _parse_line(raw: bytes) -> StreamLine | None:
    try:
        return _decode_line(raw)
    except msgspec.DecodeError:
        return None
