"""Answers and requests that break off after any of their bytes, at an entry instance."""

import contextlib
import socket
import threading

import msgspec
import pytest
from result import Err, Ok

from lentilwell import SystemClock
from lentilwell._errors import AnswerLost
from lentilwell._http import HttpCall, HttpFailure, send
from lentilwell._messages import Cause, LoadReport
from lentilwell.adapters import DIALECTS, HttpEngineControl
from lentilwell.callers import OperatorsApp, OperatorsContext, PooledServer
from lentilwell.configuration import PlatformSettings
from lentilwell.reducer import AttemptFailed
from tests.cutting import ENDS, CuttingServer, end_connection
from tests.test_services import KEY, Gateway, wait_for
from tests.test_transfer import COMPLETE, Rig, texts

TIMEOUT_MS = 5_000
# The streams that are cut one after the other, in one answer to a caller.
STREAM_CUT_STEP = 8
HELLO = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 12\r\nX-Last: 1\r\n\r\n"
CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Last: 1\r\n\r\n"
EMPTY = b"HTTP/1.1 200 OK\r\nX-Last: 1\r\nContent-Length: 0\r\n\r\n"
NOT_RUN = b"HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 2\r\n\r\n"
HELLO_CHUNKS = b"5\r\nhello\r\n0\r\n\r\n"
# The heads and the bodies of whole answers.
ANSWERS = {
    "by length": (HELLO, b"hello world!"),
    "by chunks": (CHUNKS, HELLO_CHUNKS),
    "empty": (EMPTY, b""),
    "no content": (b"HTTP/1.1 204 Done\r\nX-Last: 1\r\n\r\n", b""),
    "not found": (b"HTTP/1.1 404 No\r\nContent-Length: 2\r\n\r\n", b"no"),
    "not run": (NOT_RUN, b"no"),
    "without a reason": (b"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\n", b"ok"),
    "bare line ends": (b"HTTP/1.1 200 OK\nContent-Length: 2\n\n", b"ok"),
    "after 100": (b"HTTP/1.1 100 Continue\r\n\r\n" + HELLO, b"hello world!"),
    "after 103": (b"HTTP/1.1 103 X\r\nLink: x\r\n\r\n" + CHUNKS, HELLO_CHUNKS),
}
REFUSED = NOT_RUN + b"no"
SERVED = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Last: 1\r\n\r\ndone"


@contextlib.contextmanager
def run_server(answer, end="close"):
    """Run a server that answers so, until the test ends."""
    server = CuttingServer(answer, end)
    try:
        yield server
    finally:
        server.close()


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("name", ANSWERS)
@pytest.mark.parametrize(
    ("method", "kept"), [("GET", False), ("GET", True), ("POST", False), ("HEAD", True)]
)
def test_answer_cut_anywhere_is_not_an_answer(method, kept, name, end):
    """curl reports success for an answer whose connection was closed inside its head."""
    head, body = ANSWERS[name]
    answer = head if method == "HEAD" else head + body
    with run_server(answer, end) as server:
        call = HttpCall(method, server.url, timeout_ms=TIMEOUT_MS, new_connection=not kept)
        for cut in range(len(answer)):
            if kept:
                server.cut = None
                assert send(call).is_ok()
            server.cut = cut
            assert send(call) == Err(HttpFailure(sent=True)), answer[:cut]
        server.cut = None
        whole = send(call).unwrap()
        assert whole.status == int(head.rpartition(b"HTTP/")[2].split()[1])


@pytest.mark.parametrize("body", [b"", b"hello"])
def test_answer_without_a_length_ends_with_its_connection_but_not_with_a_reset(body):
    answer = b"HTTP/1.1 200 OK\r\nX-Last: 1\r\n\r\n" + body
    for end in ENDS:
        with run_server(answer, end) as server:
            server.cut = len(answer)
            result = send(HttpCall("GET", server.url, new_connection=True))
            assert result.is_ok() == (end == "close")


@pytest.mark.parametrize("status", [100, 101, 103])
def test_informational_answer_alone_is_not_an_answer(status):
    answer = b"HTTP/1.1 %d X\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" % status
    with run_server(answer) as server:
        server.cut = len(answer)
        result = send(HttpCall("GET", server.url, new_connection=True))
        assert result == Err(HttpFailure(sent=True))


@contextlib.contextmanager
def run_entry(*servers):
    """Run an entry instance before services that break off their answers."""
    gateway = Gateway(*servers)
    try:
        yield gateway
    finally:
        gateway.close()


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("answer", [SERVED, REFUSED], ids=["served", "refused"])
def test_call_that_may_run_once_is_never_answered_from_a_cut_answer(answer, end):
    with run_server(answer, end) as server, run_entry(server) as gateway:
        for cut in range(len(answer)):
            server.cut, server.requests = cut, []
            response = gateway.call("/services/records/note", "POST", b"1")
            assert response.code == "outcome_unknown", (answer[:cut], response)
            assert len(server.requests) == 1
            server.requests = []
            for expected in ("outcome_unknown", "outcome_pending"):
                response = gateway.post(f"key-{cut}")
                assert response.code == expected, (answer[:cut], response)
            assert len(server.requests) == 1


@pytest.mark.parametrize("end", ENDS)
def test_idempotent_call_is_answered_whole_by_another_instance_or_fails(end):
    with run_server(SERVED, end) as near, run_server(SERVED) as far:
        for cut in range(len(SERVED)):
            near.cut, far.cut = cut, None
            with run_entry(near, far) as gateway:
                response = gateway.call("/services/records/x")
                assert (response.status, response.body) == (200, b"done"), SERVED[:cut]
                far.cut = cut
                response = gateway.call("/services/records/x")
                assert response.code == "service_failed", (SERVED[:cut], response)


ROW = b'{"key":"k","value":"YQ==","version":3}'
CONFLICT = b'{"version":7}'


def make_answer(status, body=b""):
    """Return a whole answer with a JSON body."""
    head = b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n" % status
    return head + b"Content-Length: %d\r\nX-Last: 1\r\n\r\n" % len(body) + body


PLATFORM_CALLS = {
    "row read": (make_answer(200, ROW), lambda platform: platform.read_row("k")),
    "no row": (make_answer(404), lambda platform: platform.read_row("k")),
    "row written": (make_answer(200, CONFLICT), lambda platform: platform.write_row("k", b"a", 0)),
    "row deleted": (make_answer(200), lambda platform: platform.delete_row("k", 3)),
    "object read": (make_answer(200, b"a"), lambda platform: platform.get_object("k")),
    "object stored": (make_answer(200), lambda platform: platform.put_object("k", b"a")),
    "members": (make_answer(200, b'{"instances":[]}'), lambda platform: platform.list_members()),
}


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("name", PLATFORM_CALLS)
def test_cut_answer_of_the_platform_confirms_nothing(name, end):
    answer, call = PLATFORM_CALLS[name]
    with run_server(answer, end) as server:
        platform = DIALECTS["http"](PlatformSettings(server.url))
        check_confirms_only_whole(server, lambda: call(platform))


REFUSED_WRITES = {
    "conflict": make_answer(412, CONFLICT),
    "not done": make_answer(503),
    "too many calls": make_answer(429),
}


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("name", REFUSED_WRITES)
def test_write_whose_refusal_is_cut_may_have_taken_effect(name, end):
    answer = REFUSED_WRITES[name]
    with run_server(answer, end) as server:
        platform = DIALECTS["http"](PlatformSettings(server.url))
        for cut in range(len(answer)):
            server.cut = cut
            assert platform.write_row("k", b"a", 0) == Err(AnswerLost()), answer[:cut]
            assert platform.delete_row("k", 3) == Err(AnswerLost()), answer[:cut]
        server.cut = None
        assert platform.write_row("k", b"a", 0).unwrap_err() != AnswerLost()


REPORT = LoadReport("e", "1", 1, False, 10, 0, 1, (), ("m",))
ENGINE_CALLS = {
    "stream cancelled": (make_answer(200), lambda engines, url: engines.cancel_stream(url, "s")),
    "without content": (
        b"HTTP/1.1 204 X\r\nX-Last: 1\r\n\r\n",
        lambda engines, url: engines.cancel_stream(url, "s"),
    ),
    "priority": (make_answer(200), lambda engines, url: engines.change_priority(url, "s", 1)),
    "models": (make_answer(200), lambda engines, url: engines.set_models(url, 1, ("m",))),
    "cache": (
        make_answer(200, b'{"incarnation":"1","events":[]}'),
        lambda engines, url: engines.read_cache_events("e", url, 0),
    ),
    "report": (
        make_answer(200, msgspec.json.encode(REPORT)),
        lambda engines, url: engines.read_load("e", url),
    ),
}


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("name", ENGINE_CALLS)
def test_cut_answer_of_an_engine_confirms_nothing(name, end):
    answer, call = ENGINE_CALLS[name]
    with run_server(answer, end) as server:
        check_confirms_only_whole(server, lambda: call(HttpEngineControl(), server.url))


def check_confirms_only_whole(server, call):
    """Check that ``call`` succeeds with the whole answer and with no part of it."""
    for cut in range(len(server.answer)):
        server.cut = cut
        assert call().is_err(), server.answer[:cut]
    server.cut = None
    assert isinstance(call(), Ok)


REFUSED_STREAMS = {404: Cause.REFUSED, 409: Cause.REFUSED, 429: Cause.REFUSED, 503: Cause.LEAVING}


@contextlib.contextmanager
def run_transfer():
    """Run a transfer thread with one caller."""
    rig = Rig([])
    try:
        yield rig
    finally:
        rig.close()


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("status", REFUSED_STREAMS)
def test_refusal_of_a_stream_is_believed_only_with_its_whole_head(status, end):
    """A request that was refused goes on elsewhere outside the retry budget."""
    answer = make_answer(status, b"{}")
    with run_server(answer, end) as server, run_transfer() as rig:
        for cut in range(answer.index(b"\r\n\r\n") + 4):
            server.cut = cut
            rig.open(server.url)
            assert rig.next_event(AttemptFailed).cause is Cause.BROKEN, answer[:cut]
            rig.loop.drop_attempt("s")
        server.cut = len(answer)
        rig.open(server.url)
        assert rig.next_event(AttemptFailed).cause is REFUSED_STREAMS[status]
        assert not rig.exchange.buffer and rig.loop.open_exchanges == 1


@pytest.mark.parametrize("end", ENDS)
def test_stream_cut_anywhere_goes_on_with_each_token_once(end):
    head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nX-Last: 1\r\n\r\n"
    answer = head + "".join(COMPLETE).encode()
    for first in range(0, len(answer) - 1, STREAM_CUT_STEP):
        with run_server(answer, end) as server, run_transfer() as rig:
            for cut in range(first, first + STREAM_CUT_STEP):
                server.cut = min(cut, len(answer) - 1)
                rig.open(server.url)
                assert rig.next_event(AttemptFailed).cause is Cause.BROKEN, answer[:cut]
                rig.loop.drop_attempt("s")
            server.cut = len(answer)
            rig.open(server.url)
            data = rig.read_all()
            assert texts(data) == ["0 ", "1 ", "2 "] and data.endswith(b"0\r\n\r\n")


CALL_HEAD = f"POST /services/records/search HTTP/1.1\r\nAuthorization: Bearer {KEY}\r\n".encode()
CALLS = {
    "without a body": CALL_HEAD + b"X-Last: 1\r\n\r\n",
    "by length": CALL_HEAD + b"Content-Length: 12\r\nX-Last: 1\r\n\r\nhello world!",
    "by chunks": CALL_HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "with a key": CALL_HEAD.replace(b"search", b"refund")
    + b"Idempotency-Key: k\r\nContent-Length: 2\r\n\r\n{}",
}


@pytest.mark.parametrize("name", CALLS)
@pytest.mark.parametrize("end", [*ENDS, "half-close"])
def test_call_cut_anywhere_is_not_forwarded(end, name):
    """The end of the connection counted as the end of the call's headers."""
    payload = CALLS[name]
    with run_server(SERVED) as server, run_entry(server) as gateway:
        for cut in range(len(payload)):
            answer = send_cut(gateway.server.port, payload[:cut], end)
            assert not server.requests, payload[:cut]
            if end == "half-close" and cut:
                status = int(answer.split()[1])
                assert status in (400, 401, 408), (payload[:cut], answer)
            else:
                assert not answer
        wait_for(lambda: gateway.server._open_connections == 0)
        assert not server.requests
        assert send_cut(gateway.server.port, payload, "half-close").endswith(b"done")
        assert len(server.requests) == 1


@pytest.mark.parametrize("end", [*ENDS, "half-close"])
def test_drain_call_cut_anywhere_drains_nothing(end):
    drained = []
    context = OperatorsContext(lambda: True, dict, lambda: drained.append(1), None)
    server = PooledServer(
        "127.0.0.1", 0, OperatorsApp("token", context), 4, TIMEOUT_MS, SystemClock()
    )
    thread = threading.Thread(target=server.serve_forever, args=(0.02,), daemon=True)
    thread.start()
    payload = b"POST /drain HTTP/1.1\r\nAuthorization: Bearer token\r\nX-Last: 1\r\n\r\n"
    for cut in range(len(payload)):
        send_cut(server.port, payload[:cut], end)
        assert not drained, payload[:cut]
    assert send_cut(server.port, payload, "half-close").endswith(b"draining\n")
    server.shutdown()
    server.server_close()
    thread.join()
    assert drained == [1]


def send_cut(port, payload, end):
    """Send part of a request and end the connection; return what came back on a half-closed one."""
    with socket.create_connection(("127.0.0.1", port), timeout=10) as connection:
        connection.sendall(payload)
        if end != "half-close":
            end_connection(connection, end)
            return b""
        connection.shutdown(socket.SHUT_WR)
        answer = b""
        while received := connection.recv(65_536):
            answer += received
        return answer
