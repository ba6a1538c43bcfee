"""The size and the framing of a caller's request head. Pure."""

from __future__ import annotations

from lentilwell.gateway._messages import Headers, find_header

# ": " and CRLF, which each header line has besides its name and its value.
HEADER_SEPARATOR_BYTES = 4


def count_head_bytes(target: bytes, headers: Headers) -> int:
    """Return the size of a request's target and its header lines, in bytes."""
    return len(target) + sum(
        len(name) + len(value) + HEADER_SEPARATOR_BYTES for name, value in headers
    )


def has_ambiguous_framing(headers: Headers) -> bool:
    """Tell whether a request has both ``Content-Length`` and ``Transfer-Encoding``.

    Two HTTP parsers could disagree on where such a request ends, which allows request smuggling.
    """
    return {b"content-length", b"transfer-encoding"} <= {name.lower() for name, _ in headers}


def find_declared_bytes(headers: Headers) -> int:
    """Return the length of the body by its valid ``Content-Length``, 0 without one."""
    return int(find_header(headers, b"content-length") or b"0")
