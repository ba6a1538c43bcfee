"""Which calls of a plain service may be repeated, by method and path."""

from __future__ import annotations

from urllib.parse import unquote

from lentilwell._inventory import Inventory, Route

_AMBIGUOUS = ("//", "\\", ";", "\0", "%")


def find_route(inventory: Inventory, service: str, method: str, path: str) -> Route:
    """Return the route with the longest prefix of whole path segments.

    ``path`` is as it came, without the query. Where no route fits, or a service might read the path
    otherwise than this function does, the call is taken as one that may not be repeated.
    """
    unlisted = Route(service, method, "/", idempotent=False)
    decoded = unquote(path, errors="replace")
    if _is_ambiguous(path, decoded):
        return unlisted
    fitting = [
        route
        for route in inventory.routes
        if route.service == service and route.method == method and _fits(route, decoded)
    ]
    return max(fitting, key=lambda route: len(route.path_prefix.rstrip("/")), default=unlisted)


def _fits(route: Route, path: str) -> bool:
    prefix = route.path_prefix.rstrip("/")
    return path == prefix or path.startswith(prefix + "/")


def _is_ambiguous(path: str, decoded: str) -> bool:
    if "%2f" in path.lower() or any(mark in decoded for mark in _AMBIGUOUS):
        return True
    return any(segment in (".", "..") for segment in decoded.split("/"))
