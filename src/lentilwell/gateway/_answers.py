"""Answers as they go to callers: those of upstreams, and failures of the gateway's own."""

from __future__ import annotations

from lentilwell.gateway._caller_connection import CallerConnection
from lentilwell.gateway._messages import JSON_TYPE, Headers, drop_headers, encode_error

FRAMING_HEADERS = frozenset((b"content-length",))


def drop_connection_headers(headers: Headers) -> Headers:
    """Return the headers of an answer without those that concern one connection."""
    return drop_headers(headers, FRAMING_HEADERS)


def answer_failure(
    caller: CallerConnection, status: int, reason: str, retry_after_ms: int | None
) -> None:
    """Answer with a failure of the gateway's own."""
    headers: Headers = (JSON_TYPE,)
    if retry_after_ms is not None:
        headers = (*headers, (b"Retry-After", f"{retry_after_ms / 1_000:.3f}".encode()))
    caller.answer(status, headers, encode_error(reason))
