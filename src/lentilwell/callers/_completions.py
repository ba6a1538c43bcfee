"""The listener for callers: the completions API, the list of models and the plain services."""

from __future__ import annotations

import uuid
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Literal

import msgspec
import xxhash
from loguru import logger
from result import Err, Ok, Result
from werkzeug.exceptions import ClientDisconnected, RequestEntityTooLarge, RequestTimeout
from werkzeug.wrappers import Request as HttpRequest
from werkzeug.wrappers import Response

from lentilwell._clock import MS_PER_SECOND, Clock
from lentilwell._failures import (
    BodyTooLarge,
    Failure,
    InvalidRequest,
    MethodNotAllowed,
    NotReady,
    PromptTooLong,
    ReadTimeout,
    Unauthorized,
    UnknownModel,
    UnknownRoute,
)
from lentilwell._inventory import Inventory, Rules, Team
from lentilwell._json import decode_json
from lentilwell._messages import BYTES_PER_TOKEN, Request, count_tokens
from lentilwell.callers._headers import read_deadline_ms
from lentilwell.callers._responses import make_failure_response
from lentilwell.callers._server import ConnectionDetached, detach_connection, mark_body_unread
from lentilwell.callers._services import ServiceGateway
from lentilwell.callers._team_keys import TeamKeys
from lentilwell.configuration import CallersSettings
from lentilwell.forwarding import AnswerFormat, EventStreamEncoder, Exchange, TransferLoop
from lentilwell.reducer import Event, RequestArrived

DEFAULT_ANSWER_TOKENS = 16
PREFIX_BLOCK_TOKENS = 1_024
TOKENS_PER_THOUSAND = 1_000


class _TextPart(msgspec.Struct):
    type: Literal["text"]
    text: str


class _ChatMessage(msgspec.Struct):
    role: str
    content: str | list[_TextPart]


class _CompletionBody(msgspec.Struct):
    model: str
    prompt: str
    max_tokens: int | None = None
    stream: bool | None = None


class _ChatBody(msgspec.Struct):
    model: str
    messages: list[_ChatMessage]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool | None = None


@dataclass(frozen=True)
class PromptRequest:
    """The decoded body of a completion request or of a chat request."""

    model: str
    text: str
    answer_tokens: int
    stream: bool
    chat: bool


def parse_completion(body: bytes) -> Result[PromptRequest, Failure]:
    """Decode the body of ``POST /v1/completions``."""
    try:
        parsed = decode_json(body, _CompletionBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(InvalidRequest(f"The body is not a completion request: {error}."))
    tokens = DEFAULT_ANSWER_TOKENS if parsed.max_tokens is None else parsed.max_tokens
    return Ok(PromptRequest(parsed.model, parsed.prompt, tokens, bool(parsed.stream), False))


def parse_chat(body: bytes) -> Result[PromptRequest, Failure]:
    """Decode the body of ``POST /v1/chat/completions`` and join its messages into one prompt."""
    try:
        parsed = decode_json(body, _ChatBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(InvalidRequest(f"The body is not a chat request: {error}."))
    text = "".join(
        f"{message.role}: {_join_parts(message.content)}\n" for message in parsed.messages
    )
    tokens = (
        parsed.max_tokens if parsed.max_completion_tokens is None else parsed.max_completion_tokens
    )
    tokens = DEFAULT_ANSWER_TOKENS if tokens is None else tokens
    return Ok(PromptRequest(parsed.model, text, tokens, bool(parsed.stream), True))


def _join_parts(content: str | list[_TextPart]) -> str:
    if isinstance(content, str):
        return content
    return "".join(part.text for part in content)


def hash_prefix(text: bytes, cache_group: str) -> tuple[int, ...]:
    """Return one hash for each complete block of the prompt.

    A block's hash covers the block, all blocks before it and ``cache_group``.
    """
    block_bytes = PREFIX_BLOCK_TOKENS * BYTES_PER_TOKEN
    hashes: list[int] = []
    previous_hash = xxhash.xxh64_intdigest(cache_group.encode())
    for start in range(0, len(text) - block_bytes + 1, block_bytes):
        previous_hash = xxhash.xxh64_intdigest(
            text[start : start + block_bytes], seed=previous_hash
        )
        hashes.append(previous_hash)
    return tuple(hashes)


@dataclass(frozen=True)
class CallersContext:
    """The parts of the process that ``CallersApp`` depends on."""

    inventory: Callable[[], Inventory | None]
    transfer: TransferLoop
    services: ServiceGateway
    post: Callable[[Event], object]
    on_end: Callable[[Exchange], None]
    on_refusal: Callable[[str], None]


class CallersApp:
    """The WSGI application for callers. The transfer thread sends the answers of engines."""

    def __init__(self, settings: CallersSettings, clock: Clock, context: CallersContext) -> None:
        self._settings = settings
        self._clock = clock
        self._context = context
        self._keys = TeamKeys()

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Respond to one request, or hand its socket over to the transfer thread."""
        http_request = HttpRequest(environ)
        http_request.max_content_length = self._settings.maximum_body_bytes
        result = self._route(http_request)
        if isinstance(result, Err):
            response = make_failure_response(result.err_value)
            self._log_refusal(http_request, result.err_value)
        else:
            response = result.ok_value
        response.headers["Connection"] = "close"
        return response(environ, start_response)

    def _route(self, http_request: HttpRequest) -> Result[Response, Failure]:
        inventory = self._context.inventory()
        if inventory is None:
            return self._refuse_unread(http_request, NotReady())
        team = self._keys.find_team(inventory, http_request.headers.get("Authorization", ""))
        if team is None:
            return self._refuse_unread(http_request, Unauthorized())
        allowed = _ALLOWED_METHODS.get(http_request.path)
        if allowed is not None and http_request.method != allowed:
            return self._refuse_unread(http_request, MethodNotAllowed(allowed))
        if http_request.path == "/v1/models":
            return Ok(list_models(inventory, team))
        body = read_body(http_request, self._settings.maximum_body_bytes)
        if isinstance(body, Err):
            return self._refuse_unread(http_request, body.err_value)
        if http_request.path.startswith("/services/"):
            return Ok(self._context.services.serve(http_request, body.ok_value, team, inventory))
        parse = _PARSERS.get(http_request.path)
        if parse is None:
            return Err(UnknownRoute())
        return parse(body.ok_value).and_then(
            lambda prompt: self._admit(http_request, prompt, team, inventory)
        )

    def _admit(
        self, http_request: HttpRequest, prompt: PromptRequest, team: Team, inventory: Inventory
    ) -> Result[Response, Failure]:
        if self._context.transfer.open_exchanges >= self._settings.maximum_streams:
            return Err(NotReady())
        request = self._validate(http_request, prompt, team, inventory)
        if isinstance(request, Err):
            return request
        self._start_exchange(http_request.environ, prompt, request.ok_value)
        raise ConnectionDetached

    def _refuse_unread(self, http_request: HttpRequest, failure: Failure) -> Err[Failure]:
        mark_body_unread(http_request.environ)
        return Err(failure)

    def _log_refusal(self, http_request: HttpRequest, failure: Failure) -> None:
        self._context.on_refusal(failure.code)
        logger.info("request refused", method=http_request.method, failure=failure.code)

    def _validate(
        self, http_request: HttpRequest, prompt: PromptRequest, team: Team, inventory: Inventory
    ) -> Result[Request, Failure]:
        model = inventory.models.get(prompt.model)
        if model is None:
            return Err(UnknownModel())
        if prompt.answer_tokens < 1:
            return Err(InvalidRequest("max_tokens must be an integer of at least 1."))
        text = prompt.text.encode()
        tokens = count_tokens(text)
        if tokens + prompt.answer_tokens > model.context_tokens:
            return Err(PromptTooLong(model.context_tokens))
        deadline = read_deadline_ms(
            http_request, inventory.rules, compute_default_deadline_ms(inventory.rules, tokens)
        )
        if isinstance(deadline, Err):
            return deadline
        now = self._clock.now()
        cache_group = team.cache_group or f"team:{team.name}"
        return Ok(
            Request(
                request_id=uuid.uuid4().hex,
                team=team.name,
                model=prompt.model,
                prompt_tokens=tokens,
                answer_tokens=prompt.answer_tokens,
                arrived_at=now,
                deadline_at=now + deadline.ok_value,
                prefix=hash_prefix(text, cache_group),
            )
        )

    def _start_exchange(
        self, environ: dict[str, Any], prompt: PromptRequest, request: Request
    ) -> None:
        kind = "chatcmpl" if prompt.chat else "cmpl"
        created = self._clock.wall() // MS_PER_SECOND
        answer_id = f"{kind}-{request.request_id}"
        answer_format = AnswerFormat(answer_id, created, prompt.model, prompt.chat, prompt.stream)
        exchange = Exchange(
            request=request,
            prompt=prompt.text,
            answer_format=answer_format,
            connection=detach_connection(environ),
            on_end=self._context.on_end,
            stream_encoder=EventStreamEncoder(answer_format) if prompt.stream else None,
        )
        self._context.transfer.add_exchange(exchange)
        self._context.post(RequestArrived(self._clock.now(), request))


def compute_default_deadline_ms(rules: Rules, prompt_tokens: int) -> int:
    """Return the time limit of a request without a deadline header, from its prompt length."""
    by_length = rules.deadline_ms_per_1k_tokens * prompt_tokens // TOKENS_PER_THOUSAND
    return rules.default_deadline_ms + by_length


def read_body(http_request: HttpRequest, max_bytes: int) -> Result[bytes, Failure]:
    """Read the complete body, or fail at the size limit or the read timeout."""
    try:
        return Ok(http_request.get_data(cache=False))
    except RequestEntityTooLarge:
        return Err(BodyTooLarge(max_bytes))
    except (ClientDisconnected, RequestTimeout, TimeoutError):
        return Err(ReadTimeout())


def list_models(inventory: Inventory, team: Team) -> Response:
    """Return the response to ``GET /v1/models``: the models that the team's engines serve."""
    served = {
        model
        for engine in inventory.engines.values()
        if not team.engines or engine.name in team.engines
        for model in engine.models
    }
    names = sorted(served & set(inventory.models))
    data = [
        {"id": name, "object": "model", "created": 0, "owned_by": "lentilwell"} for name in names
    ]
    body = msgspec.json.encode({"object": "list", "data": data})
    return Response(body, content_type="application/json")


_PARSERS = {"/v1/completions": parse_completion, "/v1/chat/completions": parse_chat}
_ALLOWED_METHODS = {"/v1/models": "GET", **dict.fromkeys(_PARSERS, "POST")}
