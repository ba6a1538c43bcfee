"""A stand-in model engine: it models prefill, batched decode, KV memory and priorities.

Streams live until they end or are cancelled; a closed connection does not end them. Times in the
model run ``--speed`` times faster than the wall clock.
"""

from __future__ import annotations

import json
import socket
import threading
import time
import uuid
from dataclasses import dataclass, field

from standins.answers import answer_seed, answer_token
from standins.web import (
    Call,
    DetachConnection,
    DropConnection,
    Reply,
    Server,
    build_parser,
    reply_json,
    serve,
)

STEP_S = 0.004
KEEP_ALIVE_S = 0.5
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n"
    b"Connection: close\r\nCache-Control: no-store\r\n\r\n"
)


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
    prefilled: float = 0.0
    generated: float = 0.0
    connection: socket.socket | None = None
    next_index: int = 0
    pending: bytes = b""
    ended: bool = False
    written_at: float = 0.0

    @property
    def ready(self) -> bool:
        """Tell whether the prefill is over."""
        return self.prefilled >= self.prefill_tokens


@dataclass
class Faults:
    """What the engine has been told to do wrong."""

    stall: bool = False
    refuse: bool = False
    mute_open: bool = False
    drop_requests: bool = False
    leaving: bool = False


@dataclass
class EngineModel:
    """The engine's state and its batch loop; ``lock`` guards all of it."""

    name: str
    speed: float
    prefill_rate: float
    decode_ms: float
    memory_tokens: int
    slots: int
    models: list[str]
    report_lag_s: float
    incarnation: str = field(default_factory=lambda: uuid.uuid4().hex[:8])
    lock: threading.Lock = field(default_factory=threading.Lock)
    streams: dict[str, Stream] = field(default_factory=dict)
    faults: Faults = field(default_factory=Faults)
    muted: set[str] = field(default_factory=set)
    sequence: int = 0
    reports: list[tuple[float, dict[str, object]]] = field(default_factory=list)
    fence: int = 0

    def memory_used(self) -> int:
        """Return the tokens of memory that live streams hold."""
        return sum(stream.memory_tokens for stream in self.streams.values())

    def step(self, elapsed_s: float) -> None:
        """Advance prefill by priority, then decode every ready stream, then write chunks."""
        if self.faults.stall:
            return
        budget = self.prefill_rate * elapsed_s * self.speed
        waiting = [s for s in self.streams.values() if not s.ready]
        for stream in sorted(waiting, key=lambda s: (s.priority, s.sequence)):
            spent = min(budget, stream.prefill_tokens - stream.prefilled)
            stream.prefilled += spent
            budget -= spent
            if budget <= 0:
                break
        decoded = elapsed_s * 1_000 * self.speed / self.decode_ms
        for stream in list(self.streams.values()):
            if stream.ready and stream.role == "lead":
                before = stream.generated
                limit = stream.answer_tokens
                stream.generated = min(limit, max(before, stream.first_index + 1) + decoded)
            self.write(stream)

    def write(self, stream: Stream) -> None:
        """Write what the reader of a stream has not had yet, without blocking."""
        if stream.connection is None or stream.stream in self.muted:
            return
        if not stream.pending:
            stream.pending = self.render(stream)
        now = time.monotonic()
        if not stream.pending and now - stream.written_at > KEEP_ALIVE_S:
            stream.pending = b"\n"
        try:
            if stream.pending:
                sent = stream.connection.send(stream.pending)
                stream.pending = stream.pending[sent:]
                stream.written_at = now
        except BlockingIOError:
            return
        except OSError:
            self.disconnect(stream)
            return
        if stream.ended and not stream.pending:
            self.disconnect(stream)
            self.streams.pop(stream.stream, None)

    def render(self, stream: Stream) -> bytes:
        """Return the lines for the tokens that are new to the reader."""
        if stream.role != "lead" or not stream.ready:
            return b""
        lines = []
        for index in range(stream.next_index, int(stream.generated)):
            text = answer_token(stream.seed, index)
            line = {"stream": stream.stream, "index": index, "text": text}
            lines.append(json.dumps(line, separators=(",", ":")))
        stream.next_index = max(stream.next_index, int(stream.generated))
        if int(stream.generated) >= stream.answer_tokens and not stream.ended:
            stream.ended = True
            lines.append(json.dumps({"stream": stream.stream, "end": "length"}))
        return ("\n".join(lines) + "\n").encode() if lines else b""

    def disconnect(self, stream: Stream) -> None:
        """Close the reader's connection; the stream itself lives on."""
        if stream.connection is not None:
            stream.connection.close()
        stream.connection = None
        stream.pending = b""

    def attach(self, stream: Stream, connection: socket.socket, index: int) -> None:
        """Give the stream's tokens from ``index`` on to this connection."""
        self.disconnect(stream)
        self.muted.discard(stream.stream)
        stream.connection = socket.socket(fileno=socket.dup(connection.fileno()))
        stream.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream.connection.setblocking(False)
        stream.next_index = index
        stream.ended = False
        stream.pending = STREAM_HEAD

    def report(self) -> dict[str, object]:
        """Return the load as of now."""
        self.sequence += 1
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
            "engine": self.name,
            "incarnation": self.incarnation,
            "sequence": self.sequence,
            "leaving": self.faults.leaving,
            "memory_tokens": self.memory_tokens,
            "memory_used": self.memory_used(),
            "slots": self.slots,
            "streams": streams,
            "models": self.models,
        }

    def lagged_report(self) -> dict[str, object]:
        """Return the newest report that is at least the lag old."""
        now = time.monotonic()
        self.reports.append((now, self.report()))
        old = [r for at, r in self.reports if at <= now - self.report_lag_s]
        self.reports = [(at, r) for at, r in self.reports if at >= now - 2 * self.report_lag_s]
        return old[-1] if old else self.reports[-1][1]

    def run(self) -> None:
        """Step for ever."""
        last = time.monotonic()
        while True:
            time.sleep(STEP_S)
            now = time.monotonic()
            with self.lock:
                self.step(now - last)
            last = now


def refuse(code: str, status: int) -> Reply:
    """Return a refusal: nothing was started."""
    return reply_json({"error": {"code": code}}, status)


def add_routes(server: Server, engine: EngineModel) -> None:
    """Register the engine's calls."""

    @server.route("POST", "/v1/streams")
    def open_stream(call: Call, connection: socket.socket) -> Reply:
        if engine.faults.drop_requests:
            raise DropConnection
        body = call.json()
        with engine.lock:
            if engine.faults.leaving:
                return refuse("leaving", 503)
            if engine.faults.refuse:
                return refuse("refused", 429)
            if body["stream"] in engine.streams:
                return refuse("stream_exists", 409)
            if body["model"] not in engine.models:
                return refuse("unknown_model", 404)
            if engine.memory_used() + body["memory_tokens"] > engine.memory_tokens:
                return refuse("no_memory", 429)
            if len(engine.streams) >= engine.slots:
                return refuse("no_slot", 429)
            engine.sequence += 1
            first = body["first_index"]
            stream = Stream(
                stream=body["stream"],
                owner=body["owner"],
                incarnation=body["incarnation"],
                role=body["role"],
                seed=answer_seed(body["model"], body["prompt"].encode()),
                priority=body["priority"],
                sequence=engine.sequence,
                memory_tokens=body["memory_tokens"],
                prefill_tokens=body["prefill_tokens"],
                first_index=first,
                answer_tokens=body["answer_tokens"],
                generated=first,
            )
            engine.streams[stream.stream] = stream
            engine.attach(stream, connection, first)
        raise DetachConnection

    @server.route("GET", "/v1/streams/")
    def resume_stream(call: Call, connection: socket.socket) -> Reply:
        with engine.lock:
            stream = engine.streams.get(call.rest)
            if stream is None:
                return refuse("unknown_stream", 404)
            engine.attach(stream, connection, int(call.query["from"]))
        raise DetachConnection

    @server.route("DELETE", "/v1/streams/")
    def cancel_stream(call: Call, _connection: socket.socket) -> Reply:
        with engine.lock:
            stream = engine.streams.pop(call.rest, None)
            if stream is not None:
                engine.disconnect(stream)
        return reply_json({"cancelled": stream is not None})

    @server.route("PATCH", "/v1/streams/")
    def change_priority(call: Call, _connection: socket.socket) -> Reply:
        with engine.lock:
            stream = engine.streams.get(call.rest)
            if stream is not None:
                stream.priority = int(call.json()["priority"])
        return reply_json({"changed": stream is not None})

    @server.route("GET", "/v1/load")
    def read_load(_call: Call, _connection: socket.socket) -> Reply:
        with engine.lock:
            return reply_json(engine.lagged_report())

    @server.route("POST", "/control")
    def control(call: Call, _connection: socket.socket) -> Reply:
        with engine.lock:
            for name, value in call.json().items():
                setattr(engine.faults, name, value)
            if engine.faults.mute_open:
                engine.muted |= set(engine.streams)
        return reply_json({})

    @server.route("GET", "/invariants")
    def read_invariants(_call: Call, _connection: socket.socket) -> Reply:
        with engine.lock:
            used = engine.memory_used()
            return reply_json({"streams": len(engine.streams), "memory_used": used})


def main() -> None:
    """Run one engine."""
    parser = build_parser(__doc__ or "")
    parser.add_argument("--speed", type=float, default=1.0)
    parser.add_argument("--prefill-rate", type=float, default=20_000.0, help="tokens a second")
    parser.add_argument("--decode-ms", type=float, default=20.0, help="ms between tokens")
    parser.add_argument("--memory-tokens", type=int, default=450_000)
    parser.add_argument("--slots", type=int, default=64)
    parser.add_argument("--models", default="assistant")
    parser.add_argument("--report-lag-ms", type=int, default=200)
    options = parser.parse_args()
    engine = EngineModel(
        name=options.name,
        speed=options.speed,
        prefill_rate=options.prefill_rate,
        decode_ms=options.decode_ms,
        memory_tokens=options.memory_tokens,
        slots=options.slots,
        models=options.models.split(","),
        report_lag_s=options.report_lag_ms / 1_000,
    )
    server = Server(options.port)
    add_routes(server, engine)
    threading.Thread(target=engine.run, daemon=True).start()
    serve(server)


if __name__ == "__main__":
    main()
