"""Plain services under ``/services/<name>/``: calls pass through unchanged, but for hop headers."""

from __future__ import annotations

from werkzeug.wrappers import Request as HttpRequest
from werkzeug.wrappers import Response

from lentilwell._errors import NotRun, OutcomeUnknown, UnknownRoute
from lentilwell._http import HttpCall, send
from lentilwell._inventory import Inventory, Service, Team
from lentilwell._responses import respond_failure

CALL_TIMEOUT_MS = 10_000
_HOP_HEADERS = frozenset(
    (
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


class ServiceGateway:
    """Routes calls of plain services."""

    def serve(self, http: HttpRequest, body: bytes, team: Team, inventory: Inventory) -> Response:
        """Pass one call through to an instance of the service and return its answer."""
        _, _, name, rest = (*http.path.split("/", 3), "")[:4]
        instances = find_instances(inventory, team, name)
        if not instances:
            return respond_failure(UnknownRoute())
        raw_target: str = http.environ["RAW_URI"]
        rest = raw_target.split("/", 3)[3] if raw_target.count("/") >= 3 else ""
        headers = tuple((n, v) for n, v in http.headers if n.lower() not in _HOP_HEADERS)
        call = HttpCall(
            http.method, f"{instances[0].url}/{rest}", headers, body, CALL_TIMEOUT_MS, fresh=True
        )
        answer = send(call)
        if answer.is_err():
            failure = answer.unwrap_err()
            return respond_failure(OutcomeUnknown() if failure.sent else NotRun())
        found = answer.unwrap()
        kept = [(n, v) for n, v in found.headers if n.lower() not in _HOP_HEADERS]
        return Response(found.body, found.status, kept)


def find_instances(inventory: Inventory, team: Team, service: str) -> list[Service]:
    """Return the instances of a service that a team may use."""
    return [
        instance
        for instance in inventory.services.values()
        if instance.service == service and (not team.services or instance.name in team.services)
    ]
