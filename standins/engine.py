"""A stand-in model engine over HTTP; ``standins.model`` holds what it models."""

from __future__ import annotations

import json
import socket
import threading
import time
import urllib.request
from collections.abc import Sequence
from dataclasses import asdict

import msgspec

from standins.answers import answer_seed
from standins.cache import BLOCK_TOKENS, hash_blocks
from standins.model import EngineModel
from standins.stream import EngineOptions, Stream
from standins.web import (
    DetachConnection,
    DropConnection,
    Request,
    Response,
    Server,
    build_parser,
    json_response,
    serve,
)

SEGMENT_POLL_S = 0.02
SEGMENT_TIMEOUT_S = 1.0


class OpenBody(msgspec.Struct):
    """The body of a request to open a stream.

    ``prefix``, unless empty, is used in place of the hashes of the prompt's blocks.
    """

    stream: str
    owner: str
    incarnation: str
    role: str
    model: str
    prompt: str
    first_index: int
    answer_tokens: int
    prefill_tokens: int
    memory_tokens: int
    priority: int
    continued: str = ""
    segments: tuple[str, ...] = ()
    prefix: tuple[int, ...] = ()


def refuse(code: str, status: int) -> Response:
    """Return an error response of a request that has started nothing."""
    return json_response({"error": {"code": code}}, status)


def make_stream(body: OpenBody) -> Stream:
    """Return a new stream as described by the body."""
    prompt = body.prompt.encode()
    block_hashes = body.prefix or hash_blocks(prompt)
    return Stream(
        stream=body.stream,
        owner=body.owner,
        incarnation=body.incarnation,
        role=body.role,
        seed=answer_seed(body.model, prompt),
        priority=body.priority,
        sequence=0,
        memory_tokens=body.memory_tokens,
        prefill_tokens=body.prefill_tokens,
        first_index=body.first_index,
        answer_tokens=body.answer_tokens,
        block_hashes=(
            block_hashes[: body.prefill_tokens // BLOCK_TOKENS] if body.role == "lead" else ()
        ),
        segments_ready=not body.segments,
        generated=body.first_index,
    )


def find_refusal(engine: EngineModel, body: OpenBody) -> Response | None:
    """Return an error response if the stream can not be opened, otherwise None."""
    if engine.faults.leaving:
        return refuse("leaving", 503)
    if engine.faults.refuse:
        return refuse("refused", 429)
    if body.stream in engine.streams:
        return refuse("stream_exists", 409)
    if body.model not in engine.models:
        return refuse("unknown_model", 404)
    if engine.memory_used() + body.memory_tokens > engine.options.memory_tokens:
        return refuse("no_memory", 429)
    if len(engine.streams) >= engine.options.slots:
        return refuse("no_slot", 429)
    return None


def watch_segments(engine: EngineModel, stream: Stream, urls: Sequence[str]) -> None:
    """Let a primary decode only while the other engines of its span report their prefill done.

    Runs until the stream ends, and polls less often once all are done.
    """
    while stream.stream in engine.streams:
        ready = all(is_segment_ready(url, stream.stream) for url in urls)
        stream.segments_ready = ready
        time.sleep(SEGMENT_POLL_S * (10 if ready else 1))


def is_segment_ready(url: str, stream: str) -> bool:
    """Ask another engine of the span whether it has prefilled its segment."""
    try:
        with urllib.request.urlopen(
            f"{url}/v1/streams/{stream}/status", timeout=SEGMENT_TIMEOUT_S
        ) as answer:
            return bool(json.loads(answer.read())["prefilled"])
    except (OSError, ValueError):
        return False


def add_routes(server: Server, engine: EngineModel) -> None:
    """Register all routes of the engine."""
    add_stream_routes(server, engine)
    add_report_routes(server, engine)
    add_control_routes(server, engine)


def add_stream_routes(server: Server, engine: EngineModel) -> None:
    """Register the routes that open, resume, cancel and reprioritize streams."""

    @server.route("POST", "/v1/streams")
    def open_stream(request: Request, connection: socket.socket) -> Response:
        if engine.faults.drop_requests:
            raise DropConnection
        body = msgspec.json.decode(request.body, type=OpenBody)
        stream = make_stream(body)
        with engine.lock:
            refusal = find_refusal(engine, body)
            if refusal is not None:
                return refusal
            engine.add(stream)
            engine.attach(stream, connection, body.first_index)
        if body.segments:
            watch_arguments = (engine, stream, body.segments)
            threading.Thread(target=watch_segments, args=watch_arguments, daemon=True).start()
        raise DetachConnection

    @server.route("GET", "/v1/streams/")
    def resume_stream(request: Request, connection: socket.socket) -> Response:
        name, _, rest = request.remaining_path.partition("/")
        with engine.lock:
            stream = engine.streams.get(name)
            if stream is None:
                return refuse("unknown_stream", 404)
            if rest == "status":
                return json_response({"prefilled": stream.prefill_done})
            if engine.faults.drop_requests:
                raise DropConnection
            engine.attach(stream, connection, int(request.query["from"]))
        raise DetachConnection

    @server.route("DELETE", "/v1/streams/")
    def cancel_stream(request: Request, _connection: socket.socket) -> Response:
        if engine.faults.drop_requests:
            raise DropConnection
        with engine.lock:
            return json_response({"cancelled": engine.remove(request.remaining_path)})

    @server.route("PATCH", "/v1/streams/")
    def change_priority(request: Request, _connection: socket.socket) -> Response:
        with engine.lock:
            stream = engine.streams.get(request.remaining_path)
            if stream is not None:
                stream.priority = int(request.json()["priority"])
        return json_response({"changed": stream is not None})


def add_report_routes(server: Server, engine: EngineModel) -> None:
    """Register the routes for load reports, cache events and model orders."""

    @server.route("GET", "/v1/load")
    def read_load(_request: Request, _connection: socket.socket) -> Response:
        if engine.faults.lost_reports or engine.faults.drop_requests:
            raise DropConnection
        with engine.lock:
            report = engine.make_lagged_report()
        return json_response(report)

    @server.route("GET", "/v1/cache")
    def read_cache(request: Request, _connection: socket.socket) -> Response:
        with engine.lock:
            events = engine.cache.list_events_after(int(request.query.get("after", "0")))
        batch = {"incarnation": engine.incarnation, "events": [asdict(event) for event in events]}
        return json_response(batch)

    @server.route("POST", "/v1/orders")
    def handle_order(request: Request, _connection: socket.socket) -> Response:
        order = request.json()
        with engine.lock:
            if engine.options.checks_fencing and order["fence"] < engine.fence:
                return refuse("old_fence", 409)
            engine.fence = order["fence"]
            ordered_models = tuple(order["models"])
            engine.models = tuple(name for name in ordered_models if name in engine.models)
        threading.Thread(target=load_models, args=(engine, ordered_models), daemon=True).start()
        return json_response({"fence": engine.fence})


def load_models(engine: EngineModel, ordered_models: tuple[str, ...]) -> None:
    """Serve the ordered models after the load time, unless another order arrived meanwhile."""
    fence = engine.fence
    time.sleep(engine.options.load_ms / 1_000 / engine.options.speed)
    with engine.lock:
        if engine.fence == fence:
            engine.models = ordered_models


def add_control_routes(server: Server, engine: EngineModel) -> None:
    """Register the routes that set faults and report invariants."""

    @server.route("POST", "/control")
    def control(request: Request, _connection: socket.socket) -> Response:
        with engine.lock:
            for name, value in request.json().items():
                set_fault(engine, name, value)
            if engine.faults.mute_open:
                engine.muted |= set(engine.streams)
                engine.faults.mute_open = False
        return json_response({})

    @server.route("GET", "/invariants")
    def read_invariants(_request: Request, _connection: socket.socket) -> Response:
        with engine.lock:
            engine.check_memory()
            return json_response(engine.describe())


def set_fault(engine: EngineModel, name: str, value: object) -> None:
    """Set a fault by name; ``cut`` and ``clear_cache`` take effect once, immediately."""
    if name == "cut":
        engine.cut_connections()
    elif name == "clear_cache":
        engine.cache.shrink(0)
    elif name == "drop_cache_events":
        engine.cache.events_to_drop = int(str(value))
    elif name == "report_lag_ms":
        engine.report_lag_ms = int(str(value))
    else:
        getattr(engine.faults, name)
        setattr(engine.faults, name, value)


def read_options() -> tuple[int, EngineOptions]:
    """Return the port and the engine options from the command line."""
    parser = build_parser(__doc__ or "")
    default = EngineOptions("")
    parser.add_argument("--speed", type=float, default=default.speed)
    parser.add_argument(
        "--prefill-rate", type=float, default=default.prefill_rate, help="tokens a second"
    )
    parser.add_argument(
        "--decode-ms", type=float, default=default.decode_ms, help="ms between tokens"
    )
    parser.add_argument("--batch-slowdown", type=float, default=default.batch_slowdown)
    parser.add_argument("--prefill-slowdown", type=float, default=default.prefill_slowdown)
    parser.add_argument("--memory-tokens", type=int, default=default.memory_tokens)
    parser.add_argument("--slots", type=int, default=default.slots)
    parser.add_argument("--models", default=",".join(default.models))
    parser.add_argument("--report-lag-ms", type=int, default=default.report_lag_ms)
    parser.add_argument("--load-ms", type=float, default=default.load_ms)
    parser.add_argument("--checks-fencing", action="store_true")
    values = vars(parser.parse_args())
    port = values.pop("port")
    values["models"] = tuple(values["models"].split(","))
    return port, EngineOptions(**values)


def main() -> None:
    """Run an engine until it is stopped."""
    port, options = read_options()
    engine = EngineModel.make(options)
    server = Server(port)
    add_routes(server, engine)
    threading.Thread(target=engine.run, daemon=True).start()
    serve(server)


if __name__ == "__main__":
    main()
