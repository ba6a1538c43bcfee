"""Forwarding of calls to plain services under ``/services/<name>/``.

Calls and answers are forwarded unchanged, except for hop-by-hop headers and the caller's API key.
Each call has its own connection. If an idempotent call fails, it is retried, on another instance if
there is one. A call that is not idempotent is sent to at most one instance, and follows the claim
protocol if it has an idempotency key.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from urllib.parse import urlsplit

import msgspec
from result import Err, Ok, Result
from werkzeug.wrappers import Request as HttpRequest
from werkzeug.wrappers import Response

from lentilwell._clock import Clock
from lentilwell._failures import (
    Failure,
    IdempotencyKeyMissing,
    InvalidRequest,
    NotRun,
    OutcomeUnknown,
    Overloaded,
    ServiceFailed,
    UnknownRoute,
)
from lentilwell._http import Guard, HttpAnswer, HttpCall, HttpFailure, send
from lentilwell._inventory import Inventory, Service, Team
from lentilwell.callers._headers import read_deadline_ms
from lentilwell.callers._responses import make_failure_response
from lentilwell.callers._service_instances import (
    CallSlots,
    InstanceChooser,
    RetryBudget,
    find_instances,
)
from lentilwell.callers._service_routes import find_route
from lentilwell.once_only import LATE_ANSWER_TIMEOUT_MS, ClaimedCall, ClaimRunner, RecordedAnswer

DEFAULT_CALL_TIMEOUT_MS = 10_000
CONNECT_TIMEOUT_MS = 500
OVERLOADED_RETRY_MS = 1_000
MAX_ANSWER_BYTES = 16_777_216
MAX_KEY_LENGTH = 255
MAX_LABEL_LENGTH = 255
MAX_CONNECT_ATTEMPTS = 3
MAX_IDEMPOTENT_ATTEMPTS = 2
RAW_HEADERS_KEY = "lentilwell.headers"
_BODYLESS_STATUSES = (204, 304)
_HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
_CREDENTIAL_HEADERS = frozenset(("authorization",))

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class ServiceCall:
    """One call as received; ``target`` is the path and query within the service, unmodified."""

    service: str
    method: str
    target: str
    headers: Headers
    body: bytes
    team: Team
    deadline_at: int

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition("?")[0]


class _PassThroughResponse(Response):
    """A response without the default headers that ``Response`` adds."""

    default_mimetype = None
    automatically_set_content_length = False


class ServiceGateway:
    """Forwards calls to the instances of plain services."""

    def __init__(
        self, claims: ClaimRunner, chooser: InstanceChooser, slots: CallSlots, clock: Clock
    ) -> None:
        self._claims = claims
        self._chooser = chooser
        self._slots = slots
        self._clock = clock
        self._budget = RetryBudget()

    def serve(
        self, http_request: HttpRequest, body: bytes, team: Team, inventory: Inventory
    ) -> Response:
        """Forward one call to an instance of the service and return the response."""
        call = self._parse_call(http_request, body, team, inventory)
        if isinstance(call, Err):
            return make_failure_response(call.err_value)
        answer = self._dispatch(call.ok_value, inventory)
        if isinstance(answer, Err):
            return make_failure_response(answer.err_value)
        return make_answer_response(http_request.method, answer.ok_value)

    def _dispatch(self, call: ServiceCall, inventory: Inventory) -> Result[RecordedAnswer, Failure]:
        if not find_instances(inventory, call.team, call.service):
            return Err(UnknownRoute())
        route = find_route(inventory, call.service, call.method, call.path)
        key = find_header(call.headers, "idempotency-key")
        if not route.idempotent and not key and route.key_required:
            return Err(IdempotencyKeyMissing())
        if len(key) > MAX_KEY_LENGTH:
            return Err(InvalidRequest(f"Idempotency-Key exceeds {MAX_KEY_LENGTH} characters."))
        if not self._slots.try_acquire(call.service):
            return Err(Overloaded(OVERLOADED_RETRY_MS))
        if not route.idempotent and key:
            return self._run_claimed(call, key, inventory)
        try:
            if route.idempotent:
                return self._run_idempotent(call, inventory)
            return self._run_unclaimed(call, inventory)
        finally:
            self._slots.release(call.service)

    def _parse_call(
        self, http_request: HttpRequest, body: bytes, team: Team, inventory: Inventory
    ) -> Result[ServiceCall, Failure]:
        target = parse_target(http_request.environ["RAW_URI"])
        timeout = read_deadline_ms(http_request, inventory.rules, DEFAULT_CALL_TIMEOUT_MS)
        if isinstance(timeout, Err):
            return timeout
        if not target.startswith("/services/") or "#" in target:
            return Err(UnknownRoute())
        name, _, rest = target.removeprefix("/services/").partition("/")
        name, separator, query = name.partition("?")
        headers: Headers = http_request.environ.get(RAW_HEADERS_KEY) or tuple(http_request.headers)
        return Ok(
            ServiceCall(
                service=name,
                method=http_request.method,
                target=f"/{rest}{separator}{query}",
                headers=strip_headers(headers, _CREDENTIAL_HEADERS),
                body=body,
                team=team,
                deadline_at=self._clock.now() + timeout.ok_value,
            )
        )

    def _run_idempotent(
        self, call: ServiceCall, inventory: Inventory
    ) -> Result[RecordedAnswer, Failure]:
        """Try instances in turn until the deadline; each retry must fit the retry budget."""
        self._budget.record_call(inventory.rules)
        instances = self._chooser.order(inventory, call.team, call.service)
        for attempts_left in range(MAX_IDEMPOTENT_ATTEMPTS, 0, -1):
            remaining_ms = call.deadline_at - self._clock.now()
            if remaining_ms <= 0 or not instances:
                break
            instance = instances[(MAX_IDEMPOTENT_ATTEMPTS - attempts_left) % len(instances)]
            answer = self._send(call, instance, max(1, remaining_ms // attempts_left))
            if isinstance(answer, Ok):
                return Ok(to_recorded_answer(answer.ok_value))
            if attempts_left > 1 and not self._budget.try_acquire():
                break
        return Err(ServiceFailed())

    def _run_unclaimed(
        self, call: ServiceCall, inventory: Inventory
    ) -> Result[RecordedAnswer, Failure]:
        """Send a call that has no idempotency key; an attempt that may have run is not repeated."""
        remaining_ms = call.deadline_at - self._clock.now()
        answer = self._send_to_one(call, inventory, remaining_ms, lambda: True)
        if isinstance(answer, Ok):
            return Ok(to_recorded_answer(answer.ok_value))
        return Err(OutcomeUnknown() if answer.err_value.sent else NotRun())

    def _run_claimed(
        self, call: ServiceCall, key: str, inventory: Inventory
    ) -> Result[RecordedAnswer, Failure]:
        timeout_ms = max(call.deadline_at - self._clock.now(), LATE_ANSWER_TIMEOUT_MS)

        def send_request(guard: Guard) -> Result[HttpAnswer, HttpFailure]:
            return self._send_to_one(call, inventory, timeout_ms, guard).map(_strip_hop_headers)

        return self._claims.run(
            ClaimedCall(
                team=call.team.name,
                key=key,
                label=f"{call.method} /services/{call.service}{call.path}"[:MAX_LABEL_LENGTH],
                request_digest=digest_call(call),
                deadline_at=call.deadline_at,
                send_request=send_request,
                on_resources_freed=lambda: self._slots.release(call.service),
            )
        )

    def _send_to_one(
        self, call: ServiceCall, inventory: Inventory, timeout_ms: int, guard: Guard
    ) -> Result[HttpAnswer, HttpFailure]:
        """Send to one instance; try the next one only if no connection could be opened."""
        answer: Result[HttpAnswer, HttpFailure] = Err(HttpFailure(sent=False))
        instances = self._chooser.order(inventory, call.team, call.service)
        for instance in instances[:MAX_CONNECT_ATTEMPTS]:
            answer = self._send(call, instance, timeout_ms, guard)
            if answer.is_ok() or answer.unwrap_err().sent or answer.unwrap_err().refused:
                return answer
        return answer

    def _send(
        self, call: ServiceCall, instance: Service, timeout_ms: int, guard: Guard | None = None
    ) -> Result[HttpAnswer, HttpFailure]:
        base_path = urlsplit(instance.url).path.rstrip("/")
        http_call = HttpCall(
            method=call.method,
            url=instance.url,
            headers=call.headers,
            body=call.body,
            timeout_ms=timeout_ms,
            connect_timeout_ms=min(CONNECT_TIMEOUT_MS, timeout_ms),
            new_connection=True,
            target=base_path + call.target,
            max_body_bytes=MAX_ANSWER_BYTES,
        )
        answer = send(http_call, guard)
        if isinstance(answer, Ok):
            self._chooser.record_answer(instance)
        elif not answer.err_value.refused:
            self._chooser.record_failure(instance)
        return answer


def parse_target(raw_target: str) -> str:
    """Return the path and query of a request target, which may be an absolute URL."""
    if raw_target.startswith("/"):
        return raw_target
    _, _, rest = raw_target.partition("://")
    return "/" + rest.partition("/")[2]


def strip_headers(headers: Iterable[tuple[str, str]], excluded: frozenset[str]) -> Headers:
    """Return the headers to forward, in order and with duplicates.

    Hop-by-hop headers, headers named by ``Connection`` and ``excluded`` headers are left out.
    """
    received = tuple(headers)
    connection_options = {
        token.strip().lower()
        for name, value in received
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = _HOP_BY_HOP_HEADERS | excluded | connection_options
    return tuple((name, value) for name, value in received if name.lower() not in dropped)


def find_header(headers: Headers, lowercase_name: str) -> str:
    """Return the first value of a header, or an empty string if it is absent."""
    return next((value.strip() for name, value in headers if name.lower() == lowercase_name), "")


def digest_call(call: ServiceCall) -> str:
    """Return a digest of the call, which shows whether a key is reused with a different call."""
    parts = [call.team.name, call.service, call.method, call.target, call.body]
    return hashlib.sha256(msgspec.json.encode(parts)).hexdigest()


def to_recorded_answer(answer: HttpAnswer) -> RecordedAnswer:
    """Return a service's answer in the form that is recorded and sent to callers."""
    kept = _strip_hop_headers(answer)
    return RecordedAnswer(kept.status, kept.headers, kept.body)


def make_answer_response(method: str, answer: RecordedAnswer) -> Response:
    """Return a service's answer as a response; only Content-Length is set here."""
    response = _PassThroughResponse(answer.body, answer.status, list(answer.headers))
    bodyless = method == "HEAD" or answer.status in _BODYLESS_STATUSES
    if not bodyless:
        response.headers["Content-Length"] = str(len(answer.body))
    return response


def _strip_hop_headers(answer: HttpAnswer) -> HttpAnswer:
    kept = strip_headers(answer.headers, frozenset())
    content_length = find_header(answer.headers, "content-length")
    if content_length and not answer.body:
        kept += (("Content-Length", content_length),)
    return HttpAnswer(answer.status, kept, answer.body)
