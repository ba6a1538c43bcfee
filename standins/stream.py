"""The parts of the stand-in engine's model: its constants, one stream, and the faults."""

from __future__ import annotations

import socket
from dataclasses import dataclass

from standins.answers import answer_token


@dataclass(frozen=True)
class EngineOptions:
    """The constants of one engine's model. Rates are in model time, before ``speed``.

    The time between tokens grows by ``batch_slowdown`` for each further stream in the batch, and
    by ``prefill_slowdown`` while a prefill runs.
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
    """One stream in the engine, with the model's progress and the socket that reads it."""

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
        """Tell whether this engine's part of the prompt is read."""
        return self.prefilled >= self.prefill_tokens

    @property
    def decoding(self) -> bool:
        """Tell whether the stream is in the batch that generates tokens."""
        return self.role == "lead" and self.prefill_done and self.segments_ready


@dataclass
class Faults:
    """What the engine has been told to do wrong; the counts are of lines still to spoil."""

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
    """Return the line of one token."""
    return f'{{"stream":"{stream}","index":{index},"text":"{answer_token(seed, index)}"}}\n'
