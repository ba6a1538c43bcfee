"""A caller's exchange: the answer on its way from engines to one caller's socket.

The transfer thread owns every exchange after it was handed over. Chunks are checked here: a chunk
of another stream or a repeated index is dropped, and a gap fails the attempt.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from lentilwell._failures import Failure
from lentilwell._messages import Request

BUFFER_LIMIT_BYTES = 65_536
_encode = msgspec.json.encode


@dataclass(frozen=True)
class AnswerForm:
    """How an answer is written: the API's object names and the id the caller sees."""

    answer_id: str
    created: int
    model: str
    chat: bool
    stream: bool


class _ErrorDetail(msgspec.Struct):
    type: str
    code: str
    message: str
    param: str | None = None


class _ErrorBody(msgspec.Struct):
    error: _ErrorDetail


class _Usage(msgspec.Struct):
    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class _TextChoice(msgspec.Struct):
    index: int
    text: str
    finish_reason: str
    logprobs: None = None


class _Message(msgspec.Struct):
    role: str
    content: str


class _ChatChoice(msgspec.Struct):
    index: int
    message: _Message
    finish_reason: str
    logprobs: None = None


class _WholeAnswer(msgspec.Struct):
    id: str
    object: str
    created: int
    model: str
    choices: list[_TextChoice] | list[_ChatChoice]
    usage: _Usage


def encode_failure(failure: Failure) -> bytes:
    """Return the API's error object for a failure."""
    return _encode(_ErrorBody(_ErrorDetail(failure.kind, failure.code, failure.message)))


def retry_after_seconds(failure: Failure) -> str | None:
    """Return the Retry-After value, in whole seconds rounded up, or None."""
    after_ms = failure.retry_after_ms
    return None if after_ms is None else str(max(1, -(-after_ms // 1_000)))


def render_head(status: int, headers: tuple[tuple[str, str], ...]) -> bytes:
    """Return the status line and headers of an answer that closes its connection."""
    lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'Failed'}"]
    lines += [f"{name}: {value}" for name, value in (*headers, ("Connection", "close"))]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def render_chunk(body: bytes) -> bytes:
    """Return one chunk of the chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(body), body)


class StreamedForm:
    """Writes an answer as server-sent events in a chunked body."""

    def __init__(self, form: AnswerForm) -> None:
        kind = "chat.completion.chunk" if form.chat else "text_completion"
        fields = (
            f'"id":{_text(form.answer_id)},"object":"{kind}",'
            f'"created":{form.created},"model":{_text(form.model)}'
        )
        open_text, close_text = ('{"content":', "}") if form.chat else ("", "")
        slot = "delta" if form.chat else "text"
        self._before = f'data: {{{fields},"choices":[{{"index":0,"{slot}":{open_text}'.encode()
        self._after = f'{close_text},"logprobs":null,"finish_reason":null}}]}}\n\n'.encode()
        empty = "{}" if form.chat else '""'
        self._last = f'data: {{{fields},"choices":[{{"index":0,"{slot}":{empty},'

    def head(self) -> bytes:
        """Return what precedes the first token."""
        headers = (
            ("Content-Type", "text/event-stream"),
            ("Cache-Control", "no-store"),
            ("Transfer-Encoding", "chunked"),
        )
        return render_head(200, headers)

    def tokens(self, texts: list[str]) -> bytes:
        """Return the events for these tokens as one chunk."""
        events = [self._before + _encode(text) + self._after for text in texts]
        return render_chunk(b"".join(events))

    def end(self, finish_reason: str) -> bytes:
        """Return the end of a whole answer."""
        reason = f'"logprobs":null,"finish_reason":{_text(finish_reason)}}}]}}'
        last = f"{self._last}{reason}\n\ndata: [DONE]\n\n"
        return render_chunk(last.encode()) + b"0\r\n\r\n"

    def failure(self, failure: Failure) -> bytes:
        """Return the end of an answer that broke off: an error event and no ``[DONE]``."""
        return render_chunk(b"data: " + encode_failure(failure) + b"\n\n") + b"0\r\n\r\n"


def _text(value: str) -> str:
    return _encode(value).decode()


@dataclass
class Exchange:
    """One request in the transfer thread: its prompt, its caller and the answer so far."""

    request: Request
    prompt: str
    form: AnswerForm
    connection: socket.socket
    on_end: Callable[[Exchange], None]
    streamed: StreamedForm | None = None
    attempt_id: str = ""
    failure: Failure | None = None
    next_index: int = 0
    texts: list[str] = field(default_factory=list)
    buffer: bytearray = field(default_factory=bytearray)
    head_sent: bool = False
    closing: bool = False
    closing_at: int = 0
    finish_reason: str = "length"
    gone: bool = False
    first_token_at: int | None = None

    def add_tokens(self, texts: list[str]) -> None:
        """Take the next tokens of the answer."""
        self.next_index += len(texts)
        self.texts.extend(texts)
        if self.streamed is None:
            return
        if not self.head_sent:
            self.buffer += self.streamed.head()
            self.head_sent = True
        self.buffer += self.streamed.tokens(texts)

    def end_whole(self, finish_reason: str, now: int) -> None:
        """Write the end of a whole answer."""
        self.closing = True
        self.closing_at = now
        self.finish_reason = finish_reason
        if self.streamed is None:
            self.buffer += render_whole(self)
            return
        if not self.head_sent:
            self.buffer += self.streamed.head()
        self.buffer += self.streamed.end(self.finish_reason)

    def end_failed(self, failure: Failure, now: int) -> None:
        """Write a failure: a plain error answer where nothing was sent yet."""
        self.closing = True
        self.closing_at = now
        self.failure = failure
        if self.streamed is not None and self.head_sent:
            self.buffer += self.streamed.failure(failure)
        else:
            self.buffer += render_failure(failure)


def render_failure(failure: Failure) -> bytes:
    """Return a whole HTTP answer for a failure."""
    body = encode_failure(failure)
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    after = retry_after_seconds(failure)
    if after is not None:
        headers.append(("Retry-After", after))
    return render_head(failure.status, tuple(headers)) + body


def render_whole(exchange: Exchange) -> bytes:
    """Return a whole HTTP answer with all tokens."""
    form = exchange.form
    text = "".join(exchange.texts)
    choices: list[_TextChoice] | list[_ChatChoice]
    if form.chat:
        choices = [_ChatChoice(0, _Message("assistant", text), exchange.finish_reason)]
    else:
        choices = [_TextChoice(0, text, exchange.finish_reason)]
    prompt_tokens, answer_tokens = exchange.request.prompt_tokens, exchange.next_index
    usage = _Usage(prompt_tokens, answer_tokens, prompt_tokens + answer_tokens)
    kind = "chat.completion" if form.chat else "text_completion"
    answer = _WholeAnswer(form.answer_id, kind, form.created, form.model, choices, usage)
    body = _encode(answer)
    headers = (("Content-Type", "application/json"), ("Content-Length", str(len(body))))
    return render_head(200, headers) + body
