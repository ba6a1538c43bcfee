"""The model of the stand-in engine, with prioritized prefill, batched decoding, memory and faults.

Time in the model runs ``speed`` times faster than the wall clock. A stream exists until it finishes
or is cancelled, also while no connection reads it.
"""

from __future__ import annotations

import json
import socket
import threading
import time
import uuid
from dataclasses import asdict, dataclass, field

from standins.cache import BLOCK_TOKENS, PrefixCache
from standins.stream import EngineOptions, Faults, Stream, render_token

STEP_S = 0.005
MAX_STEP_S = 1.0
KEEP_ALIVE_S = 0.5
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n"
    b"Connection: close\r\nCache-Control: no-store\r\n\r\n"
)


@dataclass
class EngineModel:
    """The state of an engine and its batch loop; ``lock`` guards all fields."""

    options: EngineOptions
    models: tuple[str, ...]
    report_lag_ms: int
    incarnation: str = field(default_factory=lambda: uuid.uuid4().hex[:8])
    lock: threading.Condition = field(default_factory=threading.Condition)
    streams: dict[str, Stream] = field(default_factory=dict)
    cache: PrefixCache = field(default_factory=PrefixCache)
    faults: Faults = field(default_factory=Faults)
    muted: set[str] = field(default_factory=set)
    fence: int = 0
    opened_streams: int = 0
    report_sequence: int = 0
    peak_memory: int = 0
    unknown_cancels: int = 0
    violations: list[str] = field(default_factory=list)
    prefill_busy_s: float = 0.0
    tokens_written: int = 0
    recent_reports: list[tuple[float, dict[str, object]]] = field(default_factory=list)

    @classmethod
    def make(cls, options: EngineOptions) -> EngineModel:
        """Return an idle engine."""
        return cls(options, options.models, options.report_lag_ms)

    def memory_used(self) -> int:
        """Return the memory reserved by streams, in tokens; the cache may use the rest."""
        return sum(stream.memory_tokens for stream in self.streams.values())

    def cache_capacity(self) -> int:
        """Return the memory that the cache may use, in tokens."""
        return self.options.memory_tokens - self.memory_used()

    def add(self, stream: Stream) -> None:
        """Add a stream that fits into memory, reuse its cached prefix and shrink the cache."""
        with self.lock:
            self.opened_streams += 1
            stream.sequence = self.opened_streams
            reused = min(
                self.cache.match_prefix(stream.block_hashes) * BLOCK_TOKENS,
                stream.prefill_tokens - 1,
            )
            stream.prefilled = max(0.0, reused)
            self.streams[stream.stream] = stream
            self.cache.shrink(self.cache_capacity())
            self.check_memory()
            self.lock.notify_all()

    def check_memory(self) -> None:
        """Record the peak memory use, and a violation if it exceeds the engine's memory."""
        used_tokens = self.memory_used() + self.cache.tokens
        self.peak_memory = max(self.peak_memory, used_tokens)
        if used_tokens > self.options.memory_tokens:
            self.violations.append(f"memory {used_tokens} of {self.options.memory_tokens}")

    def remove(self, name: str) -> bool:
        """Remove a stream and free its memory; return whether it existed."""
        stream = self.streams.pop(name, None)
        if stream is None:
            self.unknown_cancels += 1
            return False
        self.muted.discard(name)
        self.disconnect(stream)
        return True

    def run(self) -> None:
        """Advance the model in a loop; wait while there are no streams."""
        last = time.monotonic()
        while True:
            with self.lock:
                while not self.streams:
                    self.lock.wait()
                    last = time.monotonic()
            time.sleep(STEP_S)
            now = time.monotonic()
            with self.lock:
                self.step(min(MAX_STEP_S, now - last))
            last = now

    def step(self, elapsed_s: float) -> None:
        """Advance prefill and decoding by the elapsed wall time, then write new tokens."""
        if self.faults.stall:
            return
        elapsed = elapsed_s * self.options.speed * self.faults.slow
        prefilling = self.prefill(elapsed)
        self.prefill_busy_s += elapsed_s if prefilling else 0.0
        self.decode(elapsed, prefilling)
        now = time.monotonic()
        for stream in list(self.streams.values()):
            if stream.connection is not None and stream.stream not in self.muted:
                self.write(stream, now)

    def prefill(self, elapsed: float) -> bool:
        """Prefill waiting prompts by priority and age; return whether there were any."""
        waiting = [s for s in self.streams.values() if not s.prefill_done]
        budget = self.options.prefill_rate * elapsed
        for stream in sorted(waiting, key=lambda s: (s.priority, s.sequence)):
            spent = min(budget, stream.prefill_tokens - stream.prefilled)
            stream.prefilled += spent
            budget -= spent
            if stream.prefill_done and stream.block_hashes:
                self.cache.store(stream.block_hashes, self.cache_capacity())
                self.check_memory()
            if budget <= 0:
                break
        return bool(waiting)

    def decode(self, elapsed: float, prefilling: bool) -> None:
        """Generate tokens for all decoding streams; the first token of each takes no time."""
        batch = [s for s in self.streams.values() if s.decoding]
        options = self.options
        factor = 1 + options.batch_slowdown * (len(batch) - 1)
        factor *= 1 + options.prefill_slowdown if prefilling else 1
        decoded = elapsed * 1_000 / (options.decode_ms * factor)
        for stream in batch:
            if stream.generated < stream.first_index + 1:
                stream.generated = min(stream.answer_tokens, stream.first_index + 1)
            else:
                stream.generated = min(stream.answer_tokens, stream.generated + decoded)

    def write(self, stream: Stream, now: float) -> None:
        """Send a stream's new tokens, or a newline as keep-alive, without blocking."""
        if not stream.unsent and stream.decoding:
            stream.unsent = self.render(stream)
        if not stream.unsent:
            if now - stream.written_at <= KEEP_ALIVE_S:
                return
            stream.unsent = b"\n"
        assert stream.connection is not None
        try:
            sent = stream.connection.send(stream.unsent)
        except BlockingIOError:
            return
        except OSError:
            self.disconnect(stream)
            return
        stream.unsent = stream.unsent[sent:]
        stream.written_at = now
        if stream.ended and not stream.unsent:
            self.disconnect(stream)
            self.streams.pop(stream.stream, None)

    def render(self, stream: Stream) -> bytes:
        """Return the lines for tokens that have not been rendered yet, with faults applied."""
        generated_count = int(stream.generated)
        finished = generated_count >= stream.answer_tokens
        if generated_count <= stream.next_index and not finished:
            return b""
        lines: list[str] = []
        for index in range(stream.next_index, generated_count):
            lines += self.apply_line_faults(stream, render_token(stream.stream, stream.seed, index))
        self.tokens_written += max(0, generated_count - stream.next_index)
        stream.next_index = max(stream.next_index, generated_count)
        if finished and not stream.ended:
            stream.ended = True
            lines.append(stream.delayed_line)
            lines.append(json.dumps({"stream": stream.stream, "end": "length"}) + "\n")
        return "".join(lines).encode()

    def apply_line_faults(self, stream: Stream, line: str) -> list[str]:
        """Return the lines to send in place of one line, according to the active faults."""
        faults = self.faults
        delayed_line, stream.delayed_line = stream.delayed_line, ""
        lines = [line, delayed_line]
        if faults.repeat > 0:
            faults.repeat -= 1
            lines = [line, line, delayed_line]
        elif faults.skip > 0:
            faults.skip -= 1
            lines = [delayed_line]
        elif faults.reorder > 0 and not delayed_line:
            faults.reorder -= 1
            stream.delayed_line = line
            lines = []
        elif faults.cross > 0:
            faults.cross -= 1
            others = [s for s in self.streams.values() if s is not stream] or [stream]
            foreign_line = render_token(others[0].stream + "-x", others[0].seed, stream.next_index)
            lines = [foreign_line, line, delayed_line]
        return lines

    def disconnect(self, stream: Stream) -> None:
        """Close the connection that reads a stream, but keep the stream."""
        if stream.connection is not None:
            stream.connection.close()
        stream.connection = None
        stream.unsent = b""
        stream.delayed_line = ""

    def cut_connections(self) -> None:
        """Close the connections of all streams that have sent a token."""
        for stream in self.streams.values():
            if stream.next_index > stream.first_index:
                self.disconnect(stream)

    def attach(self, stream: Stream, connection: socket.socket, index: int) -> None:
        """Send the tokens of a stream from ``index`` on to this connection."""
        self.disconnect(stream)
        self.muted.discard(stream.stream)
        stream.connection = socket.socket(fileno=socket.dup(connection.fileno()))
        stream.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream.connection.setblocking(False)
        stream.next_index = index
        stream.ended = False
        stream.unsent = STREAM_HEAD

    def make_report(self) -> dict[str, object]:
        """Return a report of the current load."""
        self.report_sequence += 1
        streams = [
            {
                "stream": s.stream,
                "owner": s.owner,
                "incarnation": s.incarnation,
                "memory_tokens": s.memory_tokens,
                "prompt_tokens": int(s.prefill_tokens),
                "prefilled_tokens": int(s.prefilled),
                "generated_tokens": int(s.generated),
            }
            for s in self.streams.values()
        ]
        return {
            "engine": self.options.name,
            "incarnation": self.incarnation,
            "sequence": self.report_sequence,
            "leaving": self.faults.leaving,
            "memory_tokens": self.options.memory_tokens,
            "memory_used": self.memory_used(),
            "slots": self.options.slots,
            "streams": streams,
            "models": self.models,
        }

    def make_lagged_report(self) -> dict[str, object]:
        """Make a report, and return the newest one that is at least ``report_lag_ms`` old."""
        now = time.monotonic()
        min_age_s = self.report_lag_ms / 1_000
        self.recent_reports.append((now, self.make_report()))
        while len(self.recent_reports) > 1 and self.recent_reports[1][0] <= now - min_age_s:
            self.recent_reports.pop(0)
        return self.recent_reports[0][1]

    def describe_stream(self, stream: Stream) -> str:
        """Return a description of a stream for reports of memory leaks."""
        return f"{stream.stream} {stream.role} of {stream.memory_tokens} on {self.options.name}"

    def describe(self) -> dict[str, object]:
        """Return the counters and streams for a check of the invariants."""
        return {
            "streams": len(self.streams),
            "names": [self.describe_stream(stream) for stream in self.streams.values()],
            "memory_used": self.memory_used(),
            "cache_tokens": self.cache.tokens,
            "memory_tokens": self.options.memory_tokens,
            "peak_memory": self.peak_memory,
            "unknown_cancels": self.unknown_cancels,
            "violations": self.violations,
            "opened": self.opened_streams,
            "prefill_busy_s": self.prefill_busy_s,
            "tokens_written": self.tokens_written,
            "faults": asdict(self.faults),
        }
