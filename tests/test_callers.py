"""Responses to requests that are invalid, too slow, too large or incomplete."""

import hashlib
import json
import socket
import threading
import time

import pytest
from pyrsistent import pmap

from lentilwell import SystemClock
from lentilwell._inventory import Engine, Inventory, Model, Team
from lentilwell.callers import CallersApp, CallersContext, PooledServer
from lentilwell.callers._completions import hash_prefix
from lentilwell.callers._team_keys import TeamKeys
from lentilwell.configuration import CallersSettings
from lentilwell.reducer import RequestArrived

KEY = "secret-key-of-team"
VALID_BODY = {"model": "m", "prompt": "hello", "max_tokens": 4}


class FakeTransfer:
    """Records the exchanges that are added to it."""

    open_exchanges = 0

    def __init__(self):
        self.exchanges = []

    def add_exchange(self, exchange):
        self.exchanges.append(exchange)


@pytest.fixture(scope="module")
def listener():
    clock = SystemClock()
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    inventory = Inventory(
        1,
        engines=pmap({"e": Engine("e", "http://127.0.0.1:1", "dc", ("m",), 1_000, 8)}),
        models=pmap({"m": Model("m", 1_000), "other": Model("other", 1_000)}),
        teams=pmap({"t": Team("t", 1, (digest,))}),
    )
    settings = CallersSettings(maximum_body_bytes=10_000, read_timeout_ms=600, workers=4)
    transfer, posted = FakeTransfer(), []
    context = CallersContext(
        lambda: inventory, transfer, None, posted.append, lambda _: None, lambda _: None
    )
    app = CallersApp(settings, clock, context)
    server = PooledServer("127.0.0.1", 0, app, settings.workers, settings.read_timeout_ms, clock)
    thread = threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True)
    thread.start()
    yield server, posted
    server.shutdown()
    server.server_close()
    thread.join()


def send_request(server, payload):
    with socket.create_connection(("127.0.0.1", server.port), timeout=10) as connection:
        connection.sendall(payload)
        data = b""
        while chunk := connection.recv(65_536):
            data += chunk
    return data


def build_request(body=b"", method="POST", path="/v1/completions", key=KEY, headers=()):
    lines = [f"{method} {path} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}", *headers]
    lines += [f"Authorization: Bearer {key}"] if key else []
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def read_error(data):
    head, _, body = data.partition(b"\r\n\r\n")
    error = json.loads(body)["error"]
    assert set(error) == {"type", "code", "message", "param"}
    return int(head.split()[1]), error["code"]


def encode_body(**changes):
    return json.dumps({**VALID_BODY, **changes}).encode()


@pytest.mark.parametrize(
    ("payload", "status", "code"),
    [
        (build_request(b"{not json"), 400, "invalid_request"),
        (build_request(b"\xff\xfe"), 400, "invalid_request"),
        (build_request(b""), 400, "invalid_request"),
        (build_request(b"[]"), 400, "invalid_request"),
        (build_request(encode_body(prompt=7)), 400, "invalid_request"),
        (build_request(encode_body(max_tokens=0)), 400, "invalid_request"),
        (build_request(encode_body(max_tokens=-5)), 400, "invalid_request"),
        (build_request(encode_body(max_tokens=10**30)), 400, "context_length_exceeded"),
        (build_request(encode_body(stream="yes")), 400, "invalid_request"),
        (build_request(encode_body(max_tokens=5_000)), 400, "context_length_exceeded"),
        (build_request(encode_body(model="absent")), 404, "model_not_found"),
        (build_request(encode_body(), key=None), 401, "invalid_api_key"),
        (build_request(encode_body(), key="wrong"), 401, "invalid_api_key"),
        (build_request(encode_body(), path="/v1/other"), 404, "not_found"),
        (build_request(encode_body(), method="DELETE"), 405, "method_not_allowed"),
        (build_request(b"", path="/v1/models"), 405, "method_not_allowed"),
        (build_request(encode_body(), headers=["X-Deadline-Ms: -1"]), 400, "invalid_request"),
        (build_request(encode_body(), headers=["X-Deadline-Ms: 1e9"]), 400, "invalid_request"),
        (
            build_request(encode_body(), headers=["X-Deadline-Ms: " + "9" * 40]),
            400,
            "invalid_request",
        ),
        (build_request(encode_body(), headers=["X-Deadline-Ms: ٣"]), 400, "invalid_request"),
        (build_request(b"x" * 20_000), 413, "body_too_large"),
        (build_request(b"x" * 20_000, key="wrong"), 401, "invalid_api_key"),
        (build_request(b"", headers=["X-Large: " + "x" * 70_000]), 431, "headers_too_large"),
        (build_request(b"", headers=[f"X-{n}: 1" for n in range(200)]), 431, "headers_too_large"),
        (b"GET /" + b"x" * 70_000 + b" HTTP/1.1\r\n\r\n", 431, "headers_too_large"),
        (b"nonsense\r\n\r\n", 400, "invalid_request"),
        (b"GET / HTTP/9.9\r\n\r\n", 400, "invalid_request"),
        (build_request(encode_body())[:-5], 408, "read_timeout"),
        (b"POST /v1/completions HTTP/1.1\r\nHost", 408, "read_timeout"),
    ],
)
def test_invalid_input_returns_a_typed_error(listener, payload, status, code):
    server, posted = listener
    previous_count = len(posted)
    data = send_request(server, payload)
    assert read_error(data) == (status, code)
    assert KEY.encode() not in data and len(posted) == previous_count


@pytest.mark.parametrize(
    ("path", "method", "allowed"),
    [
        ("/v1/chat/completions", "DELETE", b"POST"),
        ("/v1/completions", "GET", b"POST"),
        ("/v1/models", "POST", b"GET"),
    ],
)
def test_wrong_method_returns_the_allowed_method(listener, path, method, allowed):
    server, _ = listener
    head = send_request(server, build_request(b"", path=path, method=method)).split(b"\r\n\r\n")[0]
    assert head.startswith(b"HTTP/1.1 405") and b"\r\nAllow: " + allowed in head


def test_incomplete_chunked_body_is_rejected(listener):
    server, _ = listener
    head = build_request(key=KEY).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    assert read_error(send_request(server, head + b"10\r\n{"))[0] in (400, 408)


def test_slow_request_times_out_despite_progress(listener):
    server, _ = listener
    clock = SystemClock()
    started = clock.now()
    with socket.create_connection(("127.0.0.1", server.port), timeout=10) as connection:
        data = b""
        connection.settimeout(0.1)
        for byte in build_request(encode_body()):
            try:
                connection.sendall(bytes([byte]))
                data = connection.recv(65_536)
                break
            except TimeoutError:
                continue
    assert read_error(data) == (408, "read_timeout")
    assert clock.now() - started >= 600


def test_valid_request_is_posted_to_the_reducer(listener):
    server, posted = listener
    with socket.create_connection(("127.0.0.1", server.port), timeout=10) as connection:
        connection.sendall(build_request(encode_body(), headers=["X-Deadline-Ms: 999999999"]))
        for _ in range(200):
            if posted and isinstance(posted[-1], RequestArrived):
                break
            time.sleep(0.01)
    request = posted[-1].request
    assert (request.team, request.model, request.answer_tokens) == ("t", "m", 4)
    assert request.deadline_at - request.arrived_at == 1_800_000


def test_models_list_has_only_models_on_engines_of_the_team(listener):
    server, _ = listener
    data = send_request(server, build_request(method="GET", path="/v1/models"))
    listed = json.loads(data.partition(b"\r\n\r\n")[2])
    assert [model["id"] for model in listed["data"]] == ["m"]


def test_team_keys_follow_the_current_inventory():
    digests = [hashlib.sha256(key.encode()).hexdigest() for key in ("old", "new")]
    before, after = (
        Inventory(n, teams=pmap({"t": Team("t", 1, (digest,))})) for n, digest in enumerate(digests)
    )
    keys = TeamKeys()
    assert keys.find_team(before, "Bearer old").name == "t"
    assert keys.find_team(after, "Bearer old") is None
    assert keys.find_team(after, "bearer new").name == "t"
    assert keys.find_team(before, "Bearer new") is None
    for invalid_header in ("", "Bearer", "Bearer ", "Basic new", "new"):
        assert keys.find_team(after, invalid_header) is None


def test_prefix_hashes_differ_between_cache_groups():
    text = b"x" * 3 * 4_096
    assert len(hash_prefix(text, "a")) == 3
    assert not set(hash_prefix(text, "a")) & set(hash_prefix(text, "b"))


def test_closing_server_answers_the_connections_that_the_kernel_has_queued():
    def app(_environ, start_response):
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    server = PooledServer("127.0.0.1", 0, app, 2, 600, SystemClock())
    waiting = []
    for _ in range(10):
        waiting.append(socket.create_connection(("127.0.0.1", server.port), timeout=5))
        waiting[-1].sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    server.server_close()
    for connection in waiting:
        with connection, connection.makefile("rb") as answer:
            assert answer.read().endswith(b"\r\n\r\nok")
    server.server_close()
