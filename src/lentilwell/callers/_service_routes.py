"""Lookup of the route of a service call, which says whether the call is idempotent."""

from __future__ import annotations

from urllib.parse import unquote

from lentilwell._inventory import Inventory, Route

_AMBIGUOUS_SEQUENCES = ("//", "\\", ";", "\0", "%")


def find_route(inventory: Inventory, service: str, method: str, path: str) -> Route:
    """Return the route whose prefix matches the most path segments.

    ``path`` is the path as received, without the query. If no route matches, or if a service could
    interpret the path differently from this function, the result is a route that is not idempotent.
    """
    default_route = Route(service, method, "/", idempotent=False)
    decoded = unquote(path, errors="replace")
    if _is_ambiguous(path, decoded):
        return default_route
    matching = [
        route
        for route in inventory.routes
        if route.service == service and route.method == method and _matches(route, decoded)
    ]
    return max(
        matching, key=lambda route: len(route.path_prefix.rstrip("/")), default=default_route
    )


def _matches(route: Route, path: str) -> bool:
    prefix = route.path_prefix.rstrip("/")
    return path == prefix or path.startswith(prefix + "/")


def _is_ambiguous(path: str, decoded: str) -> bool:
    if "%2f" in path.lower() or any(sequence in decoded for sequence in _AMBIGUOUS_SEQUENCES):
        return True
    return any(segment in (".", "..") for segment in decoded.split("/"))
