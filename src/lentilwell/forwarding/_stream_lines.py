"""Checks the lines of an engine's stream: each token once, in order, and none missing. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from lentilwell._messages import Cause
from lentilwell.adapters import StreamLine

MAX_LINE_BYTES = 65_536

_decode_line = msgspec.json.Decoder(StreamLine).decode


@dataclass(frozen=True)
class ReceivedLines:
    """What received bytes contain: the next tokens, then the end of the stream or a failure.

    ``finish_reason`` is empty unless the stream has ended.
    """

    texts: tuple[str, ...] = ()
    finish_reason: str = ""
    failure: Cause | None = None


class StreamLines:
    """Splits the bytes of one stream into lines.

    ``is_primary`` marks the stream of the engine that sends the answer's tokens. Lines of other
    engines, of other streams and of tokens that were received before are dropped.
    """

    def __init__(self, stream: str, is_primary: bool) -> None:
        self._stream = stream
        self._is_primary = is_primary
        self._partial_line = b""

    def read(self, data: bytes, next_index: int, answer_tokens: int) -> ReceivedLines:
        """Return what the next bytes contain.

        ``next_index`` is the index of the next token. ``answer_tokens`` is the number of tokens of
        the whole answer, unless the end line has another count.
        """
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        received = self._read_lines([line for line in lines if line], next_index, answer_tokens)
        ended = received.finish_reason or received.failure is not None
        if not ended and len(self._partial_line) > MAX_LINE_BYTES:
            return ReceivedLines(received.texts, failure=Cause.BROKEN)
        return received

    def _read_lines(self, lines: list[bytes], next_index: int, answer_tokens: int) -> ReceivedLines:
        texts: list[str] = []
        for raw in lines:
            line = _parse_line(raw)
            if line is None:
                return ReceivedLines(failure=Cause.BROKEN)
            if line.stream != self._stream or not self._is_primary:
                continue
            expected_index = next_index + len(texts)
            if line.end:
                expected_tokens = line.tokens if line.tokens >= 0 else answer_tokens
                failure = None if expected_index == expected_tokens else Cause.GAP
                return ReceivedLines(tuple(texts), line.end, failure)
            if line.index > expected_index:
                return ReceivedLines(failure=Cause.GAP)
            if line.index == expected_index:
                texts.append(line.text)
        return ReceivedLines(tuple(texts))


def _parse_line(raw: bytes) -> StreamLine | None:
    try:
        return _decode_line(raw)
    except (msgspec.DecodeError, RecursionError):
        return None
