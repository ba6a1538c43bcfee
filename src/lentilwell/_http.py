"""Blocking HTTP calls through pycurl; a failure says whether anything may have been sent."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass
from io import BytesIO

import pycurl
from result import Err, Ok, Result

_local = threading.local()

POOLED_IDLE_S = 20
_CURL_HEADERS = ("Expect", "Content-Type", "Accept", "User-Agent")

Guard = Callable[[], bool]


@dataclass(frozen=True)
class HttpAnswer:
    """A whole answer; header names are as received, in order."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True)
class HttpFailure:
    """No whole answer came. ``sent`` is False only when not a byte can have left.

    ``refused`` tells that the guard said no.
    """

    sent: bool
    refused: bool = False


@dataclass(frozen=True)
class HttpCall:
    """One call. A ``fresh`` call opens a connection of its own and closes it.

    ``target`` replaces the URL's path and query on the wire, byte for byte. An answer with a body
    above ``maximum_body_bytes`` counts as no answer.
    """

    method: str
    url: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    timeout_ms: int = 1_500
    connect_timeout_ms: int = 500
    fresh: bool = False
    target: str = ""
    maximum_body_bytes: int = 67_108_864


class _Receiver:
    """Gathers one answer; a body above its limit breaks the transfer off."""

    def __init__(self, limit_bytes: int) -> None:
        self.header_lines: list[bytes] = []
        self.body = BytesIO()
        self._limit_bytes = limit_bytes

    def write(self, data: bytes) -> int:
        if self.body.tell() + len(data) > self._limit_bytes:
            return 0
        return self.body.write(data)


class _Watch:
    """Knows whether a byte of the request may have left: curl asks right before the first one."""

    def __init__(self, guard: Guard | None) -> None:
        self._guard = guard
        self.sent = False
        self.refused = False

    def ask(self, *_addresses: object) -> int:
        if self._guard is not None and not self._guard():
            self.refused = True
            return int(pycurl.PREREQFUNC_ABORT)
        self.sent = True
        return int(pycurl.PREREQFUNC_OK)


def send(call: HttpCall, guard: Guard | None = None) -> Result[HttpAnswer, HttpFailure]:
    """Make one call and wait for the whole answer.

    ``guard`` is asked once the connection is open and before the first byte leaves; where it says
    no, nothing is sent. A call that is not ``fresh`` goes over this thread's pooled connections,
    and curl may repeat it there by itself: only a ``fresh`` one is sent at most once.
    """
    curl = pycurl.Curl() if call.fresh else _thread_handle()
    curl.reset()
    receiver = _Receiver(call.maximum_body_bytes)
    watch = _Watch(guard)
    try:
        prepare(curl, call)
        curl.setopt(pycurl.TIMEOUT_MS, call.timeout_ms)
        curl.setopt(pycurl.WRITEFUNCTION, receiver.write)
        curl.setopt(pycurl.HEADERFUNCTION, receiver.header_lines.append)
        curl.setopt(pycurl.PREREQFUNCTION, watch.ask)
        curl.perform()
        status = curl.getinfo(pycurl.RESPONSE_CODE)
    except (pycurl.error, ValueError, TypeError):
        return Err(HttpFailure(watch.sent, watch.refused))
    finally:
        if call.fresh:
            curl.close()
    return Ok(HttpAnswer(status, parse_headers(receiver.header_lines), receiver.body.getvalue()))


def prepare(curl: pycurl.Curl, call: HttpCall) -> None:
    """Set what every call of ours has in common."""
    curl.setopt(pycurl.URL, call.url)
    if call.body or call.method in ("POST", "PUT", "PATCH"):
        _set_body(curl, call.body)
    curl.setopt(pycurl.CUSTOMREQUEST, call.method)
    if call.method == "HEAD":
        curl.setopt(pycurl.NOBODY, 1)
    if call.target:
        curl.setopt(pycurl.REQUEST_TARGET, call.target.encode("latin-1"))
    lines = [f"{name}: {value}" if value else f"{name};" for name, value in call.headers]
    given = {name.lower() for name, _ in call.headers}
    lines += [f"{name}:" for name in _CURL_HEADERS if name.lower() not in given]
    curl.setopt(pycurl.HTTPHEADER, [line.encode("latin-1") for line in lines])
    curl.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP | pycurl.PROTO_HTTPS)
    curl.setopt(pycurl.NOPROXY, "*")
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.TCP_NODELAY, 1)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, call.connect_timeout_ms)
    curl.setopt(pycurl.MAXAGE_CONN, POOLED_IDLE_S)
    if call.fresh:
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)


def _set_body(curl: pycurl.Curl, body: bytes) -> None:
    """Set the body; pycurl copies no bytes with a zero among them, so those are read as a file."""
    curl.setopt(pycurl.POSTFIELDSIZE, len(body))
    if b"\0" not in body:
        curl.setopt(pycurl.COPYPOSTFIELDS, body)
        return
    source = BytesIO(body)
    curl.setopt(pycurl.POST, 1)
    curl.setopt(pycurl.READFUNCTION, source.read)
    curl.setopt(pycurl.SEEKFUNCTION, lambda offset, origin: source.seek(offset, origin) and None)


def parse_headers(lines: list[bytes]) -> tuple[tuple[str, str], ...]:
    """Return the headers of the last answer among the lines curl has seen."""
    headers: list[tuple[str, str]] = []
    for line in lines:
        text = line.decode("latin-1").rstrip("\r\n")
        if text.startswith("HTTP/"):
            headers = []
        elif ":" in text:
            name, _, value = text.partition(":")
            headers.append((name, value.strip()))
    return tuple(headers)


def _thread_handle() -> pycurl.Curl:
    curl: pycurl.Curl | None = getattr(_local, "curl", None)
    if curl is None:
        curl = pycurl.Curl()
        _local.curl = curl
    return curl
