"""Answers as they go to callers: those of upstreams, and failures of the gateway's own."""

from __future__ import annotations

from lentilwell.gateway._caller import Caller
from lentilwell.gateway._failures import LinkBroken
from lentilwell.gateway._link import FindPatience, Link, wait_for_good
from lentilwell.gateway._messages import Headers, drop_headers

LONGEST_BODY_BYTES = 16_777_216
FRAMING = frozenset((b"content-length",))


def clean_headers(headers: Headers) -> Headers:
    """Return the headers of an answer without those that concern one connection."""
    return drop_headers(headers, FRAMING)


def answer_failure(caller: Caller, status: int, reason: str, retry_after_ms: int | None) -> None:
    """Answer with a failure of the gateway's own."""
    headers: Headers = ((b"Content-Type", b"application/json"),)
    if retry_after_ms is not None:
        headers = (*headers, (b"Retry-After", f"{retry_after_ms / 1_000:.3f}".encode()))
    caller.answer(status, headers, b'{"error":"%s"}' % reason.encode())


async def read_body(link: Link, find_patience: FindPatience = wait_for_good) -> bytes:
    """Return the whole body of an answer; raise ``LinkBroken`` where it is cut or too long."""
    parts: list[bytes] = []
    size = 0
    while (data := await link.read_data(find_patience)) is not None:
        parts.append(data)
        size += len(data)
        if size > LONGEST_BODY_BYTES:
            raise LinkBroken(f"the answer is longer than {LONGEST_BODY_BYTES} bytes")
    return b"".join(parts)
