"""Headers of forwarded answers, and error answers of the gateway itself."""

from __future__ import annotations

from lentilwell.gateway._caller_connection import CallerConnection
from lentilwell.gateway._messages import (
    JSON_TYPE,
    Headers,
    drop_headers,
    encode_error,
    format_retry_after,
)

FRAMING_HEADERS = frozenset((b"content-length",))


def drop_connection_headers(headers: Headers) -> Headers:
    """Return the headers without those that apply only to the upstream's connection."""
    return drop_headers(headers, FRAMING_HEADERS)


def answer_failure(
    caller: CallerConnection, status: int, reason: str, retry_after_ms: int | None
) -> None:
    """Answer with an error of the gateway itself, with ``Retry-After`` if a delay is given."""
    headers: Headers = (JSON_TYPE,)
    if retry_after_ms is not None:
        headers = (*headers, format_retry_after(retry_after_ms))
    caller.answer(status, headers, encode_error(reason))
