"""Messages between callers, the gateway and upstreams."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

Headers = tuple[tuple[bytes, bytes], ...]

JSON_TYPE = (b"Content-Type", b"application/json")
HOP_BY_HOP_HEADERS = frozenset(
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
    """Return the JSON body of an error response that the gateway itself sends."""
    return msgspec.json.encode({"error": reason})


def format_retry_after(delay_ms: int) -> tuple[bytes, bytes]:
    """Return the header that tells a caller to wait before it retries."""
    return b"Retry-After", f"{delay_ms / 1_000:.3f}".encode()


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None; ``name`` is in lower case."""
    for known, value in headers:
        if known.lower() == name:
            return value
    return None


def find_headers(headers: Headers, name: bytes) -> list[bytes]:
    """Return all values of a header, in order; ``name`` is in lower case."""
    return [value for known, value in headers if known.lower() == name]


def drop_headers(headers: Headers, names: frozenset[bytes]) -> Headers:
    """Return the headers to forward.

    Dropped are those in ``names``, hop-by-hop headers and those listed in a Connection header.
    """
    connection = b",".join(value for name, value in headers if name.lower() == b"connection")
    connection_headers = {token.strip().lower() for token in connection.split(b",")}
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in names
        and name.lower() not in HOP_BY_HOP_HEADERS
        and name.lower() not in connection_headers
    )


@dataclass(frozen=True)
class InboundRequest:
    """A request as a caller sent it. ``arrived_at`` is when its first byte arrived, in ms."""

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
    """The lengths of a prompt and of its longest possible answer, as stated by the caller."""

    prompt_tokens: int
    answer_tokens: int

    @property
    def memory_tokens(self) -> int:
        """Return the KV memory that the whole request needs."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(frozen=True)
class RequestFacts:
    """The contents of a caller's headers.

    ``timeout_ms`` is how long the caller waits for the whole answer, None if it does not say.
    ``last_event_id`` is the last event that the caller has received, None for a new stream.
    ``shared_parts`` are the ids of the parts of the prompt that other prompts may have too.
    """

    request_id: str
    key: str
    timeout_ms: int | None
    prompt: Prompt | None
    last_event_id: int | None
    shared_parts: tuple[str, ...] = ()


@dataclass(frozen=True)
class PrefillHelper:
    """An upstream that reads part of a prompt; ``ticket`` names its memory reservation, if any."""

    address: str
    ticket: str | None = None


@dataclass(frozen=True)
class Envelope:
    """The information that the gateway adds to a request for one upstream.

    ``resume_after`` is the id of the last event that was received, None for a new stream.
    """

    upstream: str
    remaining_ms: int
    team: str | None
    rank: int | None
    resume_after: int | None
    prefill_helpers: tuple[PrefillHelper, ...] = ()


@dataclass(frozen=True)
class AnswerHead:
    """The head of an upstream's answer, as parsed by the dialect.

    ``not_run`` is true if the upstream reports that it did not run the request. ``misdirected`` is
    true if the request named another upstream, or if one of its helpers refused its part for that
    reason. ``signed`` is true if the answer carries an upstream's signature, ``encoded`` if it has
    a content encoding. ``at_fault`` is the address of the upstream that caused a refusal.
    ``idle_ms`` is how long the upstream keeps an idle connection, None if it does not say.
    ``closing`` is true if it closes the connection after this answer. ``leaving`` is true if it is
    about to stop and accepts no new work. ``retry_after`` is the text of the time in seconds for
    which it wants no new work, None if it gives none. ``rate_limit`` is the text of the requests a
    second that it accepts from all instances together, None if it names no limit. ``cold_ms`` is
    the text of how long it remains cold, in ms, None if it does not say.
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
    rate_limit: str | None = None
    cold_ms: str | None = None


@dataclass(frozen=True)
class MemoryOrder:
    """A complete HTTP request to an upstream that reserves, renews or releases memory."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class Lease:
    """Memory reserved at one upstream under a ticket.

    It is valid for ``duration_ms`` after the upstream receives it.
    """

    ticket: str
    upstream: str
    memory_tokens: int
    duration_ms: int
