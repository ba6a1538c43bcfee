"""Options, streams and faults of the stand-in engine's model."""

from __future__ import annotations

import socket
from dataclasses import dataclass

from standins.answers import answer_token


@dataclass(frozen=True)
class EngineOptions:
    """Capacity and timing of an engine; times and rates are in model time, before ``speed``.

    ``prefill_rate`` is in tokens per second. ``decode_ms``, the time between tokens of a single
    stream, grows by the fraction ``batch_slowdown`` for each further stream in the batch, and by
    the fraction ``prefill_slowdown`` during prefill. Load reports are at least ``report_lag_ms``
    old, in wall time.
    """

    name: str
    speed: float = 1.0
    prefill_rate: float = 20_000.0
    decode_ms: float = 20.0
    batch_slowdown: float = 0.002
    prefill_slowdown: float = 0.2
    memory_tokens: int = 450_000
    slots: int = 64
    models: tuple[str, ...] = ("assistant",)
    report_lag_ms: int = 200
    load_ms: float = 0.0
    checks_fencing: bool = False


@dataclass
class Stream:
    """A stream in the engine, its progress and the connection that reads it, if any."""

    stream: str
    owner: str
    incarnation: str
    role: str
    seed: str
    priority: int
    sequence: int
    memory_tokens: int
    prefill_tokens: float
    first_index: int
    answer_tokens: int
    block_hashes: tuple[int, ...] = ()
    segments_ready: bool = True
    prefilled: float = 0.0
    generated: float = 0.0
    connection: socket.socket | None = None
    next_index: int = 0
    unsent: bytes = b""
    delayed_line: str = ""
    ended: bool = False
    written_at: float = 0.0

    @property
    def prefill_done(self) -> bool:
        """Return whether this engine has prefilled its part of the prompt."""
        return self.prefilled >= self.prefill_tokens

    @property
    def decoding(self) -> bool:
        """Return whether the stream is in the batch that generates tokens."""
        return self.role == "lead" and self.prefill_done and self.segments_ready


@dataclass
class Faults:
    """Faults that ``/control`` sets by name.

    ``slow`` is a factor on the speed. The integers are the numbers of following lines that are
    repeated, skipped, swapped with the next one, or preceded by a line of another stream.
    """

    stall: bool = False
    refuse: bool = False
    mute_open: bool = False
    drop_requests: bool = False
    leaving: bool = False
    lost_reports: bool = False
    slow: float = 1.0
    repeat: int = 0
    skip: int = 0
    reorder: int = 0
    cross: int = 0


def render_token(stream: str, seed: str, index: int) -> str:
    """Return the JSON line of one token."""
    return f'{{"stream":"{stream}","index":{index},"text":"{answer_token(seed, index)}"}}\n'
