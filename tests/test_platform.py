"""The platform's HTTP client: which failure it returns for each fault of the platform."""

import json
import socket
import threading

import pytest
from result import Err, Ok

from lentilwell._errors import AnswerLost, NotFound, Unavailable, VersionConflict
from lentilwell._ports import Row
from lentilwell.adapters._platform import HttpPlatform
from lentilwell.configuration import PlatformSettings
from standins.deployment import call
from standins.platform import Store, add_routes
from standins.web import Server

TIMEOUT_MS = 300


class PlatformHarness:
    """A stand-in platform on its own thread, and a client for it."""

    def __init__(self):
        self.store, self.server = Store(), Server(0)
        add_routes(self.server, self.store)
        self.url = f"http://127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()
        self.client = HttpPlatform(PlatformSettings(self.url, timeout_ms=TIMEOUT_MS))

    def control(self, path="/control", **values):
        call("POST", self.url + path, json.dumps(values).encode())


@pytest.fixture
def platform():
    harness = PlatformHarness()
    yield harness
    harness.server.shutdown()
    harness.server.server_close()


def test_rows_are_written_only_with_the_expected_version(platform):
    client = platform.client
    assert client.read_row("a.1") == Ok(None)
    assert client.write_row("a.1", b"\0\xff", 0) == Ok(Row("a.1", b"\0\xff", 1))
    assert client.write_row("a.1", b"x", 0) == Err(VersionConflict(1))
    assert client.write_row("a.1", b"y", 1).unwrap().version == 2
    assert client.read_row("a.1") == Ok(Row("a.1", b"y", 2))
    assert client.write_row("b", b"", 0).is_ok()
    assert [row.key for row in client.scan_rows("a.").unwrap()] == ["a.1"]
    assert [row.key for row in client.scan_rows("", after="a.1", limit=1).unwrap()] == ["b"]
    assert client.delete_row("b", 7) == Err(VersionConflict(1))
    assert client.delete_row("b", 1) == Ok(None)
    assert client.get_object("o") == Err(NotFound())
    assert client.put_object("o", b"\0").is_ok() and client.get_object("o") == Ok(b"\0")


@pytest.mark.parametrize(
    ("fault", "failure", "written"),
    [
        ({"down": True}, AnswerLost(), False),
        ({"refuse_percent": 100}, Unavailable(), False),
        ({"lose_answers": 2}, AnswerLost(), True),
        ({"late_writes": 2}, AnswerLost(), False),
        ({"delay_ms": TIMEOUT_MS * 2}, AnswerLost(), None),
    ],
)
def test_failure_says_whether_a_write_may_have_taken_effect(platform, fault, failure, written):
    platform.control(**fault)
    result = platform.client.write_row("k", b"v", 0)
    assert result == Err(failure)
    if written is not None:
        assert ("k" in platform.store.rows) is written


def test_silent_connection_times_out_and_a_new_one_works(platform):
    client = platform.client
    assert client.write_row("k", b"v", 0).is_ok()
    platform.control("/silence")
    assert client.write_row("k", b"w", 1) == Err(AnswerLost())
    assert client.write_row("k", b"w", 1).is_ok()


def test_curl_retries_on_a_closed_pooled_connection(platform):
    client = platform.client
    assert client.read_row("k").is_ok()
    platform.control(lose_answers=1)
    assert client.write_row("k", b"v", 0) == Err(VersionConflict(1)), "conflicts with first try"


HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: "
BAD_ROW = b'{"key": "k", "value": "*", "version": 1}'


@pytest.mark.parametrize(
    "answer", [b"", HEAD + b"1\r\n\r\n{", b"?\r\n", HEAD + b"40\r\n\r\n" + BAD_ROW]
)
def test_malformed_answer_is_a_failure(answer):
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve():
            for _ in range(2):
                connection, _ = listener.accept()
                with connection:
                    connection.recv(65_536)
                    connection.sendall(answer)

        threading.Thread(target=serve, daemon=True).start()
        url = f"http://127.0.0.1:{listener.getsockname()[1]}"
        client = HttpPlatform(PlatformSettings(url, timeout_ms=TIMEOUT_MS))
        assert client.read_row("k") == Err(Unavailable())
        result = client.write_row("k", b"v", 0)
        assert result == Err(AnswerLost()) or answer.endswith(BAD_ROW)


def test_unreachable_platform_wrote_nothing():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    client = HttpPlatform(PlatformSettings(f"http://127.0.0.1:{port}", timeout_ms=TIMEOUT_MS))
    assert client.write_row("k", b"v", 0) == Err(Unavailable())
