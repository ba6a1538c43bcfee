"""The callers' side: the completions API, the list of models and the plain services."""

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
from lentilwell._messages import BYTES_PER_TOKEN, Request, count_tokens
from lentilwell.callers._headers import read_deadline_ms
from lentilwell.callers._responses import respond_failure
from lentilwell.callers._server import ConnectionDetached, leave_body_unread, take_connection
from lentilwell.callers._services import ServiceGateway
from lentilwell.callers._team_keys import TeamKeys
from lentilwell.configuration import CallersSettings
from lentilwell.forwarding import AnswerFormat, EventStreamEncoder, Exchange, TransferLoop
from lentilwell.reducer import Event, RequestArrived

DEFAULT_ANSWER_TOKENS = 16
BLOCK_TOKENS = 1_024
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
class Prompt:
    """A checked body in either form of the API."""

    model: str
    text: str
    answer_tokens: int
    stream: bool
    chat: bool


def parse_completion(body: bytes) -> Result[Prompt, Failure]:
    """Read the body of ``POST /v1/completions``."""
    try:
        found = msgspec.json.decode(body, type=_CompletionBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(InvalidRequest(f"The body is not a completion request: {error}."))
    tokens = DEFAULT_ANSWER_TOKENS if found.max_tokens is None else found.max_tokens
    return Ok(Prompt(found.model, found.prompt, tokens, bool(found.stream), False))


def parse_chat(body: bytes) -> Result[Prompt, Failure]:
    """Read the body of ``POST /v1/chat/completions``; the messages become one prompt."""
    try:
        found = msgspec.json.decode(body, type=_ChatBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(InvalidRequest(f"The body is not a chat request: {error}."))
    text = "".join(f"{message.role}: {_join(message.content)}\n" for message in found.messages)
    tokens = (
        found.max_tokens if found.max_completion_tokens is None else found.max_completion_tokens
    )
    tokens = DEFAULT_ANSWER_TOKENS if tokens is None else tokens
    return Ok(Prompt(found.model, text, tokens, bool(found.stream), True))


def _join(content: str | list[_TextPart]) -> str:
    if isinstance(content, str):
        return content
    return "".join(part.text for part in content)


def hash_prefix(text: bytes, cache_group: str) -> tuple[int, ...]:
    """Return the chain of hashes of the prompt's whole blocks, salted with the cache group."""
    size = BLOCK_TOKENS * BYTES_PER_TOKEN
    chain: list[int] = []
    previous = xxhash.xxh64_intdigest(cache_group.encode())
    for start in range(0, len(text) - size + 1, size):
        previous = xxhash.xxh64_intdigest(text[start : start + size], seed=previous)
        chain.append(previous)
    return tuple(chain)


@dataclass(frozen=True)
class CallersContext:
    """What the callers' side needs of the rest of the process."""

    inventory: Callable[[], Inventory | None]
    transfer: TransferLoop
    services: ServiceGateway
    post: Callable[[Event], object]
    on_end: Callable[[Exchange], None]
    on_refusal: Callable[[str], None]


class CallersApp:
    """The WSGI application for callers. Answers of engines leave by the transfer thread."""

    def __init__(self, settings: CallersSettings, clock: Clock, context: CallersContext) -> None:
        self._settings = settings
        self._clock = clock
        self._context = context
        self._keys = TeamKeys()

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Answer one request, or give its socket away."""
        http = HttpRequest(environ)
        http.max_content_length = self._settings.maximum_body_bytes
        answer = self._route(http)
        if isinstance(answer, Err):
            response = respond_failure(answer.err_value)
            self._log_refusal(http, answer.err_value)
        else:
            response = answer.ok_value
        response.headers["Connection"] = "close"
        return response(environ, start_response)

    def _route(self, http: HttpRequest) -> Result[Response, Failure]:
        inventory = self._context.inventory()
        if inventory is None:
            return self._refuse_early(http, NotReady())
        team = self._keys.find_team(inventory, http.headers.get("Authorization", ""))
        if team is None:
            return self._refuse_early(http, Unauthorized())
        allowed = _METHODS.get(http.path)
        if allowed is not None and http.method != allowed:
            return self._refuse_early(http, MethodNotAllowed(allowed))
        if http.path == "/v1/models":
            return Ok(list_models(inventory, team))
        body = read_body(http, self._settings.maximum_body_bytes)
        if isinstance(body, Err):
            return self._refuse_early(http, body.err_value)
        if http.path.startswith("/services/"):
            return Ok(self._context.services.serve(http, body.ok_value, team, inventory))
        parse = _PARSERS.get(http.path)
        if parse is None:
            return Err(UnknownRoute())
        return parse(body.ok_value).and_then(
            lambda prompt: self._admit(http, prompt, team, inventory)
        )

    def _admit(
        self, http: HttpRequest, prompt: Prompt, team: Team, inventory: Inventory
    ) -> Result[Response, Failure]:
        if self._context.transfer.open_exchanges >= self._settings.maximum_streams:
            return Err(NotReady())
        request = self._check(http, prompt, team, inventory)
        if isinstance(request, Err):
            return request
        self._hand_over(http.environ, prompt, request.ok_value)
        raise ConnectionDetached

    def _refuse_early(self, http: HttpRequest, failure: Failure) -> Err[Failure]:
        leave_body_unread(http.environ)
        return Err(failure)

    def _log_refusal(self, http: HttpRequest, failure: Failure) -> None:
        self._context.on_refusal(failure.code)
        logger.info("request refused", method=http.method, failure=failure.code)

    def _check(
        self, http: HttpRequest, prompt: Prompt, team: Team, inventory: Inventory
    ) -> Result[Request, Failure]:
        model = inventory.models.get(prompt.model)
        if model is None:
            return Err(UnknownModel())
        if prompt.answer_tokens < 1:
            return Err(InvalidRequest("max_tokens must be a whole number of 1 or more."))
        text = prompt.text.encode()
        tokens = count_tokens(text)
        if tokens + prompt.answer_tokens > model.context_tokens:
            return Err(PromptTooLong(model.context_tokens))
        deadline = read_deadline_ms(http, inventory.rules, allow_time_ms(inventory.rules, tokens))
        if isinstance(deadline, Err):
            return deadline
        now = self._clock.now()
        group = team.cache_group or f"team:{team.name}"
        return Ok(
            Request(
                request_id=uuid.uuid4().hex,
                team=team.name,
                model=prompt.model,
                prompt_tokens=tokens,
                answer_tokens=prompt.answer_tokens,
                arrived_at=now,
                deadline_at=now + deadline.ok_value,
                prefix=hash_prefix(text, group),
            )
        )

    def _hand_over(self, environ: dict[str, Any], prompt: Prompt, request: Request) -> None:
        kind = "chatcmpl" if prompt.chat else "cmpl"
        created = self._clock.wall() // MS_PER_SECOND
        answer_id = f"{kind}-{request.request_id}"
        answer_format = AnswerFormat(answer_id, created, prompt.model, prompt.chat, prompt.stream)
        exchange = Exchange(
            request=request,
            prompt=prompt.text,
            answer_format=answer_format,
            connection=take_connection(environ),
            on_end=self._context.on_end,
            stream_encoder=EventStreamEncoder(answer_format) if prompt.stream else None,
        )
        self._context.transfer.add_exchange(exchange)
        self._context.post(RequestArrived(self._clock.now(), request))


def allow_time_ms(rules: Rules, prompt_tokens: int) -> int:
    """Return the time that the rules give a request of this length which names no deadline."""
    by_length = rules.deadline_ms_per_1k_tokens * prompt_tokens // TOKENS_PER_THOUSAND
    return rules.default_deadline_ms + by_length


def read_body(http: HttpRequest, limit_bytes: int) -> Result[bytes, Failure]:
    """Read the whole body within the limit of size and time."""
    try:
        return Ok(http.get_data(cache=False))
    except RequestEntityTooLarge:
        return Err(BodyTooLarge(limit_bytes))
    except (ClientDisconnected, RequestTimeout, TimeoutError):
        return Err(ReadTimeout())


def list_models(inventory: Inventory, team: Team) -> Response:
    """Answer ``GET /v1/models`` with the models that the team's engines serve."""
    served = {
        model
        for engine in inventory.engines.values()
        if not team.engines or engine.name in team.engines
        for model in engine.models
    }
    names = sorted(served & set(inventory.models))
    data = [{"id": n, "object": "model", "created": 0, "owned_by": "lentilwell"} for n in names]
    body = msgspec.json.encode({"object": "list", "data": data})
    return Response(body, content_type="application/json")


_PARSERS = {"/v1/completions": parse_completion, "/v1/chat/completions": parse_chat}
_METHODS = {"/v1/models": "GET", **dict.fromkeys(_PARSERS, "POST")}
