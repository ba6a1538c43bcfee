"""Plain services under ``/services/<name>/``: calls pass through unchanged, but for hop headers.

A call that a route marks idempotent is tried on another instance when one fails. Any other call
goes through the claim protocol, on a connection of its own, to one instance.
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
    InvalidRequest,
    KeyMissing,
    NotRun,
    OutcomeUnknown,
    Overloaded,
    ServiceFailed,
    UnknownRoute,
)
from lentilwell._http import Guard, HttpAnswer, HttpCall, HttpFailure, send
from lentilwell._inventory import Inventory, Service, Team
from lentilwell.callers._headers import read_deadline_ms
from lentilwell.callers._responses import respond_failure
from lentilwell.callers._service_instances import (
    CallSlots,
    InstanceChooser,
    RetryBudget,
    find_instances,
)
from lentilwell.callers._service_routes import find_route
from lentilwell.once_only import LATE_ANSWER_TIMEOUT_MS, ClaimedCall, ClaimRunner, RecordedAnswer

CALL_TIMEOUT_MS = 10_000
CONNECT_TIMEOUT_MS = 500
BUSY_RETRY_MS = 1_000
MAXIMUM_ANSWER_BYTES = 16_777_216
MAXIMUM_KEY_LENGTH = 255
MAXIMUM_CALL_LENGTH = 255
MAXIMUM_CONNECTS = 3
LOOKUP_TRIES = 2
RAW_HEADERS = "lentilwell.headers"
_BODYLESS_STATUS = (204, 304)
_HOP_HEADERS = frozenset(
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
_CALLER_HEADERS = frozenset(("authorization",))

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class ServiceCall:
    """One call as it came; ``target`` is path and query within the service, byte for byte."""

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


class _PassedResponse(Response):
    """Adds nothing of its own to a service's answer."""

    default_mimetype = None
    automatically_set_content_length = False


class ServiceGateway:
    """Routes calls of plain services."""

    def __init__(
        self, claims: ClaimRunner, chooser: InstanceChooser, slots: CallSlots, clock: Clock
    ) -> None:
        self._claims = claims
        self._chooser = chooser
        self._slots = slots
        self._clock = clock
        self._budget = RetryBudget()

    def serve(self, http: HttpRequest, body: bytes, team: Team, inventory: Inventory) -> Response:
        """Pass one call through to an instance of the service and return its answer."""
        call = self._read_call(http, body, team, inventory)
        if isinstance(call, Err):
            return respond_failure(call.err_value)
        answer = self._answer(call.ok_value, inventory)
        if isinstance(answer, Err):
            return respond_failure(answer.err_value)
        return respond_answer(http.method, answer.ok_value)

    def _answer(self, call: ServiceCall, inventory: Inventory) -> Result[RecordedAnswer, Failure]:
        if not find_instances(inventory, call.team, call.service):
            return Err(UnknownRoute())
        route = find_route(inventory, call.service, call.method, call.path)
        key = find_header(call.headers, "idempotency-key")
        if not route.idempotent and not key and route.key_required:
            return Err(KeyMissing())
        if len(key) > MAXIMUM_KEY_LENGTH:
            return Err(InvalidRequest(f"Idempotency-Key is over {MAXIMUM_KEY_LENGTH} characters."))
        if not self._slots.take(call.service):
            return Err(Overloaded(BUSY_RETRY_MS))
        if not route.idempotent and key:
            return self._run_claimed(call, key, inventory)
        try:
            if route.idempotent:
                return self._look_up(call, inventory)
            return self._run_once(call, inventory)
        finally:
            self._slots.give_back(call.service)

    def _read_call(
        self, http: HttpRequest, body: bytes, team: Team, inventory: Inventory
    ) -> Result[ServiceCall, Failure]:
        target = read_target(http.environ["RAW_URI"])
        timeout = read_deadline_ms(http, inventory.rules, CALL_TIMEOUT_MS)
        if isinstance(timeout, Err):
            return timeout
        if not target.startswith("/services/") or "#" in target:
            return Err(UnknownRoute())
        name, _, rest = target.removeprefix("/services/").partition("/")
        name, mark, query = name.partition("?")
        headers: Headers = http.environ.get(RAW_HEADERS) or tuple(http.headers)
        return Ok(
            ServiceCall(
                service=name,
                method=http.method,
                target=f"/{rest}{mark}{query}",
                headers=keep_headers(headers, _CALLER_HEADERS),
                body=body,
                team=team,
                deadline_at=self._clock.now() + timeout.ok_value,
            )
        )

    def _look_up(self, call: ServiceCall, inventory: Inventory) -> Result[RecordedAnswer, Failure]:
        """Try instances in turn within the deadline; each retry comes out of the budget."""
        self._budget.note_fresh(inventory.rules)
        instances = self._chooser.order(inventory, call.team, call.service)
        for tries_left in range(LOOKUP_TRIES, 0, -1):
            left_ms = call.deadline_at - self._clock.now()
            if left_ms <= 0 or not instances:
                break
            instance = instances[(LOOKUP_TRIES - tries_left) % len(instances)]
            answer = self._send(call, instance, max(1, left_ms // tries_left))
            if isinstance(answer, Ok):
                return Ok(record_answer(answer.ok_value))
            if tries_left > 1 and not self._budget.take():
                break
        return Err(ServiceFailed())

    def _run_once(self, call: ServiceCall, inventory: Inventory) -> Result[RecordedAnswer, Failure]:
        """Make a call that has no key: one attempt, and never a second."""
        left_ms = call.deadline_at - self._clock.now()
        answer = self._send_once(call, inventory, left_ms, lambda: True)
        if isinstance(answer, Ok):
            return Ok(record_answer(answer.ok_value))
        return Err(OutcomeUnknown() if answer.err_value.sent else NotRun())

    def _run_claimed(
        self, call: ServiceCall, key: str, inventory: Inventory
    ) -> Result[RecordedAnswer, Failure]:
        patience_ms = max(call.deadline_at - self._clock.now(), LATE_ANSWER_TIMEOUT_MS)

        def make(guard: Guard) -> Result[HttpAnswer, HttpFailure]:
            return self._send_once(call, inventory, patience_ms, guard).map(_drop_hop_headers)

        return self._claims.run(
            ClaimedCall(
                team=call.team.name,
                key=key,
                label=f"{call.method} /services/{call.service}{call.path}"[:MAXIMUM_CALL_LENGTH],
                request_digest=digest_call(call),
                deadline_at=call.deadline_at,
                send_request=make,
                on_resources_freed=lambda: self._slots.give_back(call.service),
            )
        )

    def _send_once(
        self, call: ServiceCall, inventory: Inventory, timeout_ms: int, guard: Guard
    ) -> Result[HttpAnswer, HttpFailure]:
        """Send to one instance; go on to another only where no connection could be opened."""
        answer: Result[HttpAnswer, HttpFailure] = Err(HttpFailure(sent=False))
        instances = self._chooser.order(inventory, call.team, call.service)
        for instance in instances[:MAXIMUM_CONNECTS]:
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
            max_body_bytes=MAXIMUM_ANSWER_BYTES,
        )
        answer = send(http_call, guard)
        if isinstance(answer, Ok):
            self._chooser.note_answer(instance)
        elif not answer.err_value.refused:
            self._chooser.note_failure(instance)
        return answer


def read_target(raw: str) -> str:
    """Return path and query of a request line's target, which may be a whole URL."""
    if raw.startswith("/"):
        return raw
    _, _, rest = raw.partition("://")
    return "/" + rest.partition("/")[2]


def keep_headers(headers: Iterable[tuple[str, str]], without: frozenset[str]) -> Headers:
    """Return the headers that pass on, in order and with duplicates."""
    found = tuple(headers)
    named = {
        token.strip().lower()
        for name, value in found
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = _HOP_HEADERS | without | named
    return tuple((name, value) for name, value in found if name.lower() not in dropped)


def find_header(headers: Headers, wanted: str) -> str:
    """Return the first value of a header, or an empty string."""
    return next((value.strip() for name, value in headers if name.lower() == wanted), "")


def digest_call(call: ServiceCall) -> str:
    """Return the digest that tells whether a key is used with the same call again."""
    parts = [call.team.name, call.service, call.method, call.target, call.body]
    return hashlib.sha256(msgspec.json.encode(parts)).hexdigest()


def record_answer(answer: HttpAnswer) -> RecordedAnswer:
    """Return what a caller is given of a service's answer."""
    kept = _drop_hop_headers(answer)
    return RecordedAnswer(kept.status, kept.headers, kept.body)


def respond_answer(method: str, answer: RecordedAnswer) -> Response:
    """Return a service's answer as it came."""
    response = _PassedResponse(answer.body, answer.status, list(answer.headers))
    bodyless = method == "HEAD" or answer.status in _BODYLESS_STATUS
    if not bodyless:
        response.headers["Content-Length"] = str(len(answer.body))
    return response


def _drop_hop_headers(answer: HttpAnswer) -> HttpAnswer:
    kept = keep_headers(answer.headers, frozenset())
    length = find_header(answer.headers, "content-length")
    if length and not answer.body:
        kept += (("Content-Length", length),)
    return HttpAnswer(answer.status, kept, answer.body)
