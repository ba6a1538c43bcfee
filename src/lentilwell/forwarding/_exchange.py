"""Exchanges with callers and the encoding of their answers as HTTP.

After ``TransferLoop.add_exchange``, only the transfer thread may use an exchange. Before it adds
tokens, that thread checks each chunk: a chunk of another stream or with a repeated index is
dropped, and a missing index fails the attempt.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from lentilwell._failures import Failure
from lentilwell._messages import Request

MAX_BUFFER_BYTES = 65_536
_encode = msgspec.json.encode


@dataclass(frozen=True)
class AnswerFormat:
    """API variant and streaming flag of an answer, and the id, time and model in its JSON."""

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


class _FullResponse(msgspec.Struct):
    id: str
    object: str
    created: int
    model: str
    choices: list[_TextChoice] | list[_ChatChoice]
    usage: _Usage


def encode_error(failure: Failure) -> bytes:
    """Return the API's JSON error object for a failure."""
    return _encode(_ErrorBody(_ErrorDetail(failure.kind, failure.code, failure.message)))


def retry_after_seconds(failure: Failure) -> str | None:
    """Return the value of the Retry-After header, in whole seconds rounded up, or None."""
    after_ms = failure.retry_after_ms
    return None if after_ms is None else str(max(1, -(-after_ms // 1_000)))


def render_head(status: int, headers: tuple[tuple[str, str], ...]) -> bytes:
    """Return the status line and headers of a response, including ``Connection: close``."""
    header_lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'Failed'}"]
    header_lines += [f"{name}: {value}" for name, value in (*headers, ("Connection", "close"))]
    return ("\r\n".join(header_lines) + "\r\n\r\n").encode("latin-1")


def render_chunk(body: bytes) -> bytes:
    """Encode bytes as one chunk of the chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(body), body)


class EventStreamEncoder:
    """Encodes a streamed answer as server-sent events in a chunked HTTP body."""

    def __init__(self, answer_format: AnswerFormat) -> None:
        object_type = "chat.completion.chunk" if answer_format.chat else "text_completion"
        fields = (
            f'"id":{_encode_string(answer_format.answer_id)},"object":"{object_type}",'
            f'"created":{answer_format.created},"model":{_encode_string(answer_format.model)}'
        )
        opening, ending = ('{"content":', "}") if answer_format.chat else ("", "")
        text_key = "delta" if answer_format.chat else "text"
        self._prefix = f'data: {{{fields},"choices":[{{"index":0,"{text_key}":{opening}'.encode()
        self._suffix = f'{ending},"logprobs":null,"finish_reason":null}}]}}\n\n'.encode()
        empty_value = "{}" if answer_format.chat else '""'
        self._final_prefix = f'data: {{{fields},"choices":[{{"index":0,"{text_key}":{empty_value},'

    def encode_head(self) -> bytes:
        """Return the status line and headers of a streamed answer."""
        headers = (
            ("Content-Type", "text/event-stream"),
            ("Cache-Control", "no-store"),
            ("Transfer-Encoding", "chunked"),
        )
        return render_head(200, headers)

    def encode_tokens(self, texts: list[str]) -> bytes:
        """Return one chunk with an event for each token text."""
        events = [self._prefix + _encode(text) + self._suffix for text in texts]
        return render_chunk(b"".join(events))

    def encode_end(self, finish_reason: str) -> bytes:
        """Return the final event, ``[DONE]`` and the terminating chunk of a complete answer."""
        reason = f'"logprobs":null,"finish_reason":{_encode_string(finish_reason)}}}]}}'
        last = f"{self._final_prefix}{reason}\n\ndata: [DONE]\n\n"
        return render_chunk(last.encode()) + b"0\r\n\r\n"

    def encode_failure(self, failure: Failure) -> bytes:
        """Return the end of a failed answer: error event and terminating chunk, no ``[DONE]``."""
        return render_chunk(b"data: " + encode_error(failure) + b"\n\n") + b"0\r\n\r\n"


def _encode_string(value: str) -> str:
    return _encode(value).decode()


@dataclass
class Exchange:
    """A caller's request, connection and answer, as the transfer thread keeps them.

    ``buffer`` contains the bytes to send to the caller. ``closing`` is set when the end of the
    answer is in the buffer, ``closed`` when the connection is closed. ``on_end`` is called once
    after the connection is closed.
    """

    request: Request
    prompt: str
    answer_format: AnswerFormat
    connection: socket.socket
    on_end: Callable[[Exchange], None]
    stream_encoder: EventStreamEncoder | None = None
    attempt_id: str = ""
    failure: Failure | None = None
    next_index: int = 0
    texts: list[str] = field(default_factory=list)
    buffer: bytearray = field(default_factory=bytearray)
    head_sent: bool = False
    closing: bool = False
    closing_since: int = 0
    finish_reason: str = "length"
    closed: bool = False
    first_token_at: int | None = None

    def add_tokens(self, texts: list[str]) -> None:
        """Append the next tokens to the answer and, if it is streamed, to the buffer."""
        self.next_index += len(texts)
        self.texts.extend(texts)
        if self.stream_encoder is None:
            return
        if not self.head_sent:
            self.buffer += self.stream_encoder.encode_head()
            self.head_sent = True
        self.buffer += self.stream_encoder.encode_tokens(texts)

    def complete(self, finish_reason: str, now: int) -> None:
        """Append the end of a complete answer to the buffer."""
        self.closing = True
        self.closing_since = now
        self.finish_reason = finish_reason
        if self.stream_encoder is None:
            self.buffer += render_full_response(self)
            return
        if not self.head_sent:
            self.buffer += self.stream_encoder.encode_head()
        self.buffer += self.stream_encoder.encode_end(self.finish_reason)

    def fail(self, failure: Failure, now: int) -> None:
        """Append a failure to the buffer.

        A streamed answer that has begun gets an error event, any other an HTTP error response.
        """
        self.closing = True
        self.closing_since = now
        self.failure = failure
        if self.stream_encoder is not None and self.head_sent:
            self.buffer += self.stream_encoder.encode_failure(failure)
        else:
            self.buffer += render_error_response(failure)


def render_error_response(failure: Failure) -> bytes:
    """Return the complete HTTP response for a failure."""
    body = encode_error(failure)
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    retry_after = retry_after_seconds(failure)
    if retry_after is not None:
        headers.append(("Retry-After", retry_after))
    return render_head(failure.status, tuple(headers)) + body


def render_full_response(exchange: Exchange) -> bytes:
    """Return the complete HTTP response of an answer that is not streamed."""
    answer_format = exchange.answer_format
    text = "".join(exchange.texts)
    choices: list[_TextChoice] | list[_ChatChoice]
    if answer_format.chat:
        choices = [_ChatChoice(0, _Message("assistant", text), exchange.finish_reason)]
    else:
        choices = [_TextChoice(0, text, exchange.finish_reason)]
    prompt_tokens, answer_tokens = exchange.request.prompt_tokens, exchange.next_index
    usage = _Usage(prompt_tokens, answer_tokens, prompt_tokens + answer_tokens)
    object_type = "chat.completion" if answer_format.chat else "text_completion"
    answer = _FullResponse(
        answer_format.answer_id,
        object_type,
        answer_format.created,
        answer_format.model,
        choices,
        usage,
    )
    body = _encode(answer)
    headers = (("Content-Type", "application/json"), ("Content-Length", str(len(body))))
    return render_head(200, headers) + body
