"""The platform's client: what each fault means for what was or was not written."""

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


class Running:
    """The stand-in platform on a thread, and a client with a new pool of connections."""

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
    running = Running()
    yield running
    running.server.shutdown()
    running.server.server_close()


def test_rows_are_written_under_their_version_only(platform):
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
def test_fault_tells_whether_a_write_may_have_taken_effect(platform, fault, failure, written):
    platform.control(**fault)
    told = platform.client.write_row("k", b"v", 0)
    assert told == Err(failure)
    if written is not None:
        assert ("k" in platform.store.rows) is written


def test_silent_connection_is_given_up_and_a_new_one_works(platform):
    client = platform.client
    assert client.write_row("k", b"v", 0).is_ok()
    platform.control("/silence")
    assert client.write_row("k", b"w", 1) == Err(AnswerLost())
    assert client.write_row("k", b"w", 1).is_ok()


def test_closed_pooled_connection_is_healed_below(platform):
    client = platform.client
    assert client.read_row("k").is_ok()
    platform.control(lose_answers=1)
    assert client.write_row("k", b"v", 0) == Err(VersionConflict(1)), "refused by its own first try"


HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: "
BAD_ROW = b'{"key": "k", "value": "*", "version": 1}'


@pytest.mark.parametrize(
    "answer", [b"", HEAD + b"1\r\n\r\n{", b"?\r\n", HEAD + b"40\r\n\r\n" + BAD_ROW]
)
def test_nonsense_is_never_taken_for_an_answer(answer):
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
        told = client.write_row("k", b"v", 0)
        assert told == Err(AnswerLost()) or answer.endswith(BAD_ROW)


def test_unreachable_platform_wrote_nothing():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    client = HttpPlatform(PlatformSettings(f"http://127.0.0.1:{port}", timeout_ms=TIMEOUT_MS))
    assert client.write_row("k", b"v", 0) == Err(Unavailable())
