"""Requests and answers as they pass through the gateway."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

Headers = tuple[tuple[bytes, bytes], ...]

JSON_TYPE = (b"Content-Type", b"application/json")
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)


def encode_error(reason: str) -> bytes:
    """Return the JSON body of a failure of the gateway's own."""
    return msgspec.json.encode({"error": reason})


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None; ``name`` is in lower case."""
    for known, value in headers:
        if known.lower() == name:
            return value
    return None


def drop_headers(headers: Headers, names: frozenset[bytes]) -> Headers:
    """Return the headers without those named, those of one connection, and those it names."""
    listed = b",".join(value for name, value in headers if name.lower() == b"connection")
    named = {token.strip().lower() for token in listed.split(b",")}
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in names
        and name.lower() not in HOP_BY_HOP
        and name.lower() not in named
    )


@dataclass(frozen=True)
class InboundRequest:
    """A request as a caller sent it. ``arrived_at`` is when its first byte came, in ms."""

    method: bytes
    target: bytes
    headers: Headers
    arrived_at: int
    body: bytes = field(default=b"", repr=False)

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    @property
    def host(self) -> str:
        """Return the host without a port, in lower case."""
        value = find_header(self.headers, b"host") or b""
        return value.decode("latin-1").rsplit(":", 1)[0].lower()


@dataclass(frozen=True)
class Prompt:
    """What a caller tells of its prompt; token counts."""

    prompt_tokens: int
    answer_tokens: int

    @property
    def memory_tokens(self) -> int:
        """Return the KV memory that the whole request needs."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(frozen=True)
class Facts:
    """What the caller's headers say. ``patience_ms`` is how long the caller waits, None untold."""

    request_id: str
    key: str
    patience_ms: int | None
    prompt: Prompt | None
    last_event: int | None


@dataclass(frozen=True)
class Reader:
    """An upstream that reads part of a prompt; with a ticket it keeps that part's memory too."""

    address: str
    ticket: str | None = None


@dataclass(frozen=True)
class Envelope:
    """What the gateway adds to a request on its way to one upstream."""

    upstream: str
    left_ms: int
    team: str | None
    rank: int | None
    resume_after: int | None
    readers: tuple[Reader, ...] = ()


@dataclass(frozen=True)
class AnswerHead:
    """The head of an upstream's answer, read by the dialect.

    ``not_run`` is the upstream's word that it did not run the request, ``misdirected`` that it is
    not the one that was meant (or another one of a spread request is not), ``signed`` says that the
    answer carries an upstream's signature, ``at_fault`` names the upstream that failed it.
    ``idle_ms`` is how long the upstream keeps an idle connection, None where it does not say.
    ``leaving`` is its word that it is about to end and wants no more work, ``retry_after`` the text
    of the time in seconds for which it wants nothing, None where it names none.
    """

    status: int
    headers: Headers
    request_id: str
    not_run: bool
    misdirected: bool
    signed: bool
    encoded: bool
    at_fault: str | None
    idle_ms: int | None
    closing: bool
    leaving: bool = False
    retry_after: str | None = None


@dataclass(frozen=True)
class Order:
    """An order to an upstream about memory that is set aside there: a whole HTTP request."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class Lease:
    """Memory of one upstream set aside under a ticket, for ``hold_ms`` from its arrival on."""

    ticket: str
    upstream: str
    memory_tokens: int
    hold_ms: int
