"""Blocking HTTP calls through pycurl; a failure says whether anything may have been sent."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from io import BytesIO

import pycurl
from result import Err, Ok, Result

_local = threading.local()

_NOT_SENT = (
    pycurl.E_COULDNT_RESOLVE_HOST,
    pycurl.E_COULDNT_CONNECT,
    pycurl.E_URL_MALFORMAT,
)


@dataclass(frozen=True)
class HttpAnswer:
    """A whole answer; header names are as received, in order."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True)
class HttpFailure:
    """No whole answer came. ``sent`` is False only when not a byte can have left."""

    sent: bool


@dataclass(frozen=True)
class HttpCall:
    """One call. A ``fresh`` call opens a connection of its own and closes it."""

    method: str
    url: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    timeout_ms: int = 1_500
    connect_timeout_ms: int = 500
    fresh: bool = False


def send(call: HttpCall) -> Result[HttpAnswer, HttpFailure]:
    """Make one call on this thread's handle and wait for the whole answer."""
    curl = pycurl.Curl() if call.fresh else _thread_handle()
    curl.reset()
    body = BytesIO()
    header_lines: list[bytes] = []
    prepare(curl, call)
    curl.setopt(pycurl.TIMEOUT_MS, call.timeout_ms)
    curl.setopt(pycurl.WRITEFUNCTION, body.write)
    curl.setopt(pycurl.HEADERFUNCTION, header_lines.append)
    try:
        curl.perform()
    except pycurl.error as error:
        return Err(HttpFailure(sent=not _never_sent(curl, error.args[0])))
    finally:
        status = curl.getinfo(pycurl.RESPONSE_CODE)
        if call.fresh:
            curl.close()
    return Ok(HttpAnswer(status, parse_headers(header_lines), body.getvalue()))


def prepare(curl: pycurl.Curl, call: HttpCall) -> None:
    """Set what every call of ours has in common."""
    curl.setopt(pycurl.URL, call.url)
    curl.setopt(pycurl.CUSTOMREQUEST, call.method)
    if call.body or call.method in ("POST", "PUT", "PATCH"):
        curl.setopt(pycurl.POSTFIELDSIZE, len(call.body))
        curl.setopt(pycurl.COPYPOSTFIELDS, call.body)
    if call.method == "HEAD":
        curl.setopt(pycurl.NOBODY, 1)
    lines = [f"{name}: {value}" if value else f"{name};" for name, value in call.headers]
    given = {name.lower() for name, _ in call.headers}
    lines += [
        f"{name}:" for name in ("Expect", "Content-Type", "Accept") if name.lower() not in given
    ]
    curl.setopt(pycurl.HTTPHEADER, lines)
    curl.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP | pycurl.PROTO_HTTPS)
    curl.setopt(pycurl.NOPROXY, "*")
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.TCP_NODELAY, 1)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, call.connect_timeout_ms)
    if call.fresh:
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)


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


def _never_sent(curl: pycurl.Curl, code: object) -> bool:
    if code in _NOT_SENT:
        return True
    return code == pycurl.E_OPERATION_TIMEDOUT and curl.getinfo(pycurl.CONNECT_TIME) == 0


def _thread_handle() -> pycurl.Curl:
    curl: pycurl.Curl | None = getattr(_local, "curl", None)
    if curl is None:
        curl = pycurl.Curl()
        _local.curl = curl
    return curl
