"""Blocking HTTP calls with pycurl. A failure tells whether any bytes may have been sent."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass
from io import BytesIO

import pycurl
from result import Err, Ok, Result

_thread_local = threading.local()

MAX_POOLED_IDLE_S = 20
_CURL_HEADERS = ("Expect", "Content-Type", "Accept", "User-Agent")
_EMPTY_LINES = (b"\r\n", b"\n")
_MIN_FINAL_STATUS = 200

Guard = Callable[[], bool]


@dataclass(frozen=True)
class HttpAnswer:
    """A complete answer. Headers are in the order received, with their names unchanged."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True)
class HttpFailure:
    """No complete answer was received.

    ``sent`` is False only if it is certain that no byte of the request was sent. ``refused`` is
    True if the guard of the call returned False.
    """

    sent: bool
    refused: bool = False


@dataclass(frozen=True)
class HttpCall:
    """An HTTP call.

    With ``new_connection``, the call opens a new connection and closes it afterwards. ``target``
    replaces the path and query of the URL and is sent unchanged. If the body of the answer is
    longer than ``max_body_bytes``, the call fails.
    """

    method: str
    url: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    timeout_ms: int = 1_500
    connect_timeout_ms: int = 500
    new_connection: bool = False
    target: str = ""
    max_body_bytes: int = 67_108_864


class ReceivedHead:
    """The head of an answer, as far as curl has passed its lines on.

    ``lines`` also has the heads of 1xx answers before it and the trailers after its body.
    ``status`` is the status of the last status line, 0 before the first. ``whole`` is true once the
    empty line that ends the head of a final answer has arrived. curl itself reports success for an
    answer whose connection is closed after the status line.
    """

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.status = 0
        self.whole = False

    def add_line(self, line: bytes) -> None:
        """Add a line with its line ending."""
        self.lines.append(line)
        if line.startswith(b"HTTP/"):
            self.status = int(line.split(b" ", 2)[1])
            self.whole = False
        elif line in _EMPTY_LINES:
            self.whole = self.status >= _MIN_FINAL_STATUS


class _Receiver:
    """Collects one answer. A body longer than ``max_bytes`` aborts the transfer."""

    def __init__(self, max_bytes: int) -> None:
        self.head = ReceivedHead()
        self.body = BytesIO()
        self._max_bytes = max_bytes

    def write(self, data: bytes) -> int:
        if self.body.tell() + len(data) > self._max_bytes:
            return 0
        return self.body.write(data)


class _SendGuard:
    """Calls the guard just before curl sends the first byte, and records the decision."""

    def __init__(self, guard: Guard | None) -> None:
        self._guard = guard
        self.sent = False
        self.refused = False

    def allow_send(self, *_addresses: object) -> int:
        if self._guard is not None and not self._guard():
            self.refused = True
            return int(pycurl.PREREQFUNC_ABORT)
        self.sent = True
        return int(pycurl.PREREQFUNC_OK)


def send(call: HttpCall, guard: Guard | None = None) -> Result[HttpAnswer, HttpFailure]:
    """Make a call and wait for the complete answer.

    ``guard`` is called when the connection is open and before the first byte is sent. If it returns
    False, nothing is sent. Without ``new_connection``, the call uses this thread's pooled
    connections, on which curl may resend it. Only with ``new_connection`` is a call sent at most
    once.
    """
    curl = pycurl.Curl() if call.new_connection else _thread_curl()
    curl.reset()
    receiver = _Receiver(call.max_body_bytes)
    send_guard = _SendGuard(guard)
    try:
        set_common_options(curl, call)
        curl.setopt(pycurl.TIMEOUT_MS, call.timeout_ms)
        curl.setopt(pycurl.WRITEFUNCTION, receiver.write)
        curl.setopt(pycurl.HEADERFUNCTION, receiver.head.add_line)
        curl.setopt(pycurl.PREREQFUNCTION, send_guard.allow_send)
        curl.perform()
    except (pycurl.error, ValueError, TypeError):
        return Err(HttpFailure(send_guard.sent, send_guard.refused))
    finally:
        if call.new_connection:
            curl.close()
    head = receiver.head
    if not head.whole:
        return Err(HttpFailure(send_guard.sent, send_guard.refused))
    return Ok(HttpAnswer(head.status, parse_headers(head.lines), receiver.body.getvalue()))


def set_common_options(curl: pycurl.Curl, call: HttpCall) -> None:
    """Set the curl options that all HTTP calls of this package use."""
    curl.setopt(pycurl.URL, call.url)
    if call.body or call.method in ("POST", "PUT", "PATCH"):
        _set_body(curl, call.body)
    curl.setopt(pycurl.CUSTOMREQUEST, call.method)
    if call.method == "HEAD":
        curl.setopt(pycurl.NOBODY, 1)
    if call.target:
        curl.setopt(pycurl.REQUEST_TARGET, call.target.encode("latin-1"))
    lines = [f"{name}: {value}" if value else f"{name};" for name, value in call.headers]
    explicit = {name.lower() for name, _ in call.headers}
    lines += [f"{name}:" for name in _CURL_HEADERS if name.lower() not in explicit]
    curl.setopt(pycurl.HTTPHEADER, [line.encode("latin-1") for line in lines])
    curl.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP | pycurl.PROTO_HTTPS)
    curl.setopt(pycurl.NOPROXY, "*")
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.TCP_NODELAY, 1)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, call.connect_timeout_ms)
    curl.setopt(pycurl.MAXAGE_CONN, MAX_POOLED_IDLE_S)
    if call.new_connection:
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)


def _set_body(curl: pycurl.Curl, body: bytes) -> None:
    """Set the body. pycurl cannot copy a body that contains NUL bytes; it is read like a file."""
    curl.setopt(pycurl.POSTFIELDSIZE, len(body))
    if b"\0" not in body:
        curl.setopt(pycurl.COPYPOSTFIELDS, body)
        return
    source = BytesIO(body)
    curl.setopt(pycurl.POST, 1)
    curl.setopt(pycurl.READFUNCTION, source.read)
    curl.setopt(pycurl.SEEKFUNCTION, lambda offset, origin: source.seek(offset, origin) and None)


def parse_headers(lines: list[bytes]) -> tuple[tuple[str, str], ...]:
    """Parse the header lines that curl received, and return the headers of the last answer."""
    headers: list[tuple[str, str]] = []
    for line in lines:
        text = line.decode("latin-1").rstrip("\r\n")
        if text.startswith("HTTP/"):
            headers = []
        elif ":" in text:
            name, _, value = text.partition(":")
            headers.append((name, value.strip()))
    return tuple(headers)


def _thread_curl() -> pycurl.Curl:
    curl: pycurl.Curl | None = getattr(_thread_local, "curl", None)
    if curl is None:
        curl = pycurl.Curl()
        _thread_local.curl = curl
    return curl
