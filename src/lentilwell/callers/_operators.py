"""The listener for operators: liveness, readiness, metrics, state dump and drain."""

from __future__ import annotations

import hmac
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import msgspec
from prometheus_client import CollectorRegistry, generate_latest
from werkzeug.wrappers import Request as HttpRequest
from werkzeug.wrappers import Response

from lentilwell._failures import NotReady, Unauthorized, UnknownRoute
from lentilwell.callers._responses import make_failure_response


@dataclass(frozen=True)
class OperatorsContext:
    """The parts of the process that ``OperatorsApp`` depends on."""

    is_ready: Callable[[], bool]
    dump_state: Callable[[], object]
    drain: Callable[[], None]
    metrics: CollectorRegistry


class OperatorsApp:
    """The WSGI application for operators."""

    def __init__(self, token: str, context: OperatorsContext) -> None:
        self._token = token
        self._context = context

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Respond to one request."""
        response = self._route(HttpRequest(environ))
        response.headers["Connection"] = "close"
        return response(environ, start_response)

    def _route(self, http_request: HttpRequest) -> Response:
        if http_request.path == "/live":
            return Response("live\n")
        if http_request.path == "/ready":
            return (
                Response("ready\n")
                if self._context.is_ready()
                else make_failure_response(NotReady())
            )
        token = http_request.headers.get("Authorization", "").removeprefix("Bearer ")
        if not hmac.compare_digest(token.encode(), self._token.encode()):
            return make_failure_response(Unauthorized())
        if http_request.path == "/metrics":
            return Response(generate_latest(self._context.metrics), content_type="text/plain")
        if http_request.path == "/state":
            body = msgspec.json.encode(self._context.dump_state())
            return Response(body, content_type="application/json")
        if http_request.path == "/drain" and http_request.method == "POST":
            self._context.drain()
            return Response("draining\n", status=202)
        return make_failure_response(UnknownRoute())
