"""The operators' listener: liveness, readiness, metrics, state dump and drain."""

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
from lentilwell.callers._responses import respond_failure


@dataclass(frozen=True)
class OperatorsContext:
    """What the operators' side needs of the rest of the process."""

    is_ready: Callable[[], bool]
    dump: Callable[[], object]
    drain: Callable[[], None]
    metrics: CollectorRegistry


class OperatorsApp:
    """The WSGI application for operators."""

    def __init__(self, token: str, context: OperatorsContext) -> None:
        self._token = token
        self._context = context

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Answer one call."""
        response = self._route(HttpRequest(environ))
        response.headers["Connection"] = "close"
        return response(environ, start_response)

    def _route(self, http: HttpRequest) -> Response:
        if http.path == "/live":
            return Response("live\n")
        if http.path == "/ready":
            return Response("ready\n") if self._context.is_ready() else respond_failure(NotReady())
        given = http.headers.get("Authorization", "").removeprefix("Bearer ")
        if not hmac.compare_digest(given.encode(), self._token.encode()):
            return respond_failure(Unauthorized())
        if http.path == "/metrics":
            return Response(generate_latest(self._context.metrics), content_type="text/plain")
        if http.path == "/state":
            body = msgspec.json.encode(self._context.dump())
            return Response(body, content_type="application/json")
        if http.path == "/drain" and http.method == "POST":
            self._context.drain()
            return Response("draining\n", status=202)
        return respond_failure(UnknownRoute())
